//! The operators' text: format, checks and compiled form.
//!
//! # Examples
//!
//! ```
//! use limpet_config::Config;
//!
//! let problems = Config::parse("[flet]\nvms_max = 8\n").unwrap_err();
//! assert_eq!(
//!     problems[0].to_string(),
//!     "1:1: missing section \"fleet\"; add [fleet] with vms_max",
//! );
//! assert_eq!(problems[1].to_string(), "1:2: unknown section \"flet\"; did you mean \"fleet\"?");
//! ```

mod model;
mod parse;
mod problem;

pub use model::{
    Config,
    ConfigParts,
    FRESHNESS_LIMIT_DEFAULT,
    Fleet,
    Lookup,
    Service,
    ServiceKind,
    Shard,
    Target,
    TargetRef,
    TargetState,
    Team,
    Zone,
    ZoneState, //
};
pub use problem::Problem;

/// Largest text that is accepted; the configuration service holds no more.
pub const TEXT_SIZE_MAX_BYTES: usize = 1_000_000;

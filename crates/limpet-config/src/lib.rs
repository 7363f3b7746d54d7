//! Parses, validates and indexes the configuration text that operators write.
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
    ConfigSections,
    FRESHNESS_LIMIT_DEFAULT,
    FleetSettings,
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

/// Maximum size of a configuration text; the configuration service stores no larger one.
pub const TEXT_SIZE_MAX_BYTES: usize = 1_000_000;

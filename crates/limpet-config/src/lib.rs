//! The operators' text: format, checks and compiled form.

mod model;
mod problem;

pub use model::{
    Config,
    FRESHNESS_LIMIT_DEFAULT,
    Fleet,
    Lookup,
    Service,
    ServiceKind,
    Shard,
    Target,
    TargetSite,
    TargetState,
    Team,
    Zone,
    ZoneState, //
};
pub use problem::Problem;

/// Largest text that is accepted; the configuration service holds no more.
pub const TEXT_SIZE_MAX_BYTES: usize = 1_000_000;

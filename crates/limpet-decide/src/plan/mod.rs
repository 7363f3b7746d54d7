//! Plans the first attempts of a query and tracks which key ranges its answers cover.

mod coverage;
mod planner;

pub use coverage::{
    Coverage,
    MissingRange,
    ShardRange, //
};
pub use planner::{
    PlannedAttempt,
    ShardCandidates,
    plan_attempts, //
};

//! Query plan and coverage.

mod coverage;
mod planner;

pub use coverage::{
    AnsweredRange,
    Coverage,
    MissingRange, //
};
pub use planner::{
    PlannedAttempt,
    ShardCandidates,
    plan_attempts, //
};

//! Query plan and coverage.

mod coverage;
mod planner;

pub use coverage::{
    Answered,
    Coverage,
    Missing, //
};
pub use planner::{
    PlanShard,
    PlannedAttempt,
    plan, //
};

//! Forwarding of admitted requests to targets.
//!
//! A query is one admitted request of a caller together with all attempts that are made for it: at one
//! target, or at one target of each shard.

mod admission;
mod admission_state;
mod aggregation;
mod asked_targets;
mod attempt;
mod attempt_wait;
mod crash_check;
mod crash_risk;
mod detached_attempts;
mod gather_progress;
mod hedge_timer;
mod merge;
mod outcome;
mod placed_gather;
mod query_context;
mod run_statistics;
mod scatter_gather;
mod service_attempts;
mod service_error;
mod service_targets;
mod slot_use;
mod split;
mod wanted_attempt;

pub use self::{
    admission::complete_error,
    admission_state::AdmissionState,
    aggregation::serve_aggregation,
    crash_check::is_no_listener,
    crash_risk::CrashRisk,
    merge::greatest_records,
    outcome::{
        Answer,
        Outcome,
        RequestError,
        RequestErrorKind,
        guarantees_not_run, //
    },
    placed_gather::run_placed_gather,
    query_context::{
        QueryContext,
        request_fingerprint, //
    },
    run_statistics::RunStatistics,
    scatter_gather::run_scatter_gather,
    split::run_split,
};

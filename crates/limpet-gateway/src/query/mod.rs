//! Forwarding of requests.
//!
//! A query is one admitted request of a caller together with all attempts that are made for it: at one
//! target, or at one target of each shard.

mod attempt;
mod crash;
mod gather;
mod merge;
mod outcome;
mod query_context;
mod service_attempts;
mod single;

pub use self::{
    crash::is_no_listener,
    gather::run_gather,
    merge::greatest_records,
    outcome::{
        Answer,
        Outcome,
        RequestError,
        RequestErrorKind, //
    },
    query_context::{
        QueryContext,
        fingerprint, //
    },
    single::run_single,
};

//! HTTP gateway that runs as one process per VM and forwards callers' requests directly to targets.
//!
//! Of the deployment's own protocols the gateway knows only HTTP/1.1: an adapter provides the header names
//! ([`HeaderNames`]), the [`Settings`] and a [`Source`] of the deployment state.

pub mod admin;
pub mod aggregation_slots;
pub mod background_tasks;
pub mod clock;
pub mod deployment_state;
pub mod frontend;
pub mod gateway;
pub mod header_names;
pub mod log;
pub mod members;
pub mod memory;
pub mod query;
pub mod ranked_waiters;
pub mod rate;
pub mod retry_budget;
pub mod route_latency;
pub mod route_table;
pub mod settings;
pub mod shared_state;
pub mod shutdown_state;
mod slow_reader;
pub mod source;
pub mod state_updater;
pub mod target;

pub use self::{
    header_names::HeaderNames,
    settings::Settings,
    shared_state::SharedState,
    source::{
        Source,
        SourceError,
        SourceErrorKind, //
    },
};

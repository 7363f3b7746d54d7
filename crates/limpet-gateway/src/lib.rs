//! One process per VM that routes callers' requests straight to targets.
//!
//! The gateway knows nothing of the deployment's own protocols but HTTP/1.1: an adapter gives it the
//! header names ([`HeaderNames`]), its settings and a [`Source`] of the deployment's state.

pub mod admin;
pub mod clock;
pub mod deployment_state;
pub mod follower;
pub mod frontend;
pub mod gateway;
pub mod header_names;
pub mod latency;
pub mod log;
pub mod members;
pub mod query;
pub mod rate;
pub mod retry_budget;
pub mod route_table;
pub mod settings;
pub mod shared_state;
pub mod source;
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

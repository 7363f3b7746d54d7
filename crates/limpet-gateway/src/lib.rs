//! One process per VM that routes callers' requests straight to targets.
//!
//! The gateway knows nothing of the deployment's own protocols but HTTP/1.1: an adapter gives it the
//! header names ([`Dialect`]), its settings and a [`Source`] of the deployment's state.

pub mod admin;
pub mod board;
pub mod budget;
pub mod clock;
pub mod dialect;
pub mod follow;
pub mod front;
pub mod gateway;
pub mod latency;
pub mod log;
pub mod members;
pub mod query;
pub mod rate;
pub mod settings;
pub mod source;
pub mod state;
pub mod table;
pub mod target;

pub use self::{
    board::Board,
    dialect::Dialect,
    settings::Settings,
    source::{
        Source,
        SourceError,
        SourceErrorKind, //
    },
};

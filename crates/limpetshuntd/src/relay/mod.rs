//! The side that faces targets.

mod controller;
mod crash;
mod gate;
mod handle;
mod queue;
mod run;
mod service;
mod sites;
mod target;
mod work;

pub use handle::{
    drain,
    handle_attempt,
    is_idle,
    start, //
};
pub use service::Relay;

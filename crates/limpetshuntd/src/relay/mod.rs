//! The relay: owns targets and runs the attempts that entries send for them.

mod api;
mod controller;
mod crash;
mod gate;
mod queue;
mod run;
mod sites;
mod state;
mod target;
mod work;

pub use api::{
    drain,
    handle_attempt,
    is_target_idle,
    start, //
};
pub use state::RelayState;

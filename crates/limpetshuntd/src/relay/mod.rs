//! The relay: owns targets and runs the attempts that entries send for them.

mod api;
mod attempt;
mod attempt_queue;
mod attempt_task;
mod checks;
mod controller;
mod crash_detector;
mod state;
mod target;
mod target_table;

pub use api::{
    drain,
    handle_attempt,
    is_target_idle,
    start, //
};
pub use state::RelayState;

//! Fake targets and a fake platform for tests, demos and benchmarks.

pub mod platform;
mod stop_signal;
pub mod target;

pub use stop_signal::stop_signal;

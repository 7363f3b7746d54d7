//! Stand-ins for targets and for the platform's services.

pub mod platform;
mod stop_signal;
pub mod target;

pub use stop_signal::stop_signal;

//! Stand-ins for targets and for the platform's services.

pub mod platform;
pub mod target;

//! Model checks and history checks of the core protocols.
//!
//! [`fleet`] runs real processes under load and records a [`history`] of what callers and targets
//! observe; [`check`] checks the properties of a history.

pub mod check;
pub mod fleet;
pub mod history;

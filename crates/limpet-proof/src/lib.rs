//! Checks of the core protocols: of their models, and of histories of real processes.
//!
//! [`fleet`] runs real processes under load and records a [`history`] of what callers and targets observe;
//! [`check`] finds the violations in a history. The test `specs` checks the models.

pub mod check;
pub mod fleet;
pub mod history;

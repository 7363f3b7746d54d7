//! Model checks and history checks of the core protocols.
//!
//! [`history`] holds what a test observed from outside, [`check`] decides the properties from it, and
//! [`fleet`] runs real processes and writes such a history.

pub mod check;
pub mod fleet;
pub mod history;

//! Decision modules without sockets or clocks.
//!
//! Time and randomness are arguments, so each module can be tested, model-checked and measured alone.

pub mod quarantine;
pub mod share;

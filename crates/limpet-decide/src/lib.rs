//! Decision modules without sockets or clocks.
//!
//! Time and randomness are arguments, so each module can be tested, model-checked and measured alone.

pub mod fair;
pub mod freshness;
pub mod grant;
pub mod hedge;
pub mod lease;
pub mod placement;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod replica;
pub mod retry;
pub mod revision;
pub mod snapshot;
pub mod ticket;
pub mod tokens;
pub mod warmup;

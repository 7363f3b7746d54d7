//! Decision logic without I/O, clocks or random sources.
//!
//! Time and random numbers are arguments, so each module can be tested, model-checked and
//! benchmarked on its own. A point in time is a `Duration`: the time since boot on the clock of the
//! process that makes the decision.

pub mod admission;
pub mod aggregator;
pub mod attempt_budget;
pub mod balance;
pub mod cold_share;
pub mod config_check;
pub mod fair;
pub mod freshness;
pub mod gather;
pub mod grant;
pub mod hedge;
pub mod lease;
pub mod peer_load;
pub mod placement;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod refresh;
pub mod replica;
pub mod retry;
pub mod revision;
pub mod shutdown;
pub mod snapshot;
pub mod spread;
pub mod target_notice;
pub mod ticket;
pub mod tokens;
pub mod warmup;

//! Requests that crash the targets that run them.

mod strike_table;

pub use strike_table::{
    STRIKE_TTL,
    STRIKES_MAX,
    STRIKES_QUARANTINE,
    StrikeTable,
    Verdict,
    crash_id, //
};

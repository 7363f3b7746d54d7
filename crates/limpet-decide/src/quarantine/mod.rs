//! Requests that crash the targets that run them.

mod strike_table;

pub use strike_table::{
    QUARANTINE_STRIKES,
    Restriction,
    STRIKE_TTL,
    STRIKES_MAX,
    StrikeTable,
    crash_id, //
};

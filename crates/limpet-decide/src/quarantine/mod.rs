//! Isolation and quarantine of requests that crash their targets (poison requests).

mod strike_table;

pub use strike_table::{
    QUARANTINE_STRIKES,
    Restriction,
    STRIKE_TTL,
    STRIKES_MAX,
    StrikeTable,
    crash_id, //
};

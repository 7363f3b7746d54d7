//! Isolation and quarantine of requests that crash their targets (poison requests).

mod crash_suspect;
mod strike_table;

pub use crash_suspect::CrashSuspect;
pub use strike_table::{
    QUARANTINE_STRIKES,
    QUERY_STRIKES_MAX,
    Restriction,
    STRIKE_TTL,
    STRIKES_MAX,
    StrikeTable,
    crash_id, //
};

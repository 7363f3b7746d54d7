//! Election of the coordinator of a lease group by a quorum of the relays.
//!
//! No two candidates hold the lease of a group at the same time: a voter promises its vote for a group
//! to one candidate at a time, and two quorums whose promises overlap in time have a voter in common.
//! Two quorums overlap because at most `vms_max` relays exist at one instant. A restarted voter, which no
//! longer knows its promises, breaks none because it abstains for one full lease after its start.

mod candidate;
mod voter;

use std::time::Duration;

pub use candidate::{
    Candidate,
    Lease,
    RoundOutcome, //
};
pub use voter::Voter;

/// Time for which a voter keeps a promise, counted from when it gave or last renewed the promise.
pub const LEASE_TTL: Duration = Duration::from_secs(2);
/// Interval between two renewals; a lease survives two lost renewals in a row.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the lifetime of a lease, an ownership or a token that its holder does not use, in
/// percent. Covers the drift between the clocks of the granting and the holding process.
pub const DRIFT_MARGIN_PERCENT: u32 = 10;

/// Returns the part of a granted lifetime that the holder may use.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::lease::usable_ttl;
/// assert_eq!(usable_ttl(Duration::from_secs(2)), Duration::from_millis(1800));
/// ```
pub fn usable_ttl(ttl: Duration) -> Duration {
    ttl * (100 - DRIFT_MARGIN_PERCENT) / 100
}

/// Returns the number of votes that is a majority of `vms_max` relays.
pub const fn quorum(vms_max: u32) -> u32 {
    vms_max / 2 + 1
}

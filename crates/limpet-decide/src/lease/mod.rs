//! Votes and election of the coordinator of a lease group.
//!
//! Two quorums that overlap in time share a voter: each voter was up one full lease before it voted,
//! and no more than `vms_max` relays exist at one instant.

mod candidate;
mod voter;

use std::time::Duration;

pub use candidate::{
    Candidate,
    Lease,
    RoundOutcome, //
};
pub use voter::Voter;

/// How long a voter keeps its promise.
pub const LEASE_TTL: Duration = Duration::from_secs(2);
/// Time between two renewals; three renewals may be lost before the lease ends.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a right that its holder does not use, in percent; covers the drift between two clocks.
pub const DRIFT_MARGIN_PERCENT: u32 = 10;

/// Returns the part of a right that its holder may use.
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

/// Returns the number of voters that is more than half of the relays that may exist.
pub const fn quorum(vms_max: u32) -> u32 {
    vms_max / 2 + 1
}

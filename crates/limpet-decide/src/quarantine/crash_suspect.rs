//! A query that may have crashed a target.

use limpet_types::hash::stable_hash_parts;

/// A query with an attempt at a target that ended without a valid reply when the target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    /// Fingerprint of the query.
    pub fingerprint: u64,
    /// Number of strikes of the query that were known when this run of it began.
    pub known_strikes: usize,
    /// Number of earlier attempts of this run at the same service that ended without a valid reply.
    pub earlier_failures: usize,
}

impl CrashSuspect {
    /// Returns the position of the strike among the strikes of the query, from 0.
    pub const fn strike_index(&self) -> usize {
        self.known_strikes.saturating_add(self.earlier_failures)
    }

    /// Returns the identifier of the crash in a strike of the query.
    pub(super) fn crash_id(&self) -> u64 {
        strike_crash_id(self.fingerprint, self.strike_index())
    }
}

/// Returns the identifier of a crash in the strike of a query at this position.
///
/// It is the same for all crashes beside which equally many strikes of the query were known, and on all processes.
pub(super) fn strike_crash_id(fingerprint: u64, strike_index: usize) -> u64 {
    stable_hash_parts(&[&fingerprint.to_le_bytes(), &strike_index.to_le_bytes()])
}

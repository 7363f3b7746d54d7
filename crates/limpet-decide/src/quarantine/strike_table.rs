//! Strikes by request fingerprint.

use std::time::Duration;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Normal,
    /// Only while nothing else runs on its target.
    Alone,
    /// Not at all.
    Quarantined,
}

/// Remembers which requests were in flight when a target crashed.
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {}

impl StrikeTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells how a request may run.
    pub fn verdict(&self, _fingerprint: u64, _now: Duration) -> Verdict {
        Verdict::Normal
    }
}

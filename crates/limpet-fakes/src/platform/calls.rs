//! Counts of calls by second.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// Maximum number of seconds kept.
const SECONDS_MAX: usize = 600;

/// Calls of the configuration service; a long poll counts as one call when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls since the start.
    pub total: u64,
    /// Calls in each of the last 600 seconds with calls, by seconds since the start.
    pub by_second: BTreeMap<u64, u64>,
}

impl CallCounts {
    pub(super) fn record(&mut self, started: Instant) {
        self.total += 1;
        *self
            .by_second
            .entry(started.elapsed().as_secs())
            .or_default() += 1;
        while self.by_second.len() > SECONDS_MAX {
            self.by_second.pop_first();
        }
    }
}

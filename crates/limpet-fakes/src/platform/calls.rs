//! Calls counted by second.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// Seconds remembered.
const SECONDS_MAX: usize = 600;

/// Calls of the configuration service; a waiting watch counts as one, when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls since the start.
    pub total: u64,
    /// Calls by second since the start, up to 600 seconds back.
    pub by_second: BTreeMap<u64, u64>,
}

impl CallCounts {
    pub(super) fn note(&mut self, started: Instant) {
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

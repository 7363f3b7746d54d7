//! Numbers of calls to the configuration service.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// Maximum number of seconds in [`ConfigCallCounts::by_second`]; the oldest are removed.
const KEPT_SECONDS_MAX: usize = 600;

/// Numbers of calls to the configuration service; a long poll counts as one call when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCallCounts {
    /// Calls since the platform was created.
    pub total: u64,
    /// Calls in each second that had any, by the number of whole seconds since the platform was created; only
    /// the last 600 of these seconds are kept.
    pub by_second: BTreeMap<u64, u64>,
}

impl ConfigCallCounts {
    /// Counts a call that starts now, by the time since the platform was created.
    pub(super) fn record(&mut self, created_at: Instant) {
        self.total += 1;
        *self
            .by_second
            .entry(created_at.elapsed().as_secs())
            .or_default() += 1;
        while self.by_second.len() > KEPT_SECONDS_MAX {
            self.by_second.pop_first();
        }
    }
}

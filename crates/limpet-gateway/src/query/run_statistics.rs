//! What the attempts of a query tell about its run.

use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};

/// Counts of one run of a query, which the admission control learns from.
#[derive(Debug, Default)]
pub struct RunStatistics {
    attempt_count: AtomicU32,
    rejected_attempt_count: AtomicU32,
}

impl RunStatistics {
    /// Records the end of an attempt at a part; `is_rejected` tells that the target did not run it.
    pub fn record_part(&self, is_rejected: bool) {
        self.attempt_count.fetch_add(1, Ordering::Relaxed);
        self.rejected_attempt_count
            .fetch_add(u32::from(is_rejected), Ordering::Relaxed);
    }

    /// Returns the number of attempts that ended.
    pub fn attempt_count(&self) -> u32 {
        self.attempt_count.load(Ordering::Relaxed)
    }

    /// Returns the number of attempts that targets rejected.
    pub fn rejected_attempt_count(&self) -> u32 {
        self.rejected_attempt_count.load(Ordering::Relaxed)
    }
}

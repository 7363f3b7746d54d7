//! What the attempts of a query tell about its run.

use std::{
    sync::atomic::{
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

/// Counts of one run of a query, which the admission control learns from.
#[derive(Debug, Default)]
pub struct RunStatistics {
    attempt_count: AtomicU32,
    rejected_attempt_count: AtomicU32,
    /// Time for which the query waited for its permit, in microseconds.
    queue_wait_us: AtomicU64,
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

    /// Sets the time for which the query waited for its permit.
    pub(super) fn set_queue_wait(&self, queue_wait: Duration) {
        let queue_wait_us = u64::try_from(queue_wait.as_micros()).unwrap_or(u64::MAX);
        self.queue_wait_us.store(queue_wait_us, Ordering::Relaxed);
    }

    /// Returns the time for which the query waited for its permit.
    pub fn queue_wait(&self) -> Duration {
        Duration::from_micros(self.queue_wait_us.load(Ordering::Relaxed))
    }
}

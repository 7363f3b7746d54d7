//! Queries that a process runs for others at the same time.

use tokio::sync::watch;

/// Number of queries that a process runs for others at the same time, per core of its processor. With 8 per core,
/// processes refused queries while they used a twentieth of a core.
const AGGREGATIONS_PER_CORE: f64 = 64.0;
/// Smallest number of queries that a process runs for others at the same time.
const AGGREGATIONS_MIN: usize = 8;

/// Counts the queries that a process runs for others, and limits their number.
#[derive(Debug)]
pub struct AggregationSlots {
    limit: usize,
    count_sender: watch::Sender<usize>,
}

/// Counts a query that is run for another process until it is dropped.
#[derive(Debug)]
pub struct AggregationGuard(watch::Sender<usize>);

impl Drop for AggregationGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count = count.saturating_sub(1));
    }
}

impl AggregationSlots {
    /// Creates the slots of a process with this processor capacity in cores.
    pub fn new(capacity_cores: f64) -> Self {
        let limit = (capacity_cores * AGGREGATIONS_PER_CORE) as usize;
        Self {
            limit: limit.max(AGGREGATIONS_MIN),
            count_sender: watch::Sender::new(0),
        }
    }

    /// Counts a query that this process begins to run for another one; returns `None` if it already runs as
    /// many as its processor can.
    pub fn begin(&self) -> Option<AggregationGuard> {
        let is_begun = self.count_sender.send_if_modified(|count| {
            let has_capacity = *count < self.limit;
            *count += usize::from(has_capacity);
            has_capacity
        });
        is_begun.then(|| AggregationGuard(self.count_sender.clone()))
    }

    /// Waits until no query of another process is running.
    pub async fn finished(&self) {
        let mut count_receiver = self.count_sender.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = count_receiver.wait_for(|count| *count == 0).await;
    }
}

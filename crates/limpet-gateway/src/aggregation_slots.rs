//! Queries that a process runs for others at the same time.

use tokio::sync::watch;

/// Counts the queries that a process runs for others, so that a planned stop can wait for them. The admission queue
/// limits their number.
#[derive(Debug, Default)]
pub struct AggregationSlots {
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
    /// Creates the counter of a process that runs no query for others.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a query that this process begins to run for another one.
    pub fn begin(&self) -> AggregationGuard {
        self.count_sender.send_modify(|count| *count += 1);
        AggregationGuard(self.count_sender.clone())
    }

    /// Waits until no query of another process is running.
    pub async fn finished(&self) {
        let mut count_receiver = self.count_sender.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = count_receiver.wait_for(|count| *count == 0).await;
    }
}

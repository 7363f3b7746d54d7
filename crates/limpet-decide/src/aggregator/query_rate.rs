//! Rate of the scatter-gather queries that one process receives.

use std::{
    collections::VecDeque,
    time::Duration, //
};

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(10);
/// Largest number of queries that are kept; a higher rate needs no better estimate.
const QUERIES_MAX: usize = 512;
/// Expected number of queries within the idle timeout of a connection from which on connections count as warm.
/// With queries at random times, spread over three targets of each shard, one connection in twenty then idles
/// out between two requests.
const QUERIES_PER_IDLE_TIMEOUT_MIN: f64 = 9.0;

/// Times of the latest scatter-gather queries of one process, and the rate that follows from them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::aggregator::QueryRate;
///
/// let mut rate = QueryRate::new();
/// for tick in 1..=100 {
///     rate.record(Duration::from_millis(50 * tick));
/// }
/// assert!(rate.keeps_connections_warm(Duration::from_secs(3), Duration::from_secs(5)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QueryRate {
    queried_at: VecDeque<Duration>,
}

impl QueryRate {
    /// Creates the rate of a process that has received no query.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a query.
    pub fn record(&mut self, now: Duration) {
        self.queried_at.push_back(now);
        if self.queried_at.len() > QUERIES_MAX {
            self.queried_at.pop_front();
        }
    }

    /// Returns whether queries come so often that a connection that carries one of their requests each time
    /// rarely stays idle for `idle_timeout`.
    pub fn keeps_connections_warm(&mut self, idle_timeout: Duration, now: Duration) -> bool {
        self.rate_per_s(now) * idle_timeout.as_secs_f64() >= QUERIES_PER_IDLE_TIMEOUT_MIN
    }

    /// Returns the number of queries per second, over the whole window: a process that has just started needs some
    /// queries before its connections are warm.
    fn rate_per_s(&mut self, now: Duration) -> f64 {
        while self.queried_at.front().is_some_and(|at| *at + WINDOW < now) {
            self.queried_at.pop_front();
        }
        self.queried_at.len() as f64 / WINDOW.as_secs_f64()
    }
}

//! Estimates from the timeouts of recent requests how long a caller has already waited.

use std::time::Duration;

/// Number of recent requests that the estimate covers.
const RECENT_TIMEOUTS_MAX: usize = 32;
/// Quantile of the recent timeouts that counts as typical: up to a quarter of the requests may come
/// from callers with longer timeouts, and up to three quarters may be retries of callers.
const TYPICAL_QUANTILE: f64 = 0.75;

/// Estimates how long a caller has already waited, from the timeouts that callers stated in recent requests.
///
/// A caller that retries after a refusal states only the rest of its timeout, so the difference to
/// the typical timeout is the time that it has already waited.
#[derive(Clone, Debug, Default)]
pub struct WaitTimeEstimator {
    recent_timeouts: Vec<Duration>,
    /// Index of the oldest timeout once `recent_timeouts` is full.
    oldest_index: usize,
}

impl WaitTimeEstimator {
    /// Creates an estimator before the first request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the timeout of a request.
    pub fn record(&mut self, timeout: Duration) {
        if self.recent_timeouts.len() < RECENT_TIMEOUTS_MAX {
            self.recent_timeouts.push(timeout);
            return;
        }
        self.recent_timeouts[self.oldest_index] = timeout;
        self.oldest_index = (self.oldest_index + 1) % RECENT_TIMEOUTS_MAX;
    }

    /// Returns how long the caller had waited before it sent a request with this timeout.
    pub fn time_waited(&self, timeout: Duration) -> Duration {
        self.typical_timeout().saturating_sub(timeout)
    }

    fn typical_timeout(&self) -> Duration {
        let mut sorted = self.recent_timeouts.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * TYPICAL_QUANTILE) as usize;
        sorted.get(index).copied().unwrap_or_default()
    }
}

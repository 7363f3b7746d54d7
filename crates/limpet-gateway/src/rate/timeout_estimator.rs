//! Estimates how long a caller has waited from the timeouts of recent requests.

use std::time::Duration;

/// Recent requests that the estimate covers.
const SAMPLES_MAX: usize = 32;
/// Quantile of the recent timeouts that counts as typical: up to a quarter of the requests may come
/// from callers with longer timeouts, and up to three quarters may be retries of callers.
const TYPICAL_QUANTILE: f64 = 0.75;

/// Timeouts that callers stated in the latest requests.
///
/// A caller that retries after a refusal states only the rest of its timeout, so the difference to
/// the typical timeout is the time that it has already waited.
#[derive(Clone, Debug, Default)]
pub struct TimeoutEstimator {
    samples: Vec<Duration>,
    /// Index of the oldest sample once `samples` is full.
    oldest: usize,
}

impl TimeoutEstimator {
    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the timeout of a request.
    pub fn record(&mut self, timeout: Duration) {
        if self.samples.len() < SAMPLES_MAX {
            self.samples.push(timeout);
            return;
        }
        self.samples[self.oldest] = timeout;
        self.oldest = (self.oldest + 1) % SAMPLES_MAX;
    }

    /// Returns how long the caller had waited before it sent a request with this timeout.
    pub fn time_waited(&self, timeout: Duration) -> Duration {
        self.typical_timeout().saturating_sub(timeout)
    }

    fn typical_timeout(&self) -> Duration {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * TYPICAL_QUANTILE) as usize;
        sorted.get(rank).copied().unwrap_or_default()
    }
}

//! Mean number of requests in flight.

use std::time::Duration;

use super::TARGET_REQUESTS_TIME;

/// Number of requests in flight and its mean over [`TARGET_REQUESTS_TIME`], whose past weighs less the older it is.
///
/// The mean divided by the rate of the requests is the time that a request takes. It includes those that have not
/// ended, so a target that replies late shows before it replies.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanInFlight {
    count: u32,
    mean: f64,
    updated_at: Duration,
}

impl MeanInFlight {
    /// Creates the state without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that is sent; [`MeanInFlight::record_end`] must follow.
    pub fn record_send(&mut self, now: Duration) {
        self.update(now);
        self.count += 1;
    }

    /// Records that a request ended.
    pub fn record_end(&mut self, now: Duration) {
        self.update(now);
        self.count = self.count.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean number of requests in flight.
    pub fn mean(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let count = f64::from(self.count);
        count + (self.mean - count) * (-age_s / TARGET_REQUESTS_TIME.as_secs_f64()).exp()
    }

    fn update(&mut self, now: Duration) {
        self.mean = self.mean(now);
        self.updated_at = self.updated_at.max(now);
    }
}

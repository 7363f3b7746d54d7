//! Rate limit for requests to a cold target, one that has not warmed up after its start.

use std::time::Duration;

/// Limits the rate of this process's requests to a target while the target is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    cold_until: Duration,
    /// Time of the latest request while the target was cold.
    sent_at: Option<Duration>,
}

impl ColdRateLimiter {
    /// Creates the limiter of a warm target.
    pub const fn new() -> Self {
        Self {
            cold_until: Duration::ZERO,
            sent_at: None,
        }
    }

    /// Sets how much longer the target stays cold.
    pub fn set_cold(&mut self, remaining: Duration, now: Duration) {
        self.cold_until = now.saturating_add(remaining);
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether another request may be sent to the cold target now.
    ///
    /// `send_interval` is the time between two requests of this process; `None` if it may send none.
    pub fn allows_request(&self, send_interval: Option<Duration>, now: Duration) -> bool {
        let Some(send_interval) = send_interval else {
            return false;
        };
        self.sent_at
            .is_none_or(|sent_at| now >= sent_at.saturating_add(send_interval))
    }

    /// Returns the time from which on another request may be sent to the cold target, at the latest when it is warm.
    pub fn next_request_at(&self, send_interval: Option<Duration>) -> Duration {
        let next = send_interval
            .and_then(|send_interval| Some(self.sent_at?.saturating_add(send_interval)));
        next.unwrap_or(self.cold_until).min(self.cold_until)
    }

    /// Records a request that is sent while the target is cold.
    pub fn record_request(&mut self, now: Duration) {
        if self.is_cold(now) {
            self.sent_at = Some(now);
        }
    }
}

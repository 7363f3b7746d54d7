//! What a cold target gets from this process.

use std::time::Duration;

use rand::Rng;

/// Part of the rate that a cold target states which is used: processes whose turns fall into the same
/// second must not pass the rate together.
const USED_PART: f64 = 0.6;

/// Limits the requests to a target while it is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    cold_until: Duration,
    tokens: f64,
    filled_at: Duration,
}

impl ColdGate {
    /// Notes for how long the target stays cold from now on.
    pub fn set_cold(&mut self, left: Duration, now: Duration) {
        // Processes start at different points of their turns, so that these do not coincide.
        if !self.is_cold(now) {
            self.tokens = rand::rng().random_range(0.0..1.0);
            self.filled_at = now;
        }
        self.cold_until = now + left;
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether one more request may be sent; `rate_per_s` is this process's part, 0 if no
    /// limit is stated.
    pub fn has_room(&mut self, rate_per_s: f64, now: Duration) -> bool {
        if !self.is_cold(now) || rate_per_s <= 0.0 {
            return true;
        }
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate_per_s * USED_PART).min(1.0);
        self.tokens >= 1.0
    }

    /// Notes a request that is sent.
    pub fn spend(&mut self, rate_per_s: f64, now: Duration) {
        if self.is_cold(now) && rate_per_s > 0.0 {
            self.tokens -= 1.0;
        }
    }
}

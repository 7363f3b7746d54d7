//! Rate limit for requests to a cold target, one that has not warmed up after its start.

use std::time::Duration;

/// Fraction of the target's stated rate that is used. The rest is headroom for processes whose send times
/// coincide, which together send more than this fraction within a second.
const RATE_FRACTION: f64 = 0.5;
/// Time after which an unused send time expires if the send interval is longer than this. Otherwise many
/// processes would use the send times left over from an idle period all at once.
const SEND_WINDOW: Duration = Duration::from_millis(500);
/// Fractional part of the golden ratio; the fractional parts of its multiples are evenly distributed
/// between 0 and 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Limits the rate of this process's requests to a target while the target is cold.
#[derive(Clone, Debug)]
pub struct ColdRateLimiter {
    cold_until: Duration,
    /// Phase of the next send time within the send interval, from 0 to 1.
    phase: f64,
    /// Time from which the next request may be sent; `None` before the first one is scheduled.
    next_send_at: Option<Duration>,
}

impl ColdRateLimiter {
    /// Creates the limiter of a warm target.
    ///
    /// Processes with a different `phase`, from 0 to 1, send at different times.
    pub const fn new(phase: f64) -> Self {
        Self {
            cold_until: Duration::ZERO,
            phase,
            next_send_at: None,
        }
    }

    /// Sets how much longer the target stays cold.
    pub fn set_cold(&mut self, remaining: Duration, now: Duration) {
        if !self.is_cold(now) {
            self.next_send_at = None;
        }
        self.cold_until = now + remaining;
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether another request may be sent now.
    ///
    /// `rate_per_s` is this process's share of the target's rate; 0 means no limit.
    pub fn allows_request(&mut self, rate_per_s: f64, now: Duration) -> bool {
        if !self.is_cold(now) || rate_per_s <= 0.0 {
            return true;
        }
        let send_interval = send_interval(rate_per_s);
        let has_expired =
            |send_at: Duration| send_interval > SEND_WINDOW && now > send_at + SEND_WINDOW;
        let send_at = match self.next_send_at {
            Some(send_at) if !has_expired(send_at) => send_at.min(now + send_interval),
            Some(_) | None => {
                self.phase = (self.phase + GOLDEN_RATIO_FRACTION).fract();
                now + send_interval.mul_f64(self.phase)
            }
        };
        self.next_send_at = Some(send_at);
        now >= send_at
    }

    /// Records a request that is sent and schedules the next one.
    pub fn record_request(&mut self, rate_per_s: f64, now: Duration) {
        if self.is_cold(now) && rate_per_s > 0.0 {
            self.next_send_at = Some(now + send_interval(rate_per_s));
        }
    }
}

/// Returns the time between two requests of this process to the target.
fn send_interval(rate_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / (rate_per_s * RATE_FRACTION)).unwrap_or(Duration::MAX / 4)
}

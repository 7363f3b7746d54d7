//! What a cold target gets from this process.

use std::time::Duration;

/// Part of the rate that a cold target states which is used: processes whose turns fall into the same
/// second must not pass the rate together.
const USED_PART: f64 = 0.5;
/// Time for which a turn may be taken; many processes with turns left over from an idle time would send
/// them all at once.
const TURN_HOLD: Duration = Duration::from_millis(500);
/// Fractional part of the golden ratio, whose multiples spread evenly over 0 to 1.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// Limits the requests to a target while it is cold.
#[derive(Clone, Debug)]
pub struct ColdGate {
    cold_until: Duration,
    /// Place of the next turn within a period, in 0 to 1.
    place: f64,
    /// When the next request may be sent; `None` before it is known how often.
    turn_at: Option<Duration>,
}

impl ColdGate {
    /// Creates the gate of a warm target; processes whose `place`, in 0 to 1, differs take their turns
    /// at different times.
    pub const fn new(place: f64) -> Self {
        Self {
            cold_until: Duration::ZERO,
            place,
            turn_at: None,
        }
    }

    /// Notes for how long the target stays cold from now on.
    pub fn set_cold(&mut self, left: Duration, now: Duration) {
        if !self.is_cold(now) {
            self.turn_at = None;
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
        let period = period(rate_per_s);
        let is_over = |turn: Duration| period > TURN_HOLD && now > turn + TURN_HOLD;
        let turn = match self.turn_at {
            Some(turn) if !is_over(turn) => turn.min(now + period),
            Some(_) | None => {
                self.place = (self.place + GOLDEN).fract();
                now + period.mul_f64(self.place)
            }
        };
        self.turn_at = Some(turn);
        now >= turn
    }

    /// Notes a request that is sent.
    pub fn spend(&mut self, rate_per_s: f64, now: Duration) {
        if self.is_cold(now) && rate_per_s > 0.0 {
            self.turn_at = Some(now + period(rate_per_s));
        }
    }
}

/// Returns the time between two requests of this process.
fn period(rate_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / (rate_per_s * USED_PART)).unwrap_or(Duration::MAX / 4)
}

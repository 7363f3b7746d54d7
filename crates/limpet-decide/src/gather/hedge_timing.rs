//! Delay of a hedge, an extra attempt while another one is still in flight.

use std::time::Duration;

/// Shortest delay of a hedge.
const DELAY_MIN: Duration = Duration::from_millis(8);
/// Longest delay of a hedge, as a fraction of the latency goal.
const DELAY_GOAL_FRACTION: f64 = 0.4;
/// Longest delay of a hedge for one of the last parts, as a fraction of the latency goal.
const LAST_PARTS_DELAY_GOAL_FRACTION: f64 = 0.25;
/// Fraction of the time between the mean latency and the usual delay after which one of the last parts is hedged. Few
/// attempts are made so, and each of them alone holds an answer.
const LAST_PARTS_DELAY_FRACTION: f64 = 0.4;
/// Fraction of the parts that counts as the last ones.
const LAST_PARTS_FRACTION: f64 = 0.1;

/// What the delay of a hedge depends on.
#[derive(Clone, Copy, Debug)]
pub struct HedgeTiming {
    /// Mean latency of an attempt, `None` if it is not known yet.
    pub mean_latency: Option<Duration>,
    /// Time after which an attempt counts as a straggler, `None` if it is not known yet.
    pub straggler_delay: Option<Duration>,
    /// Latency goal of the route.
    pub goal: Duration,
}

impl HedgeTiming {
    /// Returns the time from the start of an attempt until its hedge.
    pub fn delay(&self, is_last_part: bool) -> Duration {
        let delay_max = self.goal.mul_f64(DELAY_GOAL_FRACTION);
        let usual_delay = self.straggler_delay.unwrap_or(delay_max).min(delay_max);
        let delay = match self.mean_latency.filter(|_| is_last_part) {
            Some(mean_latency) => {
                let above_mean = usual_delay.saturating_sub(mean_latency);
                let delay = mean_latency + above_mean.mul_f64(LAST_PARTS_DELAY_FRACTION);
                delay.min(self.goal.mul_f64(LAST_PARTS_DELAY_GOAL_FRACTION))
            }
            None => usual_delay,
        };
        delay.max(DELAY_MIN)
    }

    /// Returns the number of missing parts up to which they count as the last ones of `total_count`.
    ///
    /// A request to a single service has no last part: nothing shows that its attempt is slower than others.
    pub fn last_parts_max(total_count: usize) -> usize {
        match total_count {
            0 | 1 => 0,
            _ => ((total_count as f64 * LAST_PARTS_FRACTION) as usize).max(1),
        }
    }
}

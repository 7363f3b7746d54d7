//! Parts of a query, and whether to wait for the missing ones.

use std::time::Duration;

/// Smallest expected gain of value, relative to that of the answer as it is, for which an answer waits. Waiting
/// within the goal costs the caller nothing, but holds a permit and memory.
const WAIT_GAIN_MIN: f64 = 0.01;

/// Number of times for which it is checked whether an answer should be sent then.
const SEND_DELAY_STEPS: u32 = 16;

/// A part that has not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingPart {
    /// Time since the start of the latest attempt; `None` if none is in flight.
    pub waited: Option<Duration>,
    /// Whether a further attempt may still be made.
    pub may_try_again: bool,
}

/// The parts of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Number of shards.
    pub total_count: usize,
    /// Smallest number of parts that an answer needs.
    pub needed_count: usize,
    /// Number of parts that have arrived.
    pub arrived_count: usize,
    /// Number of shards whose part will not arrive.
    pub failed_count: usize,
}

impl Parts {
    /// Creates the state of a query that has just begun.
    pub fn new(total_count: usize, coverage_min: f64) -> Self {
        // The subtraction keeps a rounding error from raising the number by one.
        let needed_count = (coverage_min * total_count as f64 - 1e-9).ceil().max(1.0);
        Self {
            total_count,
            needed_count: needed_count as usize,
            arrived_count: 0,
            failed_count: 0,
        }
    }

    /// Returns whether the parts that arrived make an answer.
    pub const fn is_covered(&self) -> bool {
        self.arrived_count >= self.needed_count
    }

    /// Returns whether too many parts failed for an answer.
    pub const fn is_out_of_reach(&self) -> bool {
        self.total_count - self.failed_count < self.needed_count
    }

    /// Returns whether every part has arrived or failed.
    pub const fn is_complete(&self) -> bool {
        self.arrived_count + self.failed_count >= self.total_count
    }

    /// Returns the time after which an answer that is covered should be sent although parts are missing, at most
    /// `time_left`, if no part arrives and no attempt starts until then.
    pub fn send_delay(
        &self,
        missing: &[MissingPart],
        straggler_delay: Duration,
        time_left: Duration,
    ) -> Duration {
        let steps = (0..SEND_DELAY_STEPS).map(|step| time_left * step / SEND_DELAY_STEPS);
        let mut delays = steps.filter(|delay| {
            let missing_then = missing.iter().map(|part| MissingPart {
                waited: part.waited.map(|waited| waited + *delay),
                ..*part
            });
            self.should_send(missing_then, straggler_delay, time_left - *delay)
        });
        delays.next().unwrap_or(time_left)
    }

    /// Returns whether an answer that is covered should be sent although parts are missing, `time_left` before it has
    /// to be sent.
    ///
    /// The value of an answer is the square of the fraction of its parts. An attempt that takes longer than
    /// `straggler_delay` probably met a pause of unknown length; the longer it has waited, the longer it is expected to
    /// wait yet.
    pub fn should_send(
        &self,
        missing: impl Iterator<Item = MissingPart>,
        straggler_delay: Duration,
        time_left: Duration,
    ) -> bool {
        if !self.is_covered() {
            return false;
        }
        let expected_count: f64 = missing
            .map(|part| part.arrival_probability(straggler_delay, time_left))
            .sum();
        let arrived_count = self.arrived_count as f64;
        let value_factor = ((arrived_count + expected_count) / arrived_count).powi(2);
        value_factor - 1.0 < WAIT_GAIN_MIN
    }
}

impl MissingPart {
    /// Returns the estimated probability that the part arrives within `time_left`.
    fn arrival_probability(self, straggler_delay: Duration, time_left: Duration) -> f64 {
        let is_in_time = self.waited.is_some_and(|waited| {
            waited < straggler_delay && straggler_delay - waited <= time_left
        });
        let may_try_in_time = self.may_try_again && time_left >= straggler_delay;
        match self.waited {
            _ if time_left.is_zero() => 0.0,
            _ if is_in_time || may_try_in_time => 1.0,
            Some(waited) => time_left.as_secs_f64() / (time_left + waited).as_secs_f64(),
            None => 0.0,
        }
    }
}

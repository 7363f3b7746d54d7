//! What this process has seen of one target.

use std::time::Duration;

/// Weight of a new sample of speed and failures.
const WEIGHT: f64 = 0.2;
/// Time in which what was seen loses half of its weight, so that a target that got no requests is
/// tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Attempts without an answer in a row after which a target is left alone for a while.
const EJECT_FAILURES: u32 = 3;
/// First time for which a target is left alone; doubles with each further one.
const EJECT_TIME: Duration = Duration::from_millis(250);
/// Longest time for which a target is left alone.
const EJECT_TIME_MAX: Duration = Duration::from_secs(2);
/// Factor on the cost of a target that fails every request.
const FAILURE_COST: f64 = 20.0;

/// Speed and failures of one target.
#[derive(Clone, Debug)]
pub struct View {
    /// Latency relative to the mean of the route.
    slowness: f64,
    failures: f64,
    seen_at: Duration,
    failures_in_row: u32,
    ejected_until: Duration,
}

impl Default for View {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            seen_at: Duration::ZERO,
            failures_in_row: 0,
            ejected_until: Duration::ZERO,
        }
    }
}

impl View {
    /// Notes a reply that came after `latency`, on a route whose attempts take `mean`.
    pub fn note_success(&mut self, latency: Duration, mean: Option<Duration>, now: Duration) {
        self.decay(now);
        self.failures_in_row = 0;
        self.ejected_until = Duration::ZERO;
        self.failures *= 1.0 - WEIGHT;
        self.note_slowness(latency, mean);
    }

    /// Notes that no reply came for `latency`, without a failure so far.
    pub fn note_straggler(&mut self, latency: Duration, mean: Option<Duration>, now: Duration) {
        self.decay(now);
        self.note_slowness(latency, mean);
    }

    /// Notes a failed attempt of a target that answers.
    pub fn note_failure(&mut self, now: Duration) {
        self.decay(now);
        self.failures += WEIGHT * (1.0 - self.failures);
    }

    /// Notes that the target did not answer at all.
    pub fn note_silence(&mut self, now: Duration) {
        self.note_failure(now);
        self.failures_in_row += 1;
        if self.failures_in_row >= EJECT_FAILURES {
            let doublings = (self.failures_in_row - EJECT_FAILURES).min(8);
            let time = EJECT_TIME
                .saturating_mul(1 << doublings)
                .min(EJECT_TIME_MAX);
            self.ejected_until = now + time;
        }
    }

    /// Returns whether the target is left alone.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of a request relative to a sound target of mean speed.
    pub fn cost(&self, now: Duration) -> f64 {
        let weight = self.weight(now);
        let slowness = 1.0 + (self.slowness - 1.0) * weight;
        slowness * (1.0 + FAILURE_COST * self.failures * weight)
    }

    fn note_slowness(&mut self, latency: Duration, mean: Option<Duration>) {
        let Some(mean) = mean.filter(|mean| !mean.is_zero()) else {
            return;
        };
        let sample = latency.as_secs_f64() / mean.as_secs_f64();
        self.slowness += WEIGHT * (sample - self.slowness);
    }

    fn weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.seen_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Lets what was seen fade towards a sound target of mean speed.
    fn decay(&mut self, now: Duration) {
        let weight = self.weight(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * weight;
        self.failures *= weight;
        self.seen_at = now;
    }
}

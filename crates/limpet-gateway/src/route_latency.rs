//! Latency statistics of the successful attempts of one route.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Number of samples from which on the averages are used.
const SAMPLES_MIN: u32 = 20;
/// An attempt counts as a straggler after the mean plus this many mean deviations; with usual service times
/// about one attempt in twenty takes longer.
const STRAGGLER_DEVIATIONS: f64 = 2.5;
/// Samples are capped at this multiple of the mean, so that pauses of targets do not lengthen the delay after
/// which such a pause is detected.
const SAMPLE_MAX_MEAN_FACTOR: f64 = 4.0;

/// Exponential moving averages of the latency and of its absolute deviation.
#[derive(Clone, Debug, Default)]
pub struct RouteLatency {
    sample_count: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl RouteLatency {
    /// Records the latency of a successful attempt.
    pub fn record(&mut self, latency: Duration) {
        let sample_s = latency.as_secs_f64();
        self.sample_count = self.sample_count.saturating_add(1);
        if self.sample_count == 1 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        let sample_s = sample_s.min(self.mean_s * SAMPLE_MAX_MEAN_FACTOR);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.sample_count));
        self.deviation_s += weight * ((sample_s - self.mean_s).abs() - self.deviation_s);
        self.mean_s += weight * (sample_s - self.mean_s);
    }

    /// Returns the mean latency, or `None` before there are enough samples.
    pub fn mean(&self) -> Option<Duration> {
        (self.sample_count >= SAMPLES_MIN).then(|| Duration::from_secs_f64(self.mean_s))
    }

    /// Returns the time after which an attempt counts as a straggler, or `None` before there are enough
    /// samples.
    pub fn straggler_delay(&self) -> Option<Duration> {
        let delay_s = self.mean_s + STRAGGLER_DEVIATIONS * self.deviation_s;
        (self.sample_count >= SAMPLES_MIN).then(|| Duration::from_secs_f64(delay_s))
    }
}

//! Latency of the attempts of one route.

use std::time::Duration;

/// Weight of a new sample.
const WEIGHT: f64 = 0.02;
/// Samples before the estimate is used.
const SAMPLES_MIN: u32 = 20;
/// Mean deviations above the mean after which an attempt counts as a straggler; with the spread of
/// ordinary service times about one attempt in twenty is later.
const DEVIATIONS: f64 = 2.5;
/// Samples are cut off at this multiple of the mean, so that pauses of targets do not stretch the
/// delay after which they are noticed.
const OUTLIER: f64 = 4.0;

/// Smoothed mean and deviation.
#[derive(Clone, Debug, Default)]
pub struct RouteLatency {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl RouteLatency {
    /// Notes the latency of an attempt.
    pub fn record(&mut self, latency: Duration) {
        let sample_s = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        let sample_s = sample_s.min(self.mean_s * OUTLIER);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation_s += weight * ((sample_s - self.mean_s).abs() - self.deviation_s);
        self.mean_s += weight * (sample_s - self.mean_s);
    }

    /// Returns the mean, `None` before enough samples.
    pub fn mean(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| Duration::from_secs_f64(self.mean_s))
    }

    /// Returns the time after which an attempt counts as a straggler.
    pub fn straggler_after(&self) -> Option<Duration> {
        let delay_s = self.mean_s + DEVIATIONS * self.deviation_s;
        (self.samples >= SAMPLES_MIN).then(|| Duration::from_secs_f64(delay_s))
    }
}

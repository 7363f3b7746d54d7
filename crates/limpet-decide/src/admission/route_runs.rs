//! Run times of the queries of one route.

use std::time::Duration;

/// Weight of a new run time in the smoothed one: about five queries have most of the weight.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a new run time in the baseline if it is shorter than the baseline.
const BASELINE_FALL_WEIGHT: f64 = 0.05;
/// Weight of a new run time in the baseline if it is longer. It is smaller, because the targets may be loaded by
/// other processes while this one runs few queries.
const BASELINE_RISE_WEIGHT: f64 = 0.01;
/// Number of run times from which on the baseline is used. A process that starts in an overload measures a few slow
/// ones before its limit is reached.
const BASELINE_SAMPLES_MIN: u32 = 20;

/// Smoothed run time of a route, and the baseline that it has while few queries run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRuns {
    /// Latency goal of the route.
    pub(super) goal: Duration,
    sample_count: u32,
    mean_s: f64,
    deviation_s: f64,
    baseline_sample_count: u32,
    baseline_s: f64,
    updated_at: Duration,
}

impl RouteRuns {
    /// Records a run time; `is_low_concurrency` tells that few queries ran beside it.
    pub fn record(&mut self, run_time: Duration, is_low_concurrency: bool, now: Duration) {
        let sample_s = run_time.as_secs_f64();
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.sample_count));
        if self.sample_count > 1 {
            self.deviation_s += weight * ((sample_s - self.mean_s).abs() - self.deviation_s);
        }
        self.mean_s += weight * (sample_s - self.mean_s);
        self.updated_at = now;
        if is_low_concurrency {
            self.baseline_sample_count = self.baseline_sample_count.saturating_add(1);
            let weight = match sample_s < self.baseline_s {
                true => BASELINE_FALL_WEIGHT,
                false => BASELINE_RISE_WEIGHT,
            };
            let weight = weight.max(1.0 / f64::from(self.baseline_sample_count));
            self.baseline_s += weight * (sample_s - self.baseline_s);
        }
    }

    /// Returns the smoothed run time; zero before the first query ended.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the smoothed run time with a number of mean deviations added; zero before the first query ended.
    pub fn with_deviations(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.mean_s + deviations * self.deviation_s)
    }

    /// Returns the run time while few queries run; zero if that is not known.
    pub fn baseline(&self) -> Duration {
        match self.baseline_sample_count >= BASELINE_SAMPLES_MIN {
            true => Duration::from_secs_f64(self.baseline_s),
            false => Duration::ZERO,
        }
    }

    /// Returns when the last query ended.
    pub const fn updated_at(&self) -> Duration {
        self.updated_at
    }
}

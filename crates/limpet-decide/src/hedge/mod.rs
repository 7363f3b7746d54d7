//! When a second attempt is worth its load.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Hedges per first attempt.
pub const HEDGE_BUDGET_RATIO: f64 = 0.04;
/// Quantile of the latency after which an attempt is hedged.
///
/// It must leave fewer attempts than [`HEDGE_BUDGET_RATIO`]: after the p95, 5% of the attempts would ask for
/// a hedge, the budget would run out and real stragglers would wait behind ordinary ones.
pub const HEDGE_QUANTILE: f64 = 0.97;
/// Samples before the first hedge; fewer give no usable quantile.
pub const SAMPLES_MIN: u64 = 200;
/// Samples after which the counts are halved, so that the histogram follows the service.
const DECAY_SAMPLES: u64 = 20_000;
/// Hedges that may be saved up; more would allow a burst when the whole service turns slow.
const SAVED_HEDGES_MAX: f64 = 32.0;
/// Samples between two computations of the delay.
const REFRESH_SAMPLES: u64 = 100;
/// Longest latency that the histogram distinguishes.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Hedging state of one service.
#[derive(Debug)]
pub struct HedgePolicy {
    histogram: Option<Histogram<u64>>,
    saved_hedges: f64,
    samples_since_refresh: u64,
    delay: Option<Duration>,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl HedgePolicy {
    /// Creates the state of a service without samples.
    pub fn new() -> Self {
        Self {
            // The bounds are constants that the crate accepts; without a histogram nothing is hedged.
            histogram: Histogram::new_with_bounds(1, LATENCY_MAX_US, 2).ok(),
            saved_hedges: 0.0,
            samples_since_refresh: 0,
            delay: None,
        }
    }

    /// Notes a first attempt, which earns a part of a hedge.
    pub fn record_first_attempt(&mut self) {
        self.saved_hedges = (self.saved_hedges + HEDGE_BUDGET_RATIO).min(SAVED_HEDGES_MAX);
    }

    /// Records the latency of an attempt; for a cancelled one the time until then.
    pub fn record_latency(&mut self, latency: Duration) {
        let Some(histogram) = &mut self.histogram else {
            return;
        };
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(latency_us.max(1));
        self.samples_since_refresh += 1;
        if histogram.len() >= DECAY_SAMPLES {
            let mut halved = histogram.clone();
            halved.clear();
            for step in histogram.iter_recorded() {
                let count = step.count_at_value() / 2;
                halved.saturating_record_n(step.value_iterated_to(), count);
            }
            *histogram = halved;
        }
        let is_due = self.samples_since_refresh >= REFRESH_SAMPLES || self.delay.is_none();
        if histogram.len() >= SAMPLES_MIN && is_due {
            self.samples_since_refresh = 0;
            let delay_us = histogram.value_at_quantile(HEDGE_QUANTILE);
            self.delay = Some(Duration::from_micros(delay_us));
        }
    }

    /// Returns the time after which an attempt may be hedged; `None` before enough samples.
    pub const fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Spends one hedge; false if the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        if self.delay.is_none() || self.saved_hedges < 1.0 {
            return false;
        }
        self.saved_hedges -= 1.0;
        true
    }
}

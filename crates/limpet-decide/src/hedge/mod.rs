//! Decides when a second attempt is sent before the first one has ended (hedging).

use std::time::Duration;

use hdrhistogram::Histogram;

/// Hedges allowed per first attempt.
pub const HEDGE_BUDGET_RATIO: f64 = 0.04;
/// Latency quantile after which an attempt is hedged.
///
/// The share of slower attempts must stay below [`HEDGE_BUDGET_RATIO`]. At the p95, 5% of the
/// attempts would ask for a hedge and use up the budget, so that real stragglers would get none.
pub const HEDGE_QUANTILE: f64 = 0.97;
/// Number of latency samples needed before the first hedge; fewer give no usable quantile.
pub const SAMPLES_MIN: u64 = 200;
/// Number of samples at which the counts of the histogram are halved, so that the histogram follows
/// changes of the latency.
const DECAY_SAMPLES: u64 = 20_000;
/// Largest number of hedges that the budget holds; more would allow a burst of hedges when the whole service
/// gets slow.
const HEDGE_TOKENS_MAX: f64 = 32.0;
/// Number of samples between two updates of the hedge delay.
const DELAY_REFRESH_SAMPLES: u64 = 100;
/// Highest latency that the histogram tracks.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Hedge delay and hedge budget of one service.
///
/// The budget is a token bucket that first attempts fill.
#[derive(Debug)]
pub struct HedgePolicy {
    histogram: Option<Histogram<u64>>,
    /// Number of hedges that the budget allows now, with the fraction added so far.
    hedge_tokens: f64,
    /// Number of samples since `delay` was updated.
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
            // The constant bounds are valid for `hdrhistogram`; without a histogram there are no
            // hedges.
            histogram: Histogram::new_with_bounds(1, LATENCY_MAX_US, 2).ok(),
            hedge_tokens: 0.0,
            samples_since_refresh: 0,
            delay: None,
        }
    }

    /// Records a first attempt, which adds a fraction of a hedge to the budget.
    pub fn record_first_attempt(&mut self) {
        self.hedge_tokens = (self.hedge_tokens + HEDGE_BUDGET_RATIO).min(HEDGE_TOKENS_MAX);
    }

    /// Records the latency of an attempt, or for a cancelled attempt the time until it was cancelled, and
    /// updates the hedge delay when enough samples have been recorded.
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
            for bucket in histogram.iter_recorded() {
                let count = bucket.count_at_value() / 2;
                halved.saturating_record_n(bucket.value_iterated_to(), count);
            }
            *histogram = halved;
        }
        let is_due = self.samples_since_refresh >= DELAY_REFRESH_SAMPLES || self.delay.is_none();
        if histogram.len() >= SAMPLES_MIN && is_due {
            self.samples_since_refresh = 0;
            let delay_us = histogram.value_at_quantile(HEDGE_QUANTILE);
            self.delay = Some(Duration::from_micros(delay_us));
        }
    }

    /// Returns the time since the start of an attempt after which the attempt may be hedged; `None` before
    /// enough samples.
    pub const fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Spends one hedge; returns `false` if there are too few samples or the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        if self.delay.is_none() || self.hedge_tokens < 1.0 {
            return false;
        }
        self.hedge_tokens -= 1.0;
        true
    }
}

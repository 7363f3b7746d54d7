//! Health of one target, as this process observes it.

use std::time::Duration;

/// Weight of a new sample in the moving averages of relative latency and failure rate.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of past observations, so that a target without requests is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Number of attempts without a reply since the last success after which a target is ejected: no requests are
/// sent to it for a while if its service has another target.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; doubled by each further attempt without a reply.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(250);
/// Longest duration of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(2);
/// Increase of the cost of a target that fails every request, relative to a healthy one.
const FAILURE_COST_FACTOR: f64 = 20.0;

/// Moving averages of latency and failure rate of one target, and its ejection.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Moving average of the latency of each attempt, relative to the mean latency of its route.
    relative_latency: f64,
    /// Share of failed attempts, from 0 to 1, which decays while there are none.
    failure_rate: f64,
    updated_at: Duration,
    /// Number of attempts without a reply since the last success.
    unanswered_count: u32,
    ejected_until: Duration,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            relative_latency: 1.0,
            failure_rate: 0.0,
            updated_at: Duration::ZERO,
            unanswered_count: 0,
            ejected_until: Duration::ZERO,
        }
    }
}

impl TargetHealth {
    /// Records a reply after `latency`, on a route with mean latency `mean_latency`, and ends an ejection; returns
    /// whether the target had been ejected since its last reply.
    pub fn record_success(
        &mut self,
        latency: Duration,
        mean_latency: Option<Duration>,
        now: Duration,
    ) -> bool {
        self.decay(now);
        let was_ejected = self.unanswered_count >= EJECTION_THRESHOLD;
        self.unanswered_count = 0;
        self.ejected_until = Duration::ZERO;
        self.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        self.update_relative_latency(latency, mean_latency);
        was_ejected
    }

    /// Records an attempt that is still without a reply after `time_waited`, as if its latency were that
    /// time.
    pub fn record_straggler(
        &mut self,
        time_waited: Duration,
        mean_latency: Option<Duration>,
        now: Duration,
    ) {
        self.decay(now);
        self.update_relative_latency(time_waited, mean_latency);
    }

    /// Records a failed attempt in the failure rate; does not count it towards an ejection, unlike
    /// [`TargetHealth::record_no_reply`].
    pub fn record_failure(&mut self, now: Duration) {
        self.decay(now);
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records an attempt that got no reply; ejects the target after several without a success in between.
    pub fn record_no_reply(&mut self, now: Duration) {
        self.record_failure(now);
        self.unanswered_count += 1;
        if self.unanswered_count >= EJECTION_THRESHOLD {
            let doubling_count = (self.unanswered_count - EJECTION_THRESHOLD).min(8);
            let ejection_time = EJECTION_TIME_MIN
                .saturating_mul(1 << doubling_count)
                .min(EJECTION_TIME_MAX);
            self.ejected_until = now + ejection_time;
        }
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of a request to the target; 1 for a healthy target of mean latency.
    ///
    /// `reported_rejected_share` is the share of rejections that other processes report; it counts like own failures.
    pub fn cost(&self, reported_rejected_share: f64, now: Duration) -> f64 {
        let decay_factor = self.decay_factor(now);
        let relative_latency = 1.0 + (self.relative_latency - 1.0) * decay_factor;
        let failure_rate = (self.failure_rate * decay_factor).max(reported_rejected_share);
        relative_latency * (1.0 + FAILURE_COST_FACTOR * failure_rate)
    }

    /// Adds the latency of an attempt to the moving average; without a mean latency there is nothing to
    /// compare.
    fn update_relative_latency(&mut self, latency: Duration, mean_latency: Option<Duration>) {
        let Some(mean_latency) = mean_latency.filter(|mean| !mean.is_zero()) else {
            return;
        };
        let sample = latency.as_secs_f64() / mean_latency.as_secs_f64();
        self.relative_latency += SAMPLE_WEIGHT * (sample - self.relative_latency);
    }

    /// Returns the factor from 0 to 1 by which the averages have decayed since their last update.
    fn decay_factor(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        0.5_f64.powf(age_s / HALF_LIFE.as_secs_f64())
    }

    /// Decays the averages towards those of a healthy target of mean latency.
    fn decay(&mut self, now: Duration) {
        let decay_factor = self.decay_factor(now);
        self.relative_latency = 1.0 + (self.relative_latency - 1.0) * decay_factor;
        self.failure_rate *= decay_factor;
        self.updated_at = now;
    }
}

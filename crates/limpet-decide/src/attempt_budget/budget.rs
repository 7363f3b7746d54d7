//! Budget of one process for the extra attempts at one service.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::SlackShare;

/// Number of time intervals, each with a bucket of counts, into which the sliding window is divided.
const BUCKET_COUNT: u32 = 20;
/// Fraction of the allowed extra attempts that is used; the rest is headroom, because the windows of the processes
/// do not coincide and their reports are late.
const USED_FRACTION: f64 = 0.8;
/// Fraction of the allowed extra attempts that hedges may use. With 0.5, 310 of 2559 answers of a fleet of 65 processes
/// lacked a part, with 0.9 only 213; under overload, both served as many queries.
const HEDGE_FRACTION: f64 = 0.8;
/// Fraction of the allowed extra attempts up to which hedges are sent before the usual delay. Without it, they used up
/// what hedges may use, and three of four parts that an answer lacked had not been hedged at all.
const EARLY_HEDGE_FRACTION: f64 = 0.2;
/// Fraction of a share in the slack by use that accrues in one window. What accrued before a window may be spent in
/// it, beside what accrues within it, so a load surge that moves between processes could use the slack twice.
const ACCRUED_FRACTION: f64 = 0.5;
/// Longest time without a look at the share for which the slack accrues.
const ACCRUAL_GAP_MAX: Duration = Duration::from_secs(2);

/// Resolution of the timers that wait for a change of the budget.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Limits of the extra attempts at one service over all processes.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed beyond the ratio, in each window and over all processes.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Kind of an attempt beyond the first of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// An attempt while another one is in flight that does not take unusually long.
    EarlyHedge,
    /// An attempt while another one is still in flight after the usual time.
    Hedge,
    /// An attempt after another one failed or was rejected.
    Retry,
}

/// Counts for one of the time intervals of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the interval, counted from the start of the process.
    index: u128,
    /// Number of requests that started in the interval.
    request_count: u32,
    /// Number of retries that were spent in the interval.
    retry_count: u32,
    /// Number of hedges that were spent in the interval.
    hedge_count: u32,
    /// Slack by use that accrued in the interval, in extra attempts.
    accrued_slack: f64,
}

/// Requests and extra attempts of one process at one service within the window.
#[derive(Debug)]
pub struct AttemptBudget {
    limits: RetryLimits,
    buckets: VecDeque<Bucket>,
    share: SlackShare,
    share_set_at: Option<Duration>,
}

impl AttemptBudget {
    /// Creates the budget of a process that has just started: it has its equal share of the slack, and no slack by
    /// use has accrued.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
            share: SlackShare::default(),
            share_set_at: None,
        }
    }

    /// Sets the current share in the slack; accrues slack by use for the time since the last call, by the smaller of
    /// both shares.
    pub fn set_share(&mut self, share: SlackShare, now: Duration) {
        let elapsed = match self.share_set_at {
            Some(share_set_at) => now.saturating_sub(share_set_at).min(ACCRUAL_GAP_MAX),
            None => Duration::ZERO,
        };
        let accrual_per_s = self.accrual_per_s(self.share.by_use.min(share.by_use));
        self.current_bucket(now).accrued_slack += accrual_per_s * elapsed.as_secs_f64();
        self.share = share;
        self.share_set_at = Some(now);
    }

    /// Returns when the share was last set.
    pub const fn share_set_at(&self) -> Option<Duration> {
        self.share_set_at
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).request_count += 1;
    }

    /// Spends one extra attempt if the counts within the window allow it; returns whether it was spent.
    pub fn try_spend(&mut self, kind: ExtraAttempt, now: Duration) -> bool {
        let allowed_count = self.allowed_count(now);
        let retry_count: u32 = self.buckets.iter().map(|bucket| bucket.retry_count).sum();
        let hedge_count: u32 = self.buckets.iter().map(|bucket| bucket.hedge_count).sum();
        let allowed_hedge_count = match kind {
            ExtraAttempt::EarlyHedge => allowed_count * EARLY_HEDGE_FRACTION,
            ExtraAttempt::Hedge => allowed_count * HEDGE_FRACTION,
            ExtraAttempt::Retry => f64::INFINITY,
        };
        let is_allowed = f64::from(retry_count + hedge_count) + 1.0 <= allowed_count
            && f64::from(hedge_count) + 1.0 <= allowed_hedge_count;
        if is_allowed {
            let bucket = self.current_bucket(now);
            match kind {
                ExtraAttempt::EarlyHedge | ExtraAttempt::Hedge => bucket.hedge_count += 1,
                ExtraAttempt::Retry => bucket.retry_count += 1,
            }
        }
        is_allowed
    }

    /// Takes back the extra attempt that was just spent, because it was not sent.
    pub fn refund(&mut self, kind: ExtraAttempt, now: Duration) {
        let bucket = self.current_bucket(now);
        let count = match kind {
            ExtraAttempt::EarlyHedge | ExtraAttempt::Hedge => &mut bucket.hedge_count,
            ExtraAttempt::Retry => &mut bucket.retry_count,
        };
        *count = count.saturating_sub(1);
    }

    /// Returns the earliest time at which a refused retry may be allowed without a further request: when the oldest
    /// counts leave the window, or when enough slack has accrued.
    pub fn next_change(&mut self, now: Duration) -> Duration {
        let bucket_length = self.bucket_length();
        let boundary_ns =
            (now.as_nanos() / bucket_length.as_nanos() + 1) * bucket_length.as_nanos();
        let boundary = Duration::from_nanos(u64::try_from(boundary_ns).unwrap_or(u64::MAX));
        let allowed_count = self.allowed_count(now);
        let spent = self.buckets.iter();
        let spent_count: u32 = spent
            .map(|bucket| bucket.retry_count + bucket.hedge_count)
            .sum();
        let lacking = f64::from(spent_count) + 1.0 - allowed_count;
        let accrual_per_s = self.accrual_per_s(self.share.by_use);
        let accrual_s = lacking.max(0.0) / accrual_per_s;
        match accrual_per_s > 0.0 && accrual_s < bucket_length.as_secs_f64() {
            // Rounded up, so that enough has accrued then.
            true => boundary.min(now + Duration::from_secs_f64(accrual_s) + TIMER_RESOLUTION),
            false => boundary,
        }
    }

    /// Returns how many extra attempts are allowed within the window.
    fn allowed_count(&mut self, now: Duration) -> f64 {
        self.current_bucket(now);
        let request_count: u32 = self.buckets.iter().map(|bucket| bucket.request_count).sum();
        let accrued_slack: f64 = self.buckets.iter().map(|bucket| bucket.accrued_slack).sum();
        let equal_slack = self.limits.slack * self.share.equal;
        (f64::from(request_count) * self.limits.ratio + equal_slack) * USED_FRACTION + accrued_slack
    }

    /// Returns the slack by use that a share accrues, in extra attempts per second.
    fn accrual_per_s(&self, by_use: f64) -> f64 {
        let per_window = self.limits.slack * by_use * ACCRUED_FRACTION * USED_FRACTION;
        per_window / self.limits.window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the length of the interval of a bucket.
    fn bucket_length(&self) -> Duration {
        (self.limits.window / BUCKET_COUNT).max(Duration::from_millis(1))
    }

    /// Returns the bucket of the interval that contains `now`, after adding it if it is missing; removes the
    /// buckets whose intervals have left the window.
    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = now.as_nanos() / self.bucket_length().as_nanos();
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + u128::from(BUCKET_COUNT) < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index != index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last_index = self.buckets.len() - 1;
        &mut self.buckets[last_index]
    }
}

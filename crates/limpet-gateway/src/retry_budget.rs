//! Retry budget of a service over a sliding window.

use std::{
    collections::VecDeque,
    time::Duration, //
};

/// Number of time intervals, each with a bucket of counts, into which the sliding window is divided.
const BUCKET_COUNT: u32 = 20;
/// Fraction of the allowed retries that is used; the rest is headroom, because the windows of the processes
/// do not coincide.
const USED_FRACTION: f64 = 0.8;

/// Limits of the retries to one service over all processes.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed beyond the ratio, in each window and over all processes.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Counts for one of the time intervals of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Index of the interval, counted from the start of the process.
    index: u128,
    /// Number of requests that started in the interval.
    request_count: u32,
    /// Number of retries that were spent in the interval.
    retry_count: u32,
}

/// Requests and retries of one process to one service within the window.
///
/// A retry is any further attempt of a request, including a hedge.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).request_count += 1;
    }

    /// Spends one retry if the requests and retries within the window allow it; returns whether it was spent.
    ///
    /// The slack is divided among `process_count` processes.
    pub fn try_spend(&mut self, process_count: usize, now: Duration) -> bool {
        self.current_bucket(now);
        let request_count: u32 = self.buckets.iter().map(|bucket| bucket.request_count).sum();
        let retry_count: u32 = self.buckets.iter().map(|bucket| bucket.retry_count).sum();
        let slack_share = self.limits.slack / process_count.max(1) as f64;
        let allowed_retry_count =
            (f64::from(request_count) * self.limits.ratio + slack_share) * USED_FRACTION;
        let is_allowed = f64::from(retry_count) + 1.0 <= allowed_retry_count;
        if is_allowed {
            self.current_bucket(now).retry_count += 1;
        }
        is_allowed
    }

    /// Returns the bucket of the interval that contains `now`, after adding it if it is missing; removes the
    /// buckets whose intervals have left the window.
    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let bucket_length = (self.limits.window / BUCKET_COUNT).max(Duration::from_millis(1));
        let index = now.as_nanos() / bucket_length.as_nanos();
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
                request_count: 0,
                retry_count: 0,
            });
        }
        let last_index = self.buckets.len() - 1;
        &mut self.buckets[last_index]
    }
}

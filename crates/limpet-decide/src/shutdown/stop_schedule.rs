//! Points in time of a planned stop.

use std::time::Duration;

/// Fraction of the time of a stop in which new connections are still served, because the load balancer needs two
/// failed checks to notice an unready process.
const NOTICE_FRACTION: f64 = 0.45;
/// Fraction of the time of a stop after which all connections are closed.
const CLOSE_FRACTION: f64 = 0.92;
/// Fraction of the time of a stop that is reserved before that for answering cancelled requests.
const ANSWER_FRACTION: f64 = 0.05;
/// Number of mean latencies that must be left for a request to start.
const START_MEANS: u32 = 4;

/// Schedule of a planned stop that takes a limited time. The points in time count from its begin.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::shutdown::StopSchedule;
///
/// let schedule = StopSchedule::new(Duration::from_secs(6));
/// let goal = Duration::from_millis(400);
/// assert!(schedule.may_start(Duration::from_secs(1), goal, None));
/// assert!(!schedule.may_start(Duration::from_secs(5), goal, None));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    stop_time: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that takes `stop_time` at most.
    pub const fn new(stop_time: Duration) -> Self {
        Self { stop_time }
    }

    /// Returns when idle connections close and no more are accepted.
    pub fn notice_end(&self) -> Duration {
        self.stop_time.mul_f64(NOTICE_FRACTION)
    }

    /// Returns when the requests in flight are cancelled.
    pub fn cancel_at(&self) -> Duration {
        self.stop_time.mul_f64(CLOSE_FRACTION - ANSWER_FRACTION)
    }

    /// Returns when all connections are closed.
    pub fn close_at(&self) -> Duration {
        self.stop_time.mul_f64(CLOSE_FRACTION)
    }

    /// Returns whether a request that is ready to run `elapsed` after the begin of the stop still starts: it must be
    /// expected to end before requests are cancelled, as a cancelled one may have run and must not be repeated.
    pub fn may_start(
        &self,
        elapsed: Duration,
        latency_goal: Duration,
        mean_latency: Option<Duration>,
    ) -> bool {
        let expected = mean_latency.unwrap_or_default() * START_MEANS;
        elapsed + latency_goal.max(expected) <= self.cancel_at()
    }
}

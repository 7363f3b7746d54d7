//! Load of one aggregator, as another process estimates it.

use std::time::Duration;

use crate::peer_load::ReportedGatherLoad;

/// Age at which a report has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a missing report: the process is idle, or its reports do not arrive.
const MISSING_REPORT_WEIGHT: f64 = 0.5;
/// Queries per core that a process without a stated limit is assumed to run at a time. It is below the initial limit,
/// because too high a limit hides the load of a zone whose processes do not report.
const ASSUMED_LIMIT_PER_CORE: f64 = 16.0;
/// Smallest limit that is assumed or accepted from a report.
const LIMIT_MIN: f64 = 2.0;
/// Largest limit per core that is accepted from a report, the largest that the admission control sets.
const LIMIT_PER_CORE_MAX: f64 = 128.0;
/// Time after a refusal or a late answer in which it counts towards the load.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);
/// Smallest load of an aggregator that answered after the goal: enough to use more aggregators, not enough to
/// leave its zone.
const LATE_LOAD: f64 = 0.8;
/// Fraction of the goal that a query may wait at an aggregator.
const WAIT_GOAL_FRACTION: f64 = 0.25;

/// What this process has observed of an aggregator itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnObservation {
    /// Queries of this process that the aggregator runs.
    pub in_flight: usize,
    /// Those of them that were sent after its latest report arrived.
    pub sent_since_report: usize,
    /// Time since it refused a query because it is busy.
    pub refused_for: Option<Duration>,
    /// Time since it answered after the latency goal.
    pub late_for: Option<Duration>,
}

/// Estimated load of an aggregator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregatorLoad {
    /// Queries that run or wait there.
    pub in_use: f64,
    /// Queries that may run there at a time.
    pub limit: f64,
    /// Time that a query is expected to wait there.
    pub expected_wait: Duration,
    /// How far the estimate is relied on, from 0 to 1; less the older the report is.
    pub weight: f64,
    /// Age of the report, if there is one.
    pub age: Option<Duration>,
}

impl AggregatorLoad {
    /// Estimates the load from the latest report and what this process has sent since.
    ///
    /// A stated limit counts only within the bounds that the capacity allows, so that a false one does not hide
    /// the load of other processes.
    pub fn estimate(
        reported: Option<ReportedGatherLoad>,
        own: OwnObservation,
        capacity_cores: f64,
    ) -> Self {
        let assumed_limit = (capacity_cores * ASSUMED_LIMIT_PER_CORE).max(LIMIT_MIN);
        let limit_max = (capacity_cores * LIMIT_PER_CORE_MAX).max(LIMIT_MIN);
        let (reported_in_use, limit, expected_wait, weight) = match reported {
            Some(ReportedGatherLoad { load, age }) => (
                f64::from(load.running) + f64::from(load.waiting) + own.sent_since_report as f64,
                match load.limit {
                    0 => assumed_limit,
                    limit => f64::from(limit).clamp(LIMIT_MIN, limit_max),
                },
                Duration::from_millis(load.expected_wait_ms.into()),
                0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64()),
            ),
            None => (0.0, assumed_limit, Duration::ZERO, MISSING_REPORT_WEIGHT),
        };
        let is_recent = |since: Option<Duration>| since.is_some_and(|time| time < OBSERVATION_TIME);
        let observed_load = match (is_recent(own.refused_for), is_recent(own.late_for)) {
            (true, _) => 1.0,
            (false, true) => LATE_LOAD,
            (false, false) => 0.0,
        };
        Self {
            in_use: reported_in_use
                .max(own.in_flight as f64)
                .max(observed_load * limit),
            limit,
            expected_wait,
            weight,
            age: reported.map(|reported| reported.age),
        }
    }

    /// Returns the queries that run or wait, as a multiple of those that may run at a time.
    pub fn load(&self) -> f64 {
        self.in_use / self.limit
    }

    /// Returns whether no further query can run at once.
    pub fn is_full(&self) -> bool {
        self.in_use >= self.limit
    }
}

/// Returns whether a query with this latency goal must not wait for so long.
pub(super) fn is_wait_too_long(expected_wait: Duration, goal: Duration) -> bool {
    expected_wait > goal.mul_f64(WAIT_GOAL_FRACTION)
}

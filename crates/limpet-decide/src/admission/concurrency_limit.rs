//! Adaptive limit of the queries of a group that run at a time.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::message::NameHash;

use super::{
    AdmissionLimits,
    RouteRuns, //
};

/// Factor by which the limit falls.
const DECREASE_FACTOR: f64 = 0.9;
/// Fraction of the run time at which the limit falls up to which an answer is well within the goal. Between the
/// two, the time left is needed for the wait of urgent queries that arrive together.
const INCREASE_FRACTION: f64 = 0.5;
/// Number of mean deviations by which the run time that is compared with the goal exceeds the mean. With the mean
/// alone a tenth of the urgent answers of several processes were late in the model of the tests.
const SLOW_DEVIATIONS: f64 = 2.0;
/// Multiple of its baseline that the run time of a route must exceed to lower the limit. Some routes take nearly
/// their whole goal on an idle site, because the slowest shard decides.
const DECREASE_BASELINE_FACTOR: f64 = 1.5;
/// Fraction of the run time up to which the limit may rise from which on a route is near it.
const NEAR_FRACTION: f64 = 0.5;
/// Multiple of its baseline up to which the run time of a route allows a higher limit.
const INCREASE_BASELINE_FACTOR: f64 = 1.2;
/// Fraction of the parts that no target ran above which the limit falls.
const FAILED_PARTS_FRACTION: f64 = 0.1;
/// Fraction of the attempts that targets rejected above which the limit falls. A few faulty targets that reject
/// a half of their requests stay below it.
const REJECTED_ATTEMPTS_FRACTION: f64 = 0.5;
/// Time after a fall during which the limit does not rise. Without it, the limits of several processes that share
/// targets rise and fall together.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Weight of a query in the smoothed fractions of rejections.
const REJECTION_WEIGHT: f64 = 0.1;
/// Time for which a route without queries keeps its say in a rise of the limit.
const ROUTE_ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Rise of the limit in as many queries as it allows, while the services are known to have free slots.
const FREE_SLOTS_RISE: f64 = 4.0;
/// Fraction of the limit up to which concurrency is low, so that run times belong to the baseline.
const LOW_CONCURRENCY_FRACTION: f64 = 0.25;
/// Number of routes whose run times are kept; the route without queries for the longest time is dropped.
const ROUTES_MAX: usize = 256;

/// What is known of a query that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunReport {
    /// Whether its run time says how long such queries take; not so if it failed early.
    pub has_run_time: bool,
    /// Whether it ended in time.
    pub is_in_time: bool,
    /// Whether the answer left before all parts had arrived, so that the run time was cut short by the wait.
    pub is_cut: bool,
    /// Whether the services that an answer needs have free slots, as far as this process knows; if so, its queries are
    /// not slow because many run at a time.
    pub has_free_slots: bool,
    /// Number of parts.
    pub part_count: u32,
    /// Number of parts that failed for good because targets rejected them.
    pub failed_part_count: u32,
    /// Number of attempts that ended.
    pub attempt_count: u32,
    /// Number of attempts that targets rejected.
    pub rejected_attempt_count: u32,
}

/// A query that ran, and how loaded the group was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompletedRun {
    /// Hash of the name of the route.
    pub route: NameHash,
    /// Latency goal of the route.
    pub goal: Duration,
    /// Time from the permit to the end.
    pub run_time: Duration,
    /// Time for which the query waited for its permit.
    pub waited: Duration,
    /// Number of queries that ran when it started, itself included.
    pub running_count: usize,
    /// Whether the limit was reached while it ran.
    pub is_limit_used: bool,
    /// Whether a query found no free permit a short time before it ended.
    pub is_pressed: bool,
    /// How it ended.
    pub report: RunReport,
}

/// Adaptive limit, with the run times that it depends on.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limits: AdmissionLimits,
    min: f64,
    max: f64,
    limit: f64,
    runs_by_route: HashMap<NameHash, RouteRuns>,
    /// Run times of all routes.
    all_runs: RouteRuns,
    failed_parts_fraction: f64,
    rejected_attempts_fraction: f64,
    decreased_at: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a process that has just started.
    pub fn new(limits: AdmissionLimits, capacity_cores: f64) -> Self {
        let (min, initial, max) = limits.bounds(capacity_cores);
        Self {
            limits,
            min,
            max,
            limit: initial,
            runs_by_route: HashMap::new(),
            all_runs: RouteRuns::default(),
            failed_parts_fraction: 0.0,
            rejected_attempts_fraction: 0.0,
            decreased_at: None,
        }
    }

    /// Returns the number of queries that may run at a time.
    pub const fn permit_count(&self) -> usize {
        self.limit as usize
    }

    /// Returns the rate at which queries end while the limit is reached, in queries per second; `None` before the
    /// first one ended.
    pub fn completions_per_s(&self) -> Option<f64> {
        let mean_s = self.all_runs.mean().as_secs_f64();
        (mean_s > 0.0).then(|| self.limit.floor() / mean_s)
    }

    /// Returns the smoothed run time of all routes; zero before the first query ended.
    pub fn mean_run_time(&self) -> Duration {
        self.all_runs.mean()
    }

    /// Returns the run times of a route.
    pub fn route_runs(&self, route: NameHash) -> RouteRuns {
        self.runs_by_route.get(&route).copied().unwrap_or_default()
    }

    /// Returns the run time of a route with a margin of some mean deviations.
    ///
    /// It is at most the fraction of the goal at which the limit falls, because a gather can answer with the
    /// parts that have arrived.
    pub fn needed_time(&self, route: NameHash, goal: Duration, deviations: f64) -> Duration {
        let run_time = self.route_runs(route).with_deviations(deviations);
        run_time.min(goal.mul_f64(self.limits.decrease_goal_fraction))
    }

    /// Learns from a query that ran, and adapts the limit.
    pub fn record(&mut self, run: &CompletedRun, now: Duration) {
        self.record_rejections(&run.report);
        if run.report.has_run_time {
            self.record_run_time(run, now);
        }
        let started_at = now.saturating_sub(run.run_time);
        let is_new = self.decreased_at.is_none_or(|at| started_at >= at);
        let has_rejections = self.failed_parts_fraction > FAILED_PARTS_FRACTION
            || self.rejected_attempts_fraction > REJECTED_ATTEMPTS_FRACTION;
        let runs = self.route_runs(run.route);
        // A limit that is not reached does not cause the run times, so its fall would not shorten them.
        let is_slow = run.is_pressed
            && !run.report.has_free_slots
            && run.report.has_run_time
            && runs.with_deviations(SLOW_DEVIATIONS) > self.decrease_time(run.goal)
            && runs.mean() > runs.baseline().mul_f64(DECREASE_BASELINE_FACTOR);
        if is_slow || has_rejections {
            if is_new {
                self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
                self.decreased_at = Some(now);
            }
        } else if run.is_limit_used && run.report.has_free_slots && run.report.is_in_time {
            // A query that failed or was late leaves slots free as well, but does not show that more would be in time.
            self.limit = (self.limit + FREE_SLOTS_RISE / self.limit).min(self.max);
        } else if run.is_limit_used && run.report.is_in_time && self.may_rise(run.route, now) {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Returns the smoothed run time above which a route lowers the limit.
    fn decrease_time(&self, goal: Duration) -> Duration {
        goal.mul_f64(self.limits.decrease_goal_fraction)
    }

    fn record_rejections(&mut self, report: &RunReport) {
        let fraction = |part: u32, total: u32| f64::from(part) / f64::from(total.max(1));
        let failed = fraction(report.failed_part_count, report.part_count);
        let rejected = fraction(report.rejected_attempt_count, report.attempt_count);
        self.failed_parts_fraction += REJECTION_WEIGHT * (failed - self.failed_parts_fraction);
        self.rejected_attempts_fraction +=
            REJECTION_WEIGHT * (rejected - self.rejected_attempts_fraction);
    }

    fn record_run_time(&mut self, run: &CompletedRun, now: Duration) {
        // The answer left at a fixed time after the arrival, so without the wait it would have taken that much
        // longer.
        let run_time = match run.report.is_cut {
            true => run.run_time + run.waited,
            false => run.run_time,
        };
        let low_count = (self.limit * LOW_CONCURRENCY_FRACTION).max(1.0);
        let is_low_concurrency = !run.is_pressed && run.running_count as f64 <= low_count;
        self.all_runs.record(run.run_time, is_low_concurrency, now);
        if self.runs_by_route.len() >= ROUTES_MAX && !self.runs_by_route.contains_key(&run.route) {
            let oldest = self
                .runs_by_route
                .iter()
                .min_by_key(|(_, runs)| runs.updated_at());
            if let Some(route) = oldest.map(|(route, _)| *route) {
                self.runs_by_route.remove(&route);
            }
        }
        let runs = self.runs_by_route.entry(run.route).or_default();
        runs.goal = run.goal;
        runs.record(run_time, is_low_concurrency, now);
    }

    /// Returns whether a completed query of a route may raise the limit: the queries of all active routes end well
    /// within their goals, or as fast as at low concurrency.
    ///
    /// Once a route comes near its bound, only its own queries count. Otherwise those of a more frequent route would
    /// raise the limit far beyond the bound before the run time shows it.
    fn may_rise(&self, route: NameHash, now: Duration) -> bool {
        let is_settled = self
            .decreased_at
            .is_none_or(|at| now.saturating_sub(at) >= SETTLE_TIME);
        let (mut is_any_near, mut is_route_near) = (false, false);
        for (active, runs) in &self.runs_by_route {
            if now.saturating_sub(runs.updated_at()) >= ROUTE_ACTIVE_TIME {
                continue;
            }
            let bound = self.increase_time(runs);
            if runs.mean() > bound {
                return false;
            }
            let is_near = runs.mean() > bound.mul_f64(NEAR_FRACTION);
            is_any_near |= is_near;
            is_route_near |= is_near && *active == route;
        }
        is_settled && (is_route_near || !is_any_near)
    }

    /// Returns the smoothed run time up to which a route lets the limit rise.
    fn increase_time(&self, runs: &RouteRuns) -> Duration {
        let by_goal = self.decrease_time(runs.goal).mul_f64(INCREASE_FRACTION);
        by_goal.max(runs.baseline().mul_f64(INCREASE_BASELINE_FACTOR))
    }
}

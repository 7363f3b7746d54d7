//! Load of the aggregators of one zone, and how many of them get queries.

use std::time::Duration;

use super::{
    AggregatorLoad,
    aggregator_load::is_wait_too_long, //
};

/// Time between two evaluations.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);
/// Mean load of the candidates above which more aggregators become candidates.
const WIDEN_ABOVE: f64 = 0.7;
/// Random variation of the queries in use that is allowed above that, as a multiple of the square root of their number:
/// at a third of its limit, an aggregator of half a core reports over 0.7 in every twentieth report by chance.
const VARIATION: f64 = 0.7;
/// Mean load that the added candidates should lead to.
const WIDEN_TO: f64 = 0.6;
/// Mean load of the remaining candidates up to which one leaves.
const NARROW_BELOW: f64 = 0.5;
/// Time between two steps in which candidates leave; more follow sooner, since each opens connections.
const NARROW_PERIOD: Duration = Duration::from_secs(1);
/// Time after the last added candidate until the first leaves.
const NARROW_DELAY: Duration = Duration::from_secs(2);
/// One in this many candidates leaves in a step, at least one.
const NARROW_DIVISOR: usize = 8;
/// Time without an evaluation after which the load is unknown and the primary aggregators are the candidates.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// Largest load of an aggregator that counts towards the mean, so that one false report changes it little.
const COUNTED_LOAD_MAX: f64 = 4.0;

/// Load of the aggregators of one zone, and how many of them get queries.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLoad {
    updated_at: Option<Duration>,
    /// Number of candidates: the first usable processes in the order of their rank.
    width: usize,
    changed_at: Duration,
    /// Mean load of all members of the extended set in the zone.
    pub(super) load: f64,
    /// Queries that they can run beside those that run or wait.
    pub(super) free: f64,
    /// Shortest time that a query is expected to wait at one of them.
    pub(super) expected_wait: Duration,
    /// Time of the earliest of the latest reports of those that report.
    pub(super) reported_since: Option<Duration>,
}

impl ZoneLoad {
    /// Returns the number of candidates.
    pub(super) const fn width(&self) -> usize {
        self.width
    }

    /// Returns whether a query with this latency goal would wait too long at each of the aggregators.
    pub(super) fn is_wait_too_long(&self, goal: Duration) -> bool {
        is_wait_too_long(self.expected_wait, goal)
    }

    /// Returns whether an evaluation is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.updated_at
            .is_none_or(|updated_at| now.saturating_sub(updated_at) >= UPDATE_PERIOD)
    }

    /// Evaluates the loads of the usable members of the extended set, in the order of their rank.
    pub(super) fn update(&mut self, loads: &[AggregatorLoad], primary_count: usize, now: Duration) {
        let is_known = self
            .updated_at
            .is_some_and(|updated_at| now.saturating_sub(updated_at) < FORGET_AFTER);
        self.updated_at = Some(now);
        if !is_known {
            self.width = 0;
        }
        self.width = self.width.max(primary_count);
        self.load = mean_load(loads);
        self.free = loads
            .iter()
            .map(|load| (load.limit - load.in_use).max(0.0))
            .sum();
        let waits = loads.iter().map(|load| load.expected_wait);
        self.expected_wait = waits.min().unwrap_or_default();
        let ages = loads.iter().filter_map(|load| load.age);
        self.reported_since = ages.max().map(|age| now.saturating_sub(age));
        self.update_width(loads, primary_count, now);
    }

    /// Adds candidates at once if their mean load is high, and removes a few at a time if it stays low.
    fn update_width(&mut self, loads: &[AggregatorLoad], primary_count: usize, now: Duration) {
        let candidates = &loads[..self.width.min(loads.len())];
        if self.width < loads.len() && is_load_high(candidates) {
            let is_enough = |width: &usize| mean_load(&loads[..*width]) <= WIDEN_TO;
            self.width = (self.width + 1..loads.len())
                .find(is_enough)
                .unwrap_or(loads.len());
            self.changed_at = now + NARROW_DELAY - NARROW_PERIOD;
            return;
        }
        let remaining_width = self.width - (self.width / NARROW_DIVISOR).max(1).min(self.width);
        if remaining_width < primary_count || now < self.changed_at + NARROW_PERIOD {
            return;
        }
        // What the candidates have in use goes to those that remain.
        let in_use: f64 = candidates.iter().map(counted_in_use).sum();
        let remaining = &loads[..remaining_width.min(loads.len())];
        let limit: f64 = remaining.iter().map(|load| load.limit).sum();
        if in_use <= limit * NARROW_BELOW {
            self.width = remaining_width;
            self.changed_at = now;
        }
    }
}

/// Returns whether the mean load is high, and not only by chance.
fn is_load_high(loads: &[AggregatorLoad]) -> bool {
    let limit: f64 = loads.iter().map(|load| load.limit).sum();
    let in_use: f64 = loads.iter().map(counted_in_use).sum();
    in_use - VARIATION * in_use.sqrt() > limit * WIDEN_ABOVE
}

/// Returns the queries in use as far as they count.
fn counted_in_use(load: &AggregatorLoad) -> f64 {
    load.in_use.min(load.limit * COUNTED_LOAD_MAX)
}

/// Returns the mean load, each aggregator counting by its limit.
fn mean_load(loads: &[AggregatorLoad]) -> f64 {
    let limit: f64 = loads.iter().map(|load| load.limit).sum();
    let in_use: f64 = loads.iter().map(counted_in_use).sum();
    match limit > 0.0 {
        true => in_use / limit,
        false => 0.0,
    }
}

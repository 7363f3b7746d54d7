//! Admission of the queries of one group of services.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use limpet_types::message::NameHash;

use super::{
    AdmissionLimits,
    Arrival,
    CompletedRun,
    ConcurrencyLimit,
    RunReport,
    ServicePressure,
    WaitingQueue,
    waiting_queue::Waiting, //
};
use crate::peer_load::DecayedRate;

/// Number of queries that may wait, as a multiple of those that may run.
const QUEUE_LENGTH_FACTOR: usize = 4;
/// Requests in flight per slot up to which services have free slots. Requests do not arrive evenly, so some wait well
/// before all slots are in use.
const FREE_SLOTS_PRESSURE_MAX: f64 = 0.8;
/// Smallest fraction of the permits that a priority can count on while more urgent queries wait.
const LOWER_PRIORITY_FRACTION: f64 = 0.125;
/// Fraction of the limit by which more urgent queries may exceed it while less urgent ones run, at least one query.
/// They take the permits that become free next; otherwise, with few permits, the wait for one of them alone could
/// use up a short goal.
const BORROWED_FRACTION: f64 = 0.5;
/// Number of mean deviations that a query must have left beyond the mean run time to be let into the queue. One that
/// waits needs only the mean, so small changes of the run time do not refuse it after it has waited.
const ARRIVAL_MARGIN_DEVIATIONS: f64 = 1.0;
/// Multiple of its expected wait that a query must have left to be let into the queue, for the same reason.
const ARRIVAL_WAIT_FACTOR: f64 = 1.1;
/// Time for which run times do not belong to the baseline after a query found no free permit: other processes that share
/// the targets are probably loaded too.
const PRESSED_TIME: Duration = Duration::from_secs(2);
/// Time without a completed query of a route, as a multiple of its goal, after which one is admitted even if the
/// known run time is too long.
const PROBE_GOAL_FACTOR: u32 = 2;

/// Right to run one query. It must be given back by [`AdmissionQueue::finish`] or [`AdmissionQueue::cancel`].
#[derive(Debug, PartialEq)]
#[must_use]
pub struct Permit {
    priority: u32,
    route: NameHash,
    goal: Duration,
    started_at: Duration,
    waited: Duration,
    running_count: usize,
    is_limit_used: bool,
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It could not be answered within its goal.
    Late,
    /// The queue is full and more urgent queries wait.
    QueueFull,
}

/// Refusal of a query, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Time until capacity for such a query is expected.
    pub expected_wait: Duration,
}

/// Decision on a query that arrives.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// It starts at once.
    Start(Permit),
    /// It waits; the verdict follows.
    Wait {
        /// Number of the query.
        id: u64,
        /// When [`AdmissionQueue::check`] is due for it.
        check_at: Duration,
    },
    /// It is refused.
    Refuse(Refusal),
}

/// Decision on a query that waited.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// It starts.
    Start(Permit),
    /// It is refused.
    Refuse(Refusal),
}

/// Limit and queue of one group of services.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: ConcurrencyLimit,
    waiting: WaitingQueue,
    pressure: ServicePressure,
    queue_bytes_max: usize,
    running_count: usize,
    /// Queries that run, by priority.
    running_by_priority: BTreeMap<u32, usize>,
    /// When a query last found no free permit.
    pressed_at: Option<Duration>,
    next_id: u64,
    /// Rates at which queries start, by priority.
    starts: BTreeMap<u32, DecayedRate>,
    /// Verdicts that were not taken yet.
    verdicts: Vec<(u64, Verdict)>,
}

impl RefusalReason {
    /// Returns the label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::QueueFull => "queue_full",
        }
    }
}

impl Permit {
    /// Returns the time for which the query waited.
    pub const fn waited(&self) -> Duration {
        self.waited
    }
}

impl AdmissionQueue {
    /// Creates the queue of a process that has just started; the bodies of the queries that wait may use
    /// `queue_bytes_max`.
    pub fn new(limits: AdmissionLimits, capacity_cores: f64, queue_bytes_max: usize) -> Self {
        Self {
            limit: ConcurrencyLimit::new(limits, capacity_cores),
            waiting: WaitingQueue::default(),
            pressure: ServicePressure::default(),
            queue_bytes_max,
            running_count: 0,
            running_by_priority: BTreeMap::new(),
            pressed_at: None,
            next_id: 0,
            starts: BTreeMap::new(),
            verdicts: Vec::new(),
        }
    }

    /// Returns the number of queries that run.
    pub const fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the number of queries that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the limit and the run times.
    pub const fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    /// Returns the time that a new query is expected to wait, behind all others of its priority.
    pub fn expected_wait(&self, priority: u32, now: Duration) -> Duration {
        match self.free_count() > 0 {
            true => Duration::ZERO,
            false => self.wait_behind(priority, self.waiting.count_up_to(priority), now),
        }
    }

    /// Decides on a query that arrives. [`AdmissionQueue::take_verdicts`] must follow, because it may displace
    /// others.
    pub fn arrive(&mut self, arrival: Arrival, now: Duration) -> Decision {
        if self.free_count() > 0 {
            return Decision::Start(self.start(&arrival, Duration::ZERO, now));
        }
        self.pressed_at = Some(now);
        if self.may_borrow(arrival.priority) {
            return Decision::Start(self.start(&arrival, Duration::ZERO, now));
        }
        let ahead_count = self.waiting.count_before(arrival.priority, arrival.goal_at);
        let expected_wait = self.wait_behind(arrival.priority, ahead_count, now);
        if !self.may_wait(&arrival, ahead_count, expected_wait, now) {
            return Decision::Refuse(Refusal {
                reason: RefusalReason::Late,
                expected_wait,
            });
        }
        let id = self.next_id;
        self.next_id += 1;
        self.waiting.insert(Waiting {
            id,
            arrival,
            arrived_at: now,
        });
        while let Some(excess) = self.waiting.remove_excess(
            self.limit.permit_count() * QUEUE_LENGTH_FACTOR,
            self.queue_bytes_max,
        ) {
            let refusal = self.refusal(RefusalReason::QueueFull, &excess.arrival, now);
            if excess.id == id {
                return Decision::Refuse(refusal);
            }
            self.verdicts.push((excess.id, Verdict::Refuse(refusal)));
        }
        self.refuse_late(now);
        let latest_start_at = self.latest_start_at(&arrival);
        Decision::Wait {
            id,
            check_at: latest_start_at.saturating_sub(expected_wait),
        }
    }

    /// Returns whether the end of a query with this permit may change the limit, so that the use of the slots matters.
    pub fn is_loaded(&self, permit: &Permit, now: Duration) -> bool {
        permit.is_limit_used || !self.waiting.is_empty() || self.is_pressed(now)
    }

    /// Records the requests in flight per slot of the services, none if they are not known, and returns whether the
    /// services that an answer needs have free slots.
    pub fn record_pressure(
        &mut self,
        in_flight_per_slot: &[f64],
        needed_count: usize,
        now: Duration,
    ) -> bool {
        if in_flight_per_slot.is_empty() {
            return false;
        }
        self.pressure.record(in_flight_per_slot, now);
        let pressure = self.pressure.of_needed(needed_count);
        pressure.is_some_and(|pressure| pressure < FREE_SLOTS_PRESSURE_MAX)
    }

    /// Takes back the permit of a query that ended, and learns from it.
    pub fn finish(&mut self, permit: Permit, report: &RunReport, now: Duration) {
        self.release(permit.priority);
        let run = CompletedRun {
            route: permit.route,
            goal: permit.goal,
            run_time: now.saturating_sub(permit.started_at),
            waited: permit.waited,
            running_count: permit.running_count,
            is_pressed: self.is_pressed(now),
            // A query that ends while others wait used a permit that another one needed.
            is_limit_used: permit.is_limit_used || !self.waiting.is_empty(),
            report: *report,
        };
        self.limit.record(&run, now);
        self.settle(now);
    }

    /// Takes back the permit of a query that did not run, or whose caller gave up.
    pub fn cancel(&mut self, permit: Permit, now: Duration) {
        self.release(permit.priority);
        self.settle(now);
    }

    /// Removes a query that waits, because its caller gave up.
    pub fn leave(&mut self, id: u64) {
        if let Some(waiting) = self.waiting.get(id).copied() {
            self.waiting.remove(&waiting);
        }
    }

    /// Refuses the queries that can no longer be in time. Returns when the check is due again for the query with
    /// this number; `None` if it no longer waits.
    pub fn check(&mut self, id: u64, now: Duration) -> Option<Duration> {
        self.settle(now);
        let waiting = self.waiting.get(id)?;
        let (priority, goal_at) = (waiting.arrival.priority, waiting.arrival.goal_at);
        let ahead_count = self.waiting.count_before(priority, goal_at);
        // The count includes the query itself.
        let ahead_count = ahead_count.saturating_sub(1);
        if self.is_probe(&waiting.arrival, ahead_count, now) {
            // It may wait beyond its latest start, so a check at that time would be repeated without end.
            return Some(goal_at);
        }
        let expected_wait = self.wait_behind(priority, ahead_count, now);
        let check_at = self.latest_start_at(&waiting.arrival);
        Some(check_at.saturating_sub(expected_wait).max(now))
    }

    /// Returns the verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(u64, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns whether a query found no free permit a short time ago.
    fn is_pressed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < PRESSED_TIME;
        self.pressed_at.is_some_and(is_recent)
    }

    /// Returns the number of queries that may start at once.
    const fn free_count(&self) -> usize {
        self.limit.permit_count().saturating_sub(self.running_count)
    }

    /// Returns whether a query may start beyond the limit, because it takes the next permit of a less urgent one.
    fn may_borrow(&self, priority: u32) -> bool {
        let permit_count = self.limit.permit_count();
        let borrowed_max = ((permit_count as f64 * BORROWED_FRACTION) as usize).max(1);
        let last_running = self.running_by_priority.last_key_value();
        self.running_count < permit_count + borrowed_max
            && last_running.is_some_and(|(running, _)| *running > priority)
    }

    /// Counts a query that no longer runs.
    fn release(&mut self, priority: u32) {
        self.running_count -= 1;
        if let Some(count) = self.running_by_priority.get_mut(&priority) {
            *count -= 1;
            if *count == 0 {
                self.running_by_priority.remove(&priority);
            }
        }
    }

    /// Removes the query that may start now, if there is one.
    fn pop_startable(&mut self) -> Option<Waiting> {
        if self.free_count() > 0 {
            return self.waiting.pop_next();
        }
        let first = *self.waiting.iter().next()?;
        self.may_borrow(first.arrival.priority)
            .then(|| self.waiting.remove(&first))
            .flatten()
    }

    /// Refuses the queries that can no longer be in time, and starts others while permits are free.
    fn settle(&mut self, now: Duration) {
        self.refuse_late(now);
        while let Some(waiting) = self.pop_startable() {
            let waited = now.saturating_sub(waiting.arrived_at);
            let permit = self.start(&waiting.arrival, waited, now);
            self.verdicts.push((waiting.id, Verdict::Start(permit)));
        }
    }

    /// Counts a query that starts.
    fn start(&mut self, arrival: &Arrival, waited: Duration, now: Duration) -> Permit {
        self.running_count += 1;
        self.starts
            .entry(arrival.priority)
            .or_default()
            .record(1.0, now);
        *self
            .running_by_priority
            .entry(arrival.priority)
            .or_default() += 1;
        Permit {
            priority: arrival.priority,
            route: arrival.route,
            goal: arrival.goal,
            started_at: now,
            waited,
            running_count: self.running_count,
            is_limit_used: self.free_count() == 0,
        }
    }

    /// Refuses the queries that can no longer be in time. A late query that is the only one to wait starts if a
    /// permit is free.
    fn refuse_late(&mut self, now: Duration) {
        let free_count = self.free_count();
        let mut remaining_count = self.waiting.len();
        let mut ahead_count = 0;
        let mut late = Vec::new();
        let mut pace = None;
        for waiting in self.waiting.iter() {
            let arrival = &waiting.arrival;
            let permits_per_s = match pace {
                Some((priority, permits_per_s)) if priority == arrival.priority => permits_per_s,
                _ => self.permits_per_s(arrival.priority, now),
            };
            pace = Some((arrival.priority, permits_per_s));
            let expected_wait = match ahead_count < free_count {
                true => Duration::ZERO,
                false => wait_at(permits_per_s, ahead_count - free_count),
            };
            let is_last = remaining_count == 1 && free_count > 0;
            if is_last || self.may_stay(arrival, ahead_count, expected_wait, now) {
                ahead_count += 1;
            } else {
                remaining_count -= 1;
                late.push(*waiting);
            }
        }
        for waiting in late {
            self.waiting.remove(&waiting);
            let refusal = self.refusal(RefusalReason::Late, &waiting.arrival, now);
            self.verdicts.push((waiting.id, Verdict::Refuse(refusal)));
        }
    }

    /// Returns the refusal of a query that would have to wait behind all others of its priority.
    fn refusal(&self, reason: RefusalReason, arrival: &Arrival, now: Duration) -> Refusal {
        let ahead_count = self.waiting.count_up_to(arrival.priority);
        Refusal {
            reason,
            expected_wait: self.wait_behind(arrival.priority, ahead_count, now),
        }
    }

    /// Returns the latest time at which a query that waits may start.
    fn latest_start_at(&self, arrival: &Arrival) -> Duration {
        let needed_time = self.limit.needed_time(arrival.route, arrival.goal, 0.0);
        arrival.goal_at.saturating_sub(needed_time)
    }

    /// Returns whether a query that arrives, with `ahead_count` others before it, may wait.
    fn may_wait(
        &self,
        arrival: &Arrival,
        ahead_count: usize,
        wait: Duration,
        now: Duration,
    ) -> bool {
        let needed_time =
            self.limit
                .needed_time(arrival.route, arrival.goal, ARRIVAL_MARGIN_DEVIATIONS);
        let wait = wait.mul_f64(ARRIVAL_WAIT_FACTOR);
        self.is_probe(arrival, ahead_count, now) || now + wait + needed_time <= arrival.goal_at
    }

    /// Returns whether a query that waits, with `ahead_count` others before it, may go on waiting.
    fn may_stay(
        &self,
        arrival: &Arrival,
        ahead_count: usize,
        wait: Duration,
        now: Duration,
    ) -> bool {
        let is_probe = self.is_probe(arrival, ahead_count, now);
        is_probe || now + wait <= self.latest_start_at(arrival)
    }

    /// Returns whether a query is needed to learn the run time of its route.
    ///
    /// Otherwise a route whose queries are all refused for their long run time would never learn that it has become
    /// shorter, and its goal would no longer limit the other routes of the group.
    fn is_probe(&self, arrival: &Arrival, ahead_count: usize, now: Duration) -> bool {
        let learned_at = self.limit.route_runs(arrival.route).updated_at();
        ahead_count == 0
            && now < arrival.goal_at
            && now.saturating_sub(learned_at) > arrival.goal * PROBE_GOAL_FACTOR
    }

    /// Returns the time until a query gets a permit that `ahead_count` others get before it; zero before the first
    /// query has ended.
    fn wait_behind(&self, priority: u32, ahead_count: usize, now: Duration) -> Duration {
        wait_at(self.permits_per_s(priority, now), ahead_count)
    }

    /// Returns the rate at which the waiting queries of a priority, and those before them, get permits; infinite
    /// before the first query has ended.
    ///
    /// More urgent queries that arrive meanwhile go first, so the queue advances only by the permits that they
    /// leave.
    fn permits_per_s(&self, priority: u32, now: Duration) -> f64 {
        let Some(completions_per_s) = self.limit.completions_per_s() else {
            return f64::INFINITY;
        };
        let urgent_per_s: f64 = self
            .starts
            .range(..priority)
            .map(|(_, rate)| rate.per_s(now))
            .sum();
        let available_max = match self.waiting.has_lower_than(priority) {
            true => 1.0 - LOWER_PRIORITY_FRACTION,
            false => 1.0,
        };
        let available =
            (1.0 - urgent_per_s / completions_per_s).clamp(LOWER_PRIORITY_FRACTION, available_max);
        completions_per_s * available
    }
}

/// Returns the time until a query gets a permit that `ahead_count` others get before it.
fn wait_at(permits_per_s: f64, ahead_count: usize) -> Duration {
    let wait_s = (ahead_count as f64 + 1.0) / permits_per_s;
    Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
}

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
    WaitingQueue,
    waiting_queue::Waiting, //
};
use crate::peer_load::DecayedRate;

/// Number of queries that may wait, as a multiple of those that may run.
const QUEUE_LENGTH_FACTOR: usize = 4;
/// Smallest fraction of the permits that a priority can count on while more urgent queries wait.
const LOWER_PRIORITY_FRACTION: f64 = 0.125;

/// Right to run one query. It must be given back by [`AdmissionQueue::finish`] or [`AdmissionQueue::cancel`].
#[derive(Debug, PartialEq)]
#[must_use]
pub struct Permit {
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
    queue_bytes_max: usize,
    running_count: usize,
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
            queue_bytes_max,
            running_count: 0,
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
        let ahead_count = self.waiting.count_before(arrival.priority, arrival.goal_at);
        let expected_wait = self.wait_behind(arrival.priority, ahead_count, now);
        if !self.is_in_time(&arrival, expected_wait, now) {
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

    /// Takes back the permit of a query that ended, and learns from it.
    pub fn finish(&mut self, permit: Permit, report: &RunReport, now: Duration) {
        self.running_count -= 1;
        let run = CompletedRun {
            route: permit.route,
            goal: permit.goal,
            run_time: now.saturating_sub(permit.started_at),
            waited: permit.waited,
            running_count: permit.running_count,
            // A query that ends while others wait used a permit that another one needed.
            is_limit_used: permit.is_limit_used || !self.waiting.is_empty(),
            report: *report,
        };
        self.limit.record(&run, now);
        self.settle(now);
    }

    /// Takes back the permit of a query that did not run, or whose caller gave up.
    pub fn cancel(&mut self, permit: Permit, now: Duration) {
        let Permit { .. } = permit;
        self.running_count -= 1;
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
        let expected_wait = self.wait_behind(priority, ahead_count.saturating_sub(1), now);
        let check_at = self.latest_start_at(&waiting.arrival);
        Some(check_at.saturating_sub(expected_wait).max(now))
    }

    /// Returns the verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(u64, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the number of queries that may start at once.
    const fn free_count(&self) -> usize {
        self.limit.permit_count().saturating_sub(self.running_count)
    }

    /// Refuses the queries that can no longer be in time, and starts others while permits are free.
    fn settle(&mut self, now: Duration) {
        self.refuse_late(now);
        while self.free_count() > 0
            && let Some(waiting) = self.waiting.pop_next()
        {
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
        Permit {
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
        for waiting in self.waiting.iter() {
            let arrival = &waiting.arrival;
            let expected_wait = match ahead_count < free_count {
                true => Duration::ZERO,
                false => self.wait_behind(arrival.priority, ahead_count - free_count, now),
            };
            let is_last = remaining_count == 1 && free_count > 0;
            if is_last || self.is_in_time(arrival, expected_wait, now) {
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

    /// Returns the latest time at which a query may start.
    fn latest_start_at(&self, arrival: &Arrival) -> Duration {
        let needed_time = self.limit.needed_time(arrival.route, arrival.goal);
        arrival.goal_at.saturating_sub(needed_time)
    }

    /// Returns whether a query would be answered within its goal after a wait.
    fn is_in_time(&self, arrival: &Arrival, wait: Duration, now: Duration) -> bool {
        now + wait <= self.latest_start_at(arrival)
    }

    /// Returns the time until a query gets a permit that `ahead_count` others get before it; zero before the first
    /// query has ended.
    ///
    /// More urgent queries that arrive meanwhile go first, so the query advances only by the permits that they
    /// leave.
    fn wait_behind(&self, priority: u32, ahead_count: usize, now: Duration) -> Duration {
        let Some(completions_per_s) = self.limit.completions_per_s() else {
            return Duration::ZERO;
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
        let wait_s = (ahead_count as f64 + 1.0) / (completions_per_s * available);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }
}

//! Queries of this process at aggregators.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use super::OwnObservation;

/// Time in which an aggregator that refused a query as busy is not asked again, whatever it reports. A false
/// report of free capacity costs one refusal in this time.
const BUSY_TIME: Duration = Duration::from_millis(200);
/// Smallest factor by which a query must have more time left than a refused one to be asked for again: the time left
/// of queries of one kind varies by what they waited before.
const MORE_TIME_FACTOR: f64 = 1.25;
/// Time after which an aggregator without queries in flight is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// How urgent a query is for the queue of an aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time until the end of the latency goal.
    pub goal_left: Duration,
}

/// A query that an aggregator refused as busy.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    urgency: Urgency,
    refused_at: Duration,
}

/// Queries of this process at one aggregator.
#[derive(Clone, Debug, Default)]
struct Use {
    /// Send times of the queries in flight.
    sent_at: Vec<Duration>,
    /// Refusals since which it is not asked again; none of them is covered by an earlier one.
    refusals: Vec<Refusal>,
    refused_at: Option<Duration>,
    late_at: Option<Duration>,
}

/// Queries of this process at aggregators, and which of these were busy.
#[derive(Clone, Debug, Default)]
pub struct AggregatorUse {
    by_addr: HashMap<SocketAddr, Use>,
}

impl AggregatorUse {
    /// Creates the state of a process that has sent no query.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a query that is sent now; [`AggregatorUse::record_end`] must follow.
    pub fn record_send(&mut self, aggregator: SocketAddr, now: Duration) {
        let entry = self.by_addr.entry(aggregator).or_default();
        entry.sent_at.push(now);
    }

    /// Records the end of a query that was sent at `sent_at`.
    pub fn record_end(&mut self, aggregator: SocketAddr, sent_at: Duration, now: Duration) {
        if let Some(entry) = self.by_addr.get_mut(&aggregator) {
            let index = entry.sent_at.iter().position(|at| *at == sent_at);
            if let Some(index) = index {
                entry.sent_at.swap_remove(index);
            }
        }
        self.by_addr.retain(|_, entry| entry.is_needed(now));
    }

    /// Records that an aggregator refused a query because it is busy.
    pub fn record_busy(&mut self, aggregator: SocketAddr, urgency: Urgency, now: Duration) {
        let entry = self.by_addr.entry(aggregator).or_default();
        entry.refusals.retain(|refusal| refusal.is_recent(now));
        entry.refusals.push(Refusal {
            urgency,
            refused_at: now,
        });
        entry.refused_at = Some(now);
    }

    /// Records that an aggregator answered after the latency goal.
    pub fn record_late(&mut self, aggregator: SocketAddr, now: Duration) {
        self.by_addr.entry(aggregator).or_default().late_at = Some(now);
    }

    /// Returns whether an aggregator is not asked because it has just refused a query.
    ///
    /// It may still accept a query of a higher priority, or one with more time left than the refused one.
    pub fn is_busy(&self, aggregator: SocketAddr, urgency: Urgency, now: Duration) -> bool {
        let entry = self.by_addr.get(&aggregator);
        entry.is_some_and(|entry| {
            let mut refusals = entry.refusals.iter();
            refusals.any(|refusal| refusal.is_recent(now) && refusal.covers(urgency))
        })
    }

    /// Returns what this process knows of an aggregator whose latest report arrived at `reported_at`.
    pub fn observation(
        &self,
        aggregator: SocketAddr,
        reported_at: Option<Duration>,
        now: Duration,
    ) -> OwnObservation {
        let Some(entry) = self.by_addr.get(&aggregator) else {
            return OwnObservation::default();
        };
        let reported_at = reported_at.unwrap_or_default();
        let since = entry.sent_at.iter().filter(|at| **at >= reported_at);
        OwnObservation {
            in_flight: entry.sent_at.len(),
            sent_since_report: since.count(),
            refused_for: entry.refused_at.map(|at| now.saturating_sub(at)),
            late_for: entry.late_at.map(|at| now.saturating_sub(at)),
        }
    }
}

impl Refusal {
    /// Returns whether the aggregator still counts as busy.
    fn is_recent(&self, now: Duration) -> bool {
        now < self.refused_at + BUSY_TIME
    }

    /// Returns whether a query is no more urgent and has hardly more time than the refused one.
    fn covers(&self, urgency: Urgency) -> bool {
        let goal_left_max = self.urgency.goal_left.mul_f64(MORE_TIME_FACTOR);
        urgency.priority >= self.urgency.priority && urgency.goal_left <= goal_left_max
    }
}

impl Use {
    /// Returns whether the entry may still count towards the load of the aggregator.
    fn is_needed(&self, now: Duration) -> bool {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now < at + FORGET_AFTER);
        !self.sent_at.is_empty() || is_recent(self.refused_at) || is_recent(self.late_at)
    }
}

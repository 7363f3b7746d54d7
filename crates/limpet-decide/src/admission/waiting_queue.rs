//! Queries of a group that wait for a permit.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use limpet_types::message::NameHash;

/// One of this many permits goes to a lower priority if one is waiting.
const LOWER_PRIORITY_INTERVAL: u32 = 8;

/// A query as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Hash of the name of the route.
    pub route: NameHash,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Latency goal of the route.
    pub goal: Duration,
    /// End of the goal of this query, or its deadline if that is earlier.
    pub goal_at: Duration,
    /// Memory that the body uses.
    pub body_bytes: usize,
}

/// Place of a query in the order: by priority, then by the end of the goal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u32,
    goal_at: Duration,
    id: u64,
}

/// A query that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Waiting {
    /// Number of the query.
    pub(super) id: u64,
    /// The query as it arrived.
    pub(super) arrival: Arrival,
    /// When it arrived.
    pub(super) arrived_at: Duration,
}

/// Queries that wait, in the order in which they get permits.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    by_place: BTreeMap<Place, Waiting>,
    body_bytes: usize,
    /// Number of permits in a row that a lower priority did not get while it was waiting.
    passed_over_count: u32,
}

impl Waiting {
    const fn place(&self) -> Place {
        Place {
            priority: self.arrival.priority,
            goal_at: self.arrival.goal_at,
            id: self.id,
        }
    }
}

impl WaitingQueue {
    /// Returns the number of queries that wait.
    pub fn len(&self) -> usize {
        self.by_place.len()
    }

    /// Returns whether no query waits.
    pub fn is_empty(&self) -> bool {
        self.by_place.is_empty()
    }

    /// Returns whether queries of a lower priority than `priority` wait.
    pub(super) fn has_lower_than(&self, priority: u32) -> bool {
        let last = self.by_place.last_key_value();
        last.is_some_and(|(place, _)| place.priority > priority)
    }

    /// Returns the number of queries of at least this priority.
    pub(super) fn count_up_to(&self, priority: u32) -> usize {
        self.iter()
            .take_while(|waiting| waiting.arrival.priority <= priority)
            .count()
    }

    /// Returns the number of queries that go before one with this priority and end of the goal.
    pub(super) fn count_before(&self, priority: u32, goal_at: Duration) -> usize {
        let place = Place {
            priority,
            goal_at,
            id: u64::MAX,
        };
        self.by_place.range(..place).count()
    }

    /// Returns the queries in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.by_place.values()
    }

    /// Returns a query by its number.
    pub(super) fn get(&self, id: u64) -> Option<&Waiting> {
        self.iter().find(|waiting| waiting.id == id)
    }

    /// Adds a query.
    pub(super) fn insert(&mut self, waiting: Waiting) {
        self.body_bytes += waiting.arrival.body_bytes;
        self.by_place.insert(waiting.place(), waiting);
    }

    /// Removes a query.
    pub(super) fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        let removed = self.by_place.remove(&waiting.place())?;
        self.body_bytes -= removed.arrival.body_bytes;
        Some(removed)
    }

    /// Removes one query if more than `count_max` wait or their bodies use more than `bytes_max`.
    ///
    /// It is the last one of the lowest priority that has more than its reserved part of the queue. The reserved
    /// part, as large as its share of the permits, keeps a flood of urgent queries from displacing all others.
    pub(super) fn remove_excess(&mut self, count_max: usize, bytes_max: usize) -> Option<Waiting> {
        if self.len() <= count_max && self.body_bytes <= bytes_max {
            return None;
        }
        let reserved_count = (count_max / LOWER_PRIORITY_INTERVAL as usize).max(1);
        let mut excess = *self.by_place.last_key_value()?.1;
        let (mut last, mut class_count) = (excess, 0);
        for waiting in self.by_place.values().rev() {
            if waiting.arrival.priority != last.arrival.priority {
                (last, class_count) = (*waiting, 0);
            }
            class_count += 1;
            if class_count > reserved_count {
                excess = last;
                break;
            }
        }
        self.remove(&excess)
    }

    /// Removes the query that gets the next permit.
    pub(super) fn pop_next(&mut self) -> Option<Waiting> {
        let first = *self.by_place.first_key_value()?.1;
        let priority = first.arrival.priority;
        if !self.has_lower_than(priority) {
            self.passed_over_count = 0;
            return self.remove(&first);
        }
        self.passed_over_count += 1;
        if self.passed_over_count < LOWER_PRIORITY_INTERVAL {
            return self.remove(&first);
        }
        self.passed_over_count = 0;
        let lower = self
            .iter()
            .filter(|waiting| waiting.arrival.priority > priority);
        let oldest = *lower.min_by_key(|waiting| waiting.arrived_at)?;
        self.remove(&oldest)
    }
}

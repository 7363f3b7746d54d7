//! Ejection of aggregators that did not accept a query.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

/// Duration of the first ejection; doubled by each further failure.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(8);

/// Time after a failure in which no aggregator is used.
const PAUSE_TIME: Duration = Duration::from_millis(1500);

/// Failures of one aggregator since its last success.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    ejected_until: Duration,
}

/// Aggregators that this process does not use for a while because they failed.
///
/// Many may fail at once, and each failure costs a repeat of the query. So after a failure no aggregator is used for
/// a short time.
#[derive(Clone, Debug, Default)]
pub struct PeerEjection {
    failures: HashMap<SocketAddr, Failures>,
    /// Time until which no aggregator is used.
    paused_until: Duration,
}

impl PeerEjection {
    /// Creates the state in which no aggregator is ejected.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an aggregator answered.
    pub fn record_success(&mut self, aggregator: SocketAddr) {
        self.failures.remove(&aggregator);
    }

    /// Ejects an aggregator that did not accept a query or lost it.
    pub fn record_failure(&mut self, aggregator: SocketAddr, now: Duration) {
        let failures = self.failures.entry(aggregator).or_insert(Failures {
            count: 0,
            ejected_until: Duration::ZERO,
        });
        let ejection_time = EJECTION_TIME_MIN * (1 << failures.count.min(4));
        failures.count += 1;
        failures.ejected_until = now + ejection_time.min(EJECTION_TIME_MAX);
        self.paused_until = now + PAUSE_TIME;
    }

    /// Ejects an aggregator that answered after the latency goal of the query; others may still be used.
    pub fn record_late(&mut self, aggregator: SocketAddr, now: Duration) {
        let paused_until = self.paused_until;
        self.record_failure(aggregator, now);
        self.paused_until = paused_until;
    }

    /// Ejects an aggregator that is about to stop for the longest time.
    pub fn record_stopping(&mut self, aggregator: SocketAddr, now: Duration) {
        let failures = Failures {
            count: 0,
            ejected_until: now + EJECTION_TIME_MAX,
        };
        self.failures.insert(aggregator, failures);
    }

    /// Returns whether an aggregator is ejected.
    pub fn is_ejected(&self, aggregator: SocketAddr, now: Duration) -> bool {
        let failures = self.failures.get(&aggregator);
        now < self.paused_until || failures.is_some_and(|failures| now < failures.ejected_until)
    }
}

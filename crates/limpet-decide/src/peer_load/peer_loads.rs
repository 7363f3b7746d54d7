//! Load reports of the other processes.

use std::{
    cell::Cell,
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::message::{
    GatherLoad,
    LoadReport,
    NameHash, //
};

use super::{
    TARGET_REQUESTS_TIME,
    service_sums::ServiceSums,
    target_sums::TargetSums, //
};

/// Age at which a report is forgotten, unless reports are rarer.
const FORGET_AFTER: Duration = Duration::from_secs(3);
/// Number of report intervals after which a report is forgotten at the earliest.
const FORGET_INTERVALS: f64 = 2.5;
/// Age at which a report has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Latest report of one process.
#[derive(Clone, Debug)]
struct PeerLoad {
    report: LoadReport,
    received_at: Duration,
}

/// Scatter-gather queries of another process, as it reported them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedGatherLoad {
    /// Queries of the process.
    pub load: GatherLoad,
    /// Time since the report was received.
    pub age: Duration,
}

/// Load of one target by the requests of all other processes, weighted by the age of their reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedTargetLoad {
    /// Number of requests in flight.
    pub in_flight: f64,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Requests of the last [`TARGET_REQUESTS_TIME`], which weigh less the older they are. Unlike the other figures, it doesn't
    /// fall within a second after a report.
    pub recent_requests: f64,
    /// Time in flight of the recent requests in seconds, all together, including those that have not ended.
    pub recent_time_s: f64,
    /// Share of the recent requests that the target rejected as full, from 0 to 1. It is the mean over the requests
    /// and not the highest share: of many processes, one has always just sent a single request that was rejected.
    pub rejected_share: f64,
}

/// Latest load report of each other process.
#[derive(Debug)]
pub struct PeerLoads {
    by_addr: HashMap<SocketAddr, PeerLoad>,
    /// Sums of the rates of services over all stored reports.
    service_sums: ServiceSums,
    /// Time at or before which the oldest stored report was received.
    oldest_received_at: Duration,
    forget_after: Duration,
    visited_count: Cell<u64>,
}

impl Default for PeerLoads {
    fn default() -> Self {
        Self {
            by_addr: HashMap::new(),
            service_sums: ServiceSums::default(),
            oldest_received_at: Duration::ZERO,
            forget_after: FORGET_AFTER,
            visited_count: Cell::new(0),
        }
    }
}

impl PeerLoads {
    /// Creates the state of a process that has heard no report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time between two reports of a process, which is long in a very large fleet.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.forget_after = FORGET_AFTER.max(interval.mul_f64(FORGET_INTERVALS));
    }

    /// Stores a report; returns false if a later one of the same sender is known.
    ///
    /// Of several entries for one target, only the first counts: the sums take each for that of another process, so
    /// that a single false report would confirm itself. The same holds for services.
    pub fn record(&mut self, mut report: LoadReport, now: Duration) -> bool {
        let is_outdated = self.by_addr.get(&report.addr).is_some_and(|known| {
            let is_later = report.sequence.wrapping_sub(known.report.sequence) as i32 > 0;
            known.report.node == report.node && !is_later
        });
        if is_outdated {
            return false;
        }
        remove_repeated(&mut report.targets, |entry| entry.target);
        remove_repeated(&mut report.services, |entry| entry.service);
        self.oldest_received_at = match self.by_addr.is_empty() {
            true => now,
            false => self.oldest_received_at.min(now),
        };
        self.service_sums.add(&report.services);
        let peer_load = PeerLoad {
            report,
            received_at: now,
        };
        let former = self.by_addr.insert(peer_load.report.addr, peer_load);
        if let Some(former) = former {
            self.service_sums.remove(&former.report.services);
        }
        true
    }

    /// Forgets the reports that are too old; returns the processes whose reports stopped while they had load.
    pub fn remove_outdated(&mut self, now: Duration) -> Vec<SocketAddr> {
        if !self.may_have_outdated(now) {
            return Vec::new();
        }
        let mut removed = Vec::new();
        let mut oldest_received_at = Duration::MAX;
        self.by_addr.retain(|addr, peer_load| {
            self.visited_count.update(|count| count + 1);
            let is_kept = peer_load.age(now) < self.forget_after;
            if is_kept {
                oldest_received_at = oldest_received_at.min(peer_load.received_at);
            } else {
                self.service_sums.remove(&peer_load.report.services);
                if peer_load.is_loaded() {
                    removed.push(*addr);
                }
            }
            is_kept
        });
        self.oldest_received_at = oldest_received_at;
        removed
    }

    /// Forgets the report of a process that left.
    pub fn remove(&mut self, addr: SocketAddr) {
        if let Some(removed) = self.by_addr.remove(&addr) {
            self.service_sums.remove(&removed.report.services);
        }
    }

    /// Returns how often a report was visited, by which tests count the work.
    pub const fn visited_count(&self) -> u64 {
        self.visited_count.get()
    }

    /// Returns the number of processes whose load is known.
    pub fn len(&self) -> usize {
        self.by_addr.len()
    }

    /// Returns whether no process has reported its load.
    pub fn is_empty(&self) -> bool {
        self.by_addr.is_empty()
    }

    /// Returns the scatter-gather queries of a process; `None` if its latest report is too old.
    pub fn gather_load(&self, addr: SocketAddr, now: Duration) -> Option<ReportedGatherLoad> {
        let peer_load = self.by_addr.get(&addr)?;
        let age = peer_load.age(now);
        (age < self.forget_after).then_some(ReportedGatherLoad {
            load: peer_load.report.gathers,
            age,
        })
    }

    /// Returns the part of all requests for a service that this process has, by the rates of the latest reports;
    /// `None` if no other process has reported.
    ///
    /// `own_reported_per_s` must be the rate of the latest own report: if all processes compare the same rates,
    /// their parts add up to one.
    pub fn service_share(
        &self,
        service: NameHash,
        own_reported_per_s: f64,
        now: Duration,
    ) -> Option<f64> {
        let (has_fresh, others_per_10_s) = match self.may_have_outdated(now) {
            true => self.fresh_per_10_s(service, now),
            false => (
                !self.by_addr.is_empty(),
                self.service_sums.per_10_s(service),
            ),
        };
        let total_per_s = own_reported_per_s + others_per_10_s as f64 / 10.0;
        (has_fresh && total_per_s > 0.0).then(|| own_reported_per_s / total_per_s)
    }

    /// Returns whether there is a report that is not too old, and the sum of the rates of a service in such reports, in
    /// requests per ten seconds.
    fn fresh_per_10_s(&self, service: NameHash, now: Duration) -> (bool, u64) {
        let (mut has_fresh, mut sum) = (false, 0);
        for peer_load in self.fresh(now) {
            has_fresh = true;
            let services = &peer_load.report.services;
            let entry = services.iter().find(|entry| entry.service == service);
            sum += entry.map_or(0, |entry| u64::from(entry.requests_per_10_s));
        }
        (has_fresh, sum)
    }

    /// Returns whether a stored report may be too old. False is certain; true holds for a short time, until
    /// [`PeerLoads::remove_outdated`] is called.
    fn may_have_outdated(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.oldest_received_at);
        !self.by_addr.is_empty() && age >= self.forget_after
    }

    /// Returns the load of all targets that others reported, by the hash of their ids.
    pub fn target_loads(&self, now: Duration) -> HashMap<NameHash, ReportedTargetLoad> {
        let mut sums: HashMap<NameHash, TargetSums> = HashMap::new();
        for peer_load in self.fresh(now) {
            let age_s = peer_load.age(now).as_secs_f64();
            let count_weight = (-age_s / TARGET_REQUESTS_TIME.as_secs_f64()).exp();
            let weight = 0.5_f64.powf(age_s / HALF_LIFE.as_secs_f64());
            for entry in &peer_load.report.targets {
                let sums = sums.entry(entry.target).or_default();
                sums.add(entry, weight, count_weight);
            }
        }
        let sums = sums.into_iter();
        sums.map(|(target, sums)| (target, sums.load())).collect()
    }

    /// Returns the reports that are not too old.
    fn fresh(&self, now: Duration) -> impl Iterator<Item = &PeerLoad> {
        self.by_addr
            .values()
            .inspect(|_| self.visited_count.update(|count| count + 1))
            .filter(move |peer_load| peer_load.age(now) < self.forget_after)
    }
}

impl PeerLoad {
    /// Returns the time since the report was received.
    const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Returns whether the process had any load when it reported. One without load sends no more reports.
    fn is_loaded(&self) -> bool {
        let report = &self.report;
        report.gathers.running > 0
            || report.gathers.waiting > 0
            || !report.services.is_empty()
            || !report.targets.is_empty()
    }
}

/// Removes the entries whose name an earlier entry has. The lists of a report are so short that no set is needed.
fn remove_repeated<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> NameHash) {
    let mut kept_count = 0;
    for index in 0..entries.len() {
        let (kept, rest) = entries.split_at(kept_count);
        let current = name(&rest[index - kept_count]);
        if kept.iter().all(|known| name(known) != current) {
            entries.swap(kept_count, index);
            kept_count += 1;
        }
    }
    entries.truncate(kept_count);
}

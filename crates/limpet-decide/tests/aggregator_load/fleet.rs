//! A fleet of processes that send each other scatter-gather queries, in virtual time.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration,
};

use limpet_decide::{
    aggregator::{
        AggregatorChoice,
        AggregatorChooser,
        AggregatorDirectory,
        AggregatorLoad,
        AggregatorNode,
        AggregatorUse,
        OwnObservation,
        PeerEjection,
        Place,
        Urgency, //
    },
    peer_load::ReportedGatherLoad,
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::process::{
    Counts,
    FleetSettings,
    KeepLast,
    Process,
    Query,
    Reports,
    Variant, //
};

/// Zones; the last one has no targets.
pub(crate) const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Queries that a process runs at a time, per core.
const LIMIT_PER_CORE: f64 = 16.0;
/// Queries that wait at a process, as a multiple of its limit, before it refuses more.
const QUEUE_LIMITS: usize = 4;
/// Aggregators that are asked for one query.
const ASKED_MAX: usize = 2;
/// Load of the primary aggregators at the usual rate.
const USUAL_LOAD: f64 = 0.35;

/// The fleet.
pub(crate) struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) processes: Vec<Process>,
    pub(crate) now_ms: u64,
    pub(crate) counts: Counts,
    /// Multiple of the usual rate, by zone.
    pub(crate) surge: [f64; ZONES.len()],
    directory: AggregatorDirectory,
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    rng: ChaCha8Rng,
    arrivals: f64,
    usual_rate_per_ms: f64,
}

pub(crate) fn addr(index: usize) -> SocketAddr {
    let [_, b, c, d] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 7102))
}

fn index_of(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => u32::from(ip) as usize & 0xff_ffff,
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

pub(crate) fn shares() -> Vec<(Box<str>, f64)> {
    let zones = ZONES[..3].iter();
    zones.map(|zone| ((*zone).into(), 1.0)).collect()
}

/// Returns the urgency of each query.
fn urgency(settings: &FleetSettings) -> Urgency {
    Urgency {
        priority: 1,
        goal_left: Duration::from_millis(settings.goal_ms),
    }
}

impl Fleet {
    /// Creates a fleet in which eight of 86 processes have 0.5 core and the others have 0.12.
    pub(crate) fn new(settings: FleetSettings) -> Self {
        let mut fleet = Self {
            settings,
            processes: Vec::new(),
            now_ms: 10_000,
            counts: Counts::default(),
            surge: [1.0; ZONES.len()],
            directory: AggregatorDirectory::new(),
            ends: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            arrivals: 0.0,
            usual_rate_per_ms: 0.0,
        };
        let large_count = (settings.size * 8 / 86).max(4);
        for index in 0..settings.size {
            let cores = if index < large_count { 0.5 } else { 0.12 };
            fleet.add(index % ZONES.len(), cores);
        }
        let shares = shares();
        let mut cores = 0.0;
        for zone in &ZONES[..3] {
            let members = fleet.processes.iter();
            let members = members.filter(|process| ZONES[process.zone] == *zone);
            let mut members: Vec<f64> = members.map(|process| process.cores).collect();
            members.sort_by(|left, right| right.total_cmp(left));
            let total: f64 = fleet.processes.iter().map(|process| process.cores).sum();
            let mut zone_cores = 0.0;
            for member in members {
                if zone_cores < total * 0.1 / shares.len() as f64 {
                    zone_cores += member;
                }
            }
            cores += zone_cores;
        }
        fleet.usual_rate_per_ms = cores * LIMIT_PER_CORE * USUAL_LOAD / settings.run_ms as f64;
        fleet.reset_counts();
        fleet
    }

    /// Adds a process.
    pub(crate) fn add(&mut self, zone: usize, cores: f64) -> usize {
        let index = self.processes.len();
        self.processes.push(Process {
            zone,
            cores,
            is_live: true,
            frozen_until_ms: 0,
            reports: Reports::True,
            refuses_all: false,
            limit: ((cores * LIMIT_PER_CORE) as usize).max(2),
            running: 0,
            queue: VecDeque::new(),
            chooser: AggregatorChooser::new(),
            aggregator_use: AggregatorUse::new(),
            ejection: PeerEjection::new(),
            sent_reports: VecDeque::new(),
            was_loaded: false,
        });
        let node = AggregatorNode {
            zone: ZONES[zone].into(),
            capacity_cores: cores,
        };
        self.directory.insert(addr(index), node);
        self.counts.run_by.push(0);
        self.counts.in_use_ms.push(0);
        self.counts.busy.push(0);
        index
    }

    /// Stops a process as planned.
    pub(crate) fn stop(&mut self, index: usize) {
        self.crash(index);
        self.forget(index);
    }

    /// Stops a process without notice; its queries are lost.
    pub(crate) fn crash(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.is_live = false;
        let waiting: Vec<Query> = process.queue.drain(..).collect();
        for query in waiting {
            self.end(index, query, true);
        }
    }

    /// Lets the others know that a process is gone.
    pub(crate) fn forget(&mut self, index: usize) {
        self.directory.remove(addr(index));
    }

    pub(crate) fn reset_counts(&mut self) {
        let count = self.processes.len();
        self.counts = Counts {
            run_by: vec![0; count],
            in_use_ms: vec![0; count],
            busy: vec![0; count],
            ..Counts::default()
        };
    }

    /// Returns whether a process belongs to the extended set.
    pub(crate) fn is_extended(&mut self, index: usize) -> bool {
        let count = self.directory.extended_count_with(addr(index), &shares());
        count.is_some()
    }

    /// Returns the mean load of each process since the last reset.
    pub(crate) fn mean_loads(&self) -> Vec<f64> {
        let in_use = self.counts.in_use_ms.iter().zip(&self.processes);
        in_use
            .map(|(in_use_ms, process)| {
                *in_use_ms as f64 / self.counts.duration_ms as f64 / process.limit as f64
            })
            .collect()
    }

    /// Returns the number of processes that ran queries since the last reset.
    pub(crate) fn runner_count(&self) -> usize {
        self.counts
            .run_by
            .iter()
            .filter(|count| **count > 0)
            .count()
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            self.end_queries();
            self.send_reports();
            self.arrive();
            for (process, in_use_ms) in self.processes.iter().zip(&mut self.counts.in_use_ms) {
                *in_use_ms += process.running + process.queue.len();
            }
            self.counts.duration_ms += 1;
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn end_queries(&mut self) {
        while let Some(Reverse((end_ms, index, from, sent_at_ms))) = self.ends.peek().copied() {
            if end_ms > self.now_ms {
                return;
            }
            self.ends.pop();
            let frozen_until_ms = self.processes[index].frozen_until_ms;
            if self.processes[index].is_live && frozen_until_ms > self.now_ms {
                let end = (frozen_until_ms, index, from, sent_at_ms);
                self.ends.push(Reverse(end));
                continue;
            }
            let is_lost = !self.processes[index].is_live;
            self.processes[index].running -= 1;
            self.end(index, Query { from, sent_at_ms }, is_lost);
            let next = self.processes[index].queue.pop_front();
            if let Some(next) = next {
                self.start(index, next);
            }
        }
    }

    /// Records the end of a query at the process that sent it.
    fn end(&mut self, index: usize, query: Query, is_lost: bool) {
        let now = self.now();
        let is_late = self.now_ms > query.sent_at_ms + self.settings.goal_ms;
        self.counts.lost += usize::from(is_lost);
        self.counts.late += usize::from(is_late);
        if query.from == index {
            return;
        }
        let report = self.processes[index].visible_report(query.from, index, now, &self.settings);
        let observed = OwnObservation::default();
        let load = AggregatorLoad::estimate(report, observed, self.processes[index].cores);
        let from = &mut self.processes[query.from];
        let sent_at = Duration::from_millis(query.sent_at_ms);
        from.aggregator_use.record_end(addr(index), sent_at, now);
        if is_lost {
            from.ejection.record_failure(addr(index), true, now);
        } else if is_late {
            from.ejection.record_late(addr(index), load.is_full(), now);
            from.aggregator_use.record_late(addr(index), now);
        } else {
            from.ejection.record_success(addr(index), now);
        }
    }

    fn start(&mut self, index: usize, query: Query) {
        let run_ms = self.settings.run_ms;
        let run_ms = self.rng.random_range(run_ms * 2 / 3..=run_ms * 4 / 3);
        self.processes[index].running += 1;
        let end = (self.now_ms + run_ms, index, query.from, query.sent_at_ms);
        self.ends.push(Reverse(end));
    }

    fn send_reports(&mut self) {
        for (index, process) in self.processes.iter_mut().enumerate() {
            let period_ms = self.settings.report_period_ms;
            let phase = index as u64 * 37 % period_ms;
            let is_due = (self.now_ms + phase).is_multiple_of(period_ms);
            let is_running = process.is_live && process.frozen_until_ms <= self.now_ms;
            if !is_due || !is_running || process.reports == Reports::Missing {
                continue;
            }
            let load = process.gather_load(self.settings.run_ms);
            let is_loaded = load.running > 0;
            if is_loaded || process.was_loaded {
                process.sent_reports.push_back((self.now_ms, load));
                process.sent_reports.keep_last(10);
            }
            process.was_loaded = is_loaded;
        }
    }

    fn arrive(&mut self) {
        let rates: Vec<f64> = self
            .surge
            .iter()
            .map(|surge| surge * self.usual_rate_per_ms / ZONES.len() as f64)
            .collect();
        self.arrivals += rates.iter().sum::<f64>();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            let mut draw = self.rng.random_range(0.0..rates.iter().sum::<f64>());
            let zone = rates.iter().position(|rate| {
                draw -= rate;
                draw < 0.0
            });
            let zone = zone.unwrap_or(0);
            let from = loop {
                let from = self.rng.random_range(0..self.processes.len());
                if self.processes[from].zone == zone && self.processes[from].is_live {
                    break from;
                }
            };
            self.send(from);
        }
    }

    fn send(&mut self, from: usize) {
        self.counts.queries += 1;
        let query = Query {
            from,
            sent_at_ms: self.now_ms,
        };
        let now = self.now();
        let query_urgency = urgency(&self.settings);
        let mut refused_by = Vec::new();
        while refused_by.len() < ASKED_MAX {
            let index = match self.choose(from, &refused_by) {
                Place::At(aggregator) => index_of(aggregator),
                Place::Here => break,
                Place::AllBusy => {
                    self.counts.refused += 1;
                    return;
                }
            };
            let aggregator = &mut self.processes[index];
            if !aggregator.is_live || aggregator.frozen_until_ms > self.now_ms {
                self.counts.not_accepted += 1;
                let ejection = &mut self.processes[from].ejection;
                ejection.record_failure(addr(index), false, now);
            } else if aggregator.refuses_all
                || aggregator.queue.len() >= aggregator.limit * QUEUE_LIMITS
            {
                self.counts.busy[index] += 1;
                let aggregator_use = &mut self.processes[from].aggregator_use;
                aggregator_use.record_busy(addr(index), query_urgency, now);
            } else {
                let from_process = &mut self.processes[from];
                from_process.aggregator_use.record_send(addr(index), now);
                self.accept(index, query);
                return;
            }
            refused_by.push(addr(index));
        }
        let own = &self.processes[from];
        let are_all_busy = refused_by
            .iter()
            .all(|addr| own.aggregator_use.is_busy(*addr, query_urgency, now));
        let is_refused = !refused_by.is_empty() && are_all_busy;
        if is_refused || own.queue.len() >= own.limit * QUEUE_LIMITS {
            self.counts.refused += 1;
            return;
        }
        self.counts.cold += usize::from(!self.is_extended(from));
        self.accept(from, query);
    }

    fn accept(&mut self, index: usize, query: Query) {
        let zone = self.processes[query.from].zone;
        let has_left = zone < 3 && self.processes[index].zone != zone;
        self.counts.left_zone[zone] += usize::from(has_left);
        self.counts.run_by[index] += 1;
        let process = &mut self.processes[index];
        if process.running < process.limit {
            self.start(index, query);
        } else {
            process.queue.push_back(query);
        }
    }

    fn choose(&mut self, from: usize, refused_by: &[SocketAddr]) -> Place {
        let now = self.now();
        let mut chooser = std::mem::take(&mut self.processes[from].chooser);
        let settings = self.settings;
        let processes = &self.processes;
        let own = &processes[from];
        let load_of = |addr: SocketAddr, cores: f64| {
            let peer = &processes[index_of(addr)];
            let reported = match index_of(addr) == from {
                true => Some(ReportedGatherLoad {
                    load: own.gather_load(settings.run_ms),
                    age: Duration::ZERO,
                }),
                false => peer.visible_report(from, index_of(addr), now, &settings),
            };
            let reported_at = reported.map(|reported| now.saturating_sub(reported.age));
            match settings.variant {
                Variant::AgeIgnored => {
                    let reported = reported.map(|reported| ReportedGatherLoad {
                        age: Duration::ZERO,
                        ..reported
                    });
                    let observed = OwnObservation::default();
                    AggregatorLoad::estimate(reported, observed, cores)
                }
                Variant::Decided | Variant::LeastLoaded => {
                    let observed = own.aggregator_use.observation(addr, reported_at, now);
                    AggregatorLoad::estimate(reported, observed, cores)
                }
            }
        };
        let is_usable = |addr: SocketAddr| !own.ejection.is_ejected(addr, now);
        let shares = shares();
        let choice = AggregatorChoice {
            own_addr: addr(from),
            own_zone: ZONES[own.zone],
            shard_shares: &shares,
            goal: Duration::from_millis(settings.goal_ms),
            is_usable: &is_usable,
            is_busy: &|addr| own.aggregator_use.is_busy(addr, urgency(&settings), now),
            load_of: &load_of,
            refused_by,
            now,
        };
        let rng = &mut self.rng;
        let place = match settings.variant {
            Variant::LeastLoaded => {
                let members = (0..processes.len()).filter(|index| processes[*index].cores > 0.2);
                let members = members.map(addr).filter(|addr| {
                    is_usable(*addr)
                        && processes[index_of(*addr)].is_live
                        && !refused_by.contains(addr)
                });
                let least = members.min_by(|left, right| {
                    let load = |addr: SocketAddr| load_of(addr, processes[index_of(addr)].cores);
                    load(*left).load().total_cmp(&load(*right).load())
                });
                match least {
                    Some(least) if least != addr(from) => Place::At(least),
                    _ => Place::Here,
                }
            }
            Variant::Decided | Variant::AgeIgnored => {
                let mut draw = || rng.random_range(0.0..1.0);
                chooser.choose(&mut self.directory, &choice, &mut draw)
            }
        };
        self.processes[from].chooser = chooser;
        place
    }
}

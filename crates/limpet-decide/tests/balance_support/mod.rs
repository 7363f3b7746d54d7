//! Processes that send requests to the targets of one service and report their load to each other, in virtual time.
#![allow(dead_code)]

mod scenario;

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
    balance::{
        Candidate,
        TargetLoad,
        View,
        choose, //
    },
    peer_load::{
        LoadTracker,
        PeerLoads,
        name_hash, //
    },
};
use limpet_types::{
    codec,
    message::{
        LOAD_REPORT_MARKER,
        LoadReport,
        NameHash, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

pub(crate) use self::scenario::{
    FalseReports,
    Measured,
    Policy,
    Scenario, //
};

/// Time before the measurement, in which the processes hear of each other.
const WARMUP: Duration = Duration::from_secs(12);
/// Length of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(30);
/// Time between two reports of a process that sends many requests, in a fleet of this size.
const REPORT_INTERVAL: Duration = Duration::from_millis(825);
/// Time between two rounds in which a process sends a report if one is due.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two computations of the reported loads.
const APPLY_INTERVAL: Duration = Duration::from_millis(150);

/// A target with its slots and its queue.
struct SimTarget {
    zone: usize,
    name: NameHash,
    service_time: Duration,
    rejects: bool,
    running: u32,
    /// Senders and arrival times of the requests that wait.
    queue: VecDeque<(usize, Duration)>,
    request_count: u32,
}

/// One process, with its state of each target.
struct SimProcess {
    zone: usize,
    addr: SocketAddr,
    tracker: LoadTracker,
    peer_loads: PeerLoads,
    targets: Vec<TargetLoad>,
    applied_at: Duration,
}

/// What happens at a point in time; the order of the variants decides between simultaneous ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End {
        target: usize,
        process: usize,
        arrived_at: Duration,
    },
    Report {
        process: usize,
    },
    Delivery {
        report: usize,
    },
    Request,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    targets: Vec<SimTarget>,
    processes: Vec<SimProcess>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    /// Reports with their senders, in the order of sending.
    reports: Vec<(usize, LoadReport)>,
    now: Duration,
    waits: Vec<Duration>,
    latencies: Vec<Duration>,
    request_count: u32,
    rejected_count: u32,
    report_count: u32,
    report_bytes: usize,
    /// Idle slots that queued requests could have used, times seconds.
    idle_slot_s: f64,
}

/// Runs a scenario and measures it.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Measured {
    let mut sim = Sim::new(scenario, seed);
    sim.run();
    let usable: Vec<f64> = sim
        .targets
        .iter()
        .filter(|target| !target.rejects)
        .map(|target| f64::from(target.request_count))
        .collect();
    let mean = usable.iter().sum::<f64>() / usable.len() as f64;
    let waits = &sim.waits;
    Measured {
        spread: usable.iter().copied().fold(0.0, f64::max) / mean,
        least: usable.iter().copied().fold(f64::MAX, f64::min) / mean,
        wait: waits.iter().sum::<Duration>() / waits.len().max(1) as u32,
        latency: sim.latencies.iter().sum::<Duration>() / sim.latencies.len().max(1) as u32,
        late_share: sim
            .latencies
            .iter()
            .filter(|latency| **latency > scenario.service_time * 4)
            .count() as f64
            / sim.latencies.len().max(1) as f64,
        idle_slots_while_queued: sim.idle_slot_s / MEASURED_TIME.as_secs_f64(),
        rejected_share: f64::from(sim.rejected_count) / f64::from(sim.request_count.max(1)),
        first_target: f64::from(sim.targets[0].request_count) / mean,
        // A report reaches each process by one datagram, and all processes send about as many.
        kb_per_s: sim.report_bytes as f64 / (WARMUP + MEASURED_TIME).as_secs_f64() / 1000.0,
        reports_per_s: f64::from(sim.report_count)
            / sim.processes.len() as f64
            / MEASURED_TIME.as_secs_f64(),
    }
}

/// Returns the zone of each of the members of the zones.
fn zones(counts: &[usize]) -> impl Iterator<Item = usize> {
    counts
        .iter()
        .enumerate()
        .flat_map(|(zone, count)| std::iter::repeat_n(zone, *count))
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (slowest, fastest) = scenario.speed_factors;
        let targets: Vec<SimTarget> = zones(scenario.target_zones)
            .enumerate()
            .map(|(index, zone)| {
                let factor = match slowest < fastest {
                    true => rng.random_range(slowest..fastest),
                    false => slowest,
                };
                SimTarget {
                    zone,
                    name: name_hash(&format!("target-{index}")),
                    service_time: scenario.service_time.mul_f64(factor),
                    rejects: index < scenario.rejecting_targets,
                    running: 0,
                    queue: VecDeque::new(),
                    request_count: 0,
                }
            })
            .collect();
        let processes: Vec<SimProcess> = zones(scenario.process_zones)
            .enumerate()
            .map(|(index, zone)| SimProcess {
                zone,
                addr: SocketAddr::from(([10, 0, 0, index as u8], 7100)),
                tracker: LoadTracker::new(),
                peer_loads: PeerLoads::new(),
                targets: vec![TargetLoad::new(); targets.len()],
                applied_at: Duration::ZERO,
            })
            .collect();
        let mut events = BinaryHeap::from([Reverse((Duration::ZERO, Event::Request))]);
        for process in 0..processes.len() {
            let at = ROUND_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
            events.push(Reverse((at, Event::Report { process })));
        }
        Self {
            scenario,
            rng,
            targets,
            processes,
            events,
            reports: Vec::new(),
            now: Duration::ZERO,
            waits: Vec::new(),
            latencies: Vec::new(),
            request_count: 0,
            rejected_count: 0,
            report_count: 0,
            report_bytes: 0,
            idle_slot_s: 0.0,
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= WARMUP + MEASURED_TIME {
                return;
            }
            self.advance(at);
            match event {
                Event::Request => {
                    let pause_s = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln()
                        / self.scenario.requests_per_s;
                    let next = at + Duration::from_secs_f64(pause_s);
                    self.events.push(Reverse((next, Event::Request)));
                    let process = self.rng.random_range(0..self.processes.len());
                    self.send(process);
                }
                Event::Report { process } => {
                    // Ticks of a process are a little late.
                    let interval = ROUND_INTERVAL.mul_f64(self.rng.random_range(1.0..1.1));
                    let next = at + interval;
                    self.events.push(Reverse((next, Event::Report { process })));
                    self.report(process);
                }
                Event::Delivery { report } => self.deliver(report),
                Event::End {
                    target,
                    process,
                    arrived_at,
                } => match self.pause_end(target) {
                    Some(pause_end) => self.events.push(Reverse((pause_end, event))),
                    None => self.end(target, process, arrived_at),
                },
            }
        }
    }

    /// Moves the time forward; measures the slots that were idle meanwhile.
    fn advance(&mut self, at: Duration) {
        if self.now >= WARMUP {
            let queued: usize = self.targets.iter().map(|target| target.queue.len()).sum();
            let idle: u32 = self
                .targets
                .iter()
                .map(|target| self.scenario.slots - target.running)
                .sum();
            self.idle_slot_s += f64::from(idle).min(queued as f64) * (at - self.now).as_secs_f64();
        }
        self.now = at;
    }

    /// Sends a request of a process; one that is rejected goes to another target.
    fn send(&mut self, process: usize) {
        self.apply_reports(process);
        for _ in 0..3 {
            let target = self.choose(process);
            let now = self.now;
            let is_measured = now >= WARMUP;
            let sender = &mut self.processes[process];
            let name = self.targets[target].name;
            sender.tracker.record_send(name, now);
            sender.targets[target].record_send(Some(self.scenario.service_time), now);
            self.request_count += u32::from(is_measured);
            self.targets[target].request_count += u32::from(is_measured);
            if !self.targets[target].rejects {
                self.arrive(target, process);
                return;
            }
            self.rejected_count += u32::from(is_measured);
            let draw = self.rng.random_range(0.0..1.0);
            sender.tracker.record_rejection(name, now);
            sender.targets[target].record_rejection(draw, now);
            sender.targets[target].record_reply(now);
            sender.targets[target].record_end();
            sender.tracker.record_end(name);
        }
    }

    fn arrive(&mut self, target: usize, process: usize) {
        let now = self.now;
        if self.targets[target].running < self.scenario.slots {
            self.start(target, process, now);
        } else {
            self.targets[target].queue.push_back((process, now));
        }
    }

    fn start(&mut self, target: usize, process: usize, arrived_at: Duration) {
        if arrived_at >= WARMUP {
            self.waits.push(self.now - arrived_at);
        }
        self.targets[target].running += 1;
        let factor = self.rng.random_range(0.8..1.2);
        let end = self.now + self.targets[target].service_time.mul_f64(factor);
        let end_event = Event::End {
            target,
            process,
            arrived_at,
        };
        self.events.push(Reverse((end, end_event)));
    }

    /// Returns the end of the pause of a target, if it pauses now. The pauses of the targets are spread over time.
    fn pause_end(&self, target: usize) -> Option<Duration> {
        let (interval, length) = self.scenario.pauses?;
        let offset = interval.mul_f64(target as f64 / self.targets.len() as f64);
        let phase_s = (self.now + offset).as_secs_f64() % interval.as_secs_f64();
        let left_s = length.as_secs_f64() - phase_s;
        (left_s > 1e-6).then(|| self.now + Duration::from_secs_f64(left_s))
    }

    fn end(&mut self, target: usize, process: usize, arrived_at: Duration) {
        if arrived_at >= WARMUP {
            self.latencies.push(self.now - arrived_at);
        }
        let sender = &mut self.processes[process];
        sender.targets[target].record_reply(self.now);
        sender.targets[target].record_accepted();
        sender.targets[target].record_end();
        sender.tracker.record_end(self.targets[target].name);
        self.targets[target].running -= 1;
        if let Some((process, arrived_at)) = self.targets[target].queue.pop_front() {
            self.start(target, process, arrived_at);
        }
    }

    /// Sends the report of a process to all others.
    fn report(&mut self, process: usize) {
        let addr = self.processes[process].addr;
        let sender = &mut self.processes[process];
        sender.tracker.set_report_period(REPORT_INTERVAL);
        let report = sender.tracker.next_report(process as u64, addr, self.now);
        let Some(report) = report.filter(|_| !self.scenario.reports_stop) else {
            return;
        };
        self.report_count += u32::from(self.now >= WARMUP);
        let report = match self.scenario.false_reports.filter(|_| process == 0) {
            Some(kind) => self.falsify(report, kind),
            None => report,
        };
        self.report_bytes += codec::encode(&report).unwrap().len() + LOAD_REPORT_MARKER.len();
        let delivery = Event::Delivery {
            report: self.reports.len(),
        };
        self.reports.push((process, report));
        let at = self.now + self.scenario.report_delay;
        self.events.push(Reverse((at, delivery)));
    }

    /// Delivers a report to all other processes that get it.
    fn deliver(&mut self, report: usize) {
        let (sender, report) = &self.reports[report];
        for (index, receiver) in self.processes.iter_mut().enumerate() {
            let is_lost = self.rng.random_bool(self.scenario.report_loss);
            if index != *sender && !is_lost {
                receiver.peer_loads.record(report.clone(), self.now);
            }
        }
    }

    fn falsify(&self, mut report: LoadReport, kind: FalseReports) -> LoadReport {
        let full = |target: &SimTarget| limpet_types::message::TargetUse {
            target: target.name,
            in_flight: u8::MAX,
            requests_per_10_s: u16::MAX,
            rejected_255ths: u8::MAX,
        };
        report.targets = match kind {
            FalseReports::NoLoad => Vec::new(),
            FalseReports::FullLoad => self.targets.iter().take(1).map(full).collect(),
            FalseReports::FullLoadEverywhere => self.targets.iter().map(full).collect(),
        };
        report
    }

    /// Computes the reported loads at a process if they are not recent.
    fn apply_reports(&mut self, process: usize) {
        let now = self.now;
        let sender = &mut self.processes[process];
        let is_due = now >= sender.applied_at + APPLY_INTERVAL;
        let uses_reports = matches!(
            self.scenario.policy,
            Policy::Chosen | Policy::LateAsCurrent //
        );
        if !is_due || !uses_reports {
            return;
        }
        sender.applied_at = now;
        sender.peer_loads.remove_outdated(now);
        let loads = sender.peer_loads.target_loads(now);
        for (state, target) in sender.targets.iter_mut().zip(&self.targets) {
            let load = loads.get(&target.name).copied().unwrap_or_default();
            state.set_reported(load, now);
        }
    }

    fn choose(&mut self, process: usize) -> usize {
        let now = self.now;
        let sender = &self.processes[process];
        let candidates: Vec<Candidate> = sender
            .targets
            .iter()
            .zip(&self.targets)
            .map(|(state, target)| Candidate {
                is_own_zone: target.zone == sender.zone,
                health_cost: 1.0 + 20.0 * state.reported_rejected_share(now),
                ..Candidate::new(state, self.scenario.slots, now)
            })
            .collect();
        let rng = &mut self.rng;
        let view = match self.scenario.policy {
            Policy::Chosen | Policy::WithoutReports => View::Part,
            Policy::OwnObservations => View::Whole,
            Policy::LateAsCurrent => {
                let in_flight =
                    |candidate: &Candidate| candidate.own_in_flight + candidate.reported_in_flight;
                let least = candidates.iter().map(in_flight).fold(f64::MAX, f64::min);
                let ties = candidates.iter().enumerate();
                let ties: Vec<usize> = ties
                    .filter(|(_, candidate)| in_flight(candidate) <= least)
                    .map(|(index, _)| index)
                    .collect();
                return ties[rng.random_range(0..ties.len())];
            }
        };
        choose(&candidates, view, || rng.random_range(0.0..1.0)).expect("all targets are free")
    }
}

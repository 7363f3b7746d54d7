//! Processes that send requests to the targets of one service and report their load to each other, in virtual time.
#![allow(dead_code)]

mod former_choice;
mod parts;
mod reports;
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
        TargetHealth,
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
use limpet_types::message::LoadReport;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use self::parts::{
    Event,
    SimProcess,
    SimRequest,
    SimTarget, //
};
#[allow(unused_imports, reason = "not all tests use all parts of a scenario")]
pub(crate) use self::scenario::{
    BusySenders,
    FalseReports,
    Measured,
    Policy,
    Scenario,
    SlowTargets, //
};

/// Time before the measurement, in which the processes hear of each other.
const WARMUP: Duration = Duration::from_secs(12);
/// Length of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(30);
/// Time between two rounds in which a process sends a report if one is due.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Multiple of the service time after which a request counts as slow before it ends.
const STRAGGLER_FACTOR: u32 = 2;
/// Number of targets that a request is sent to while they reject it.
const ATTEMPTS_MAX: usize = 3;
/// Latency that a request counts with if all its targets rejected it.
const REJECTED_LATENCY: Duration = Duration::from_secs(8);
/// Time after which a target that was slow must have its full share.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Time that the reports have to show that targets became slow.
const SLOW_REPORT_TIME: Duration = Duration::from_secs(5);

struct Sim<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    targets: Vec<SimTarget>,
    processes: Vec<SimProcess>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    requests: Vec<SimRequest>,
    /// Reports with their senders, in the order of sending.
    reports: Vec<(usize, LoadReport)>,
    now: Duration,
    waits: Vec<Duration>,
    latencies: Vec<Duration>,
    request_count: u32,
    rejected_count: u32,
    /// Requests while targets were slow, and those of them that went to slow targets.
    slow_counts: (u32, u32),
    /// The same after they recovered.
    recovered_counts: (u32, u32),
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
    let use_s = || sim.targets.iter().map(|target| target.use_s);
    let mean_use_s = use_s().sum::<f64>() / sim.targets.len() as f64;
    sim.latencies.sort_unstable();
    let waits = &sim.waits;
    Measured {
        p99: sim.latencies[sim.latencies.len() * 99 / 100],
        use_spread: use_s().fold(0.0, f64::max) / mean_use_s,
        slow_share: f64::from(sim.slow_counts.1) / f64::from(sim.slow_counts.0.max(1)),
        recovered_share: f64::from(sim.recovered_counts.1)
            / f64::from(sim.recovered_counts.0.max(1)),
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
        let mut targets: Vec<SimTarget> = zones(scenario.target_zones)
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
                    is_slow_at_times: false,
                    running: 0,
                    queue: VecDeque::new(),
                    request_count: 0,
                    use_s: 0.0,
                }
            })
            .collect();
        for _ in 0..scenario.slow_targets.map_or(0, |slow| slow.count) {
            let others = targets.iter_mut().filter(|target| !target.is_slow_at_times);
            let mut others: Vec<&mut SimTarget> = others.collect();
            let drawn = rng.random_range(0..others.len());
            others[drawn].is_slow_at_times = true;
        }
        let processes: Vec<SimProcess> = zones(scenario.process_zones)
            .enumerate()
            .map(|(index, zone)| SimProcess {
                zone,
                addr: SocketAddr::from(([10, 0, 0, index as u8], 7100)),
                tracker: LoadTracker::new(),
                peer_loads: PeerLoads::new(),
                targets: vec![TargetLoad::new(); targets.len()],
                health: vec![TargetHealth::default(); targets.len()],
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
            requests: Vec::new(),
            reports: Vec::new(),
            now: Duration::ZERO,
            waits: Vec::new(),
            latencies: Vec::new(),
            request_count: 0,
            rejected_count: 0,
            slow_counts: (0, 0),
            recovered_counts: (0, 0),
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
                    let process = self.draw_sender();
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
                Event::Straggler { request } => self.record_straggler(request),
                Event::End { request } => match self.pause_end(self.requests[request].target) {
                    Some(pause_end) => self.events.push(Reverse((pause_end, event))),
                    None => self.end(request),
                },
            }
        }
    }

    /// Returns the process that sends the next request.
    fn draw_sender(&mut self) -> usize {
        match self.scenario.busy_senders {
            Some(busy) if self.rng.random_bool(busy.share) => self.rng.random_range(0..busy.count),
            _ => self.rng.random_range(0..self.processes.len()),
        }
    }

    /// Returns whether the slow targets have been slow for `time` and still are.
    fn is_slow_for(&self, time: Duration) -> bool {
        self.scenario.slow_targets.is_some_and(|slow| {
            let from = WARMUP + slow.from;
            (from + time..from + slow.length).contains(&self.now)
        })
    }

    /// Moves the time forward; measures the slots that were idle or in use meanwhile.
    fn advance(&mut self, at: Duration) {
        let measures_use = match self.scenario.slow_targets {
            Some(_) => self.is_slow_for(SLOW_REPORT_TIME),
            None => self.now >= WARMUP,
        };
        if measures_use {
            let time_s = (at - self.now).as_secs_f64();
            for target in &mut self.targets {
                target.use_s += f64::from(target.running) * time_s;
            }
        }
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
        for _ in 0..ATTEMPTS_MAX {
            let target = self.choose(process);
            let now = self.now;
            let is_measured = now >= WARMUP;
            let is_slow = self.is_slow_for(Duration::ZERO);
            let sender = &mut self.processes[process];
            let name = self.targets[target].name;
            sender.tracker.record_send(name, now);
            sender.targets[target].record_send(Some(self.scenario.service_time), now);
            self.request_count += u32::from(is_measured);
            let is_recovered = self
                .scenario
                .slow_targets
                .is_some_and(|slow| now >= WARMUP + slow.from + slow.length + RECOVERY_TIME);
            let is_slow_at_times = self.targets[target].is_slow_at_times;
            self.recovered_counts.0 += u32::from(is_recovered);
            self.recovered_counts.1 += u32::from(is_recovered && is_slow_at_times);
            self.slow_counts.0 += u32::from(is_slow);
            self.slow_counts.1 += u32::from(is_slow && is_slow_at_times);
            self.targets[target].request_count += u32::from(is_measured);
            let is_full = self.targets[target].queue.len() >= self.scenario.queue_max;
            if !self.targets[target].rejects && !is_full {
                self.arrive(target, process);
                return;
            }
            self.rejected_count += u32::from(is_measured);
            let draw = self.rng.random_range(0.0..1.0);
            sender.tracker.record_rejection(name, now);
            sender.health[target].record_failure(now);
            sender.targets[target].record_rejection(draw, now);
            sender.targets[target].record_reply(now);
            sender.targets[target].record_end(now);
            sender.tracker.record_end(name, now);
        }
        if self.now >= WARMUP {
            self.latencies.push(REJECTED_LATENCY);
        }
    }

    fn arrive(&mut self, target: usize, process: usize) {
        let request = self.requests.len();
        self.requests.push(SimRequest {
            target,
            process,
            arrived_at: self.now,
            is_done: false,
        });
        let straggler_at = self.now + self.scenario.service_time * STRAGGLER_FACTOR;
        let straggler = Event::Straggler { request };
        self.events.push(Reverse((straggler_at, straggler)));
        if self.targets[target].running < self.scenario.slots {
            self.start(request);
        } else {
            self.targets[target].queue.push_back(request);
        }
    }

    fn start(&mut self, request: usize) {
        let started = &self.requests[request];
        if started.arrived_at >= WARMUP {
            self.waits.push(self.now - started.arrived_at);
        }
        let is_slow = self.is_slow_for(Duration::ZERO);
        let target = &mut self.targets[self.requests[request].target];
        target.running += 1;
        let variation = self.scenario.time_variation;
        let mut factor = self.rng.random_range(1.0 - variation..1.0 + variation);
        if let Some(slow) = self.scenario.slow_targets
            && is_slow
            && target.is_slow_at_times
        {
            factor *= slow.factor;
        }
        let end = self.now + target.service_time.mul_f64(factor);
        self.events.push(Reverse((end, Event::End { request })));
    }

    /// Records a request without a reply in the health of its target.
    fn record_straggler(&mut self, request: usize) {
        let request = &self.requests[request];
        if !request.is_done {
            let mean_latency = self.scenario.service_time;
            self.processes[request.process].health[request.target].record_straggler(
                self.now - request.arrived_at,
                Some(mean_latency),
                self.now,
            );
        }
    }

    /// Returns the end of the pause of a target, if it pauses now. The pauses of the targets are spread over time.
    fn pause_end(&self, target: usize) -> Option<Duration> {
        let (interval, length) = self.scenario.pauses?;
        let offset = interval.mul_f64(target as f64 / self.targets.len() as f64);
        let phase_s = (self.now + offset).as_secs_f64() % interval.as_secs_f64();
        let left_s = length.as_secs_f64() - phase_s;
        (left_s > 1e-6).then(|| self.now + Duration::from_secs_f64(left_s))
    }

    fn end(&mut self, request: usize) {
        let now = self.now;
        let ended = &mut self.requests[request];
        ended.is_done = true;
        let (target, latency) = (ended.target, now - ended.arrived_at);
        if ended.arrived_at >= WARMUP {
            self.latencies.push(latency);
        }
        let sender = &mut self.processes[ended.process];
        sender.health[target].record_success(latency, Some(self.scenario.service_time), now);
        sender.targets[target].record_reply(now);
        sender.targets[target].record_accepted();
        sender.targets[target].record_end(now);
        sender.tracker.record_end(self.targets[target].name, now);
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(next);
        }
    }

    fn choose(&mut self, process: usize) -> usize {
        let now = self.now;
        let sender = &self.processes[process];
        let candidates: Vec<Candidate> = sender
            .targets
            .iter()
            .zip(&self.targets)
            .zip(&sender.health)
            .map(|((state, target), health)| Candidate {
                is_own_zone: target.zone == sender.zone,
                health_cost: match self.scenario.observes_latency {
                    true => health.cost(state.reported_rejected_share(now), now),
                    false => 1.0 + 20.0 * state.reported_rejected_share(now),
                },
                ..Candidate::new(state, self.scenario.slots, now)
            })
            .collect();
        let rng = &mut self.rng;
        let view = match self.scenario.policy {
            Policy::Chosen | Policy::WithoutReports => View::Part,
            Policy::OwnObservations => View::Whole,
            Policy::ByRequests => {
                return former_choice::choose_by_requests(&candidates, || {
                    rng.random_range(0.0..1.0)
                });
            }
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

//! Single lookups: callers, the processes that admit them, and the targets of one service, in virtual time.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use limpet_decide::admission::{
    AdmissionLimits,
    AdmissionQueue,
    Arrival,
    Decision,
    Permit,
    RunReport,
    SlotUse,
    Verdict, //
};
use limpet_decide::spread::DIRECT_PROCESSES_MAX;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Mean time of a lookup in a slot; the actual one is 0.6 to 1.4 times as long.
const SERVICE_TIME: Duration = Duration::from_millis(220);
/// Latency goal of a lookup.
const GOAL: Duration = Duration::from_millis(1500);
/// Slots of a target, and lookups that wait for one of them; further ones are rejected.
const SLOTS: usize = 3;
const QUEUE_LENGTH: usize = 12;
/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Load and speed of the targets from some time on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) from: Duration,
    pub(crate) per_s: f64,
    /// Fraction of the targets that are slow.
    pub(crate) slow_fraction: f64,
    /// Factor by which a lookup takes longer at a slow target.
    pub(crate) slow_factor: f64,
}

/// The processes, the targets and the load.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    /// Capacity of each process in cores.
    pub(crate) capacities_cores: Vec<f64>,
    pub(crate) target_count: usize,
    /// Whether the processes use what they know of the slots.
    pub(crate) knows_slot_use: bool,
    /// Part of the requests in flight that the reports of the others show, because they are old or lost.
    pub(crate) reported_weight: f64,
    pub(crate) phases: Vec<Phase>,
    /// Lookups that arrive before are not counted.
    pub(crate) counted_from: Duration,
    pub(crate) end: Duration,
    pub(crate) seed: u64,
}

/// What became of the lookups.
#[derive(Clone, Debug, Default)]
pub(crate) struct LookupResult {
    pub(crate) lookup_count: u32,
    pub(crate) in_time_count: u32,
    pub(crate) late_count: u32,
    /// Lookups that a target rejected because its queue was full.
    pub(crate) rejected_count: u32,
    pub(crate) refused_count: u32,
    /// Refused lookups for which a slot was free at a target that would have answered in time.
    pub(crate) wrongly_refused_count: u32,
    /// Limit of each process at the end.
    pub(crate) final_limits: Vec<usize>,
}

struct Lookup {
    process: usize,
    arrived_at: Duration,
    permit: Option<Permit>,
}

#[derive(Default)]
struct Target {
    busy_count: usize,
    queue: VecDeque<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Check { process: usize, id: u64 },
    Served { lookup: usize, target: usize },
}

struct Model {
    scene: Scene,
    queues: Vec<AdmissionQueue>,
    targets: Vec<Target>,
    lookups: Vec<Lookup>,
    waiting: HashMap<(usize, u64), usize>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    now: Duration,
    rng: ChaCha8Rng,
    /// Requests in flight as of the latest reports.
    reported: f64,
    reported_at: Duration,
    result: LookupResult,
}

/// Runs a scene and returns what became of the lookups.
pub(crate) fn run(scene: &Scene) -> LookupResult {
    let queue = |cores: &f64| AdmissionQueue::new(AdmissionLimits::default(), *cores, 1 << 20);
    let mut model = Model {
        queues: scene.capacities_cores.iter().map(queue).collect(),
        targets: (0..scene.target_count).map(|_| Target::default()).collect(),
        lookups: Vec::new(),
        waiting: HashMap::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        now: Duration::ZERO,
        rng: ChaCha8Rng::seed_from_u64(scene.seed),
        reported: 0.0,
        reported_at: Duration::ZERO,
        result: LookupResult::default(),
        scene: scene.clone(),
    };
    model.schedule(Duration::ZERO, Event::Arrival);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        model.handle(event);
    }
    let limits = model
        .queues
        .iter()
        .map(|queue| queue.limit().permit_count());
    model.result.final_limits = limits.collect();
    model.result
}

impl Model {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn phase(&self) -> Phase {
        let mut begun = self.scene.phases.iter().rev();
        *begun.find(|phase| phase.from <= self.now).unwrap()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Check { process, id } => {
                let now = self.now;
                if let Some(at) = self.queues[process].check(id, now) {
                    let at = at.max(now + Duration::from_millis(1));
                    self.schedule(at, Event::Check { process, id });
                }
                self.apply_verdicts(process);
            }
            Event::Served { lookup, target } => self.handle_served(lookup, target),
        }
    }

    fn handle_arrival(&mut self) {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let next_at = self.now + Duration::from_secs_f64(-draw.ln() / self.phase().per_s);
        if next_at < self.scene.end {
            self.schedule(next_at, Event::Arrival);
        }
        let process = self.rng.random_range(0..self.queues.len());
        let lookup = self.lookups.len();
        self.lookups.push(Lookup {
            process,
            arrived_at: self.now,
            permit: None,
        });
        self.count(lookup, |result| result.lookup_count += 1);
        let arrival = Arrival {
            route: 1,
            priority: 2,
            goal: GOAL,
            goal_at: self.now + GOAL,
            body_bytes: 100,
        };
        match self.queues[process].arrive(arrival, self.now) {
            Decision::Start(permit) => self.start(lookup, permit),
            Decision::Refuse(_) => self.refuse(lookup),
            Decision::Wait { id, check_at } => {
                self.waiting.insert((process, id), lookup);
                self.schedule(check_at.max(self.now), Event::Check { process, id });
            }
        }
        self.apply_verdicts(process);
    }

    fn count(&mut self, lookup: usize, change: impl FnOnce(&mut LookupResult)) {
        if self.lookups[lookup].arrived_at >= self.scene.counted_from {
            change(&mut self.result);
        }
    }

    fn apply_verdicts(&mut self, process: usize) {
        for (id, verdict) in self.queues[process].take_verdicts() {
            let lookup = self.waiting[&(process, id)];
            match verdict {
                Verdict::Start(permit) => self.start(lookup, permit),
                Verdict::Refuse(_) => self.refuse(lookup),
            }
        }
    }

    fn refuse(&mut self, lookup: usize) {
        let left = (self.lookups[lookup].arrived_at + GOAL).saturating_sub(self.now);
        let mut targets = 0..self.targets.len();
        let could_run = targets.any(|target| {
            self.targets[target].busy_count < SLOTS && self.mean_time(target).mul_f64(1.4) <= left
        });
        self.count(lookup, |result| {
            result.refused_count += 1;
            result.wrongly_refused_count += u32::from(could_run);
        });
    }

    /// Returns the mean time of a lookup at a target.
    fn mean_time(&self, target: usize) -> Duration {
        let phase = self.phase();
        let slow_count = phase.slow_fraction * self.targets.len() as f64;
        match (target as f64) < slow_count {
            true => SERVICE_TIME.mul_f64(phase.slow_factor),
            false => SERVICE_TIME,
        }
    }

    /// Sends a lookup to the target with fewer requests of two that are drawn.
    fn start(&mut self, lookup: usize, permit: Permit) {
        self.lookups[lookup].permit = Some(permit);
        let drawn = [(); 2].map(|()| self.rng.random_range(0..self.targets.len()));
        let load =
            |target: &usize| self.targets[*target].busy_count + self.targets[*target].queue.len();
        let target = drawn.into_iter().min_by_key(load).unwrap();
        if self.targets[target].busy_count < SLOTS {
            self.serve(lookup, target);
        } else if self.targets[target].queue.len() < QUEUE_LENGTH {
            self.targets[target].queue.push_back(lookup);
        } else {
            self.count(lookup, |result| result.rejected_count += 1);
            let report = RunReport {
                part_count: 1,
                failed_part_count: 1,
                attempt_count: 1,
                rejected_attempt_count: 1,
                ..RunReport::default()
            };
            self.end(lookup, &report);
        }
    }

    fn serve(&mut self, lookup: usize, target: usize) {
        self.targets[target].busy_count += 1;
        let factor = self.rng.random_range(0.6..1.4);
        let time = self.mean_time(target).mul_f64(factor);
        self.schedule(self.now + time, Event::Served { lookup, target });
    }

    fn handle_served(&mut self, lookup: usize, target: usize) {
        self.targets[target].busy_count -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.serve(next, target);
        }
        let is_in_time = self.now <= self.lookups[lookup].arrived_at + GOAL;
        self.count(lookup, |result| match is_in_time {
            true => result.in_time_count += 1,
            false => result.late_count += 1,
        });
        let report = RunReport {
            has_run_time: true,
            is_in_time,
            part_count: 1,
            attempt_count: 1,
            ..RunReport::default()
        };
        self.end(lookup, &report);
    }

    /// Returns the use of the slots as a process knows it.
    fn slot_use(&mut self, process: usize) -> SlotUse {
        if self.now >= self.reported_at + REPORT_INTERVAL {
            let in_flight = self.queues.iter().map(AdmissionQueue::running_count);
            self.reported = in_flight.sum::<usize>() as f64 * self.scene.reported_weight;
            self.reported_at = self.now;
        }
        let is_reported =
            self.queues.len() > DIRECT_PROCESSES_MAX && self.scene.reported_weight > 0.0;
        SlotUse {
            own_in_flight: self.queues[process].running_count() as f64,
            reported_in_flight: is_reported.then_some(self.reported),
            slots: (SLOTS * self.targets.len()) as f64,
            share: 1.0 / self.queues.len() as f64,
        }
    }

    fn end(&mut self, lookup: usize, report: &RunReport) {
        let process = self.lookups[lookup].process;
        if let Some(permit) = self.lookups[lookup].permit.take() {
            let mut report = *report;
            if self.scene.knows_slot_use && self.queues[process].is_loaded(&permit, self.now) {
                let per_slot = self.slot_use(process).in_flight_per_slot();
                let now = self.now;
                report.has_free_slots = self.queues[process].record_pressure(&[per_slot], 1, now);
            }
            self.queues[process].finish(permit, &report, self.now);
            self.apply_verdicts(process);
        }
    }
}

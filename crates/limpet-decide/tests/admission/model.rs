//! Callers, the processes that admit their queries, and one service group that runs them, in virtual time.

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
    Refusal,
    RunReport,
    Verdict,
    retry_after, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Slots of one target of the service group.
const SLOTS_PER_TARGET: usize = 6;
/// Requests that wait for a slot of one target; further ones are rejected.
const QUEUE_PER_TARGET: usize = 36;
/// Time after which a caller retries if the failure says nothing.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time until the processes have adapted; requests before it are not counted.
const ADAPTATION_TIME: Duration = Duration::from_secs(8);
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(24);

/// A kind of request.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) priority: u32,
    pub(crate) goal: Duration,
    pub(crate) timeout: Duration,
    /// Mean time in a slot; the actual one is 0.6 to 1.4 times as long.
    pub(crate) service_time: Duration,
    pub(crate) per_s: f64,
}

/// The processes and the targets, which share one queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scene {
    pub(crate) process_count: usize,
    pub(crate) target_count: usize,
    pub(crate) is_admission_on: bool,
    pub(crate) seed: u64,
}

/// What became of the requests of one kind.
#[derive(Clone, Default, Debug)]
pub(crate) struct KindResult {
    pub(crate) request_count: u32,
    /// Requests that were answered within the goal, counted from the first attempt.
    pub(crate) in_time_count: u32,
    /// Attempts that were not answered within the goal.
    pub(crate) unserved_count: u32,
    /// Those of them that were refused within a quarter of the goal.
    pub(crate) refused_at_once_count: u32,
    pub(crate) refused_count: u32,
    /// Refused attempts for which a permit was free while they could still have been in time.
    pub(crate) wrongly_refused_count: u32,
    pub(crate) admitted_count: u32,
    /// Admitted attempts that were answered after the goal.
    pub(crate) admitted_late_count: u32,
}

/// One attempt of a caller.
struct Attempt {
    kind: usize,
    process: usize,
    is_retry: bool,
    first_at: Duration,
    arrived_at: Duration,
    permit: Option<Permit>,
}

/// A refused attempt, until its goal has passed.
struct Shadow {
    kind: usize,
    process: usize,
    goal_at: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { kind: usize },
    Retry { attempt: usize },
    Check { process: usize, id: u64 },
    Served { attempt: usize },
}

pub(crate) struct Model {
    kinds: Vec<Kind>,
    /// One queue for each process; none if all requests are admitted.
    queues: Vec<AdmissionQueue>,
    scene: Scene,
    attempts: Vec<Attempt>,
    /// Attempts that wait, by process and number in its queue.
    waiting: HashMap<(usize, u64), usize>,
    shadows: Vec<Shadow>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    busy_count: usize,
    service_queue: VecDeque<usize>,
    now: Duration,
    rng: ChaCha8Rng,
    pub(crate) results: Vec<KindResult>,
}

/// Runs a load in a scene and returns what became of the requests of each kind.
pub(crate) fn run(kinds: &[Kind], scene: Scene) -> Vec<KindResult> {
    let queue = || AdmissionQueue::new(AdmissionLimits::default(), 0.5, 1 << 20);
    let queues = match scene.is_admission_on {
        true => (0..scene.process_count).map(|_| queue()).collect(),
        false => Vec::new(),
    };
    let mut model = Model {
        kinds: kinds.to_vec(),
        queues,
        scene,
        attempts: Vec::new(),
        waiting: HashMap::new(),
        shadows: Vec::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        busy_count: 0,
        service_queue: VecDeque::new(),
        now: Duration::ZERO,
        rng: ChaCha8Rng::seed_from_u64(scene.seed),
        results: vec![KindResult::default(); kinds.len()],
    };
    for kind in 0..kinds.len() {
        model.schedule(Duration::ZERO, Event::Arrival { kind });
    }
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        model.handle(event);
    }
    model.results
}

impl Model {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { kind } => self.handle_arrival(kind),
            Event::Retry { attempt } => self.handle_retry(attempt),
            Event::Check { process, id } => {
                let now = self.now;
                let next_check_at = self.queues[process].check(id, now);
                if let Some(at) = next_check_at {
                    let at = at.max(now + Duration::from_millis(1));
                    self.schedule(at, Event::Check { process, id });
                }
                self.apply_verdicts(process);
            }
            Event::Served { attempt } => self.handle_served(attempt),
        }
    }

    fn handle_arrival(&mut self, kind: usize) {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let gap = Duration::from_secs_f64(-draw.ln() / self.kinds[kind].per_s);
        if self.now + gap < RUN_TIME {
            self.schedule(self.now + gap, Event::Arrival { kind });
        }
        let process = self.rng.random_range(0..self.scene.process_count);
        self.attempts.push(Attempt {
            kind,
            process,
            is_retry: false,
            first_at: self.now,
            arrived_at: self.now,
            permit: None,
        });
        self.count(self.attempts.len() - 1, |result| result.request_count += 1);
        self.begin(self.attempts.len() - 1);
    }

    fn handle_retry(&mut self, attempt: usize) {
        let Attempt { kind, first_at, .. } = self.attempts[attempt];
        let process = self.rng.random_range(0..self.scene.process_count);
        self.attempts.push(Attempt {
            kind,
            process,
            is_retry: true,
            first_at,
            arrived_at: self.now,
            permit: None,
        });
        self.begin(self.attempts.len() - 1);
    }

    /// Changes the counts of an attempt's kind if its request belongs to the counted time.
    fn count(&mut self, attempt: usize, change: impl FnOnce(&mut KindResult)) {
        let Attempt { kind, first_at, .. } = self.attempts[attempt];
        if first_at >= ADAPTATION_TIME {
            change(&mut self.results[kind]);
        }
    }

    fn goal_at(&self, attempt: usize) -> Duration {
        let Attempt { kind, first_at, .. } = self.attempts[attempt];
        first_at + self.kinds[kind].goal
    }

    /// Lets an attempt into the process that it arrives at.
    fn begin(&mut self, attempt: usize) {
        if self.queues.is_empty() {
            self.send(attempt);
            return;
        }
        let Attempt { kind, process, .. } = self.attempts[attempt];
        let arrival = Arrival {
            route: kind as u32,
            priority: self.kinds[kind].priority,
            goal: self.kinds[kind].goal,
            goal_at: self.goal_at(attempt),
            body_bytes: 100,
        };
        match self.queues[process].arrive(arrival, self.now) {
            Decision::Start(permit) => {
                let queue = &self.queues[process];
                if queue.running_count() <= queue.limit().permit_count() {
                    self.resolve_shadows(process);
                }
                self.start(attempt, permit);
            }
            Decision::Refuse(refusal) => self.refuse(attempt, refusal),
            Decision::Wait { id, check_at } => {
                self.waiting.insert((process, id), attempt);
                self.schedule(check_at.max(self.now), Event::Check { process, id });
            }
        }
        self.apply_verdicts(process);
    }

    fn apply_verdicts(&mut self, process: usize) {
        for (id, verdict) in self.queues[process].take_verdicts() {
            let attempt = self.waiting[&(process, id)];
            match verdict {
                Verdict::Start(permit) => self.start(attempt, permit),
                Verdict::Refuse(refusal) => self.refuse(attempt, refusal),
            }
        }
    }

    /// Sends an attempt that got its permit.
    fn start(&mut self, attempt: usize, permit: Permit) {
        self.attempts[attempt].permit = Some(permit);
        self.count(attempt, |result| result.admitted_count += 1);
        self.send(attempt);
    }

    /// A permit was free for the attempts that this process refused and that could still start in time.
    fn resolve_shadows(&mut self, process: usize) {
        let now = self.now;
        let limit = self.queues[process].limit();
        let results = &mut self.results;
        self.shadows.retain(|shadow| {
            let run_time = limit.route_runs(shadow.kind as u32).mean();
            let could_run = shadow.process == process && now + run_time <= shadow.goal_at;
            results[shadow.kind].wrongly_refused_count += u32::from(could_run);
            !could_run && shadow.goal_at > now
        });
    }

    fn refuse(&mut self, attempt: usize, refusal: Refusal) {
        let goal_at = self.goal_at(attempt);
        let Attempt {
            kind,
            process,
            arrived_at,
            first_at,
            ..
        } = self.attempts[attempt];
        let is_at_once = self.now - arrived_at <= self.kinds[kind].goal / 4;
        self.count(attempt, |result| {
            result.refused_count += 1;
            result.unserved_count += 1;
            result.refused_at_once_count += u32::from(is_at_once);
        });
        if first_at >= ADAPTATION_TIME {
            self.shadows.push(Shadow {
                kind,
                process,
                goal_at,
            });
        }
        let time_left = (first_at + self.kinds[kind].timeout).saturating_sub(self.now);
        let draw = self.rng.random_range(0.0..1.0);
        self.retry(attempt, retry_after(refusal.expected_wait, time_left, draw));
    }

    fn retry(&mut self, attempt: usize, delay: Duration) {
        if !self.attempts[attempt].is_retry {
            self.schedule(self.now + delay, Event::Retry { attempt });
        }
    }

    /// Sends an attempt to the service group.
    fn send(&mut self, attempt: usize) {
        if self.busy_count < SLOTS_PER_TARGET * self.scene.target_count {
            self.serve(attempt);
        } else if self.service_queue.len() < QUEUE_PER_TARGET * self.scene.target_count {
            self.service_queue.push_back(attempt);
        } else {
            let report = RunReport {
                has_free_slots: false,
                part_count: 1,
                failed_part_count: 1,
                attempt_count: 1,
                rejected_attempt_count: 1,
                ..RunReport::default()
            };
            self.end(attempt, &report);
            self.count(attempt, |result| result.unserved_count += 1);
            self.retry(attempt, DEFAULT_RETRY_AFTER);
        }
    }

    fn serve(&mut self, attempt: usize) {
        self.busy_count += 1;
        let mean = self.kinds[self.attempts[attempt].kind].service_time;
        let time = mean.mul_f64(self.rng.random_range(0.6..1.4));
        self.schedule(self.now + time, Event::Served { attempt });
    }

    fn handle_served(&mut self, attempt: usize) {
        self.busy_count -= 1;
        if let Some(next) = self.service_queue.pop_front() {
            self.serve(next);
        }
        let is_in_time = self.now <= self.goal_at(attempt);
        self.count(attempt, |result| {
            result.in_time_count += u32::from(is_in_time);
            result.unserved_count += u32::from(!is_in_time);
            result.admitted_late_count += u32::from(!is_in_time);
        });
        let report = RunReport {
            has_free_slots: false,
            has_run_time: true,
            is_in_time,
            part_count: 1,
            attempt_count: 1,
            ..RunReport::default()
        };
        self.end(attempt, &report);
    }

    /// Gives back the permit of an attempt.
    fn end(&mut self, attempt: usize, report: &RunReport) {
        let process = self.attempts[attempt].process;
        if let Some(permit) = self.attempts[attempt].permit.take() {
            self.queues[process].finish(permit, report, self.now);
            self.apply_verdicts(process);
        }
    }
}

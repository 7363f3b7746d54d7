//! Keeps the states of a simulated fleet current while processes and connections fail.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use limpet_decide::{
    refresh::{
        PeerAnswer,
        RefreshLimits,
        RefreshPlanner,
        RefreshStep,
        RefreshView,
        SourceAnswer, //
    },
    spread::{
        ReaderRank,
        Readers,
        readers, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Greatest age of a state while the source answers.
const AGE_MAX: Duration = Duration::from_millis(2550);
/// Time without a sign of life after which a process does not count as live.
const SILENT_AFTER: Duration = Duration::from_millis(700);

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000))
}

/// Readers of the process at `own` among `count` processes of one zone.
fn readers_of(own: usize, live: &[SocketAddr]) -> Readers {
    let ranks: Vec<ReaderRank<'_>> = live
        .iter()
        .map(|addr| ReaderRank {
            addr: *addr,
            zone: Some("zone-a"),
            capacity_millicores: 250,
        })
        .collect();
    readers(addr(own), &ranks)
}

/// Plays the steps of one process whose candidates never answer; returns the age of its state when the source has
/// answered, of which `lost_calls` calls are lost before.
fn age_at_source_answer(age: Duration, candidate_count: usize, lost_calls: u32) -> Duration {
    let live: Vec<SocketAddr> = (0..=candidate_count).map(addr).collect();
    let readers = readers_of(candidate_count, &live);
    let mut planner = RefreshPlanner::new(RefreshLimits::new(AGE_MAX));
    let mut now = Duration::from_secs(100);
    let verified_at = now - age;
    let mut lost_calls = lost_calls;
    loop {
        let view = RefreshView {
            age: Some(now - verified_at),
            own_addr: addr(candidate_count),
            readers: &readers,
            live_addrs: &live,
        };
        match planner.next_step(&view, now, || 0.5) {
            RefreshStep::AskPeer { peer, timeout, .. } => {
                now += timeout;
                planner.record_peer_answer(peer, PeerAnswer::Missing, now);
            }
            RefreshStep::AskSource { timeout, .. } if lost_calls > 0 => {
                lost_calls -= 1;
                now += timeout;
                planner.record_source_answer(SourceAnswer::Interrupted, false);
            }
            RefreshStep::AskSource { .. } => return now - verified_at,
            RefreshStep::Wait(delay) => now += delay,
        }
    }
}

fn lost_candidates_leave_time_for_the_source((candidate_count, lost_calls): (usize, u32)) {
    for age_ms in (0..1600).step_by(7) {
        let age = Duration::from_millis(age_ms);
        let age_at_answer = age_at_source_answer(age, candidate_count, lost_calls);
        assert!(
            age_at_answer <= AGE_MAX,
            "a state of {age:?} got as old as {age_at_answer:?}"
        );
    }
}

// Guards against a process that asks silent processes one after the other until its state is too old.
limpet_testkit::cases! {
    lost_candidates_leave_time_for_the_source:
    without_candidates => (0, 0),
    one_lost_candidate => (1, 0),
    all_lost_candidates => (3, 0),
    one_lost_candidate_and_a_lost_call => (1, 1),
    all_lost_candidates_and_a_lost_call => (3, 1),
}

/// Guards against an outage that is declared because of one interrupted call.
#[test]
fn interrupted_call_is_repeated_at_once() {
    let live = [addr(0), addr(1)];
    let readers = readers_of(0, &live);
    let mut planner = RefreshPlanner::new(RefreshLimits::new(AGE_MAX));
    let view = RefreshView {
        age: Some(Duration::from_millis(900)),
        own_addr: addr(0),
        readers: &readers,
        live_addrs: &live,
    };
    let now = Duration::from_secs(9);
    let first = planner.next_step(&view, now, || 0.5);
    assert!(matches!(first, RefreshStep::AskSource { hold_max, .. } if !hold_max.is_zero()));
    assert!(!planner.record_source_answer(SourceAnswer::Interrupted, false));
    let second = planner.next_step(&view, now, || 0.5);
    assert!(matches!(second, RefreshStep::AskSource { hold_max, .. } if hold_max.is_zero()));
    assert!(!planner.record_source_answer(SourceAnswer::Answered, true));
}

/// Guards against an outage that is not noticed.
#[test]
fn source_that_rejects_or_drops_two_calls_is_down() {
    let mut planner = RefreshPlanner::new(RefreshLimits::new(AGE_MAX));
    assert!(planner.record_source_answer(SourceAnswer::Rejected, false));
    let mut planner = RefreshPlanner::new(RefreshLimits::new(AGE_MAX));
    assert!(!planner.record_source_answer(SourceAnswer::Interrupted, false));
    assert!(planner.record_source_answer(SourceAnswer::Interrupted, false));
}

/// Faults of the simulated fleet at one moment.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Processes that neither answer nor are heard.
    silent: HashSet<usize>,
    /// Processes that are heard but do not answer.
    deaf: HashSet<usize>,
    /// Processes that the source does not answer.
    without_source: HashSet<usize>,
    /// Whether calls to processes are late at random.
    has_late_replies: bool,
}

/// State of one simulated process.
#[derive(Debug)]
struct Process {
    revision: watch::Sender<u64>,
    verified_at: Mutex<Instant>,
}

/// A simulated fleet and its source, in virtual time.
#[derive(Debug)]
struct Fleet {
    limits: RefreshLimits,
    processes: Vec<Process>,
    source_revision: watch::Sender<u64>,
    /// Number of times that the waiting calls to the source were cut.
    cut_count: watch::Sender<u64>,
    faults: Mutex<Faults>,
    /// Since when each process was silent, which the others notice after a while.
    silent_since: Mutex<Vec<Option<Instant>>>,
    started_at: Instant,
}

/// Reply to a follower.
struct PeerReply {
    revision: u64,
    age: Duration,
}

impl Fleet {
    fn new(process_count: usize, age_max: Duration) -> Arc<Self> {
        let processes = (0..process_count).map(|_| Process {
            revision: watch::Sender::new(1),
            verified_at: Mutex::new(Instant::now()),
        });
        Arc::new(Self {
            limits: RefreshLimits::new(age_max),
            processes: processes.collect(),
            source_revision: watch::Sender::new(1),
            cut_count: watch::Sender::new(0),
            faults: Mutex::default(),
            silent_since: Mutex::new(vec![None; process_count]),
            started_at: Instant::now(),
        })
    }

    fn set_faults(&self, faults: Faults) {
        let mut silent_since = self.silent_since.lock().unwrap();
        for (number, since) in silent_since.iter_mut().enumerate() {
            *since = match faults.silent.contains(&number) {
                true => since.or(Some(Instant::now())),
                false => None,
            };
        }
        *self.faults.lock().unwrap() = faults;
    }

    fn faults(&self) -> Faults {
        self.faults.lock().unwrap().clone()
    }

    fn live_addrs(&self) -> Vec<SocketAddr> {
        let silent_since = self.silent_since.lock().unwrap();
        let is_live = |since: &Option<Instant>| since.is_none_or(|at| at.elapsed() < SILENT_AFTER);
        let live = silent_since
            .iter()
            .enumerate()
            .filter(|(_, since)| is_live(since));
        live.map(|(number, _)| addr(number)).collect()
    }

    fn age(&self, number: usize) -> Duration {
        self.processes[number].verified_at.lock().unwrap().elapsed()
    }

    fn apply(&self, number: usize, revision: u64, verified_at: Instant) {
        let process = &self.processes[number];
        if revision < *process.revision.borrow() {
            return;
        }
        process.revision.send_if_modified(|known| {
            let is_new = *known != revision;
            *known = revision;
            is_new
        });
        let mut known_verified_at = process.verified_at.lock().unwrap();
        *known_verified_at = (*known_verified_at).max(verified_at);
    }

    /// Answers a follower as a process does.
    async fn answer(&self, number: usize, after: u64, hold_max: Duration) -> PeerReply {
        let process = &self.processes[number];
        let is_current = self.age(number) <= self.limits.current_age_max();
        if is_current && *process.revision.borrow() == after {
            let mut revision = process.revision.subscribe();
            let _ = timeout(hold_max, revision.wait_for(|known| *known != after)).await;
        }
        PeerReply {
            revision: *process.revision.borrow(),
            age: self.age(number),
        }
    }

    async fn ask_peer(&self, own: usize, peer: SocketAddr, hold_max: Duration) -> PeerAnswer {
        let number = self
            .processes
            .iter()
            .enumerate()
            .position(|(number, _)| addr(number) == peer);
        let number = number.unwrap();
        let faults = self.faults();
        let is_lost = |number| faults.silent.contains(&number) || faults.deaf.contains(&number);
        if is_lost(number) || faults.silent.contains(&own) {
            std::future::pending::<()>().await;
        }
        let requested_at = Instant::now();
        let after = *self.processes[own].revision.borrow();
        sleep(self.latency(number, own)).await;
        let reply = self.answer(number, after, hold_max).await;
        sleep(self.latency(own, number)).await;
        if self.faults().silent.contains(&number) {
            std::future::pending::<()>().await;
        }
        let is_older = reply.revision < *self.processes[own].revision.borrow();
        let was_held = reply.revision == after && reply.age <= self.limits.current_age_max();
        let as_of = match was_held {
            true => requested_at + hold_max,
            false => requested_at,
        };
        self.apply(own, reply.revision, as_of - reply.age);
        match reply.age <= self.limits.current_age_max() && !is_older {
            true => PeerAnswer::Current,
            false => PeerAnswer::Outdated,
        }
    }

    /// Latency of a message, which depends on time so that it varies without a generator.
    fn latency(&self, from: usize, to: usize) -> Duration {
        let seed = self.started_at.elapsed().as_micros() as u64 ^ ((from * 31 + to) as u64) << 40;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        match self.faults().has_late_replies && rng.random_bool(0.1) {
            true => Duration::from_millis(rng.random_range(50..900)),
            false => Duration::from_micros(rng.random_range(500..6000)),
        }
    }

    async fn ask_source(&self, own: usize, hold_max: Duration) -> Option<(u64, bool, Instant)> {
        let faults = self.faults();
        if faults.without_source.contains(&own) || faults.silent.contains(&own) {
            std::future::pending::<()>().await;
        }
        let requested_at = Instant::now();
        let after = *self.processes[own].revision.borrow();
        let mut cut_count = self.cut_count.subscribe();
        sleep(Duration::from_millis(4)).await;
        let mut revision = self.source_revision.subscribe();
        tokio::select! {
            _ = timeout(hold_max, revision.wait_for(|known| *known != after)) => {}
            _ = cut_count.changed() => return None,
        }
        let known = *self.source_revision.borrow();
        let verified_at = match known == after {
            true => requested_at + hold_max,
            false => requested_at,
        };
        Some((known, known != after, verified_at))
    }

    /// Runs one process until the test ends.
    async fn run_process(self: Arc<Self>, own: usize, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + own as u64);
        let mut planner = RefreshPlanner::new(self.limits);
        loop {
            let live_addrs = self.live_addrs();
            let readers = readers_of(own, &live_addrs);
            let view = RefreshView {
                age: Some(self.age(own)),
                own_addr: addr(own),
                readers: &readers,
                live_addrs: &live_addrs,
            };
            let now = self.started_at.elapsed();
            let step = planner.next_step(&view, now, || rng.random_range(0.0..1.0));
            match step {
                RefreshStep::Wait(delay) => sleep(delay).await,
                RefreshStep::AskPeer {
                    peer,
                    hold_max,
                    timeout: reply_timeout,
                } => {
                    let answer = timeout(reply_timeout, self.ask_peer(own, peer, hold_max)).await;
                    let answer = answer.unwrap_or(PeerAnswer::Missing);
                    planner.record_peer_answer(peer, answer, self.started_at.elapsed());
                }
                RefreshStep::AskSource {
                    hold_max,
                    timeout: reply_timeout,
                } => match timeout(reply_timeout, self.ask_source(own, hold_max)).await {
                    Ok(Some((revision, has_changes, verified_at))) => {
                        self.apply(own, revision, verified_at);
                        planner.record_source_answer(SourceAnswer::Answered, has_changes);
                    }
                    Ok(None) | Err(_) => {
                        planner.record_source_answer(SourceAnswer::Interrupted, false);
                    }
                },
            }
        }
    }
}

/// What a round of the simulation changes.
struct Round {
    process_count: usize,
    age_max: Duration,
    /// Draws the faults of a round.
    faults: fn(&mut ChaCha8Rng, usize) -> Faults,
}

/// Returns a random set of some processes, the first ones always included: those that the others ask first.
fn first_processes(rng: &mut ChaCha8Rng, process_count: usize) -> HashSet<usize> {
    (0..rng.random_range(1..=process_count / 2)).collect()
}

/// Plays seeded rounds of faults, in each of which the source changes and waiting calls are cut at random times.
/// Checks that each process that the source answers has every change in time.
async fn changes_arrive_in_time(round: Round) {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(20_261_205 + seed);
        let fleet = Fleet::new(round.process_count, round.age_max);
        let mut tasks = JoinSet::new();
        for number in 0..round.process_count {
            tasks.spawn(Arc::clone(&fleet).run_process(number, seed));
        }
        sleep(Duration::from_secs(3)).await;
        for _ in 0..12 {
            let faults = (round.faults)(&mut rng, round.process_count);
            fleet.set_faults(faults.clone());
            sleep(Duration::from_millis(rng.random_range(0..1500))).await;
            if rng.random_bool(0.5) {
                fleet.cut_count.send_modify(|count| *count += 1);
            }
            sleep(Duration::from_micros(rng.random_range(0..3000))).await;
            fleet.source_revision.send_modify(|revision| *revision += 1);
            let revision = *fleet.source_revision.borrow();
            sleep(round.age_max).await;
            for (number, process) in fleet.processes.iter().enumerate() {
                let is_in_contact =
                    !faults.silent.contains(&number) && !faults.without_source.contains(&number);
                let known = *process.revision.borrow();
                assert!(
                    !is_in_contact || known == revision,
                    "seed {seed}: process {number} knows {known} of {revision} after {:?}, {faults:?}",
                    round.age_max
                );
            }
            fleet.set_faults(Faults::default());
            sleep(Duration::from_millis(rng.random_range(0..3000))).await;
        }
        tasks.shutdown().await;
    }
}

macro_rules! simulations {
    ($($name:ident => $round:expr;)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                changes_arrive_in_time($round).await;
            }
        )+
    };
}

// Guards against a change that a process with contact to the source applies too late, since the processes that it
// follows are gone, late, outdated or cut off.
simulations! {
    undisturbed_fleet => Round {
        process_count: 8,
        age_max: AGE_MAX,
        faults: |_, _| Faults::default(),
    };
    silent_readers => Round {
        process_count: 8,
        age_max: AGE_MAX,
        faults: |rng, count| Faults { silent: first_processes(rng, count), ..Faults::default() },
    };
    readers_that_are_heard_but_do_not_answer => Round {
        process_count: 8,
        age_max: AGE_MAX,
        faults: |rng, count| Faults { deaf: first_processes(rng, count), ..Faults::default() },
    };
    readers_without_the_source => Round {
        process_count: 8,
        age_max: AGE_MAX,
        faults: |rng, count| Faults {
            without_source: first_processes(rng, count),
            ..Faults::default()
        },
    };
    late_replies => Round {
        process_count: 8,
        age_max: AGE_MAX,
        faults: |_, _| Faults { has_late_replies: true, ..Faults::default() },
    };
    all_faults_at_once => Round {
        process_count: 9,
        age_max: AGE_MAX,
        faults: |rng, count| Faults {
            silent: (0..rng.random_range(0..2)).collect(),
            deaf: first_processes(rng, count),
            without_source: (0..count).filter(|_| rng.random_bool(0.4)).collect(),
            has_late_replies: rng.random_bool(0.5),
        },
    };
    large_fleet_without_its_readers => Round {
        process_count: 70,
        age_max: Duration::from_millis(4250),
        faults: |rng, _| Faults {
            silent: (0..rng.random_range(0..6)).collect(),
            deaf: (0..rng.random_range(0..9)).collect(),
            without_source: (0..rng.random_range(0..12)).collect(),
            has_late_replies: rng.random_bool(0.5),
        },
    };
}

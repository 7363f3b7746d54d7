//! Processes that send queries to targets which crash, in virtual time.

use std::time::Duration;

use limpet_decide::quarantine::{
    CrashSuspect,
    StrikeTable, //
};
use rand::{
    Rng,
    SeedableRng,
    seq::SliceRandom, //
};
use rand_chacha::ChaCha8Rng;

/// Query that crashes the targets that run it.
pub(crate) const POISON: u64 = 1;
/// Query that is sent more often than others.
pub(crate) const POPULAR: u64 = 2;
/// Queries that are sent now and then, from this fingerprint on.
const REGULAR: u64 = 10;
const REGULAR_COUNT: u64 = 3;
/// Queries that are sent once, from this fingerprint on.
const UNIQUE: u64 = 1_000;

const TICK: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(20);
const TARGETS: usize = 12;
/// Number of targets that go down together if a rack does.
const RACK_TARGETS: usize = 4;
const RESTART_TIME: Duration = Duration::from_secs(2);
const LATENCY_MS: u64 = 220;
/// Time from the arrival of the poison query until its target crashes.
const CRASH_LATENCY: Duration = Duration::from_millis(20);
const CHECK_TIME: Duration = Duration::from_millis(30);
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
const REPORTED_STRIKES_MAX: usize = 8;

/// Which queries get a strike when a target crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// All that were in flight.
    AllSuspects,
    /// Only the one whose failure was noticed first, as the only suspect, as before the rule.
    FirstNoticed,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Targets that the poison query crashed.
    pub(crate) poison_crashes: usize,
    pub(crate) poison_refused: usize,
    pub(crate) popular_sent: usize,
    pub(crate) popular_refused: usize,
    pub(crate) others_sent: usize,
    pub(crate) others_refused: usize,
}

/// An attempt of a query, in flight or about to be sent.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    process: usize,
    suspect: CrashSuspect,
    ends_at: Duration,
}

/// A check whether a target crashed.
#[derive(Debug)]
struct Check {
    process: usize,
    suspects: Vec<CrashSuspect>,
    ends_at: Duration,
}

#[derive(Debug, Default)]
struct Target {
    running: Vec<Attempt>,
    up_at: Duration,
}

/// A fleet of processes and their targets.
#[derive(Debug)]
pub(crate) struct Fleet {
    rule: Rule,
    /// Maximum number of attempts of a run.
    attempts_max: usize,
    rng: ChaCha8Rng,
    now: Duration,
    tables: Vec<StrikeTable>,
    targets: Vec<Target>,
    checks: Vec<Check>,
    next_poison_at: Duration,
    next_fault_at: Duration,
    next_unique: u64,
    counts: Counts,
}

/// Runs a fleet of 1 to 8 processes, which the seed determines.
pub(crate) fn run(seed: u64, rule: Rule, has_poison: bool, attempts_max: usize) -> Counts {
    let start = Duration::from_secs(100);
    let mut fleet = Fleet {
        rule,
        attempts_max,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: start,
        tables: vec![StrikeTable::new(); 1 + seed as usize % 8],
        targets: (0..TARGETS).map(|_| Target::default()).collect(),
        checks: Vec::new(),
        next_poison_at: match has_poison {
            true => start + Duration::from_secs(1),
            false => Duration::MAX,
        },
        next_fault_at: start + Duration::from_secs(2),
        next_unique: UNIQUE,
        counts: Counts::default(),
    };
    while fleet.now < start + RUN_TIME {
        fleet.now += TICK;
        fleet.end_attempts();
        fleet.end_checks();
        fleet.inject_fault();
        fleet.send_queries();
        if fleet
            .now
            .as_millis()
            .is_multiple_of(GOSSIP_PERIOD.as_millis())
        {
            fleet.gossip();
        }
    }
    fleet.counts
}

impl Fleet {
    fn end_attempts(&mut self) {
        for index in 0..TARGETS {
            let now = self.now;
            let running = &mut self.targets[index].running;
            let ended: Vec<Attempt> = running.extract_if(.., |a| a.ends_at <= now).collect();
            for attempt in ended {
                if attempt.suspect.fingerprint == POISON {
                    self.targets[index].running.push(attempt);
                    self.counts.poison_crashes += 1;
                    self.crash(index);
                    break;
                }
                self.tables[attempt.process].record_query_success(attempt.suspect.fingerprint, now);
            }
        }
    }

    /// Breaks off the attempts at a target, and repeats them at others.
    fn crash(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.up_at = self.now + RESTART_TIME;
        let mut failed = std::mem::take(&mut target.running);
        failed.shuffle(&mut self.rng);
        for process in 0..self.tables.len() {
            let of_process = failed.iter().filter(|attempt| attempt.process == process);
            let suspects: Vec<_> = of_process.map(|attempt| attempt.suspect).collect();
            if !suspects.is_empty() {
                let ends_at = self.now + CHECK_TIME;
                self.checks.push(Check {
                    process,
                    suspects,
                    ends_at,
                });
            }
        }
        for mut attempt in failed {
            attempt.suspect.earlier_failures += 1;
            if attempt.suspect.earlier_failures < self.attempts_max {
                self.retry(attempt);
            } else if attempt.suspect.fingerprint == POISON {
                self.schedule_poison();
            }
        }
    }

    /// Sends a retry, unless the query is quarantined.
    fn retry(&mut self, attempt: Attempt) {
        let fingerprint = attempt.suspect.fingerprint;
        let table = &self.tables[attempt.process];
        let is_refused = table.is_query_quarantined(fingerprint, self.now);
        if !is_refused || self.rule == Rule::FirstNoticed {
            self.send(attempt);
        } else if fingerprint == POISON {
            self.schedule_poison();
        }
    }

    fn end_checks(&mut self) {
        let now = self.now;
        let ended: Vec<Check> = self
            .checks
            .extract_if(.., |check| check.ends_at <= now)
            .collect();
        for check in ended {
            let table = &mut self.tables[check.process];
            match self.rule {
                Rule::AllSuspects => table.record_target_crash(&check.suspects, &[], now),
                Rule::FirstNoticed => table.record_target_crash(&check.suspects[..1], &[], now),
            }
        }
    }

    /// Takes targets down that no query crashes: one, or a rack.
    fn inject_fault(&mut self) {
        if self.now < self.next_fault_at {
            return;
        }
        self.next_fault_at = self.now + Duration::from_millis(self.rng.random_range(500..6_000));
        let first = self.rng.random_range(0..TARGETS);
        let count = match self.rng.random_bool(0.2) {
            true => RACK_TARGETS,
            false => 1,
        };
        for index in first..first + count {
            if self.targets[index % TARGETS].up_at <= self.now {
                self.crash(index % TARGETS);
            }
        }
    }

    fn send_queries(&mut self) {
        for _ in 0..3 {
            self.next_unique += 1;
            self.begin(self.next_unique);
        }
        if self.rng.random_bool(0.4) {
            self.begin(POPULAR);
        }
        if self.rng.random_bool(0.15) {
            let number = self.rng.random_range(0..REGULAR_COUNT);
            self.begin(REGULAR + number);
        }
        if self.now >= self.next_poison_at {
            self.next_poison_at = Duration::MAX;
            self.begin(POISON);
        }
    }

    /// Begins a query at one of the processes, unless that refuses it.
    fn begin(&mut self, fingerprint: u64) {
        let process = self.rng.random_range(0..self.tables.len());
        let table = &self.tables[process];
        let is_refused = table.is_query_quarantined(fingerprint, self.now);
        let known_strikes = table.known_strikes(fingerprint, self.now);
        let counts = &mut self.counts;
        match fingerprint {
            POISON => counts.poison_refused += usize::from(is_refused),
            POPULAR => {
                counts.popular_sent += 1;
                counts.popular_refused += usize::from(is_refused);
            }
            _ => {
                counts.others_sent += 1;
                counts.others_refused += usize::from(is_refused);
            }
        }
        if !is_refused {
            self.send(Attempt {
                process,
                suspect: CrashSuspect {
                    fingerprint,
                    known_strikes,
                    earlier_failures: 0,
                },
                ends_at: Duration::ZERO,
            });
        } else if fingerprint == POISON {
            self.schedule_poison();
        }
    }

    fn send(&mut self, mut attempt: Attempt) {
        let is_up = |index: &usize| self.targets[*index].up_at <= self.now;
        let up: Vec<usize> = (0..TARGETS).filter(is_up).collect();
        let Some(index) = up.get(self.rng.random_range(0..up.len().max(1))) else {
            return;
        };
        let latency = Duration::from_millis(self.rng.random_range(LATENCY_MS / 2..LATENCY_MS * 2));
        attempt.ends_at = self.now
            + match attempt.suspect.fingerprint {
                POISON => CRASH_LATENCY,
                _ => latency,
            };
        self.targets[*index].running.push(attempt);
    }

    /// Lets the caller of the poison query send it again, after its strikes have spread.
    fn schedule_poison(&mut self) {
        self.next_poison_at = self.now + Duration::from_millis(self.rng.random_range(2_000..4_000));
    }

    /// Exchanges strikes as the gateway does.
    fn gossip(&mut self) {
        let now = self.now;
        let rng = &mut self.rng;
        let mut draw = |count| rng.random_range(0..count);
        let reports: Vec<_> = self
            .tables
            .iter()
            .map(|table| table.sample(REPORTED_STRIKES_MAX, now, &mut draw))
            .collect();
        for table in &mut self.tables {
            for strikes in &reports {
                table.merge(strikes, now);
            }
        }
    }
}

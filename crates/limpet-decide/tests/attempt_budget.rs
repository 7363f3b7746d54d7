//! Extra attempts of all processes together within a sliding window.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::{
    attempt_budget::{
        AttemptBudget,
        ExtraAttempt,
        RetryLimits,
        SlackShare, //
    },
    peer_load::{
        LoadTracker,
        PeerLoads, //
    },
};
use limpet_types::message::LoadReport;
use proptest::prelude::*;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const SERVICE: u32 = 7;

fn limits() -> RetryLimits {
    RetryLimits {
        ratio: RATIO,
        slack: SLACK,
        window: WINDOW,
    }
}

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Attempts of one process: time, and whether the attempt is an extra one.
type Attempts = Vec<(Duration, bool)>;

/// Returns whether some window has more extra attempts than all processes together may send, based on the requests
/// of that window and the one before it.
fn exceeds_limit(processes: &[Attempts]) -> bool {
    let all_attempts: Vec<(Duration, bool)> = processes.iter().flatten().copied().collect();
    all_attempts.iter().any(|(end, _)| {
        let start = end.saturating_sub(WINDOW);
        let attempts_since = |from: Duration| {
            let inside = all_attempts
                .iter()
                .filter(move |(at, _)| *at > from && *at <= *end);
            inside.copied().collect::<Vec<_>>()
        };
        let retry_count = attempts_since(start)
            .iter()
            .filter(|(_, is_retry)| *is_retry)
            .count();
        let request_count = attempts_since(start.saturating_sub(WINDOW))
            .iter()
            .filter(|(_, is_retry)| !is_retry)
            .count();
        retry_count as f64 > RATIO * request_count as f64 + SLACK
    })
}

/// Simulates processes that retry as often as they may, where each takes this share of the slack; `gaps_ms` holds the
/// times between the requests of each process.
fn simulate(gaps_ms: &[Vec<u64>], share: SlackShare) -> Vec<Attempts> {
    let run_process = |gaps_ms: &Vec<u64>| {
        let mut budget = AttemptBudget::new(limits());
        let mut now = Duration::ZERO;
        let mut attempts = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(*gap_ms);
            budget.set_share(share, now);
            budget.record_request(now);
            attempts.push((now, false));
            while budget.try_spend(ExtraAttempt::Retry, now) {
                attempts.push((now, true));
            }
        }
        attempts
    };
    gaps_ms.iter().map(run_process).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more extra attempts than all processes together may send in any window.
    #[test]
    fn processes_together_stay_within_the_limit(
        gaps_ms in proptest::collection::vec(proptest::collection::vec(0_u64..400, 1..150), 1..8)
    ) {
        let share = SlackShare { equal: 1.0 / gaps_ms.len() as f64, by_use: 0.0 };
        prop_assert!(!exceeds_limit(&simulate(&gaps_ms, share)));
    }
}

/// Shows that the check can fail: processes that each use the whole slack exceed the limit.
#[test]
fn undivided_slack_exceeds_the_limit() {
    let gaps_ms = vec![vec![20; 20]; 8];
    let share_of = |process_count: f64| SlackShare {
        equal: 1.0 / process_count,
        by_use: 0.0,
    };
    assert!(exceeds_limit(&simulate(&gaps_ms, share_of(1.0))));
    assert!(!exceeds_limit(&simulate(&gaps_ms, share_of(8.0))));
}

/// Guards against a service that may never retry because it gets few requests.
#[test]
fn service_with_few_requests_may_use_its_share_of_the_slack() {
    let mut budget = AttemptBudget::new(limits());
    budget.set_share(SlackShare::new(None, 8, 0), Duration::ZERO);
    budget.record_request(Duration::ZERO);
    assert!(budget.try_spend(ExtraAttempt::Retry, Duration::ZERO));
}

/// Guards against hedges that leave no budget for the retries of rejected attempts.
#[test]
fn hedges_leave_a_fifth_of_the_budget_to_retries() {
    let mut budget = AttemptBudget::new(limits());
    (0..100).for_each(|_| budget.record_request(at(0)));
    let mut spend_all = |kind| (0..100).filter(|_| budget.try_spend(kind, at(1))).count();
    // 0.8 of 0.2 of 100 requests.
    assert_eq!(spend_all(ExtraAttempt::Hedge), 12);
    assert_eq!(spend_all(ExtraAttempt::Retry), 4);
}

/// Guards against early hedges that leave no budget for the hedges of attempts that take unusually long.
#[test]
fn early_hedges_leave_most_of_the_budget_to_late_attempts() {
    let mut budget = AttemptBudget::new(limits());
    (0..100).for_each(|_| budget.record_request(at(0)));
    let mut spend_all = |kind| (0..100).filter(|_| budget.try_spend(kind, at(1))).count();
    // 0.8 of 0.2 of 100 requests; a fifth of that for early hedges.
    assert_eq!(spend_all(ExtraAttempt::EarlyHedge), 3);
    assert_eq!(spend_all(ExtraAttempt::Hedge), 9);
    assert_eq!(spend_all(ExtraAttempt::EarlyHedge), 0);
    assert_eq!(spend_all(ExtraAttempt::Retry), 4);
}

/// Guards against a small fleet whose processes may send fewer extra attempts than the slack allows, and against one
/// whose processes together may send more.
#[test]
fn small_fleet_divides_the_slack_equally() {
    let spent_count = |process_count: usize| {
        let mut budget = AttemptBudget::new(slack_only());
        budget.set_share(SlackShare::equal(process_count), at(0));
        let spent = (0..1000).take_while(|_| budget.try_spend(ExtraAttempt::Retry, at(0)));
        spent.count()
    };
    let allowed_count = slack_only().slack * 0.8;
    for process_count in 1..=32 {
        let sum = spent_count(process_count) * process_count;
        assert!(
            sum as f64 <= allowed_count,
            "{process_count} processes: {sum}"
        );
        assert!((sum + process_count) as f64 > allowed_count);
    }
}

/// Guards against a retry that waits longer than its budget takes to accrue, and against one that is tried again too
/// early.
#[test]
fn next_change_tells_when_a_retry_is_allowed() {
    let mut budget = AttemptBudget::new(RetryLimits {
        ratio: 0.0,
        slack: 100.0,
        window: WINDOW,
    });
    let share = SlackShare::new(Some(1.0), 2, 0);
    budget.set_share(share, at(0));
    while budget.try_spend(ExtraAttempt::Retry, at(0)) {}
    let mut now = at(0);
    let mut try_count = 0;
    while try_count < 10 && !budget.try_spend(ExtraAttempt::Retry, now) {
        now = budget.next_change(now);
        budget.set_share(share, now);
        try_count += 1;
    }
    // 0.8 x 0.8 x 0.5 of a slack of 100 accrues in 10 s: one in 0.3125 s.
    assert!(now <= at(330), "{now:?}");
    assert!(try_count <= 2, "{try_count} tries");
}

/// What a simulated fleet does.
#[derive(Clone, Copy)]
struct Faults {
    /// Probability that a report is lost.
    loss: f64,
    /// Longest delay of a report.
    delay_max_ms: u64,
    /// Returns whether reports from one process to another are lost at a time in seconds.
    is_cut: fn(usize, usize, u64) -> bool,
    /// Returns the requests per second of a process at a time in seconds.
    rate: fn(usize, u64) -> f64,
    /// Period at which a process is replaced by a new one, one after the other; `None` if none is.
    replaced_every_s: Option<u64>,
}

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    delay_max_ms: 20,
    is_cut: |_, _, _| false,
    rate: |_, _| 10.0,
    replaced_every_s: None,
};

const PROCESSES: usize = 8;
const SIMULATED_S: u64 = 90;
const TICK_MS: u64 = 50;
const SILENT_AFTER: Duration = Duration::from_millis(700);
const GONE_AFTER: Duration = Duration::from_secs(12);

/// One process of the simulated fleet.
struct Process {
    tracker: LoadTracker,
    loads: PeerLoads,
    budget: AttemptBudget,
    /// Time of the latest regular report of each other process; `None` if it counts as gone.
    heard_at: [Option<Duration>; PROCESSES],
    /// Load reports on their way, with the time of their arrival.
    inbox: VecDeque<(Duration, LoadReport)>,
    /// Time of each extra attempt of the variant without safeguards.
    naive_spent: VecDeque<Duration>,
    started_at: Duration,
}

impl Process {
    fn new(now: Duration) -> Self {
        Self {
            tracker: LoadTracker::new(),
            loads: PeerLoads::new(),
            budget: AttemptBudget::new(slack_only()),
            heard_at: [Some(now); PROCESSES],
            inbox: VecDeque::new(),
            naive_spent: VecDeque::new(),
            started_at: now,
        }
    }

    /// Returns the number of processes, and how many of them are silent.
    fn counts(&mut self, own: usize, now: Duration) -> (usize, usize) {
        let is_live = |heard_at: &Option<Duration>| {
            heard_at.is_some_and(|heard_at| now < heard_at + SILENT_AFTER)
        };
        self.heard_at[own] = Some(now);
        let live_count = self.heard_at.iter().filter(|heard| is_live(heard)).count();
        let known_count = self.heard_at.iter().flatten().count();
        // As the membership does: a minority removes nobody.
        if live_count * 2 >= known_count {
            for heard_at in &mut self.heard_at {
                *heard_at = heard_at.filter(|heard_at| now < *heard_at + GONE_AFTER);
            }
        }
        let total_count = self.heard_at.iter().flatten().count();
        (total_count, total_count - live_count)
    }

    /// Spends all that the budget allows; returns the number of extra attempts.
    fn spend(&mut self, share: SlackShare, now: Duration) -> usize {
        self.budget.set_share(share, now);
        (0..1000)
            .take_while(|_| self.budget.try_spend(ExtraAttempt::Retry, now))
            .count()
    }

    /// Like [`Process::spend`], but uses the present share for the whole window and ignores silent processes.
    fn spend_naively(
        &mut self,
        use_share: Option<f64>,
        total_count: usize,
        now: Duration,
    ) -> usize {
        let share = 0.8 * use_share.unwrap_or(0.0) + 0.2 / total_count as f64;
        self.naive_spent.retain(|spent_at| *spent_at + WINDOW > now);
        let allowed = (0.8 * SLACK * share) as usize;
        let count = allowed.saturating_sub(self.naive_spent.len());
        self.naive_spent.extend(std::iter::repeat_n(now, count));
        count
    }
}

/// Only the slack is simulated: the ratio part depends on the own requests alone.
fn slack_only() -> RetryLimits {
    RetryLimits {
        ratio: 0.0,
        ..limits()
    }
}

/// Runs a fleet that makes as many extra attempts as it may; returns the largest number in any window.
fn largest_window(faults: Faults, is_naive: bool, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut processes: Vec<Process> = (0..PROCESSES).map(|_| Process::new(at(0))).collect();
    let mut spent: VecDeque<(Duration, usize)> = VecDeque::new();
    let mut largest = 0;
    for tick in 0..SIMULATED_S * 1000 / TICK_MS {
        let now = at(tick * TICK_MS);
        let (s, is_full_s) = (now.as_secs(), now.subsec_millis() == 0);
        if let Some(period) = faults.replaced_every_s
            && is_full_s
            && s % period == period - 1
        {
            processes[(s / period) as usize % PROCESSES] = Process::new(now);
        }
        for own in 0..PROCESSES {
            let requests = (faults.rate)(own, s) * TICK_MS as f64 / 1000.0;
            let request_count = requests as usize + usize::from(rng.random_bool(requests.fract()));
            (0..request_count).for_each(|_| processes[own].tracker.record_request(SERVICE, now));
            let addr = SocketAddr::from(([10, 0, 0, own as u8], 7000));
            let node = processes[own].started_at.as_millis() as u64;
            let report = processes[own].tracker.next_report(node, addr, now);
            for other in (0..PROCESSES).filter(|other| *other != own) {
                if (faults.is_cut)(own, other, s) {
                    continue;
                }
                if !rng.random_bool(faults.loss) {
                    processes[other].heard_at[own] = Some(now);
                }
                if let Some(report) = &report
                    && !rng.random_bool(faults.loss)
                {
                    let arrives_at = now + at(rng.random_range(0..=faults.delay_max_ms));
                    processes[other]
                        .inbox
                        .push_back((arrives_at, report.clone()));
                }
            }
        }
        let mut spent_now = 0;
        for (own, process) in processes.iter_mut().enumerate() {
            for (arrives_at, report) in std::mem::take(&mut process.inbox) {
                match arrives_at <= now {
                    true => drop(process.loads.record(report, now)),
                    false => process.inbox.push_back((arrives_at, report)),
                }
            }
            process.loads.remove_outdated(now);
            let own_per_s = process.tracker.reported_rate(SERVICE);
            let use_share = own_per_s
                .and_then(|own_per_s| process.loads.service_share(SERVICE, own_per_s, now));
            let (total_count, silent_count) = process.counts(own, now);
            spent_now += match is_naive {
                true => process.spend_naively(use_share, total_count, now),
                false => process.spend(SlackShare::new(use_share, total_count, silent_count), now),
            };
        }
        spent.push_back((now, spent_now));
        while spent.front().is_some_and(|(at, _)| *at + WINDOW <= now) {
            spent.pop_front();
        }
        largest = largest.max(spent.iter().map(|(_, count)| count).sum());
    }
    largest
}

/// Checks that a fleet stays within the slack with several seeds.
fn fleet_stays_within_the_slack(faults: Faults) {
    for seed in 1..=8 {
        let largest = largest_window(faults, false, seed);
        assert!(
            largest as f64 <= SLACK,
            "{largest} extra attempts, seed {seed}"
        );
    }
}

limpet_testkit::cases! {
    fleet_stays_within_the_slack:
    fleet_without_faults => NO_FAULTS,
    lost_reports => Faults { loss: 0.5, ..NO_FAULTS },
    late_reports => Faults { delay_max_ms: 2000, ..NO_FAULTS },
    one_process_is_not_heard =>
        Faults { is_cut: |from, _, s| from == 0 && s >= 20, rate: |own, _| if own == 0 { 100.0 } else { 5.0 }, ..NO_FAULTS },
    fleet_falls_into_unequal_halves =>
        Faults { is_cut: |from, to, s| s >= 20 && (from < 3) != (to < 3), ..NO_FAULTS },
    cuts_that_come_and_go =>
        Faults { is_cut: |from, to, s| (s / 5) % 2 == 1 && (from < 3) != (to < 3), ..NO_FAULTS },
    processes_are_replaced => Faults { replaced_every_s: Some(2), ..NO_FAULTS },
    surge_moves_each_window =>
        Faults { rate: |own, s| if s / 10 % 8 == own as u64 { 100.0 } else { 1.0 }, ..NO_FAULTS },
    surge_moves_each_second =>
        Faults { rate: |own, s| if s % 8 == own as u64 { 100.0 } else { 1.0 }, ..NO_FAULTS },
    surge_moves_while_reports_are_lost_and_late => Faults {
        loss: 0.4, delay_max_ms: 1500,
        rate: |own, s| if s / 4 % 8 == own as u64 { 100.0 } else { 1.0 }, ..NO_FAULTS
    },
    surge_moves_while_processes_are_replaced_and_cut => Faults {
        loss: 0.2, delay_max_ms: 1000, replaced_every_s: Some(5),
        is_cut: |from, to, s| (s / 7) % 2 == 1 && (from < 3) != (to < 3),
        rate: |own, s| if s / 5 % 8 == own as u64 { 100.0 } else { 1.0 },
    },
}

/// Checks that the variant without safeguards exceeds the slack, so that the cases above can fail.
fn naive_fleet_exceeds_the_slack(faults: Faults) {
    let largest = (1..=8).map(|seed| largest_window(faults, true, seed)).max();
    assert!(
        largest.is_some_and(|largest| largest as f64 > SLACK),
        "{largest:?}"
    );
}

limpet_testkit::cases! {
    naive_fleet_exceeds_the_slack:
    naive_share_of_a_surge_that_moves =>
        Faults { rate: |own, s| if s / 5 % 8 == own as u64 { 100.0 } else { 1.0 }, ..NO_FAULTS },
    naive_share_of_a_fleet_in_halves =>
        Faults { is_cut: |from, to, s| s >= 20 && (from < 3) != (to < 3), ..NO_FAULTS },
}

/// Guards against a budget that the processes with the requests cannot use: in a steady state, two of eight processes
/// with nearly all requests get most of the slack that is given out.
#[test]
fn busy_processes_get_most_of_the_slack() {
    let faults = Faults {
        rate: |own, _| if own < 2 { 60.0 } else { 0.5 },
        ..NO_FAULTS
    };
    let largest = largest_window(faults, false, 1);
    // 0.8 x (0.2 + 0.8 / 2) of the slack, less the fractions that single processes cannot use.
    assert!(largest as f64 >= 0.4 * SLACK, "{largest}");
}

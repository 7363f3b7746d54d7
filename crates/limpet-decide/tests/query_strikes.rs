//! Strikes of queries on several processes that exchange them with a delay.

#[path = "query_strikes/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::Rule;
use limpet_decide::quarantine::{
    CrashSuspect,
    QUERY_STRIKES_MAX,
    Restriction,
    StrikeTable, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const QUERY: u64 = 7;
const PROCESSES: usize = 8;
/// Time after which all processes know the strikes of each other.
const GOSSIP_DELAY: Duration = Duration::from_millis(600);

/// Time after the third crash from which on repetitions count.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Maximum number of repetitions that may reach a target after that.
const LATE_REPETITIONS_MAX: usize = 3;

/// Number of attempts of a run, where a test does not say otherwise.
const ATTEMPTS_MAX: usize = 2;

/// Returns the query as a suspect that knew `known_strikes` of its strikes.
const fn suspect(known_strikes: usize) -> CrashSuspect {
    CrashSuspect {
        fingerprint: QUERY,
        known_strikes,
        earlier_failures: 0,
    }
}

/// The strike tables of a fleet.
struct Fleet {
    tables: Vec<StrikeTable>,
    gossiped_at: Duration,
}

impl Fleet {
    fn new() -> Self {
        Self {
            tables: vec![StrikeTable::new(); PROCESSES],
            gossiped_at: Duration::ZERO,
        }
    }

    /// Exchanges all strikes if the latest exchange is long enough ago.
    fn gossip(&mut self, now: Duration) {
        if now < self.gossiped_at + GOSSIP_DELAY {
            return;
        }
        self.gossiped_at = now;
        let exported: Vec<_> = self
            .tables
            .iter()
            .map(|table| table.export(64, now))
            .collect();
        for table in &mut self.tables {
            for strikes in &exported {
                table.merge(strikes, now);
            }
        }
    }

    fn quarantined_count(&self, now: Duration) -> usize {
        let is_quarantined = |table: &&StrikeTable| table.is_query_quarantined(QUERY, now);
        self.tables.iter().filter(is_quarantined).count()
    }
}

/// Guards against a query that crashes target after target: each repetition, at any process, crashes one more.
#[test]
fn repeated_poison_query_is_quarantined_everywhere() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let mut now = Duration::from_secs(100);
        let mut crash_times: Vec<Duration> = Vec::new();
        for _ in 0..40 {
            // Each crash is recorded before the next repetition, which may come before any exchange.
            now += Duration::from_millis(rng.random_range(50..4000));
            fleet.gossip(now);
            let process = rng.random_range(0..PROCESSES);
            let table = &mut fleet.tables[process];
            if table.is_query_quarantined(QUERY, now) {
                continue;
            }
            let known_strikes = table.known_strikes(QUERY, now);
            table.record_target_crash(&[suspect(known_strikes)], &[], now);
            crash_times.push(now);
        }
        fleet.gossip(now + GOSSIP_DELAY);
        assert_eq!(fleet.quarantined_count(now), PROCESSES, "seed {seed}");
        let late = crash_times
            .iter()
            .filter(|at| {
                let third_crash = crash_times.get(2);
                third_crash.is_some_and(|third_crash| **at > *third_crash + CONTACT_TIME)
            })
            .count();
        assert!(late <= LATE_REPETITIONS_MAX, "seed {seed}: {late}");
    }
}

/// Guards against a popular query that is refused because many copies of it were in flight while targets crashed.
#[test]
fn popular_query_is_not_quarantined() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let mut now = Duration::from_secs(100);
        for _ in 0..6 {
            now += Duration::from_millis(rng.random_range(500..20_000));
            fleet.gossip(now);
            // Copies in flight at the crash began before it was known.
            let known_strikes: Vec<usize> = fleet
                .tables
                .iter()
                .map(|table| table.known_strikes(QUERY, now))
                .collect();
            for _ in 0..rng.random_range(1..60) {
                let process = rng.random_range(0..PROCESSES);
                let recorded_at = now + Duration::from_millis(rng.random_range(0..40));
                let suspects = [suspect(known_strikes[process])];
                fleet.tables[process].record_target_crash(&suspects, &[], recorded_at);
            }
            now += Duration::from_millis(rng.random_range(40..700));
            fleet.gossip(now);
            assert_eq!(fleet.quarantined_count(now), 0, "seed {seed}");
            // Other copies succeed on each process before the next crash.
            for table in &mut fleet.tables {
                table.record_query_success(QUERY, now);
                assert_eq!(table.restriction(QUERY, now), Restriction::None);
            }
        }
    }
}

/// Guards against a query that was cleared once and then crashes targets without end.
#[test]
fn success_does_not_excuse_later_crashes() {
    let mut table = StrikeTable::new();
    let at = Duration::from_secs;
    table.record_target_crash(&[suspect(0)], &[], at(1));
    table.record_query_success(QUERY, at(2));
    assert_eq!(table.restriction(QUERY, at(2)), Restriction::None);
    for now in [3, 4] {
        let known_strikes = table.known_strikes(QUERY, at(now));
        table.record_target_crash(&[suspect(known_strikes)], &[], at(now));
    }
    assert!(table.is_query_quarantined(QUERY, at(4)));
}

/// Guards against a check that ends at the first unknown strike: a process may have received the later strikes only.
#[test]
fn strikes_behind_a_gap_count() {
    let now = Duration::from_secs(1);
    let mut origin = StrikeTable::new();
    for known_strikes in 0..4 {
        let crashed_at = now * (known_strikes as u32 + 1);
        origin.record_target_crash(&[suspect(known_strikes)], &[], crashed_at);
    }
    let now = now * 5;
    let mut table = StrikeTable::new();
    // The newest three, without that of the first crash.
    table.merge(&origin.export(3, now), now);
    assert_eq!(table.known_strikes(QUERY, now), 0);
    assert_eq!(table.strike_count(QUERY, now), 3);
    assert!(table.is_query_quarantined(QUERY, now));
}

/// Guards against a query that crashes targets without end after its first strike has expired or was cleared elsewhere.
#[test]
fn gap_in_the_strikes_is_filled() {
    let mut table = StrikeTable::new();
    let at = Duration::from_secs;
    for now in [1, 599, 602] {
        let known_strikes = table.known_strikes(QUERY, at(now));
        table.record_target_crash(&[suspect(known_strikes)], &[], at(now));
    }
    assert!(table.is_query_quarantined(QUERY, at(602)));
}

/// Guards against refusing a query that was one of several suspects twice, and against never refusing one that is a suspect
/// each time.
#[test]
fn query_among_others_is_refused_after_three_crashes() {
    let mut table = StrikeTable::new();
    let now = Duration::from_secs(1);
    for crash in 0..3 {
        assert!(!table.is_query_quarantined(QUERY, now), "crash {crash}");
        let other = CrashSuspect {
            fingerprint: 100 + crash,
            ..suspect(0)
        };
        let known_strikes = table.known_strikes(QUERY, now);
        // Two copies, one of which began before the latest crash was known.
        let suspects = [
            suspect(known_strikes),
            suspect(known_strikes.saturating_sub(1)),
            other,
        ];
        table.record_target_crash(&suspects, &[], now);
        assert_eq!(table.strike_count(QUERY, now), crash as usize + 1);
        assert_eq!(table.strike_count(100 + crash, now), 1);
    }
    assert!(table.is_query_quarantined(QUERY, now));
}

/// Guards against counting a crash twice whose failures are noticed late, and against taking a query for the only suspect of
/// it.
#[test]
fn late_suspect_of_a_crash_shares_it() {
    let mut table = StrikeTable::new();
    let now = Duration::from_secs(1);
    let late = CrashSuspect {
        fingerprint: 8,
        ..suspect(0)
    };
    table.record_target_crash(&[suspect(0)], &[], now);
    table.record_target_crash(&[late, suspect(0)], &[suspect(0)], now);
    let strikes = table.export(8, now);
    assert_eq!(strikes.len(), 2);
    assert!(strikes.iter().all(|strike| !strike.is_alone), "{strikes:?}");
}

/// Returns the number of targets that a poison query may crash.
///
/// A run begins with at most two strikes, since a third one quarantines the query, and costs as many targets as it has
/// attempts: its retry is sent before the check of the first attempt has ended.
const fn poison_crashes_max(attempts_max: usize) -> usize {
    QUERY_STRIKES_MAX - 1 + attempts_max
}

/// Guards against a poison query that is not refused, or too late, because other queries were in flight on its targets.
fn poison_among_others_is_refused(attempts_max: usize) {
    for seed in 0..200 {
        let counts = fleet::run(seed, Rule::AllSuspects, true, attempts_max);
        let crashes_max = poison_crashes_max(attempts_max);
        assert!(
            counts.poison_crashes <= crashes_max,
            "seed {seed}: {counts:?}"
        );
        assert!(counts.poison_refused > 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.popular_refused, 0, "seed {seed}: {counts:?}");
        assert_eq!(counts.others_refused, 0, "seed {seed}: {counts:?}");
    }
}

limpet_testkit::cases! {
    poison_among_others_is_refused:
    poison_without_retries_crashes_three_targets_at_most => 1,
    poison_with_a_retry_crashes_four_targets_at_most => 2,
}

/// Guards against a popular query that is refused because targets crashed under it for other reasons.
#[test]
fn popular_query_among_others_is_served() {
    for seed in 0..200 {
        let counts = fleet::run(seed, Rule::AllSuspects, false, ATTEMPTS_MAX);
        assert!(counts.popular_sent > 600, "seed {seed}: {counts:?}");
        assert_eq!(counts.popular_refused, 0, "seed {seed}: {counts:?}");
    }
}

/// Shows that the tests above can fail: with the strike only for the query whose failure was noticed first, poison queries
/// crash more targets.
#[test]
fn first_noticed_query_alone_does_not_suffice() {
    let crashes_max = poison_crashes_max(ATTEMPTS_MAX);
    let is_over = |seed| {
        fleet::run(seed, Rule::FirstNoticed, true, ATTEMPTS_MAX).poison_crashes > crashes_max
    };
    let over_count = (0..50).filter(|seed| is_over(*seed)).count();
    assert!(over_count > 35, "{over_count} of 50 seeds");
}

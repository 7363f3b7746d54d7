//! Strikes of queries on several processes that exchange them with a delay.

use std::time::Duration;

use limpet_decide::quarantine::{
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
        let is_quarantined =
            |table: &&StrikeTable| table.restriction(QUERY, now) == Restriction::Quarantined;
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
            if table.restriction(QUERY, now) == Restriction::Quarantined {
                continue;
            }
            let known_strikes = table.strike_count(QUERY, now);
            table.record_query_crash(QUERY, known_strikes, now);
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
                .map(|table| table.strike_count(QUERY, now))
                .collect();
            for _ in 0..rng.random_range(1..60) {
                let process = rng.random_range(0..PROCESSES);
                let recorded_at = now + Duration::from_millis(rng.random_range(0..40));
                fleet.tables[process].record_query_crash(
                    QUERY,
                    known_strikes[process],
                    recorded_at,
                );
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
    table.record_query_crash(QUERY, 0, at(1));
    table.record_query_success(QUERY, at(2));
    assert_eq!(table.restriction(QUERY, at(2)), Restriction::None);
    for now in [3, 4] {
        let known_strikes = table.strike_count(QUERY, at(now));
        table.record_query_crash(QUERY, known_strikes, at(now));
    }
    assert_eq!(table.restriction(QUERY, at(4)), Restriction::Quarantined);
}

//! Placement of scatter-gather queries over fleets of many sizes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use limpet_decide::aggregator::{
    AggregatorChoice,
    AggregatorChooser,
    AggregatorDirectory,
    AggregatorLoad,
    AggregatorNode,
    OwnObservation,
    PeerEjection,
    QueryRate,
    connections_limit, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Number of choices in each simulation.
const CHOICES: usize = 6000;

fn addr(index: usize) -> SocketAddr {
    let [_, b, c, d] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 7102))
}

/// Returns a fleet in six zones in which one process in sixteen has four times the processor of the others.
fn fleet(size: usize) -> AggregatorDirectory {
    let mut directory = AggregatorDirectory::new();
    for index in 0..size {
        directory.insert(addr(index), node(index));
    }
    directory
}

fn node(index: usize) -> AggregatorNode {
    AggregatorNode {
        zone: ZONES[index % ZONES.len()].into(),
        capacity_cores: if (index / ZONES.len()).is_multiple_of(16) {
            0.5
        } else {
            0.12
        },
    }
}

/// Shares of the shards where each shard has a target in each of the first three zones.
fn shares_of_three_zones() -> Vec<(Box<str>, f64)> {
    ZONES[..3]
        .iter()
        .map(|zone| ((*zone).into(), 1.0))
        .collect()
}

/// Chooses an aggregator for a query of the process with this index, while no load is known.
fn choose(
    directory: &mut AggregatorDirectory,
    index: usize,
    refused_by: &[SocketAddr],
    is_usable: &dyn Fn(SocketAddr) -> bool,
    rng: &mut ChaCha8Rng,
) -> Option<SocketAddr> {
    let shares = shares_of_three_zones();
    let choice = AggregatorChoice {
        own_addr: addr(index),
        own_zone: ZONES[index % ZONES.len()],
        shard_shares: &shares,
        goal: Duration::from_millis(300),
        is_usable,
        is_busy: &|_| false,
        load_of: &|_, cores| AggregatorLoad::estimate(None, OwnObservation::default(), cores),
        refused_by,
        now: Duration::ZERO,
    };
    let mut draw = || rng.random_range(0.0..1.0);
    let place = AggregatorChooser::new().choose(directory, &choice, &mut draw);
    place.aggregator()
}

/// Returns how often each process is chosen when queries arrive everywhere alike.
fn load(directory: &mut AggregatorDirectory, size: usize) -> BTreeMap<SocketAddr, usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(20);
    let mut counts = BTreeMap::new();
    for _ in 0..CHOICES {
        let index = rng.random_range(0..size);
        let chosen = choose(directory, index, &[], &|_| true, &mut rng);
        *counts.entry(chosen.unwrap_or(addr(index))).or_default() += 1;
    }
    counts
}

limpet_testkit::cases! {
    few_processes_aggregate_for_all:
    of_60_processes => 60,
    of_300_processes => 300,
    of_1000_processes => 1000,
    of_6400_processes => 6400,
}

/// Guards against as many aggregators as processes, whose connections would all idle out, and against one that
/// gets most of the queries.
fn few_processes_aggregate_for_all(size: usize) {
    let counts = load(&mut fleet(size), size);
    assert!(
        counts.len() <= size / 10 + 3,
        "{} aggregators of {size} processes",
        counts.len()
    );
    let busiest = counts.values().max().unwrap();
    let mean = CHOICES as f64 / counts.len() as f64;
    // The zones without targets have as many callers as those with them, so two of three queries come from
    // another zone at random; 100 queries at the least make the mean meaningful.
    if mean >= 100.0 {
        assert!(
            (*busiest as f64) < 2.0 * mean,
            "{busiest} of {mean} on average"
        );
    }
    for aggregator in counts.keys() {
        let index = (0..size).find(|index| addr(*index) == *aggregator).unwrap();
        assert!(
            index % ZONES.len() < 3,
            "aggregator in a zone without targets"
        );
    }
}

/// Guards against large processors that stay idle while small ones aggregate.
#[test]
fn large_processors_aggregate_first() {
    let counts = load(&mut fleet(288), 288);
    for aggregator in counts.keys() {
        let index = (0..288).find(|index| addr(*index) == *aggregator).unwrap();
        assert_eq!(node(index).capacity_cores, 0.5);
    }
}

/// Guards against a hop over the border of a zone that has targets itself.
#[test]
fn aggregator_of_the_own_zone_comes_first() {
    let mut directory = fleet(300);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for index in (0..300).filter(|index| index % ZONES.len() < 3) {
        let Some(chosen) = choose(&mut directory, index, &[], &|_| true, &mut rng) else {
            continue;
        };
        let zone = &directory.node(chosen).unwrap().zone;
        assert_eq!(&**zone, ZONES[index % ZONES.len()]);
    }
}

/// Guards against queries at processes that are gone, ejected or have refused the query.
#[test]
fn unusable_processes_get_no_query() {
    let mut directory = fleet(300);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let unusable: BTreeSet<SocketAddr> = (0..300)
        .filter(|_| rng.random_bool(0.4))
        .map(addr)
        .collect();
    for index in 0..300 {
        let is_usable = |addr: SocketAddr| !unusable.contains(&addr);
        let Some(first) = choose(&mut directory, index, &[], &is_usable, &mut rng) else {
            continue;
        };
        assert!(is_usable(first));
        let second = choose(&mut directory, index, &[first], &is_usable, &mut rng);
        assert!(second.is_none_or(|second| is_usable(second) && second != first));
    }
}

/// Guards against queries at a zone whose processes are all gone while others could serve, and against queries on the
/// cold connections of a process that is left of it.
#[test]
fn zone_without_usable_processes_gets_no_query() {
    let mut directory = fleet(300);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let gone_zone: BTreeSet<SocketAddr> = (0..300).step_by(ZONES.len()).map(addr).collect();
    let is_usable = |addr: SocketAddr| !gone_zone.contains(&addr);
    for index in (3..300).step_by(ZONES.len()) {
        let chosen = choose(&mut directory, index, &[], &is_usable, &mut rng);
        assert!(chosen.is_some_and(is_usable));
    }
    let chosen = choose(&mut directory, 294, &[], &is_usable, &mut rng);
    assert!(chosen.is_some_and(is_usable));
}

/// Returns the aggregators by zone.
fn by_zone(
    counts: &BTreeMap<SocketAddr, usize>,
    size: usize,
) -> BTreeMap<&'static str, BTreeSet<SocketAddr>> {
    let mut zones: BTreeMap<&str, BTreeSet<SocketAddr>> = BTreeMap::new();
    for index in (0..size).filter(|index| counts.contains_key(&addr(*index))) {
        zones
            .entry(ZONES[index % ZONES.len()])
            .or_default()
            .insert(addr(index));
    }
    zones
}

/// Guards against many moved queries, and so cold connections, when one process goes: in each zone at most one
/// aggregator leaves and one joins.
#[test]
fn one_process_moves_few_queries() {
    let size = 300;
    let before = load(&mut fleet(size), size);
    for leaving in before.keys() {
        let mut directory = fleet(size);
        directory.remove(*leaving);
        let after = by_zone(&load(&mut directory, size), size);
        for (zone, aggregators) in by_zone(&before, size) {
            let left = aggregators.difference(&after[zone]).count();
            let joined = after[zone].difference(&aggregators).count();
            assert!(
                left <= 1 && joined <= 1,
                "zone {zone}: {joined} joined, {left} left"
            );
        }
    }
}

/// Guards against gathers on the cold connections of all small processes after all have restarted: while a process
/// knows a third of the others, it uses the large ones that it knows, also in other zones.
#[test]
fn starting_processes_use_the_large_ones_that_they_know() {
    let size = 300;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut at_small = 0;
    for index in 0..size {
        let mut directory = AggregatorDirectory::new();
        directory.insert(addr(index), node(index));
        for _ in 0..size / 3 {
            let other = rng.random_range(0..size);
            directory.insert(addr(other), node(other));
        }
        let chosen = choose(&mut directory, index, &[], &|_| true, &mut rng);
        let chosen = chosen.unwrap_or(addr(index));
        at_small += usize::from(directory.node(chosen).unwrap().capacity_cores < 0.5);
    }
    // Without the rule for starting processes, small ones got 72 of 300.
    assert!(
        at_small * 20 <= size,
        "{at_small} of {size} at small processes"
    );
}

/// Guards against a malformed announcement that takes over the whole load or breaks the ranking.
#[test]
fn odd_capacities_count_as_none() {
    let mut directory = fleet(60);
    for (index, capacity_cores) in [f64::NAN, f64::INFINITY, -3.0, 0.0].into_iter().enumerate() {
        let zone = "a".into();
        directory.insert(
            addr(1000 + index),
            AggregatorNode {
                zone,
                capacity_cores,
            },
        );
    }
    let counts = load(&mut directory, 60);
    assert!(counts.keys().all(|aggregator| *aggregator < addr(1000)));
}

limpet_testkit::cases! {
    members_of_the_extended_set_have_several_connections:
    of_86_processes_with_8_members => (85, 86, 8),
    of_77_processes_with_7_members => (70, 77, 7),
    of_60_processes_with_7_members => (85, 60, 7),
    of_40_processes_with_5_members => (85, 40, 5),
}

/// Guards against members of the extended set with one connection per target, and against more of their connections
/// than half of those that a target has for all processes.
fn members_of_the_extended_set_have_several_connections(
    (connections_max, process_count, member_count): (u32, usize, usize),
) {
    let usable = f64::from(connections_max) * 0.85;
    let share = usable / process_count as f64;
    let limit = connections_limit(usable, share, Some(member_count));
    assert!(limit >= 3, "{limit} connections");
    assert!((limit * member_count) as f64 <= usable / 2.0);
    assert_eq!(connections_limit(usable, share, None), 1);
}

/// Guards against a change at a small site, whose processes share all connections.
#[test]
fn aggregators_of_a_small_site_have_the_equal_share() {
    for member_count in [None, Some(2), Some(3)] {
        assert_eq!(connections_limit(72.0, 9.0, member_count), 9);
    }
}

/// Guards against a set that grows with the number of small processes, and against one of a single process.
#[test]
fn extended_set_has_the_largest_processes_of_all_zones() {
    let mut directory = AggregatorDirectory::new();
    for index in 0..86 {
        let zone = ZONES[index % 4].into();
        let capacity_cores = if index < 8 { 0.5 } else { 0.12 };
        directory.insert(
            addr(index),
            AggregatorNode {
                zone,
                capacity_cores,
            },
        );
    }
    let shares = shares_of_three_zones();
    let members: Vec<usize> = (0..86)
        .filter(|index| {
            let count = directory.extended_count_with(addr(*index), &shares);
            assert!(count.is_none_or(|count| count == 8));
            count.is_some()
        })
        .collect();
    assert_eq!(members, (0..8).collect::<Vec<usize>>());
    // Three small processes have the capacity of a large one that has left, to 0.3 of the capacity of all.
    directory.retain(|other| other != addr(3));
    let count = directory.extended_count_with(addr(7), &shares);
    assert_eq!(count, Some(10));
}

/// Returns whether the queries of a process that come at this rate at random times keep its connections warm,
/// in the share of checks over a minute.
fn warm_share(rate_per_s: f64, idle_timeout: Duration) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut rate = QueryRate::new();
    let (mut warm, mut all) = (0, 0);
    for tick in 0..6000 {
        let now = Duration::from_millis(10 * tick);
        if rng.random_bool(rate_per_s / 100.0) {
            rate.record(now);
            all += 1;
            warm += usize::from(rate.keeps_connections_warm(idle_timeout, now));
        }
    }
    f64::from(warm as u32) / f64::from(all as u32)
}

/// Guards against a second hop on a site of seven processes with 180 queries a second.
#[test]
fn connections_of_a_busy_process_are_warm() {
    assert!(warm_share(25.0, Duration::from_secs(3)) > 0.95);
}

/// Guards against 300 processes that all connect to every target for a query every three seconds each.
#[test]
fn connections_of_an_idle_process_are_cold() {
    assert!(warm_share(0.3, Duration::from_secs(9)) < 0.05);
}

/// Guards against an aggregator that is asked again and again although it is gone.
#[test]
fn failing_aggregator_is_ejected_longer_and_longer() {
    let mut ejection = PeerEjection::new();
    let mut now = Duration::ZERO;
    let mut asked = 0;
    while now < Duration::from_secs(60) {
        if !ejection.is_ejected(addr(1), now) {
            ejection.record_failure(addr(1), true, now);
            asked += 1;
        }
        now += Duration::from_millis(10);
    }
    assert!(asked <= 12, "asked {asked} times in a minute");
    ejection.record_success(addr(1), now);
    assert!(!ejection.is_ejected(addr(1), now));
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against lost query after lost query while many aggregators stop at once: after one is lost, those that have
/// not answered shortly before are not used for a while.
#[test]
fn silent_aggregators_are_not_used_right_after_a_lost_query() {
    let mut ejection = PeerEjection::new();
    ejection.record_success(addr(2), at(8_900));
    ejection.record_failure(addr(1), true, at(10_000));
    assert!(ejection.is_ejected(addr(2), at(11_000)));
    assert!(ejection.is_ejected(addr(3), at(11_000)));
    assert!(!ejection.is_ejected(addr(2), at(12_000)));
    assert!(!ejection.is_ejected(addr(3), at(12_000)));
}

/// Guards against queries on cold connections in this process because one aggregator of several was lost.
#[test]
fn aggregators_that_answer_are_used_after_a_lost_query() {
    let mut ejection = PeerEjection::new();
    ejection.record_success(addr(2), at(9_100));
    ejection.record_failure(addr(1), true, at(10_000));
    assert!(!ejection.is_ejected(addr(2), at(10_001)));
    assert!(ejection.is_ejected(addr(3), at(10_400)));
    ejection.record_success(addr(3), at(10_401));
    assert!(!ejection.is_ejected(addr(3), at(10_402)));
    assert!(ejection.is_ejected(addr(1), at(10_400)));
}

/// Guards against a pause of all aggregators because one did not accept a query, which was not lost.
#[test]
fn aggregator_that_did_not_accept_is_ejected_alone() {
    let mut ejection = PeerEjection::new();
    ejection.record_failure(addr(1), false, at(10_000));
    assert!(ejection.is_ejected(addr(1), at(10_400)));
    assert!(!ejection.is_ejected(addr(2), at(10_001)));
}

/// Guards against queries to an aggregator that is about to stop because it answered the queries that it had, in time or
/// late.
#[test]
fn answer_does_not_end_the_ejection_of_a_stopping_aggregator() {
    let mut ejection = PeerEjection::new();
    ejection.record_success(addr(2), at(9_900));
    ejection.record_stopping(addr(1), at(10_000));
    ejection.record_late(addr(1), false, at(10_100));
    ejection.record_success(addr(1), at(10_200));
    assert!(ejection.is_ejected(addr(1), at(17_900)));
    assert!(!ejection.is_ejected(addr(1), at(18_001)));
}

/// Guards against a slow aggregator that gets query after query, and against leaving the fast ones because of it.
#[test]
fn late_aggregator_is_ejected_alone() {
    let mut ejection = PeerEjection::new();
    ejection.record_success(addr(2), at(9_500));
    ejection.record_late(addr(1), false, at(10_000));
    assert!(ejection.is_ejected(addr(1), at(10_400)));
    assert!(!ejection.is_ejected(addr(2), at(10_400)));
}

/// Guards against the ejection of one aggregator after the other in an overload, in which all answer late.
#[test]
fn aggregators_that_are_all_late_are_not_ejected() {
    let mut ejection = PeerEjection::new();
    for ms in (10_000..20_000).step_by(50) {
        let aggregator = addr((ms / 50 % 3) as usize);
        match ms / 50 % 2 == 0 {
            true => ejection.record_late(aggregator, false, at(ms)),
            false => ejection.record_success(aggregator, at(ms)),
        }
        for index in 0..3 {
            assert!(!ejection.is_ejected(addr(index), at(ms)), "at {ms} ms");
        }
    }
}

/// Guards against the ejection of a full aggregator by a process that happens to have got the others' answers in time.
#[test]
fn late_aggregator_that_is_full_is_not_ejected() {
    let mut ejection = PeerEjection::new();
    ejection.record_success(addr(2), at(9_500));
    ejection.record_late(addr(1), true, at(10_000));
    assert!(!ejection.is_ejected(addr(1), at(10_001)));
}

/// Guards against the ejection of the only aggregator, whose queries would run on cold connections.
#[test]
fn late_aggregator_without_others_is_not_ejected() {
    let mut ejection = PeerEjection::new();
    ejection.record_late(addr(1), false, at(10_000));
    assert!(!ejection.is_ejected(addr(1), at(10_001)));
}

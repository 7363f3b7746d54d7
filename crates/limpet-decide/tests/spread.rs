//! Whom processes follow, and how reports reach all of them, over fleets of many sizes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
};

use limpet_decide::spread::{
    DIRECT_PROCESSES_MAX,
    ReaderRank,
    ReportPeer,
    readers,
    report_routes, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn addr(index: usize) -> SocketAddr {
    let [_, b, c, d] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 7102))
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Returns the live processes of a fleet, a few of them with a larger processor and one in ten without an
/// announcement.
fn live_processes(size: usize) -> Vec<ReaderRank<'static>> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    (0..size)
        .map(|index| {
            let is_announced = rng.random_bool(0.9);
            ReaderRank {
                addr: addr(index),
                zone: is_announced.then(|| zone(index)),
                capacity_millicores: match (is_announced, index % 20) {
                    (false, _) => 0,
                    (true, 0) => 500,
                    (true, _) => 120,
                },
            }
        })
        .collect()
}

/// Returns whom each process follows first; `None` if it reads the source.
fn first_readers(live: &[ReaderRank<'_>]) -> BTreeMap<SocketAddr, Option<SocketAddr>> {
    live.iter()
        .map(|process| {
            let candidates = readers(process.addr, live).candidates;
            let first = candidates.first().copied();
            (process.addr, first.filter(|first| *first != process.addr))
        })
        .collect()
}

/// Returns the largest number of followers of one process.
fn max_followers(followed: &BTreeMap<SocketAddr, Option<SocketAddr>>) -> usize {
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for reader in followed.values().flatten() {
        *counts.entry(*reader).or_default() += 1;
    }
    counts.values().copied().max().unwrap_or(0)
}

limpet_testkit::cases! {
    state_reaches_all_in_steps:
    with_1_process => 1,
    with_7_processes => 7,
    with_33_processes => 33,
    with_295_processes => 295,
    with_1000_processes => 1000,
    with_6400_processes => 6400,
}

/// Guards against processes that follow each other in a circle, long chains, more than one reader of the source
/// and a reader that serves the whole fleet.
fn state_reaches_all_in_steps(size: usize) {
    let live = live_processes(size);
    let followed = first_readers(&live);
    let source_readers = followed.values().filter(|reader| reader.is_none()).count();
    assert_eq!(source_readers, 1);
    for start in followed.keys() {
        let mut steps = 0;
        let mut process = *start;
        while let Some(reader) = followed[&process] {
            process = reader;
            steps += 1;
            assert!(steps <= 2, "{start} is {steps} steps from the source");
        }
    }
    if size > DIRECT_PROCESSES_MAX {
        // Its zone, the other zones, and those that have not announced theirs.
        let unannounced = live.iter().filter(|process| process.zone.is_none()).count();
        let followers_max = size / ZONES.len() + 2 * ZONES.len() + unannounced;
        assert!(max_followers(&followed) <= followers_max);
    }
}

/// Guards against a check that cannot fail: in a fleet without zones one process serves all others.
#[test]
fn one_reader_serves_all_without_steps() {
    let mut live = live_processes(295);
    live.iter_mut().for_each(|process| process.zone = None);
    assert_eq!(max_followers(&first_readers(&live)), 294);
}

/// Guards against a process that has no second choice when its reader is lost.
#[test]
fn every_process_has_other_candidates() {
    let live = live_processes(295);
    for process in &live {
        let candidates = readers(process.addr, &live).candidates;
        let distinct: BTreeSet<&SocketAddr> = candidates.iter().collect();
        assert_eq!(distinct.len(), candidates.len());
        assert!(candidates.len() >= 3);
    }
}

/// Guards against a fleet that presses on a source in trouble, and against one that no process asks any more.
#[test]
fn few_processes_ask_a_failing_source() {
    for size in [1, 7, 33, 295, 1000] {
        let live = live_processes(size);
        let expected: f64 = live
            .iter()
            .map(|process| readers(process.addr, &live).probe_probability)
            .sum();
        // Three for the fleet, two in each zone and eight others.
        let expected_max = 3.0 + 2.0 * ZONES.len() as f64 + 8.0;
        assert!(
            (1.0..=expected_max).contains(&expected),
            "{expected} of {size}"
        );
    }
}

/// Guards against many processes that follow another reader after one was lost.
#[test]
fn loss_of_a_zone_reader_moves_its_zone_only() {
    let live = live_processes(295);
    let before = first_readers(&live);
    let fleet_reader = before
        .iter()
        .find(|(_, reader)| reader.is_none())
        .unwrap()
        .0;
    let zone_reader = before
        .values()
        .flatten()
        .find(|reader| *reader != fleet_reader)
        .unwrap();
    let left: Vec<ReaderRank<'_>> = live
        .iter()
        .copied()
        .filter(|process| process.addr != *zone_reader)
        .collect();
    let after = first_readers(&left);
    let moved = after
        .iter()
        .filter(|(addr, reader)| before[*addr] != **reader)
        .count();
    assert!(moved <= 295 / ZONES.len() + 2, "{moved} moved");
}

limpet_testkit::cases! {
    report_reaches_every_process:
    in_a_fleet_of_7 => 7,
    in_a_fleet_of_60 => 60,
    in_a_fleet_of_295 => 295,
    in_a_fleet_of_6400 => 6400,
}

/// Guards against a process that a report misses, a relay that is silent, and more datagrams over the borders of
/// zones than one for each zone.
fn report_reaches_every_process(size: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let peers: Vec<ReportPeer<'_>> = (1..size)
        .map(|index| ReportPeer {
            addr: addr(index),
            zone: rng.random_bool(0.95).then(|| zone(index)),
            is_live: rng.random_bool(0.8),
        })
        .collect();
    let routes = report_routes(zone(0), &peers, |count| rng.random_range(0..count));
    let mut reached: BTreeSet<SocketAddr> = routes.iter().map(|route| route.to).collect();
    let by_addr: BTreeMap<SocketAddr, ReportPeer<'_>> =
        peers.iter().map(|peer| (peer.addr, *peer)).collect();
    for route in routes.iter().filter(|route| route.is_relayed) {
        let relay = by_addr[&route.to];
        assert!(relay.is_live, "a silent process relays");
        assert!(relay.zone.is_some_and(|relay_zone| relay_zone != zone(0)));
        let zone_peers = peers.iter().filter(|peer| peer.zone == relay.zone);
        reached.extend(zone_peers.map(|peer| peer.addr));
    }
    assert_eq!(reached.len(), size - 1);
    let is_foreign = |to: SocketAddr| by_addr[&to].zone.is_some_and(|other| other != zone(0));
    let foreign_count = routes.iter().filter(|route| is_foreign(route.to)).count();
    if size > DIRECT_PROCESSES_MAX {
        assert!(
            foreign_count < ZONES.len(),
            "{foreign_count} to other zones"
        );
    }
}

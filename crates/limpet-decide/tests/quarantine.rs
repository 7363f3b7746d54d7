//! Guards against poison requests that keep running, harmless requests in quarantine, and unbounded
//! tables.

use std::time::Duration;

use limpet_decide::quarantine::{
    Restriction,
    STRIKE_TTL,
    STRIKES_MAX,
    StrikeTable,
    crash_id, //
};
use proptest::prelude::*;

const START: Duration = Duration::from_secs(1_000);

struct RestrictionCase {
    /// Identifier of each crash, with the fingerprints of the requests in flight.
    crashes: &'static [(u64, &'static [u64])],
    /// Time from the crashes until the restriction is checked.
    after: Duration,
    /// Fingerprint of the request whose restriction is checked.
    request: u64,
    expected: Restriction,
}

fn has_restriction(case: RestrictionCase) {
    let mut table = StrikeTable::new();
    for (crash, in_flight) in case.crashes {
        table.record_crash(*crash, in_flight, START);
    }
    let restriction = table.restriction(case.request, START + case.after);
    assert_eq!(restriction, case.expected);
}

const fn case(
    crashes: &'static [(u64, &'static [u64])],
    request: u64,
    expected: Restriction,
) -> RestrictionCase {
    RestrictionCase {
        crashes,
        after: Duration::ZERO,
        request,
        expected,
    }
}

limpet_testkit::cases! {
    has_restriction:
    unknown_request_is_not_restricted => case(&[(1, &[10])], 11, Restriction::None),
    one_strike_isolates => case(&[(1, &[10, 11])], 10, Restriction::Isolated),
    two_strikes_quarantine => case(&[(1, &[10, 11]), (2, &[10, 12])], 10, Restriction::Quarantined),
    one_crash_recorded_twice_is_one_strike =>
        case(&[(1, &[10]), (1, &[10])], 10, Restriction::Isolated),
    confirmed_culprit_clears_the_other =>
        case(&[(1, &[10, 11]), (2, &[10])], 11, Restriction::None),
    two_poison_requests_of_one_crash_do_not_clear_each_other => case(
        &[(1, &[10, 11]), (2, &[10]), (3, &[11])], 11, Restriction::Quarantined),
    strikes_expire => RestrictionCase {
        crashes: &[(1, &[10]), (2, &[10])],
        after: STRIKE_TTL,
        request: 10,
        expected: Restriction::None,
    },
}

#[test]
fn an_isolated_success_clears_strikes_that_gossip_reports_again() {
    let mut table = StrikeTable::new();
    table.record_crash(1, &[10, 11], START);
    let exported = table.export(10, START);
    assert!(table.begin_isolated_run(10, START));
    assert!(
        !table.begin_isolated_run(10, START),
        "a second isolated run at a time"
    );
    table.end_isolated_run(10, true, START);
    table.merge(&exported, START);
    assert_eq!(table.restriction(10, START), Restriction::None);
    assert_eq!(table.restriction(11, START), Restriction::Isolated);
}

#[test]
fn strikes_of_two_relays_add_up() {
    let mut first = StrikeTable::new();
    let mut second = StrikeTable::new();
    let target = "127.0.0.1:1".parse().unwrap();
    first.record_crash(crash_id(target, Some(1), START), &[10, 11], START);
    second.record_crash(crash_id(target, Some(2), START), &[10, 12], START);
    first.merge(&second.export(10, START), START);
    assert_eq!(first.restriction(10, START), Restriction::Quarantined);
}

#[test]
fn gossip_does_not_prolong_a_strike() {
    let mut tables = [StrikeTable::new(), StrikeTable::new()];
    tables[0].record_crash(1, &[10], START);
    let mut now = START;
    for hop in 0..20 {
        now += STRIKE_TTL / 10;
        let strikes = tables[hop % 2].export(10, now);
        tables[(hop + 1) % 2].merge(&strikes, now);
    }
    assert!(
        tables
            .iter()
            .all(|t| t.restriction(10, now) == Restriction::None)
    );
}

/// Runs a poison request on the relays in turn and returns the number of targets that it crashed.
///
/// `gossip` holds whether the relays exchange their strikes after each run.
fn crashes_until_quarantine(relay_count: usize, gossip: &[bool]) -> usize {
    let mut tables = vec![StrikeTable::new(); relay_count];
    let mut crash_count = 0;
    for (run, is_gossip_due) in gossip.iter().enumerate() {
        let table = &mut tables[run % relay_count];
        if table.restriction(10, START) != Restriction::Quarantined {
            crash_count += 1;
            table.record_crash(crash_count as u64, &[10, 100 + run as u64], START);
        }
        if *is_gossip_due {
            let all_strikes: Vec<_> = tables.iter().flat_map(|t| t.export(64, START)).collect();
            tables
                .iter_mut()
                .for_each(|table| table.merge(&all_strikes, START));
        }
    }
    crash_count
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn a_poison_request_crashes_two_targets_with_gossip_and_two_per_relay_without(
        relay_count in 1..8usize,
        gossip in prop::collection::vec(any::<bool>(), 1..64),
    ) {
        prop_assert!(crashes_until_quarantine(relay_count, &gossip) <= 2 * relay_count);
        let gossip_after_each_run = vec![true; gossip.len()];
        prop_assert!(crashes_until_quarantine(relay_count, &gossip_after_each_run) <= 2);
    }

    #[test]
    fn tables_and_exports_stay_bounded_and_expire(
        crashes in prop::collection::vec(
            (any::<u64>(), prop::collection::vec(0..5_000u64, 1..600), 0..100u64), 1..20),
    ) {
        let mut table = StrikeTable::new();
        let mut now = START;
        for (crash, in_flight, wait_s) in crashes {
            now += Duration::from_secs(wait_s);
            table.record_crash(crash, &in_flight, now);
            prop_assert!(table.len() <= STRIKES_MAX);
            let strikes = table.export(32, now);
            prop_assert!(strikes.len() <= 32);
            prop_assert!(strikes.iter().all(|s| s.age < STRIKE_TTL));
        }
        table.record_crash(1, &[1], now + STRIKE_TTL);
        prop_assert_eq!(table.len(), 1, "expired strikes are kept");
    }
}

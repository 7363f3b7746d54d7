//! Guards against sending load to cold, unusable, slow and failing targets.

use std::time::Duration;

use limpet_decide::replica::{
    ReplicaCandidate,
    SelectionReason,
    TargetStatsTable,
    select_replica, //
};
use limpet_types::{
    RefusalCode,
    TargetAddr, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const NOW: Duration = Duration::from_secs(100);

fn addr(target: u16) -> TargetAddr {
    TargetAddr::from(([127, 0, 0, 1], 9000 + target))
}

fn candidates() -> Vec<ReplicaCandidate> {
    let candidate = |target| ReplicaCandidate {
        addr: addr(target),
        unusable_reason: None,
    };
    (0..3).map(candidate).collect()
}

/// A change of the statistics of three equal targets, and a check of the share of each in 3,000
/// selections.
type SharesCase = (fn(&mut TargetStatsTable), fn([f64; 3]) -> bool);

fn selection_shares((change, is_expected): SharesCase) {
    let mut table = TargetStatsTable::new();
    for target in 0..3 {
        table.get_or_insert(addr(target)).smoothed_latency = Duration::from_millis(5);
    }
    change(&mut table);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0u32; 3];
    for _ in 0..3000 {
        let selection = select_replica(&table, &candidates(), Some(7), NOW, rng.random()).unwrap();
        counts[selection.index] += 1;
    }
    let shares = counts.map(|count| f64::from(count) / 3000.0);
    assert!(is_expected(shares), "shares {shares:?}");
}

limpet_testkit::cases! {
    selection_shares:
    equal_targets_get_equal_shares => (|_| {}, |s| s.iter().all(|s| (0.30..0.37).contains(s))),
    a_busy_target_is_avoided => (|t| t.get_or_insert(addr(0)).in_flight = 1, |s| s[0] == 0.0),
    a_slow_target_is_avoided =>
        (|t| t.get_or_insert(addr(0)).smoothed_latency = Duration::from_millis(50), |s| s[0] == 0.0),
    a_failing_target_is_avoided => (|t| t.get_or_insert(addr(0)).record_failure(NOW), |s| s[0] == 0.0),
    an_old_failure_weighs_less_than_a_busy_target => (|t| {
        t.get_or_insert(addr(0)).record_failure(NOW - Duration::from_secs(20));
        t.get_or_insert(addr(1)).in_flight = 1;
        t.get_or_insert(addr(2)).in_flight = 1;
    }, |s| s[0] == 1.0),
    a_cold_target_gets_one_in_twenty_attempts =>
        (|t| t.get_or_insert(addr(0)).is_cold = true, |s| (0.035..0.065).contains(&s[0])),
    a_target_without_the_pinned_version_is_left_out =>
        (|t| t.get_or_insert(addr(0)).reported_versions = vec![6], |s| s[0] == 0.0),
}

#[test]
fn unusable_replicas_are_never_selected_and_their_refusal_is_returned() {
    let table = TargetStatsTable::new();
    let mut replicas = candidates();
    replicas[0].unusable_reason = Some(RefusalCode::ZoneOut);
    replicas[1].unusable_reason = Some(RefusalCode::ZoneOut);
    for step in 0..100 {
        let draw = f64::from(step) / 100.0;
        assert_eq!(
            select_replica(&table, &replicas, None, NOW, draw)
                .unwrap()
                .index,
            2
        );
    }
    replicas[2].unusable_reason = Some(RefusalCode::ZoneOut);
    assert_eq!(
        select_replica(&table, &replicas, None, NOW, 0.5),
        Err(RefusalCode::ZoneOut)
    );
    assert_eq!(
        select_replica(&table, &[], None, NOW, 0.5),
        Err(RefusalCode::NoTarget)
    );
}

#[test]
fn cold_targets_are_used_if_no_other_is_left() {
    let mut table = TargetStatsTable::new();
    for target in 0..3 {
        table.get_or_insert(addr(target)).is_cold = true;
    }
    let selection = select_replica(&table, &candidates(), None, NOW, 0.5).unwrap();
    assert_eq!(selection.reason, SelectionReason::OnlyCold);
}

//! Guards against choosing a version that some shard does not have, and against a second re-pin.

use limpet_decide::{
    plan::ShardCandidates,
    replica::{
        ReplicaCandidate,
        TargetStatsTable, //
    },
    snapshot::{
        VersionMatch,
        VersionPin,
        choose_version, //
    },
};
use limpet_types::{
    IndexVersion,
    RefusalCode,
    TargetAddr, //
};

fn addr(target: usize) -> TargetAddr {
    TargetAddr::from(([127, 0, 0, 1], 9000 + target as u16))
}

/// Versions held by the two targets of each shard, whether the first target of each is usable, and
/// the expected version.
type VersionCase = (
    &'static [[&'static [IndexVersion]; 2]],
    bool,
    Option<IndexVersion>,
);

fn chooses_version((shards, is_first_usable, expected): VersionCase) {
    let mut table = TargetStatsTable::new();
    let mut plan = Vec::new();
    for (shard, held) in shards.iter().enumerate() {
        let candidate = |replica: usize| ReplicaCandidate {
            addr: addr(shard * 2 + replica),
            unusable_reason: (replica == 0 && !is_first_usable).then_some(RefusalCode::ZoneOut),
        };
        for (replica, versions) in held.iter().enumerate() {
            table
                .get_or_insert(addr(shard * 2 + replica))
                .reported_versions = versions.to_vec();
        }
        plan.push(ShardCandidates {
            candidates: vec![candidate(0), candidate(1)],
        });
    }
    assert_eq!(choose_version(&table, &plan), expected);
}

limpet_testkit::cases! {
    chooses_version:
    no_reported_version_pins_nothing => (&[[&[], &[]]], true, None),
    the_newest_common_version => (&[[&[1, 2], &[1]], [&[1, 2, 3], &[3]]], true, Some(2)),
    versions_of_an_unusable_target_do_not_count =>
        (&[[&[1, 2], &[1]], [&[1, 2], &[1]]], false, Some(1)),
    a_shard_without_reports_does_not_restrict => (&[[&[4, 5], &[4]], [&[], &[]]], true, Some(5)),
    no_common_version_pins_nothing => (&[[&[1], &[1]], [&[2], &[2]]], true, None),
}

#[test]
fn a_pin_takes_the_first_version_and_re_pins_once() {
    let mut pin = VersionPin::new(None);
    assert_eq!(pin.check(Some(1)), VersionMatch::Same);
    assert_eq!(pin.check(Some(2)), VersionMatch::Different);
    assert!(
        !pin.repin(Some(1)),
        "a re-pin to the same version would drop answers needlessly"
    );
    assert!(!pin.repin(None));
    assert!(pin.repin(Some(2)));
    assert!(!pin.repin(Some(3)), "re-pins could go on forever");
    assert_eq!(pin.check(Some(1)), VersionMatch::Different);
    assert_eq!(pin.check(None), VersionMatch::Different);
    assert_eq!(pin.version(), Some(2));
}

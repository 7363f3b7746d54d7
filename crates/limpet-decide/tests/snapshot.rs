//! Guards against a version that some shard does not have and against moving between versions twice.

use limpet_decide::{
    plan::ShardCandidates,
    replica::{
        Candidate,
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

/// Versions held by the two targets of each shard, whether the first target is usable, and the choice.
type ChoiceCase = (
    &'static [[&'static [IndexVersion]; 2]],
    bool,
    Option<IndexVersion>,
);

fn chooses((shards, is_first_usable, expected): ChoiceCase) {
    let mut views = TargetStatsTable::new();
    let mut plan = Vec::new();
    for (shard, held) in shards.iter().enumerate() {
        let candidate = |replica: usize| Candidate {
            addr: addr(shard * 2 + replica),
            unusable: (replica == 0 && !is_first_usable).then_some(RefusalCode::ZoneOut),
        };
        for (replica, versions) in held.iter().enumerate() {
            views.get_mut(addr(shard * 2 + replica)).versions = versions.to_vec();
        }
        plan.push(ShardCandidates {
            candidates: vec![candidate(0), candidate(1)],
        });
    }
    assert_eq!(choose_version(&views, &plan), expected);
}

limpet_testkit::cases! {
    chooses:
    nothing_known_pins_nothing => (&[[&[], &[]]], true, None),
    the_newest_common_version => (&[[&[1, 2], &[1]], [&[1, 2, 3], &[3]]], true, Some(2)),
    a_version_of_an_unusable_target_does_not_count =>
        (&[[&[1, 2], &[1]], [&[1, 2], &[1]]], false, Some(1)),
    a_silent_shard_does_not_restrict => (&[[&[4, 5], &[4]], [&[], &[]]], true, Some(5)),
    no_common_version_pins_nothing => (&[[&[1], &[1]], [&[2], &[2]]], true, None),
}

#[test]
fn a_pin_takes_the_first_version_and_moves_once() {
    let mut pin = VersionPin::new(None);
    assert_eq!(pin.check(Some(1)), VersionMatch::Same);
    assert_eq!(pin.check(Some(2)), VersionMatch::Different);
    assert!(
        !pin.repin(Some(1)),
        "a move to the same version would lose answers for nothing"
    );
    assert!(!pin.repin(None));
    assert!(pin.repin(Some(2)));
    assert!(!pin.repin(Some(3)), "a second move could go on for ever");
    assert_eq!(pin.check(Some(1)), VersionMatch::Different);
    assert_eq!(pin.check(None), VersionMatch::Different);
    assert_eq!(pin.version(), Some(2));
}

//! Guards against a configuration that reverts and against two texts under one revision.

use limpet_decide::revision::{
    ConfigVersion,
    OfferStatus,
    Origin,
    RevisionTracker, //
};
use proptest::prelude::*;

const fn seen(revision: u64, text: u8) -> ConfigVersion {
    ConfigVersion {
        revision,
        digest: [text; 32],
    }
}

/// Revision 5 is in force, revision 7 was invalid.
fn revisions() -> RevisionTracker {
    let mut revisions = RevisionTracker::new();
    revisions.put_in_force(seen(5, 5));
    revisions.mark_invalid(seen(7, 7));
    revisions
}

limpet_testkit::cases! {
    judges:
    newer_from_the_service => (Origin::Service, seen(8, 8), OfferStatus::Newer),
    newer_from_a_peer => (Origin::Peer, seen(8, 8), OfferStatus::Newer),
    in_force_again => (Origin::Service, seen(5, 5), OfferStatus::InForce),
    in_force_with_another_text => (Origin::Peer, seen(5, 6), OfferStatus::Conflict),
    lower_from_the_service => (Origin::Service, seen(4, 4), OfferStatus::Stale),
    lower_from_a_peer => (Origin::Peer, seen(4, 4), OfferStatus::Stale),
    invalid_again => (Origin::Service, seen(7, 7), OfferStatus::Invalid),
    invalid_with_another_text => (Origin::Peer, seen(7, 6), OfferStatus::Conflict),
    below_the_invalid_from_the_service => (Origin::Service, seen(6, 6), OfferStatus::Stale),
    below_the_invalid_from_a_peer => (Origin::Peer, seen(6, 6), OfferStatus::Newer),
}

fn judges((origin, offered, expected): (Origin, ConfigVersion, OfferStatus)) {
    assert_eq!(revisions().classify(origin, offered), expected);
}

proptest! {
    #[test]
    fn the_revision_in_force_never_falls_and_never_changes_its_text(
        offers in proptest::collection::vec((0u64..6, 0u8..3, any::<bool>(), any::<bool>()), 0..60),
    ) {
        let mut revisions = RevisionTracker::new();
        let mut last = seen(0, 0);
        for (revision, text, is_peer, is_valid) in offers {
            let origin = if is_peer { Origin::Peer } else { Origin::Service };
            let offered = seen(revision, text);
            if revisions.classify(origin, offered) == OfferStatus::Newer {
                if is_valid {
                    prop_assert!(offered.revision > last.revision);
                    revisions.put_in_force(offered);
                    last = offered;
                } else {
                    revisions.mark_invalid(offered);
                }
            }
            prop_assert_eq!(revisions.in_force(), last.revision);
            prop_assert!(revisions.highest() >= last.revision);
        }
    }
}

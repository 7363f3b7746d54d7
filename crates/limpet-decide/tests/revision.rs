//! Guards against a configuration that reverts to an older revision and against two texts under one
//! revision.

use limpet_decide::revision::{
    ConfigVersion,
    OfferStatus,
    Origin,
    RevisionTracker, //
};
use proptest::prelude::*;

const fn version(revision: u64, text: u8) -> ConfigVersion {
    ConfigVersion {
        revision,
        digest: [text; 32],
    }
}

/// Returns a tracker with revision 5 in force, which found revision 7 invalid.
fn tracker() -> RevisionTracker {
    let mut tracker = RevisionTracker::new();
    tracker.put_in_force(version(5, 5));
    tracker.mark_invalid(version(7, 7));
    tracker
}

limpet_testkit::cases! {
    classifies:
    newer_from_the_service => (Origin::Service, version(8, 8), OfferStatus::Newer),
    newer_from_a_peer => (Origin::Peer, version(8, 8), OfferStatus::Newer),
    in_force_again => (Origin::Service, version(5, 5), OfferStatus::InForce),
    in_force_with_another_text => (Origin::Peer, version(5, 6), OfferStatus::Conflict),
    lower_from_the_service => (Origin::Service, version(4, 4), OfferStatus::Stale),
    lower_from_a_peer => (Origin::Peer, version(4, 4), OfferStatus::Stale),
    invalid_again => (Origin::Service, version(7, 7), OfferStatus::Invalid),
    invalid_with_another_text => (Origin::Peer, version(7, 6), OfferStatus::Conflict),
    below_the_invalid_from_the_service => (Origin::Service, version(6, 6), OfferStatus::Stale),
    below_the_invalid_from_a_peer => (Origin::Peer, version(6, 6), OfferStatus::Newer),
}

fn classifies((origin, offered, expected): (Origin, ConfigVersion, OfferStatus)) {
    assert_eq!(tracker().classify(origin, offered), expected);
}

proptest! {
    #[test]
    fn the_revision_in_force_never_falls_and_never_changes_its_text(
        offers in proptest::collection::vec((0u64..6, 0u8..3, any::<bool>(), any::<bool>()), 0..60),
    ) {
        let mut tracker = RevisionTracker::new();
        let mut newest = version(0, 0);
        for (revision, text, is_peer, is_valid) in offers {
            let origin = if is_peer { Origin::Peer } else { Origin::Service };
            let offered = version(revision, text);
            if tracker.classify(origin, offered) == OfferStatus::Newer {
                if is_valid {
                    prop_assert!(offered.revision > newest.revision);
                    tracker.put_in_force(offered);
                    newest = offered;
                } else {
                    tracker.mark_invalid(offered);
                }
            }
            prop_assert_eq!(tracker.revision_in_force(), newest.revision);
            prop_assert!(tracker.highest_revision() >= newest.revision);
        }
    }
}

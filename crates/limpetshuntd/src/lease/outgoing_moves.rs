//! Targets that the coordinator moves from this relay to another one for balance.

use std::collections::BTreeMap;

use limpet_decide::grant::OwnershipChange;
use limpet_types::TargetAddr;

/// Targets whose ownership the coordinator no longer renews, because another relay should own them.
#[derive(Debug, Default)]
pub(super) struct OutgoingMoves {
    /// Whether each target may be released before its ownership expires.
    may_release: BTreeMap<TargetAddr, bool>,
}

impl OutgoingMoves {
    /// Adds targets that move to another relay and removes those whose ownership was gained or lost.
    pub(super) fn apply_changes(&mut self, changes: &[OwnershipChange]) {
        for change in changes {
            match change {
                OwnershipChange::Ending(target, Some(_)) => {
                    self.may_release.entry(*target).or_insert(true);
                }
                OwnershipChange::Lost(target) | OwnershipChange::Gained(target) => {
                    self.may_release.remove(target);
                }
                OwnershipChange::Ending(_, None) => {}
            }
        }
    }

    /// Returns the targets that should be released as soon as no attempt is in flight on them.
    pub(super) fn releasable_targets(&self) -> Vec<TargetAddr> {
        let releasable = self
            .may_release
            .iter()
            .filter(|(_, may_release)| **may_release);
        releasable.map(|(target, _)| *target).collect()
    }

    /// Removes a target that was released.
    pub(super) fn remove(&mut self, target: TargetAddr) {
        self.may_release.remove(&target);
    }

    /// Keeps a target until its ownership expires.
    ///
    /// An attempt that started during the release may have been cut off with the connections to the
    /// target, and may run on the target until then.
    pub(super) fn hold_until_expiration(&mut self, target: TargetAddr) {
        self.may_release.insert(target, false);
    }
}

//! Targets that the coordinator takes from this relay for balance.

use std::collections::BTreeMap;

use limpet_decide::grant::OwnershipChange;
use limpet_types::TargetAddr;

/// Targets that are to be given back, and whether that may happen before their ownership ends.
#[derive(Debug, Default)]
pub(super) struct MovesAway {
    targets: BTreeMap<TargetAddr, bool>,
}

impl MovesAway {
    /// Notes targets that are no longer renewed in favour of another relay, and ended ones.
    pub(super) fn note(&mut self, changes: &[OwnershipChange]) {
        for change in changes {
            match change {
                OwnershipChange::Ending(target, Some(_)) => {
                    self.targets.entry(*target).or_insert(true);
                }
                OwnershipChange::Lost(target) | OwnershipChange::Gained(target) => {
                    self.targets.remove(target);
                }
                OwnershipChange::Ending(_, None) => {}
            }
        }
    }

    /// Returns the targets to give back as soon as nothing is in flight on them.
    pub(super) fn pending(&self) -> Vec<TargetAddr> {
        let pending = self.targets.iter().filter(|(_, may_release)| **may_release);
        pending.map(|(target, _)| *target).collect()
    }

    /// Ends the wait for a target that was given back.
    pub(super) fn forget(&mut self, target: TargetAddr) {
        self.targets.remove(&target);
    }

    /// Leaves a target to the end of its ownership: an attempt that started during the release may
    /// have been cut with the target's connections and still run there until then.
    pub(super) fn keep_to_its_end(&mut self, target: TargetAddr) {
        self.targets.insert(target, false);
    }
}

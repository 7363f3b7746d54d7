//! The owner of each target.

use std::collections::HashMap;

use limpet_types::{
    NodeId,
    TargetAddr, //
};

/// Relay that owns each target, as the coordinators last reported it.
///
/// Entries choose the relay of an attempt by the directory. It may be outdated; a relay that no longer owns
/// the target refuses the attempt.
#[derive(Clone, Debug, Default)]
pub struct OwnerDirectory {
    pub(crate) owners: HashMap<TargetAddr, NodeId>,
}

impl OwnerDirectory {
    /// Sets the owner of a target.
    pub fn with_owner(mut self, target: TargetAddr, owner: NodeId) -> Self {
        self.owners.insert(target, owner);
        self
    }

    /// Returns the owner of a target, if one is known.
    pub fn owner_of(&self, target: TargetAddr) -> Option<NodeId> {
        self.owners.get(&target).copied()
    }
}

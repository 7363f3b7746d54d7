//! Which relay owns which target.

use std::collections::HashMap;

use limpet_types::{
    NodeId,
    TargetAddr, //
};

/// Owners as last heard from the coordinators; may lag.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) owners: HashMap<TargetAddr, NodeId>,
}

impl Directory {
    /// Returns the owner of a target, if one is known.
    pub fn owner_of(&self, target: TargetAddr) -> Option<NodeId> {
        self.owners.get(&target).copied()
    }
}

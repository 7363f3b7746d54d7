//! Nodes known to this process by gossip.

use std::time::Duration;

use limpet_types::{
    NodeRecord,
    Role, //
};

/// A node that this process knows by gossip.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest record that the node wrote about itself.
    pub record: NodeRecord,
    /// Time since boot of this VM at which the node wrote the record, calculated from the record's age.
    pub last_seen_at: Duration,
}

/// Nodes known by gossip, including this process; may be outdated, and differs between processes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// One member for each address, sorted by address.
    pub(crate) nodes: Vec<Member>,
}

impl Members {
    /// Adds a node at the end, without sorting.
    pub fn with_member(mut self, member: Member) -> Self {
        self.nodes.push(member);
        self
    }

    /// Iterates over the nodes with a role, including this process.
    pub fn nodes_with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.nodes.iter().filter(move |m| m.record.role == role)
    }
}

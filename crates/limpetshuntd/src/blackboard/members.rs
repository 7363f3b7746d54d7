//! Nodes known to this process.

use std::time::Duration;

use limpet_types::{
    NodeRecord,
    Role, //
};

/// A node heard by gossip.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it told of itself.
    pub record: NodeRecord,
    /// Boot time at which the record was current.
    pub last_seen_at: Duration,
}

/// Nodes heard by gossip; may lag and differs between processes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    pub(crate) nodes: Vec<Member>,
}

impl Members {
    /// Adds a node.
    pub fn with_member(mut self, member: Member) -> Self {
        self.nodes.push(member);
        self
    }

    /// Iterates over the nodes of a role, this process included.
    pub fn iter_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.nodes.iter().filter(move |m| m.record.role == role)
    }
}

//! Nodes and what they tell of themselves.

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    GroupId,
    Incarnation,
    Revision,
    ZoneName, //
};

/// One run of one process: the address may be used again, the incarnation is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Address on which the process serves its peers.
    pub addr: SocketAddr,
    /// Random number of this run.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Creates an id.
    pub const fn new(addr: SocketAddr, incarnation: Incarnation) -> Self {
        Self { addr, incarnation }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:016x}", self.addr, self.incarnation)
    }
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Serves entries and owns targets.
    Relay,
}

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Has no proof yet that its configuration is current.
    Starting,
    /// Takes work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
}

/// What a node tells of itself by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Who it is.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Zone of its VM.
    pub zone: ZoneName,
    /// Where it is in its life.
    pub phase: Phase,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Groups that it coordinates.
    pub coordinated_groups: Vec<GroupId>,
    /// Increased by the node with each change of its record.
    pub version: u64,
    /// Time since the node itself said this, summed over the hops.
    pub age: Duration,
}

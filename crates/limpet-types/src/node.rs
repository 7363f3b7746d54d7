//! Nodes, the running processes of a fleet, and the records in which they describe themselves.

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
    Incarnation,
    LeaseGroupId,
    Revision,
    ZoneName, //
};

/// Identifies one run of a process: a later run may reuse the address, but not the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Address on which the process serves peers.
    pub addr: SocketAddr,
    /// Random number that identifies the run.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Creates the identifier of the run with this incarnation at this address.
    pub const fn new(addr: SocketAddr, incarnation: Incarnation) -> Self {
        Self { addr, incarnation }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:016x}", self.addr, self.incarnation)
    }
}

/// Role of a process in the handling of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// The process accepts requests from callers and sends attempts to relays.
    Entry,
    /// The process owns targets and runs the attempts of entries on them.
    Relay,
}

/// Lifecycle phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The process has no evidence yet that its configuration is current.
    Starting,
    /// The process accepts new work.
    Serving,
    /// The process accepts no new work and finishes the work in progress.
    Draining,
}

/// Description of a node, written by the node itself and spread by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Identifier of the node.
    pub node: NodeId,
    /// Role of the process.
    pub role: Role,
    /// Zone of the VM on which the process runs.
    pub zone: ZoneName,
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Revision of the configuration in force on the node.
    pub revision: Revision,
    /// Lease groups that the node coordinates.
    pub coordinated_groups: Vec<LeaseGroupId>,
    /// Version of the record; the node increases it with each change.
    pub version: u64,
    /// Time since the node wrote the record, summed over the gossip hops.
    pub age: Duration,
}

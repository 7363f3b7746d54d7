//! Documents of `/status` and `/explain`: the state of a process, its view of the fleet and the routing of
//! a lookup.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        LeaseGroupId,
        Revision,
        ServiceName,
        ShardName,
        TargetAddr,
        TargetName,
        TeamName,
        ZoneName, //
    },
    node::{
        Phase,
        Role, //
    },
};

/// The document of `/status` and of the peer request `Status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusDocument {
    /// Address and incarnation of the process.
    pub node: Box<str>,
    /// Role of the process.
    pub role: Role,
    /// Zone of the VM on which the process runs.
    pub zone: ZoneName,
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Whether the process accepts new work.
    pub ready: bool,
    /// Reason why the process accepts no new work; `None` if it accepts new work.
    pub not_ready_reason: Option<Box<str>>,
    /// Time until the configuration in force counts as stale, unless new evidence arrives that it is
    /// current; 0 if the configuration is stale.
    pub fresh_for_ms: u64,
    /// Configuration in force; `None` before the first one.
    pub config: Option<ConfigStatus>,
    /// Configuration texts that the process refused as invalid.
    pub refused_texts: Vec<RefusedText>,
    /// Nodes known through gossip.
    pub members: Vec<MemberStatus>,
    /// Coordinators of the lease groups, as the members report them.
    pub coordinators: Vec<CoordinatorStatus>,
    /// Targets of the configuration in force.
    pub targets: Vec<TargetStatus>,
    /// Rate tokens that the process holds, by team; empty unless the process is an entry.
    pub tokens: Vec<TokenStatus>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision of the configuration.
    pub revision: Revision,
    /// BLAKE3 digest of the configuration text in hex.
    pub digest: Box<str>,
    /// Size of the configuration text.
    pub size_bytes: usize,
}

/// A configuration text that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedText {
    /// Revision that the configuration service assigned to the text.
    pub revision: Revision,
    /// Problems of the text, each with line and column.
    pub problems: Vec<Box<str>>,
}

/// A node known through gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Address and incarnation of the node.
    pub node: Box<str>,
    /// Role of the process.
    pub role: Role,
    /// Zone of the VM on which the node runs.
    pub zone: ZoneName,
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Revision of the configuration in force on the node.
    pub revision: Revision,
    /// Time since the node wrote the record from which this status comes.
    pub age_ms: u64,
}

/// The coordinator of one lease group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// Lease group that the node coordinates.
    pub group: LeaseGroupId,
    /// Address and incarnation of the relay that reports to coordinate the group.
    pub node: Box<str>,
}

/// One target of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: TargetName,
    /// Address on which the target serves requests.
    pub addr: TargetAddr,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Shard of which the target is a replica.
    pub shard: ShardName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// State according to the configuration: `live`, `leaving` or `zone_out`.
    pub state: Box<str>,
    /// Relay that owns the target, as far as this process knows; `None` if it knows of none.
    pub owner: Option<SocketAddr>,
    /// Time until the ownership of the target expires; `None` if this process doesn't own the target.
    pub owned_for_ms: Option<u64>,
}

/// Rate tokens of one team that the entry holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenStatus {
    /// Team whose requests the tokens admit.
    pub team: TeamName,
    /// Number of tokens that can be spent now.
    pub tokens: u64,
}

/// The document of `/explain`: how an entry would route a lookup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainDocument {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Lookups that would run, each after those that it depends on.
    pub steps: Vec<ExplainStep>,
}

/// One lookup of an [`ExplainDocument`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Name of the lookup.
    pub lookup: Box<str>,
    /// Service that would be queried.
    pub service: ServiceName,
    /// Kind of the lookup: `search`, `exists`, `record` or `order`.
    pub kind: Box<str>,
    /// Whether callers need no API key.
    pub open: bool,
    /// Shards that would be queried.
    pub shards: Vec<ExplainShard>,
}

/// One shard of an [`ExplainStep`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainShard {
    /// Name of the shard.
    pub shard: ShardName,
    /// First key of the shard's key range.
    pub start: u64,
    /// First key after the shard's key range.
    pub end: u64,
    /// Replicas of the shard.
    pub replicas: Vec<ExplainReplica>,
}

/// One replica of an [`ExplainShard`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReplica {
    /// Name of the target.
    pub target: TargetName,
    /// Address of the target.
    pub addr: TargetAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Relay to which an attempt would be sent; `None` if no relay is known to own the target.
    pub relay: Option<SocketAddr>,
    /// Whether an attempt could be sent now.
    pub usable: bool,
    /// Reason why the replica is usable or not.
    pub reason: Box<str>,
}

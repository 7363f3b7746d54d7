//! A process's view of itself and the fleet, as served on `/status`.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        GroupId,
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
    /// What it does.
    pub role: Role,
    /// Zone of its VM.
    pub zone: ZoneName,
    /// Where it is in its life.
    pub phase: Phase,
    /// Whether it takes new work.
    pub ready: bool,
    /// Why it takes no new work, if it does not.
    pub not_ready_reason: Option<Box<str>>,
    /// Time for which the configuration still counts as current without new evidence; 0 if stale.
    pub fresh_for_ms: u64,
    /// Configuration in force.
    pub config: Option<ConfigStatus>,
    /// Texts of the configuration service that were refused.
    pub refused_texts: Vec<RefusedText>,
    /// Nodes heard by gossip.
    pub members: Vec<MemberStatus>,
    /// Coordinators as the members report them.
    pub coordinators: Vec<CoordinatorStatus>,
    /// Targets of the configuration in force.
    pub targets: Vec<TargetStatus>,
    /// Rate tokens held, by team; entries only.
    pub tokens: Vec<TokenStatus>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Revision.
    pub revision: Revision,
    /// BLAKE3 digest of the text in hex.
    pub digest: Box<str>,
    /// Size of the text.
    pub size_bytes: usize,
}

/// A text that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedText {
    /// Revision that the configuration service gave it.
    pub revision: Revision,
    /// Problems, each with line and column.
    pub problems: Vec<Box<str>>,
}

/// A node heard by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Address and incarnation.
    pub node: Box<str>,
    /// What it does.
    pub role: Role,
    /// Zone of its VM.
    pub zone: ZoneName,
    /// Where it is in its life.
    pub phase: Phase,
    /// Revision in force there.
    pub revision: Revision,
    /// Time since the node said this.
    pub age_ms: u64,
}

/// The coordinator of one lease group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// Group.
    pub group: GroupId,
    /// Relay that reports that it coordinates the group.
    pub node: Box<str>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name.
    pub name: TargetName,
    /// Address.
    pub addr: TargetAddr,
    /// Service.
    pub service: ServiceName,
    /// Shard.
    pub shard: ShardName,
    /// Zone.
    pub zone: ZoneName,
    /// `live`, `leaving` or `zone_out`, from the operators' text.
    pub state: Box<str>,
    /// Relay that owns it, as far as this process knows.
    pub owner: Option<SocketAddr>,
    /// Time until this relay's own ownership ends.
    pub owned_for_ms: Option<u64>,
}

/// Rate tokens of one team held by this entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenStatus {
    /// Team.
    pub team: TeamName,
    /// Tokens that can be spent now.
    pub tokens: u64,
}

/// The document of `/explain`: how an entry would route a lookup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainDocument {
    /// Revision of the configuration used.
    pub revision: Revision,
    /// The lookups that would run, dependencies first.
    pub steps: Vec<ExplainStep>,
}

/// One lookup of an [`ExplainDocument`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Lookup.
    pub lookup: Box<str>,
    /// Service asked.
    pub service: ServiceName,
    /// `search`, `exists`, `record` or `order`.
    pub kind: Box<str>,
    /// Whether callers need no API key.
    pub open: bool,
    /// Shards that would be asked.
    pub shards: Vec<ExplainShard>,
}

/// One shard of an [`ExplainStep`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainShard {
    /// Shard.
    pub shard: ShardName,
    /// First key of its range.
    pub start: u64,
    /// First key past its range.
    pub end: u64,
    /// Its replicas.
    pub replicas: Vec<ExplainReplica>,
}

/// One replica of an [`ExplainShard`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReplica {
    /// Target.
    pub target: TargetName,
    /// Address.
    pub addr: TargetAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Relay that an attempt would go to.
    pub relay: Option<SocketAddr>,
    /// Whether an attempt could be sent now.
    pub usable: bool,
    /// Why, or why not.
    pub reason: Box<str>,
}

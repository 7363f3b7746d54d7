//! Requests for rate tokens and for the ownership of targets, which the coordinator of a lease group grants.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        LeaseGroupId,
        TargetAddr,
        TeamName,
        Term, //
    },
    node::NodeId, //
};

/// Usage of the tokens of one grant.
///
/// The counts are totals since the grant rather than differences from the previous report, so a lost,
/// repeated or delayed report never frees a token twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Sequence number of the request for which the tokens were granted.
    pub sequence: u64,
    /// Number of tokens spent.
    pub spent: u32,
    /// Number of tokens returned unspent.
    pub returned: u32,
}

/// Demand of an entry for tokens of one team, with its usage of earlier grants of the same term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Team that the tokens are for.
    pub team: TeamName,
    /// Number of tokens wanted in addition to those that the entry holds.
    pub wanted: u32,
    /// Usage of the grants that are still valid at the entry.
    pub reports: Vec<TokenUsage>,
}

/// Requests tokens and ownership from a coordinator and reports the use of earlier grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Lease group of the tokens and of the targets.
    pub group: LeaseGroupId,
    /// Node that requests the grant and will hold it.
    pub holder: NodeId,
    /// Sequence number of the request, which the holder increases with each new one; the coordinator answers
    /// a repeated number with the reply that it recorded.
    pub sequence: u64,
    /// Demands for tokens, by team; only from entries.
    pub tokens: Vec<TokenDemand>,
    /// Latest term of the group's coordinator that the holder knows, if any; claims are valid only in
    /// the current term.
    pub term: Option<Term>,
    /// Targets that the relay does not own and wants to own.
    pub wanted: Vec<TargetAddr>,
    /// Targets that the relay owned when it sent the request and wants to keep.
    pub claimed: Vec<TargetAddr>,
    /// Targets that the relay gives up: no request is in flight and every connection is closed.
    pub released: Vec<TargetAddr>,
    /// Version of the group's directory that the holder has; see [`DirectoryEntry`].
    pub directory_version: u64,
}

/// Tokens granted to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Team that the tokens are for.
    pub team: TeamName,
    /// Number of tokens granted; may be 0.
    pub tokens: u32,
    /// Level of the token bucket after this grant, in thousandths of a token; a hint which group to
    /// ask next.
    pub level_milli: u32,
}

/// Decision on the ownership of one target that a relay wanted or claimed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipDecision {
    /// Address of the target.
    pub target: TargetAddr,
    /// The holder itself if it may own the target, or else the relay that owns the target. For an owner's
    /// claim of a target that is being moved, the relay to which the target moves. `None` if no relay may
    /// own the target yet.
    pub owner: Option<NodeId>,
    /// Whether the target is being moved from its owner to the holder that sent the request.
    pub is_moving: bool,
}

/// One entry of the directory, which maps the targets of a lease group to their owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Address of the target.
    pub target: TargetAddr,
    /// Relay that owns the target.
    pub owner: NodeId,
}

/// Reply to a [`GrantRequest`].
///
/// All durations count from when the holder *sent* its request, so that a grant ends at the holder no later
/// than at the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Lease group of the request.
    pub group: LeaseGroupId,
    /// Coordinator of the group known to the answering relay; the relay itself if it knows none.
    pub coordinator: NodeId,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the answering relay coordinates the group; otherwise nothing is granted.
    pub is_coordinator: bool,
    /// Term of the coordinator.
    pub term: Term,
    /// Lifetime of the granted tokens.
    pub token_ttl: Duration,
    /// Lifetime of the granted ownerships.
    pub ownership_ttl: Duration,
    /// Tokens granted, by team.
    pub tokens: Vec<TokenGrant>,
    /// Decisions on the wanted and claimed targets.
    pub targets: Vec<OwnershipDecision>,
    /// Version of the group's directory.
    pub directory_version: u64,
    /// Full directory of the group, if the version known to the holder differs.
    pub directory: Option<Vec<DirectoryEntry>>,
}

//! Rate tokens and target ownership, given by the coordinator of a lease group.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        GroupId,
        TargetAddr,
        TeamName,
        Term, //
    },
    node::NodeId, //
};

/// What became of the tokens of one grant, counted from the grant on.
///
/// Totals and not differences, so that a lost, repeated or delayed report frees nothing twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of the request that the tokens were granted to.
    pub sequence: u64,
    /// Tokens spent.
    pub spent: u32,
    /// Tokens given back unspent.
    pub returned: u32,
}

/// Tokens of one team that an entry wants, and reports on earlier grants of the same term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Team.
    pub team: TeamName,
    /// Tokens wanted on top of those held.
    pub wanted: u32,
    /// Reports on grants that are still valid at the entry.
    pub reports: Vec<TokenUsage>,
}

/// Asks a coordinator for rights and reports what became of earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Group asked.
    pub group: GroupId,
    /// Who asks.
    pub holder: NodeId,
    /// Number of the request at the holder, rising; a repeated number gets the recorded reply.
    pub sequence: u64,
    /// Tokens, by team; entries only.
    pub tokens: Vec<TokenDemand>,
    /// Term of the coordinator as last heard; claims count only under the current term.
    pub term: Option<Term>,
    /// Targets that the relay does not own and wants.
    pub wanted: Vec<TargetAddr>,
    /// Targets that the relay owned at the moment of sending and wants to go on owning.
    pub claimed: Vec<TargetAddr>,
    /// Targets given back: nothing is in flight and every connection is closed.
    pub released: Vec<TargetAddr>,
    /// Version of the directory that the holder has.
    pub directory_version: u64,
}

/// Tokens moved to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Team.
    pub team: TeamName,
    /// Tokens moved to the holder; may be 0.
    pub tokens: u32,
    /// Level of the bucket after this grant, in thousandths of a token. Tells the holder which group
    /// to ask next; no right follows from it.
    pub level_milli: u32,
}

/// Answer for one target that a relay wanted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipDecision {
    /// Target.
    pub target: TargetAddr,
    /// Owner now; the holder itself if granted, `None` if nobody may own it yet.
    pub owner: Option<NodeId>,
    /// Whether the owner was told to give the target up in favour of the asker.
    pub is_moving: bool,
}

/// One line of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Target.
    pub target: TargetAddr,
    /// Relay that owns it.
    pub owner: NodeId,
}

/// Rights given. All times count from when the holder *sent* its request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Group asked.
    pub group: GroupId,
    /// Coordinator of the group as far as the answering relay knows; itself if it knows of none.
    pub coordinator: NodeId,
    /// Number of the request.
    pub sequence: u64,
    /// Whether the answering relay coordinates the group; if not, nothing is granted.
    pub is_coordinator: bool,
    /// Random number drawn when the coordinator was elected.
    pub term: Term,
    /// How long the tokens last.
    pub token_ttl: Duration,
    /// How long ownership lasts.
    pub ownership_ttl: Duration,
    /// Tokens granted.
    pub tokens: Vec<TokenGrant>,
    /// Ownership granted or refused.
    pub targets: Vec<OwnershipDecision>,
    /// Version of the directory.
    pub directory_version: u64,
    /// Whole directory of the group, if the holder's is older.
    pub directory: Option<Vec<DirectoryEntry>>,
}

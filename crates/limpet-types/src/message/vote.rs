//! Election of the coordinator of a lease group.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::GroupId,
    node::NodeId, //
};

/// Asks for, renews or gives back one vote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Group that the vote is for.
    pub group: GroupId,
    /// Relay that wants to coordinate the group.
    pub candidate: NodeId,
    /// Number of the round at the candidate; replies to an older round are dropped.
    pub round: u64,
    /// Time for which the vote is asked; zero gives it back.
    pub ttl: Duration,
}

/// Answer of one voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Group that the vote is for.
    pub group: GroupId,
    /// Who votes.
    pub voter: NodeId,
    /// Round of the request.
    pub round: u64,
    /// Whether the voter promises the group to the candidate.
    pub granted: bool,
    /// If refused, time until the voter may grant.
    pub retry_after: Duration,
    /// Largest number of VMs that the voter's configuration allows.
    pub vms_max: u32,
}

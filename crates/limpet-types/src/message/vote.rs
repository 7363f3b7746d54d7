//! Election of the coordinator of a lease group.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::LeaseGroupId,
    node::NodeId, //
};

/// Requests, renews or returns one vote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Lease group that the vote is for.
    pub group: LeaseGroupId,
    /// Relay that stands for election.
    pub candidate: NodeId,
    /// Election round at the candidate; replies to older rounds are dropped.
    pub round: u64,
    /// Requested lifetime of the vote; zero returns the vote.
    pub ttl: Duration,
}

/// Reply of a voter to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Lease group that the vote is for.
    pub group: LeaseGroupId,
    /// Node that votes.
    pub voter: NodeId,
    /// Round of the request.
    pub round: u64,
    /// Whether the voter grants its vote to the candidate.
    pub granted: bool,
    /// Time until the voter can grant its vote, if it refused.
    pub retry_after: Duration,
    /// Maximum number of VMs in the voter's configuration.
    pub vms_max: u32,
}

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

/// Requests, renews or returns the vote of one relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Lease group that the vote is for.
    pub group: LeaseGroupId,
    /// Relay that stands for election.
    pub candidate: NodeId,
    /// Number of the candidate's election round; the candidate ignores replies to older rounds.
    pub round: u64,
    /// Requested lifetime of the vote, counted by the voter from the arrival of the request; zero returns
    /// the vote.
    pub ttl: Duration,
}

/// Reply of a voter to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Lease group that the vote is for.
    pub group: LeaseGroupId,
    /// Relay that votes.
    pub voter: NodeId,
    /// Election round of the request.
    pub round: u64,
    /// Whether the voter grants its vote to the candidate.
    pub granted: bool,
    /// Time until the voter may grant its vote, counted from the reply; zero unless the voter refused the
    /// request.
    pub retry_after: Duration,
    /// Maximum number of VMs in the voter's configuration, 0 if the voter has no configuration; the candidate
    /// needs the votes of a majority of the largest number that it learns.
    pub vms_max: u32,
}

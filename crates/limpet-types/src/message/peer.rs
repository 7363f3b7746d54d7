//! Enumerations of all requests and replies between peers.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    deployment::StateUpdate,
    message::{
        AttemptReply,
        AttemptRequest,
        FollowRequest,
        ForwardOrderReply,
        ForwardOrderRequest,
        GatherReply,
        GatherRequest,
        GossipReply,
        GossipRequest,
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};

/// Request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run one attempt on a target that the peer owns.
    Attempt(AttemptRequest),
    /// Request, renew or return a vote in the election of a coordinator.
    Vote(VoteRequest),
    /// Request tokens and ownership from a coordinator.
    Grant(GrantRequest),
    /// Exchange state by gossip.
    Gossip(Box<GossipRequest>),
    /// Run an order whose ticket the peer issued.
    ForwardOrder(ForwardOrderRequest),
    /// Request the status of the peer.
    Status,
    /// Wait for changes of the deployment's state.
    Follow(FollowRequest),
    /// Run a scatter-gather query.
    Gather(Box<GatherRequest>),
}

/// Status of a process, for `limpetctl status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// [`StatusDocument`](crate::status::StatusDocument) as JSON.
    pub json: Box<str>,
}

/// Reply of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Attempt`].
    Attempt(AttemptReply),
    /// Reply to [`PeerRequest::Vote`].
    Vote(VoteReply),
    /// Reply to [`PeerRequest::Grant`].
    Grant(GrantReply),
    /// Reply to [`PeerRequest::Gossip`].
    Gossip(Box<GossipReply>),
    /// Reply to [`PeerRequest::ForwardOrder`].
    ForwardOrder(ForwardOrderReply),
    /// Reply to [`PeerRequest::Status`].
    Status(StatusReply),
    /// Reply to [`PeerRequest::Follow`].
    Follow(StateUpdate),
    /// The peer does not serve this kind of request.
    Unsupported,
    /// Reply to [`PeerRequest::Gather`].
    Gather(GatherReply),
}

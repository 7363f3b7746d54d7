//! The envelope of every peer message.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    deployment::Update,
    message::{
        AttemptReply,
        AttemptRequest,
        FollowRequest,
        ForwardOrderReply,
        ForwardOrderRequest,
        GossipReply,
        GossipRequest,
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};

/// Any request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run one attempt.
    Attempt(AttemptRequest),
    /// Vote for a coordinator.
    Vote(VoteRequest),
    /// Ask for rights.
    Grant(GrantRequest),
    /// Exchange state.
    Gossip(Box<GossipRequest>),
    /// Run an order under a ticket issued by the peer.
    ForwardOrder(ForwardOrderRequest),
    /// Ask for the peer's view.
    Status,
    /// Wait for what changed in the deployment.
    Follow(FollowRequest),
}

/// The peer's view as JSON, for `limpetctl status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// JSON document.
    pub json: Box<str>,
}

/// Any reply of a peer.
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
    Follow(Update),
    /// The peer does not serve this kind of request.
    Unsupported,
}

//! Dispatch of the requests of other processes to the modules that answer them.

use limpet_types::message::{
    PeerReply,
    PeerRequest, //
};

use crate::{
    admin,
    control,
    daemon::Context,
    entry,
    lease,
    relay, //
};

/// Answers one request of a peer; `Unsupported` if this process does not serve requests of that kind.
pub async fn dispatch(context: Context, request: PeerRequest) -> PeerReply {
    let context = &context;
    let reply = match request {
        PeerRequest::Attempt(request) => relay::handle_attempt(context, request)
            .await
            .map(PeerReply::Attempt),
        PeerRequest::Vote(request) => lease::handle_vote(context, request)
            .await
            .map(PeerReply::Vote),
        PeerRequest::Grant(request) => lease::handle_grant(context, request)
            .await
            .map(PeerReply::Grant),
        PeerRequest::Gossip(request) => control::handle_gossip(context, *request)
            .await
            .map(|reply| PeerReply::Gossip(Box::new(reply))),
        PeerRequest::ForwardOrder(request) => entry::handle_forward_order(context, request)
            .await
            .map(PeerReply::ForwardOrder),
        PeerRequest::Status => Some(PeerReply::Status(admin::handle_status(context).await)),
        // Only the gateway publishes the state of a deployment and runs queries for others.
        PeerRequest::Follow(_) | PeerRequest::Gather(_) => None,
    };
    reply.unwrap_or(PeerReply::Unsupported)
}

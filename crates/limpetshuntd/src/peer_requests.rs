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

/// Answers one request of a peer; `Unsupported` if this process does not serve requests of its kind.
pub async fn dispatch(context: Context, request: PeerRequest) -> PeerReply {
    let context = &context;
    let reply = match request {
        PeerRequest::Attempt(r) => relay::handle_attempt(context, r)
            .await
            .map(PeerReply::Attempt),
        PeerRequest::Vote(r) => lease::handle_vote(context, r).await.map(PeerReply::Vote),
        PeerRequest::Grant(r) => lease::handle_grant(context, r).await.map(PeerReply::Grant),
        PeerRequest::Gossip(r) => control::handle_gossip(context, *r)
            .await
            .map(|reply| PeerReply::Gossip(Box::new(reply))),
        PeerRequest::ForwardOrder(r) => entry::handle_forward_order(context, r)
            .await
            .map(PeerReply::ForwardOrder),
        PeerRequest::Status => Some(PeerReply::Status(admin::handle_status(context).await)),
        PeerRequest::Follow(_) => None,
    };
    reply.unwrap_or(PeerReply::Unsupported)
}

//! Metrics of the messages exchanged with peers and of their bytes, by kind of message.

use limpet_types::message::{
    PeerReply,
    PeerRequest, //
};

/// Counts a message sent to a peer; `size_bytes` is the size of its body without framing.
pub(crate) fn record_sent(kind: &'static str, size_bytes: usize) {
    count_message("sent", kind, size_bytes);
}

/// Counts a message received from a peer; `size_bytes` is the size of its body without framing.
pub(crate) fn record_received(kind: &'static str, size_bytes: usize) {
    count_message("received", kind, size_bytes);
}

/// Returns the metric label of a request.
pub(crate) const fn request_kind(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Attempt(_) => "attempt",
        PeerRequest::Vote(_) => "vote",
        PeerRequest::Grant(_) => "grant",
        PeerRequest::Gossip(_) => "gossip",
        PeerRequest::ForwardOrder(_) => "forward_order",
        PeerRequest::Status => "status",
        PeerRequest::Follow(_) => "follow",
        PeerRequest::Gather(_) => "gather",
    }
}

/// Returns the metric label of a reply: that of its request, unless the peer does not serve the request.
pub(crate) const fn reply_kind(reply: &PeerReply) -> &'static str {
    match reply {
        PeerReply::Attempt(_) => "attempt",
        PeerReply::Vote(_) => "vote",
        PeerReply::Grant(_) => "grant",
        PeerReply::Gossip(_) => "gossip",
        PeerReply::ForwardOrder(_) => "forward_order",
        PeerReply::Status(_) => "status",
        PeerReply::Follow(_) => "follow",
        PeerReply::Gather(_) => "gather",
        PeerReply::Unsupported => "unsupported",
    }
}

fn count_message(direction: &'static str, kind: &'static str, size_bytes: usize) {
    let labels = [("direction", direction), ("kind", kind)];
    metrics::counter!("limpet_peer_messages_total", &labels).increment(1);
    metrics::counter!("limpet_peer_bytes_total", &labels).increment(size_bytes as u64);
}

//! Gossip messages, which spread the configuration, the age of the latest sign that it is current, node
//! records and strikes.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Revision,
    node::NodeRecord, //
};

/// Reachability of the configuration service as one node observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigServiceReachability {
    /// The node knows of a recent successful read of the service, by itself or by a peer.
    Reachable,
    /// A recent read by the node failed, and the node knows of no later successful read, by itself or by a
    /// peer.
    Unreachable,
    /// The node knows of no recent successful read, and no recent read of its own failed.
    Unknown,
}

/// A strike against a request: the request was in flight on a target when the target crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Hash that identifies the crash: of the target, its incarnation and the time of the crash; from a
    /// gateway, of the fingerprint and the number of strikes that were known, so that all crashes beside
    /// which equally many strikes were known count as one.
    pub crash_id: u64,
    /// Whether no other request was in flight on the target when it crashed.
    pub is_alone: bool,
    /// Time since the crash, summed over the gossip hops.
    pub age: Duration,
}

/// Compressed configuration text, in full or as a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigText {
    /// The full text.
    Full {
        /// Compressed text.
        compressed: Vec<u8>,
    },
    /// The text compressed with the text of an older revision as dictionary.
    Delta {
        /// Revision of the older text, which the receiver must have.
        base: Revision,
        /// Compressed delta.
        compressed: Vec<u8>,
    },
}

/// Sends the state of a node to a peer and asks for newer state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Record of the sender.
    pub sender: NodeRecord,
    /// Revision of the configuration in force on the sender.
    pub revision: Revision,
    /// BLAKE3 digest of the configuration text of that revision.
    pub digest: [u8; 32],
    /// Configuration text in force on the sender, with its revision and BLAKE3 digest, if the sender pushes
    /// the text unasked.
    pub pushed_text: Option<(Revision, [u8; 32], ConfigText)>,
    /// Whether the configuration service can be read, as the sender observes it.
    pub reachability: ConfigServiceReachability,
    /// Node records that the sender received recently.
    pub records: Vec<NodeRecord>,
    /// Strikes that the sender learned of recently.
    pub strikes: Vec<Strike>,
}

/// Reply to a [`GossipRequest`] with the state of the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Record of the peer.
    pub sender: NodeRecord,
    /// Revision of the configuration in force on the peer.
    pub revision: Revision,
    /// BLAKE3 digest of the configuration text of that revision.
    pub digest: [u8; 32],
    /// Configuration text of that revision, if the requester's revision is older.
    pub text: Option<ConfigText>,
    /// Time since the peer last knew, from the configuration service or another node, that its configuration
    /// is current; `None` if it never knew that or is starting.
    pub freshness_age: Option<Duration>,
    /// Whether the configuration service can be read, as the peer observes it.
    pub reachability: ConfigServiceReachability,
    /// Node records that the peer received recently.
    pub records: Vec<NodeRecord>,
    /// Strikes that the peer learned of recently.
    pub strikes: Vec<Strike>,
}

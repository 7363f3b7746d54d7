//! Spread of configuration, membership, freshness and suspicion.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Revision,
    node::NodeRecord, //
};

/// What a node knows of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigServiceReachability {
    /// It reads the service or hears of it from a peer.
    Reachable,
    /// It tried and neither it nor a peer of it could read the service.
    Unreachable,
    /// It has not tried yet.
    Unknown,
}

/// A request that was in flight on a target when that target crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Identifies the crash: hash of target and its incarnation.
    pub crash_id: u64,
    /// Whether the request was alone on the target.
    pub is_alone: bool,
    /// Time since the crash, summed over the hops.
    pub age: Duration,
}

/// The operators' text, whole or as a difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigText {
    /// Whole text, compressed.
    Full {
        /// Compressed text.
        compressed: Vec<u8>,
    },
    /// Text compressed against the text of an older revision.
    Delta {
        /// Revision of the older text.
        base: Revision,
        /// Compressed difference.
        compressed: Vec<u8>,
    },
}

/// Tells a peer what this node has and asks for what is newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Record of the sender.
    pub sender: NodeRecord,
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// BLAKE3 digest of that revision's text.
    pub digest: [u8; 32],
    /// Newer text, if the sender pushes one.
    pub pushed_text: Option<(Revision, [u8; 32], ConfigText)>,
    /// Whether the sender can read the configuration service.
    pub reachability: ConfigServiceReachability,
    /// Records that the sender heard of lately.
    pub records: Vec<NodeRecord>,
    /// Strikes that the sender heard of lately.
    pub strikes: Vec<Strike>,
}

/// What the peer has in answer to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Record of the peer.
    pub sender: NodeRecord,
    /// Revision that the peer has in force.
    pub revision: Revision,
    /// BLAKE3 digest of that revision's text.
    pub digest: [u8; 32],
    /// Text of that revision, if the asker's is older.
    pub text: Option<ConfigText>,
    /// Age of the peer's evidence that its configuration is current.
    pub freshness_age: Option<Duration>,
    /// Whether the peer can read the configuration service.
    pub reachability: ConfigServiceReachability,
    /// Records that the peer heard of lately.
    pub records: Vec<NodeRecord>,
    /// Strikes that the peer heard of lately.
    pub strikes: Vec<Strike>,
}

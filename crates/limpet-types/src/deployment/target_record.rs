//! The record with which a target registers itself.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies a target; a target that restarts may keep its identifier.
pub type TargetId = Arc<str>;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts new requests.
    Ready,
    /// The target finishes the requests in flight and then leaves.
    Draining,
}

/// Description of a target, written by the target itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service that the target belongs to.
    pub service: Box<str>,
    /// Address on which the target serves requests.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Time until the target is warm, counted from when the record was written.
    pub warmup_left: Duration,
    /// Unix time of the target's start in milliseconds; distinguishes restarts under the same identifier.
    pub started_ms: Option<u64>,
}

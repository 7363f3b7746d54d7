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

/// Identifies a target; a target that restarts may keep its id.
pub type TargetId = Arc<str>;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests in flight and then leaves.
    Draining,
}

/// Description of a target, written by the target itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Address on which it serves requests.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: Box<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Time until it is warm, counted from when the record was written.
    pub warmup_left: Duration,
    /// Unix time of its start in milliseconds; distinguishes restarts under the same id.
    pub started_ms: Option<u64>,
}

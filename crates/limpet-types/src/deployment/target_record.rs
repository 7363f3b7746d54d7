//! The record under which a target is registered.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies one incarnation of a target.
pub type TargetId = Arc<str>;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests in flight and then leaves.
    Draining,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Address on which it serves requests.
    pub addr: SocketAddr,
    /// Availability zone.
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

//! What the deployment says of one target.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Name of one incarnation of a target.
pub type TargetId = Arc<str>;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Box<str>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Time for which it stays cold, counted from when the record was written.
    pub cold_left: Duration,
    /// Unix time of its start in milliseconds; tells two starts under one id apart.
    pub started_ms: Option<u64>,
}

//! What takes part in a run.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::{
    balance::{
        TargetHealth,
        TargetLoad, //
    },
    peer_load::{
        LoadTracker,
        PeerLoads, //
    },
};
use limpet_types::message::NameHash;

/// A target with its slots and its queue.
pub(super) struct SimTarget {
    pub(super) zone: usize,
    pub(super) name: NameHash,
    pub(super) service_time: Duration,
    pub(super) rejects: bool,
    pub(super) is_slow_at_times: bool,
    pub(super) running: u32,
    /// Requests that wait.
    pub(super) queue: VecDeque<usize>,
    pub(super) request_count: u32,
    /// Time in use of all slots.
    pub(super) use_s: f64,
}

/// A request that a target accepted.
pub(super) struct SimRequest {
    pub(super) target: usize,
    pub(super) process: usize,
    pub(super) arrived_at: Duration,
    pub(super) is_done: bool,
}

/// One process, with its state of each target.
pub(super) struct SimProcess {
    pub(super) zone: usize,
    pub(super) addr: SocketAddr,
    pub(super) tracker: LoadTracker,
    pub(super) peer_loads: PeerLoads,
    pub(super) targets: Vec<TargetLoad>,
    pub(super) health: Vec<TargetHealth>,
    pub(super) applied_at: Duration,
}

/// What happens at a point in time; the order of the variants decides between simultaneous ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    End { request: usize },
    Straggler { request: usize },
    Report { process: usize },
    Delivery { report: usize },
    Request,
}

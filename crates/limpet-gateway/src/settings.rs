//! Settings of a gateway process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::{
    admission::AdmissionLimits,
    refresh::{
        LapseLimits,
        RefreshLimits, //
    },
};

use crate::{
    members::MembershipLimits,
    retry_budget::RetryLimits, //
};

/// Validated settings of one gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the process in its log and on its status page.
    pub name: Box<str>,
    /// Availability zone of the process.
    pub zone: Box<str>,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address for metrics and the status page.
    pub admin_addr: SocketAddr,
    /// Address for other gateway processes: reports over UDP, the state of the deployment over TCP.
    pub peer_addr: SocketAddr,
    /// Addresses of other gateway processes to contact first; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that no process has admitted requests yet.
    pub is_first_start: bool,
    /// Limits of the retries to each service.
    pub retry_limits: RetryLimits,
    /// Limits for the discovery and the failure detection of other processes.
    pub membership_limits: MembershipLimits,
    /// Limits of the age of the deployment state.
    pub refresh_limits: RefreshLimits,
    /// Limits of the time for which a target stays in use after its record lapsed around an outage of the source.
    pub lapse_limits: LapseLimits,
    /// Processor capacity of the process in cores, by which aggregators are chosen.
    pub capacity_cores: f64,
    /// Memory that the bodies of requests and replies above their usual size share, in bytes.
    pub body_memory_bytes: usize,
    /// Number of open caller connections above which callers are asked to close theirs after an answer.
    pub caller_connections_max: usize,
    /// Maximum time from the shutdown signal to the end of the process.
    pub shutdown_timeout: Duration,
    /// Thresholds of the admission control.
    pub overload: AdmissionLimits,
}

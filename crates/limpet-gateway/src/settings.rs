//! Settings of a gateway process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    members::MembershipLimits,
    retry_budget::RetryLimits, //
};

/// Checked settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the process, for logs.
    pub name: Box<str>,
    /// Availability zone of the process.
    pub zone: Box<str>,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address for metrics and the status page.
    pub admin_addr: SocketAddr,
    /// Address for other processes, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Peer addresses to ask first; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Bounds of repeated sends.
    pub retry_limits: RetryLimits,
    /// Times after which processes count as silent or gone.
    pub membership_limits: MembershipLimits,
    /// Time for which a target whose record lapsed in an outage of the source stays in use.
    pub lapse_grace: Duration,
    /// Open connections of callers beyond which each is closed after its next answer.
    pub caller_connections_max: usize,
    /// Time between the request to stop and the forced end.
    pub shutdown_timeout: Duration,
}

//! Settings of a gateway process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    members::MembershipLimits,
    retry_budget::RetryLimits, //
};

/// Validated settings of one gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the process in logs.
    pub name: Box<str>,
    /// Availability zone of the process.
    pub zone: Box<str>,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address for metrics and the status page.
    pub admin_addr: SocketAddr,
    /// Address for other gateway processes, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Peer addresses to contact first; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Limits of the retry budgets.
    pub retry_limits: RetryLimits,
    /// Timeouts after which other processes count as silent or gone.
    pub membership_limits: MembershipLimits,
    /// Time for which a target whose record lapsed in an outage of the source stays in use.
    pub lapse_grace: Duration,
    /// Number of caller connections above which each is closed after its next answer.
    pub caller_connections_max: usize,
    /// Maximum time from the shutdown signal to the end of the process.
    pub shutdown_timeout: Duration,
}

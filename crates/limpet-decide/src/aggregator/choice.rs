//! Input and result of the choice of an aggregator.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use super::AggregatorLoad;

/// What the choice of an aggregator for one query depends on.
pub struct AggregatorChoice<'a> {
    /// Address of this process.
    pub own_addr: SocketAddr,
    /// Zone of this process.
    pub own_zone: &'a str,
    /// Share of the shards that have a usable target in each zone.
    pub shard_shares: &'a [(Box<str>, f64)],
    /// Latency goal of the query.
    pub goal: Duration,
    /// Returns whether a process is live and not ejected.
    pub is_usable: &'a dyn Fn(SocketAddr) -> bool,
    /// Returns whether a process is not asked because it has just refused a query as busy.
    pub is_busy: &'a dyn Fn(SocketAddr) -> bool,
    /// Returns the estimated load of a process with this capacity in cores.
    pub load_of: &'a dyn Fn(SocketAddr, f64) -> AggregatorLoad,
    /// Aggregators that refused this query.
    pub refused_by: &'a [SocketAddr],
    /// Time since the start of this process.
    pub now: Duration,
}

/// Where a query runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In this process.
    Here,
    /// At another process.
    At(SocketAddr),
    /// At no process: every one that could run it has just refused a query as busy.
    AllBusy,
}

impl Place {
    /// Returns the other process that runs the query, if it is one.
    pub const fn aggregator(self) -> Option<SocketAddr> {
        match self {
            Self::At(addr) => Some(addr),
            Self::Here | Self::AllBusy => None,
        }
    }
}

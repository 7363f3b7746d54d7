//! Messages that gateway processes exchange in UDP datagrams.

use std::net::SocketAddr;

use limpet_types::message::Strike;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::rate::{
    AdmissionCounts,
    TeamTokens, //
};

/// Random identifier of a process, new at each start.
pub type NodeId = u64;

/// State that a process sends to a newly discovered process if its own discovery is over.
///
/// The receiver adopts only the first such message, and only while its own discovery lasts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Number of processes that the sender knows, itself included.
    pub processes: usize,
    /// Numbers of tokens in the sender's buckets, by team.
    pub team_tokens: Vec<TeamTokens>,
}

/// Periodic report of one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifier of the sender.
    pub node: NodeId,
    /// Address at which the sender receives reports.
    pub addr: SocketAddr,
    /// Whether the sender is stopping and admits no more requests.
    pub is_leaving: bool,
    /// Numbers of requests that the sender admitted, by team.
    pub admissions: AdmissionCounts,
    /// State for a newly discovered process, if the sender has completed its own discovery.
    pub welcome: Option<Welcome>,
    /// Addresses of some live processes that the sender knows.
    pub known_addrs: Vec<SocketAddr>,
    /// Requests suspected of crashing targets.
    pub strikes: Vec<Strike>,
}

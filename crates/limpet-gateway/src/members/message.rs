//! Reports that processes send each other in datagrams.

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

/// Random number of one process incarnation.
pub type NodeId = u64;

/// What a process that has met the others tells one that just started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Processes that the sender knows, itself included.
    pub processes: usize,
    /// Tokens that it sees left.
    pub team_tokens: Vec<TeamTokens>,
}

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the sender.
    pub node: NodeId,
    /// Address for reports to the sender.
    pub addr: SocketAddr,
    /// Whether the sender stops and admits nothing more.
    pub is_leaving: bool,
    /// Requests that the sender admitted.
    pub admissions: AdmissionCounts,
    /// For a process that was just met, from one that has met the others.
    pub welcome: Option<Welcome>,
    /// Other processes that the sender knows.
    pub known: Vec<SocketAddr>,
    /// Requests that crashed targets.
    pub strikes: Vec<Strike>,
}

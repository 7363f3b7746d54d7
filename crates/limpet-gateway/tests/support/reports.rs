//! Datagrams that other processes send.

use std::net::SocketAddr;

use limpet_gateway::{
    members::Report,
    rate::AdmissionCounts, //
};
use limpet_types::{
    codec,
    message::{
        LOAD_REPORT_MARKER,
        LoadReport, //
    },
};

/// Returns the regular report that makes the process `node` at `addr` known.
pub(crate) fn regular_report(node: u64, addr: SocketAddr) -> Report {
    Report {
        node,
        addr,
        is_leaving: false,
        admissions: AdmissionCounts {
            is_complete: true,
            teams: Vec::new(),
        },
        welcome: None,
        known_addrs: Vec::new(),
        strikes: Vec::new(),
    }
}

/// Returns the datagram of a load report.
pub(crate) fn load_datagram(report: &LoadReport) -> Vec<u8> {
    let encoded = codec::encode(report).unwrap();
    [&LOAD_REPORT_MARKER, encoded.as_slice()].concat()
}

/// Returns the load report in a datagram; `None` if it is of another kind.
pub(crate) fn decode_load_report(datagram: &[u8]) -> Option<LoadReport> {
    let encoded = datagram.strip_prefix(&LOAD_REPORT_MARKER)?;
    Some(codec::decode(encoded).unwrap())
}

//! Load of one process, which gateway processes report to each other in UDP datagrams.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

/// First bytes of the datagram of a load report.
///
/// An encoded report begins with a `u64`, whose first byte may be anything up to 0xfd, so one byte would not tell the
/// two apart. The second byte changes with the encoding: 0xfd marked load reports without the mean number in flight. A
/// process of an earlier release takes the datagram for an announcement, which it can't decode, because no address
/// begins with 0xfc.
pub const LOAD_REPORT_MARKER: [u8; 2] = [0xff, 0xfc];

/// Hash of the name of a service or of the id of a target.
pub type NameHash = u32;

/// Scatter-gather queries that a process runs, for its own callers and for other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherLoad {
    /// Number of queries that run.
    pub running: u16,
    /// Number of queries that wait for a permit.
    pub waiting: u16,
    /// Number of queries that may run at a time; 0 if the process states no limit.
    pub limit: u16,
    /// Time that a new query of the highest priority is expected to wait, in milliseconds.
    pub expected_wait_ms: u16,
}

/// Rate of the requests of a process for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Hash of the name of the service.
    pub service: NameHash,
    /// Requests per ten seconds.
    pub requests_per_10_s: u16,
}

/// What a process sends to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// Hash of the id of the target.
    pub target: NameHash,
    /// Number of requests in flight.
    pub in_flight: u8,
    /// Requests per ten seconds.
    pub requests_per_10_s: u16,
    /// Share of the recent requests that the target rejected as full, in 255ths.
    pub rejected_255ths: u8,
    /// Mean number of requests in flight, decayed like `requests_per_10_s`, in thousandths. Hundredths would state
    /// a request of less than 50 ms in ten seconds as none.
    pub mean_in_flight_1000ths: u16,
}

/// Load of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifier of the sender, new at each start.
    pub node: u64,
    /// Address at which the sender receives reports.
    pub addr: SocketAddr,
    /// Number of the report, which increases with each report of the sender.
    pub sequence: u32,
    /// Scatter-gather queries of the sender.
    pub gathers: GatherLoad,
    /// Services to which the sender sends most requests.
    pub services: Vec<ServiceUse>,
    /// Targets whose load the receiver should know.
    pub targets: Vec<TargetUse>,
}

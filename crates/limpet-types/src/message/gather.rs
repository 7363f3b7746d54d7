//! Scatter-gather queries that one process runs for another.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Asks a process to run a scatter-gather query and to send the merged answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatherRequest {
    /// Version of the config under which the request was admitted; the query runs under no other one.
    pub config_version: u64,
    /// Name of the route.
    pub route: Box<str>,
    /// Method of the request.
    pub method: Box<str>,
    /// Path and query of the request.
    pub uri: Box<str>,
    /// Headers of the request as they are sent to targets.
    pub headers: Vec<(Box<str>, Vec<u8>)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Id of the request.
    pub request_id: Vec<u8>,
    /// Hash that identifies repetitions of the request.
    pub fingerprint: u64,
    /// Time since the caller's first attempt, as far as that is known. The order in which queries wait depends on it, so
    /// a caller that retries is not taken for a new one.
    pub waited: Duration,
    /// Time until the last attempt must have ended.
    pub time_left: Duration,
}

/// Why a process does not run a query; nothing was sent to any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatherRefusal {
    /// The process is stopping.
    Stopping,
    /// The process runs as many queries of others as it can.
    Busy,
    /// The process has another version of the config, or the route is no scatter-gather route.
    OtherConfig,
}

/// Result of a query that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatherReply {
    /// The merged answer.
    Gathered {
        /// Signature of each part.
        signatures: Vec<Vec<u8>>,
        /// Number of shards whose part is missing.
        missing_count: u32,
        /// Greatest records of all parts, in descending order.
        body: Vec<u8>,
    },
    /// Too few parts arrived in time.
    Failed {
        /// Whether the deadline has passed.
        is_timed_out: bool,
        /// Whether the request is known not to have run on any target.
        is_not_run: bool,
    },
    /// The query was not started.
    Refused(GatherRefusal),
}

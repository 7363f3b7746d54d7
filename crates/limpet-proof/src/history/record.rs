//! Records of a history, and their parser.

use limpet_fakes::target::ReceivedRequest;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::history::ResponseBody;

/// One line of a history. Times are in microseconds since boot.
///
/// Stored histories keep the serialized names of the variants and fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum HistoryRecord {
    /// A team of the configuration.
    Team {
        /// Name of the team.
        name: Box<str>,
        /// Rate limit over the whole fleet, in requests per second.
        rate_per_s: f64,
        /// Burst over the whole fleet, in requests.
        burst: f64,
        /// Valid API keys of the team at the start.
        keys: Vec<Box<str>>,
    },
    /// A target of the configuration.
    #[serde(rename = "site")]
    ConfiguredTarget {
        /// Name of the target.
        target: Box<str>,
        /// Shard of the target.
        shard: Box<str>,
        /// First key of the range.
        start: u64,
        /// First key after the range.
        end: u64,
        /// Zone of the target.
        zone: Box<str>,
        /// Maximum number of requests that run at a time while the target is cold.
        #[serde(rename = "cold_bears")]
        cold_requests_max: u32,
    },
    /// A caller sends a request.
    Call {
        /// Time before the first byte was sent.
        at_us: u64,
        /// Request ID; a request that is sent again gets another one.
        request: Box<str>,
        /// Entry that the request is sent to.
        entry: Box<str>,
        /// `search`, `exists`, `record` or `order`.
        kind: Box<str>,
        /// API key; `None` for an open lookup.
        key: Option<Box<str>>,
        /// Record key of a record or order query.
        #[serde(default)]
        record: Option<Box<str>>,
        /// Ticket of an order.
        ticket: Option<Box<str>>,
        /// Size of the query body in bytes.
        size_bytes: usize,
    },
    /// A caller received a whole response.
    #[serde(rename = "answer")]
    Response {
        /// Time after the last byte was received.
        at_us: u64,
        /// ID of the request.
        request: Box<str>,
        /// HTTP status.
        status: u16,
        /// Parsed body.
        body: ResponseBody,
    },
    /// A caller received no whole response.
    #[serde(rename = "lost")]
    LostResponse {
        /// Time at which the connection failed or the caller timed out.
        at_us: u64,
        /// ID of the request.
        request: Box<str>,
        /// Whether the connection was open, so that the entry may have received the request.
        connected: bool,
    },
    /// A target received a request.
    #[serde(rename = "target")]
    TargetRequest {
        /// Name of the target.
        target: Box<str>,
        /// Request as the target recorded it.
        #[serde(rename = "seen")]
        received: ReceivedRequest,
    },
    /// The configuration service accepted a change of the configuration.
    #[serde(rename = "operator")]
    ConfigChanged {
        /// Time after the change was accepted.
        at_us: u64,
        /// What changed.
        change: ConfigChange,
    },
    /// A process of the fleet was started, stopped, killed, paused or resumed.
    Process {
        /// Time before a stop, a kill or a pause, or after a start or a resumption.
        at_us: u64,
        /// Name of the process.
        process: Box<str>,
        /// What happened.
        change: ProcessChange,
    },
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// A zone is taken out.
    ZoneOut(Box<str>),
    /// A zone is brought back.
    ZoneIn(Box<str>),
    /// A target is marked as leaving.
    Leaving(Box<str>),
    /// An API key is revoked.
    KeyRevoked(Box<str>),
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessChange {
    /// Started.
    Start,
    /// Sent SIGTERM.
    Stop,
    /// Sent SIGKILL.
    Kill,
    /// Paused by SIGSTOP.
    Freeze,
    /// Resumed by SIGCONT.
    Wake,
}

/// Parses a history; skips empty lines and lines that start with `#`.
///
/// # Errors
///
/// Fails at the first line that is not a valid record.
pub fn parse_history(text: &str) -> Result<Vec<HistoryRecord>, serde_json::Error> {
    text.lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(serde_json::from_str)
        .collect()
}

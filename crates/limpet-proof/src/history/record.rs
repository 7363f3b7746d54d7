//! One line of a history.

use limpet_fakes::target::RequestEvent;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::history::Answer;

/// One observation; times are microseconds of `CLOCK_BOOTTIME`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Record {
    /// A team of the operators' text.
    Team {
        /// Name.
        name: Box<str>,
        /// Requests a second over the whole fleet.
        rate_per_s: f64,
        /// Requests at once.
        burst: f64,
        /// API keys.
        keys: Vec<Box<str>>,
    },
    /// A target of the operators' text.
    Site {
        /// Name.
        target: Box<str>,
        /// Shard.
        shard: Box<str>,
        /// First key.
        start: u64,
        /// First key past its range.
        end: u64,
        /// Zone.
        zone: Box<str>,
        /// Requests that it bears at a time while cold.
        cold_bears: u32,
    },
    /// A caller sends a request.
    Call {
        /// Time before the first byte.
        at_us: u64,
        /// Request id, unique for each send.
        request: Box<str>,
        /// Process asked.
        entry: Box<str>,
        /// `search`, `exists`, `record` or `order`.
        kind: Box<str>,
        /// API key; none on an open route.
        key: Option<Box<str>>,
        /// Record key of a record or an order.
        #[serde(default)]
        record: Option<Box<str>>,
        /// Ticket of an order.
        ticket: Option<Box<str>>,
        /// Size of the query.
        size_bytes: usize,
    },
    /// A caller has read a whole response.
    Answer {
        /// Time after the last byte.
        at_us: u64,
        /// Request id that was sent.
        request: Box<str>,
        /// HTTP status.
        status: u16,
        /// Body.
        body: Answer,
    },
    /// A caller got no whole response.
    Lost {
        /// Time at which the caller knew.
        at_us: u64,
        /// Request id that was sent.
        request: Box<str>,
        /// Whether a connection was open, so that the request may have arrived.
        connected: bool,
    },
    /// A target saw a request.
    Target {
        /// Target.
        target: Box<str>,
        /// What it recorded.
        seen: RequestEvent,
    },
    /// The configuration service accepted a change of the operators.
    Operator {
        /// Time after it was accepted.
        at_us: u64,
        /// What changed.
        change: Change,
    },
    /// A process of the tier was started or disturbed.
    Process {
        /// Time before a fault, or after a start or a wake-up.
        at_us: u64,
        /// Process.
        process: Box<str>,
        /// What happened.
        change: ProcessChange,
    },
}

/// A change of the operators' text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A zone is taken out.
    ZoneOut(Box<str>),
    /// A zone is back.
    ZoneIn(Box<str>),
    /// A target leaves.
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
    /// Asked to stop by SIGTERM.
    Stop,
    /// Killed.
    Kill,
    /// Frozen.
    Freeze,
    /// Woken up.
    Wake,
}

/// Reads a history, one JSON object a line; empty lines and lines that start with `#` are left out.
///
/// # Errors
///
/// Fails with the first line that is no record.
pub fn read(text: &str) -> Result<Vec<Record>, serde_json::Error> {
    text.lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(serde_json::from_str)
        .collect()
}

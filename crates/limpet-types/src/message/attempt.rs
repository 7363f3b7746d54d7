//! Attempts: queries of one shard on one target, which an entry sends to the relay that owns the target.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        IndexVersion,
        RequestId,
        ServiceName,
        ShardName,
        TargetName,
        TeamName, //
    },
    key_range::KeyRange,
    refusal::Refusal, //
};

/// The operation that the target is asked to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptKind {
    /// Returns the rows of the shard that match.
    Search,
    /// Returns whether any row of the shard matches.
    Exists,
    /// Returns one record.
    Record,
    /// Places one order; not idempotent.
    Order,
}

impl AttemptKind {
    /// Returns whether the operation may run more than once.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order)
    }

    /// Returns the name used in the configuration, in logs and in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Search => "search",
            Self::Exists => "exists",
            Self::Record => "record",
            Self::Order => "order",
        }
    }
}

/// Asks the relay that owns a target to run one attempt on it.
///
/// Resetting the stream cancels the attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Caller request that this attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt, unique within the caller's request.
    pub attempt_number: u32,
    /// Team of the caller; its API key is never sent.
    pub team: TeamName,
    /// Service to query.
    pub service: ServiceName,
    /// Shard to query.
    pub shard: ShardName,
    /// Target chosen by the entry.
    pub target: TargetName,
    /// Operation to run.
    pub kind: AttemptKind,
    /// Key range that the answer must cover.
    pub range: KeyRange,
    /// Index version to read; `None` if the service has no snapshots.
    pub snapshot: Option<IndexVersion>,
    /// Time left until the deadline of the caller's request when the entry sent this request.
    pub time_left: Duration,
    /// Hash of service, kind, record and body; a repetition of the caller's request has the same
    /// fingerprint.
    pub fingerprint: u64,
    /// Record key as the caller sent it; only for records and orders.
    pub record: Option<Box<str>>,
    /// Ticket of the order; `None` for other operations.
    pub ticket: Option<Box<str>>,
    /// Query as the caller sent it.
    pub body: Vec<u8>,
}

/// Answer of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptAnswer {
    /// Key range that the answer covers.
    pub range: KeyRange,
    /// Index version from which the answer was read; `None` if the target reported none.
    pub snapshot: Option<IndexVersion>,
    /// Whether anything matched the query.
    pub found: bool,
    /// Complete body of the target's answer.
    pub body: Vec<u8>,
}

/// Reply to an [`AttemptRequest`].
///
/// It repeats the fields that identify the attempt, so that the entry detects a reply to another attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// Identifier of the caller's request, as in the attempt request.
    pub request_id: RequestId,
    /// Number of the attempt, as in the attempt request.
    pub attempt_number: u32,
    /// Shard to query, as in the attempt request.
    pub shard: ShardName,
    /// Target that ran the attempt or should have run it, as in the attempt request.
    pub target: TargetName,
    /// Answer of the target, or the reason why there is none.
    pub outcome: Result<AttemptAnswer, Refusal>,
    /// Index versions that the target reported to hold; empty if it reported none.
    pub versions_held: Vec<IndexVersion>,
    /// Whether the relay considers the target cold.
    pub is_target_cold: bool,
    /// Time from the first byte sent to the target until its complete answer.
    pub target_latency: Duration,
    /// Time that the attempt spent queued in the relay.
    pub queue_time: Duration,
}

impl AttemptReply {
    /// Returns whether the reply belongs to `request`.
    pub fn belongs_to(&self, request: &AttemptRequest) -> bool {
        self.request_id == request.request_id
            && self.attempt_number == request.attempt_number
            && self.shard == request.shard
            && self.target == request.target
    }
}

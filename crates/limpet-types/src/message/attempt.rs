//! One attempt at one shard, from an entry to the relay that owns the target.

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

/// What the target is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptKind {
    /// Returns matching rows of the shard.
    Search,
    /// Tells whether the shard has a match.
    Exists,
    /// Returns one record.
    Record,
    /// Places one order; not idempotent.
    Order,
}

impl AttemptKind {
    /// Returns whether the attempt may run more than once.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order)
    }

    /// Returns the name used in texts, logs and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Search => "search",
            Self::Exists => "exists",
            Self::Record => "record",
            Self::Order => "order",
        }
    }
}

/// Asks the owner of a target to run one attempt there.
///
/// A reset of the stream cancels the attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Caller request that this attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt within the request; never used twice.
    pub attempt: u32,
    /// Team on whose behalf it runs; the key itself is never sent.
    pub team: TeamName,
    /// Service asked.
    pub service: ServiceName,
    /// Shard asked.
    pub shard: ShardName,
    /// Target chosen by the entry.
    pub target: TargetName,
    /// What to do.
    pub kind: AttemptKind,
    /// Key range that the answer must cover.
    pub range: KeyRange,
    /// Index version to answer from; `None` where the service has no snapshots.
    pub snapshot: Option<IndexVersion>,
    /// Time left when the entry sent the request.
    pub time_left: Duration,
    /// Hash of service, kind, record and body, equal for every repetition by the caller.
    pub fingerprint: u64,
    /// Record key as the caller sent it; only of a record or an order.
    pub record: Option<Box<str>>,
    /// Ticket of an order.
    pub ticket: Option<Box<str>>,
    /// Query as the caller sent it.
    pub body: Vec<u8>,
}

/// What a target answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptAnswer {
    /// Key range that the answer covers.
    pub range: KeyRange,
    /// Index version that the answer was read from.
    pub snapshot: Option<IndexVersion>,
    /// Whether anything matched.
    pub found: bool,
    /// Body of the target's answer, whole.
    pub body: Vec<u8>,
}

/// Reply to an [`AttemptRequest`]; repeats what it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// As in the request.
    pub request_id: RequestId,
    /// As in the request.
    pub attempt: u32,
    /// As in the request.
    pub shard: ShardName,
    /// As in the request.
    pub target: TargetName,
    /// Answer, or why there is none.
    pub outcome: Result<AttemptAnswer, Refusal>,
    /// Index versions that the target said it holds; empty if it said nothing.
    pub versions_held: Vec<IndexVersion>,
    /// Whether the relay believes the target to be cold.
    pub target_cold: bool,
    /// Time between the first byte sent to the target and its whole answer.
    pub target_time: Duration,
    /// Time spent waiting in the relay.
    pub queue_time: Duration,
}

impl AttemptReply {
    /// Returns whether the reply belongs to `request`.
    pub fn belongs_to(&self, request: &AttemptRequest) -> bool {
        self.request_id == request.request_id
            && self.attempt == request.attempt
            && self.shard == request.shard
            && self.target == request.target
    }
}

//! Record of a request that a fake target received.

use limpet_types::IndexVersion;
use serde::{
    Deserialize,
    Serialize, //
};

/// What became of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetOutcome {
    /// The request still runs, was cancelled or missed its deadline, or its target crashed.
    Unfinished,
    /// The request ran and was answered.
    Answered,
    /// The request was refused before it ran.
    NotRun,
}

/// A request that a target received, whether it ran or was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRequest {
    /// Value of `x-request-id`.
    pub request: Box<str>,
    /// Value of `x-attempt`.
    pub attempt: Box<str>,
    /// Kind of the request: the last part of the path.
    pub kind: Box<str>,
    /// Value of `x-ticket`, if the request has one.
    pub ticket: Option<Box<str>>,
    /// Value of `x-record`, the key of a record or an order, if the request has one.
    pub record: Option<Box<str>>,
    /// Shard of the target.
    pub shard: Box<str>,
    /// Index version that the request asks for, from `x-index-version`.
    pub snapshot: Option<IndexVersion>,
    /// Arrival, in microseconds since boot.
    pub start_us: u64,
    /// Time of the answer, in microseconds since boot; equal to `start_us` for a refused request, and `None`
    /// while the outcome is [`TargetOutcome::Unfinished`].
    pub end_us: Option<u64>,
    /// Number of requests running at the arrival, including this one if it was admitted.
    pub running: u32,
    /// Whether the target was cold at the arrival.
    pub cold: bool,
    /// What became of the request.
    pub outcome: TargetOutcome,
}

impl ReceivedRequest {
    /// Returns whether any part of the request ran.
    pub fn has_run(&self) -> bool {
        self.outcome != TargetOutcome::NotRun
    }
}

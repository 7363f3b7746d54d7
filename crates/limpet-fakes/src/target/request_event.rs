//! Requests that a fake target received, in the order of their arrival.

use limpet_types::IndexVersion;
use serde::{
    Deserialize,
    Serialize, //
};

/// Outcome of a request at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request still runs or was cancelled, or its target crashed.
    Unfinished,
    /// The request ran and was answered.
    Answered,
    /// The request was refused before it ran.
    NotRun,
}

/// One request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEvent {
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
    /// Index version that the request asks for.
    pub snapshot: Option<IndexVersion>,
    /// Arrival, as time since boot.
    pub start_us: u64,
    /// End, as time since boot.
    pub end_us: Option<u64>,
    /// Requests running at the arrival, including this one if it was admitted.
    pub running: u32,
    /// Whether the target was cold at the arrival.
    pub cold: bool,
    /// Outcome.
    pub outcome: Outcome,
}

impl RequestEvent {
    /// Returns whether any part of the request ran.
    pub fn has_run(&self) -> bool {
        self.outcome != Outcome::NotRun
    }
}

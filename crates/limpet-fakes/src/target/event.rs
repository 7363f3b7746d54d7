//! Requests that a stand-in target saw, in the order of their arrival.

use limpet_types::IndexVersion;
use serde::{
    Deserialize,
    Serialize, //
};

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It still runs, was cancelled, or its target crashed.
    Unfinished,
    /// It ran and was answered.
    Answered,
    /// It was refused before it ran.
    NotRun,
}

/// One request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Value of `x-request-id`.
    pub request: Box<str>,
    /// Value of `x-attempt`.
    pub attempt: Box<str>,
    /// Kind: last part of the path.
    pub kind: Box<str>,
    /// Value of `x-ticket`, where a caller of the target sends one.
    pub ticket: Option<Box<str>>,
    /// Value of `x-record`, the key of a record or an order.
    pub record: Option<Box<str>>,
    /// Shard of the target.
    pub shard: Box<str>,
    /// Index version asked for.
    pub snapshot: Option<IndexVersion>,
    /// Boot time of the arrival.
    pub start_us: u64,
    /// Boot time of the end.
    pub end_us: Option<u64>,
    /// Requests running, this one included.
    pub running: u32,
    /// Whether the target was cold at the arrival.
    pub cold: bool,
    /// How it ended.
    pub outcome: Outcome,
}

impl Event {
    /// Returns whether any part of the request ran.
    pub fn ran(&self) -> bool {
        self.outcome != Outcome::NotRun
    }
}

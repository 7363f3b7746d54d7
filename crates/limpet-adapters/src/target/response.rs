//! The response of a target to an attempt.

use bytes::Bytes;
use limpet_types::{
    Incarnation,
    IndexVersion,
    KeyRange, //
};

/// State that a target reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The target is not warmed up yet and runs only a few requests concurrently.
    Cold,
    /// The target is warmed up and runs as many requests concurrently as it has slots.
    Warm,
    /// The target is about to stop and sheds new attempts.
    Draining,
}

/// What a target reports about itself in the headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// State of the target.
    pub state: ReportedState,
    /// Incarnation of the target, a number that changes when the target restarts.
    pub incarnation: Incarnation,
    /// Index versions that the target holds.
    pub versions_held: Vec<IndexVersion>,
}

/// A complete response, checked to belong to its attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetResponse {
    /// Report of the target about itself.
    pub report: TargetReport,
    /// Index version that the response was read from, if the request asked for one.
    pub snapshot: Option<IndexVersion>,
    /// Range of keys that the response covers.
    pub range: KeyRange,
    /// Whether the target found a match.
    pub found: bool,
    /// Body of the response.
    pub body: Bytes,
}

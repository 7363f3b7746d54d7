//! What a target answers.

use bytes::Bytes;
use limpet_types::{
    Incarnation,
    IndexVersion,
    KeyRange, //
};

/// State that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It bears little load.
    Cold,
    /// It bears its slots.
    Warm,
    /// It is about to stop.
    Draining,
}

/// What the headers of a response tell of the target itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// State.
    pub state: ReportedState,
    /// Run of the target.
    pub incarnation: Incarnation,
    /// Index versions held.
    pub versions_held: Vec<IndexVersion>,
}

/// A whole response that belongs to its attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetResponse {
    /// What the target tells of itself.
    pub report: TargetReport,
    /// Index version that the response was read from.
    pub snapshot: Option<IndexVersion>,
    /// Keys covered.
    pub range: KeyRange,
    /// Whether anything matched.
    pub found: bool,
    /// Body.
    pub body: Bytes,
}

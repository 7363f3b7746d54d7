//! Changes of a deployment's state, numbered by revision.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Config,
    TargetId,
    TargetRecord, //
};

/// One change of the deployment's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new version of the configuration.
    Config(Arc<Config>),
    /// A target registered itself or updated its record.
    Target(TargetId, Arc<TargetRecord>),
    /// The record of a target was deleted or cannot be decoded.
    TargetRemoved(TargetId),
    /// Operators took a zone out of service.
    ZoneDisabled(Box<str>),
    /// Operators put a zone back into service.
    ZoneEnabled(Box<str>),
}

/// A change with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedChange {
    /// Revision of the deployment's state after the change.
    pub revision: u64,
    /// What changed.
    pub change: Change,
}

/// The changes up to a revision, or the whole state at that revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Whether `changes` are the whole state; whatever they do not contain has been removed.
    pub is_full_state: bool,
    /// Revision of the receiver's state after the update.
    pub revision: u64,
    /// Changes after the receiver's previous revision, or those that make up the whole state.
    pub changes: Vec<VersionedChange>,
    /// Time from when the sender last knew that this was the latest state until it sent the update;
    /// `Duration::MAX` if the sender never knew that.
    pub age: Duration,
}

//! Changes of a deployment, in the order of their revisions.

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

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new version of the configuration.
    Config(Arc<Config>),
    /// A target registered itself or changed its record.
    Target(TargetId, Arc<TargetRecord>),
    /// The record of a target is gone or cannot be read.
    TargetGone(TargetId),
    /// Operators took a zone out.
    ZoneOut(Box<str>),
    /// Operators gave a zone back.
    ZoneBack(Box<str>),
}

/// A change with the revision that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedChange {
    /// Revision of the deployment's state after the change.
    pub revision: u64,
    /// What changed.
    pub change: Change,
}

/// What happened up to a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether `changes` are the whole state; what they do not name is gone.
    pub is_complete: bool,
    /// Revision that the receiver has after the update.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<StampedChange>,
    /// Time since the sender knew that this is the newest state.
    pub age: Duration,
}

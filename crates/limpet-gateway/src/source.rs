//! Where the state of a deployment is read.

use std::{
    fmt,
    pin::Pin,
    time::Duration, //
};

use futures::Future;
use limpet_types::deployment::Update;

/// Kind of a failed read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceErrorKind {
    /// The changes after the revision are no longer kept.
    HistoryGone,
    /// The source did not answer, or refused.
    Unavailable,
}

/// A failed read.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{context}")]
pub struct SourceError {
    /// Kind of failure.
    pub kind: SourceErrorKind,
    /// What happened.
    pub context: Box<str>,
}

impl SourceError {
    /// Creates an error with its context.
    pub fn new(kind: SourceErrorKind, context: impl fmt::Display) -> Self {
        Self {
            kind,
            context: context.to_string().into(),
        }
    }
}

/// A read under way.
pub type Reading = Pin<Box<dyn Future<Output = Result<Update, SourceError>> + Send>>;

/// Reads the state of a deployment.
pub struct Source {
    /// Reads the whole state.
    pub read: Box<dyn Fn() -> Reading + Send + Sync>,
    /// Waits for changes after a revision, at most the given time.
    pub watch: Box<dyn Fn(u64, Duration) -> Reading + Send + Sync>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

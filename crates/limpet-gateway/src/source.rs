//! Interface to the source of a deployment's state, which an adapter implements.

use std::{
    fmt,
    pin::Pin,
    time::Duration, //
};

use futures::Future;
use limpet_types::deployment::StateUpdate;

/// Kind of a [`SourceError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceErrorKind {
    /// The source no longer has the changes after the requested revision.
    HistoryGone,
    /// The connection ended, or the time was over, before the source answered; another call may succeed.
    Interrupted,
    /// The source does not serve this process.
    Unavailable,
}

/// Failure to read or watch the source.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{context}")]
pub struct SourceError {
    /// Kind of the failure.
    pub kind: SourceErrorKind,
    /// What failed, for the log.
    pub context: Box<str>,
}

impl SourceError {
    /// Creates an error.
    pub fn new(kind: SourceErrorKind, context: impl fmt::Display) -> Self {
        Self {
            kind,
            context: context.to_string().into(),
        }
    }
}

/// Pending reply of the source.
pub type SourceReply = Pin<Box<dyn Future<Output = Result<StateUpdate, SourceError>> + Send>>;

/// Functions that read the state of a deployment.
pub struct Source {
    /// Reads the whole state of the deployment.
    pub read: Box<dyn Fn() -> SourceReply + Send + Sync>,
    /// Waits for changes after the given revision, for at most the given time.
    pub watch: Box<dyn Fn(u64, Duration) -> SourceReply + Send + Sync>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

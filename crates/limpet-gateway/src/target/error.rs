//! Why an attempt at a target failed.

use std::fmt;

/// Kind of failure; decides whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptErrorKind {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// Every connection that this process may hold is in use; nothing was sent.
    NoConnection,
    /// The target said that it did not run the request.
    NotRun,
    /// Another target has the address; the request did not run.
    OtherTarget,
    /// The connection ended or delivered bytes that are no reply; the request may have run.
    Broken,
    /// A reply to another request came; the request may have run.
    Crossed,
    /// No reply came within the time; the request may have run.
    Timeout,
}

impl AttemptErrorKind {
    /// Returns whether the request certainly did not run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::NoConnection | Self::NotRun | Self::OtherTarget
        )
    }

    /// Returns whether the request reached the target or may have.
    pub const fn has_arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::NoConnection)
    }

    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoConnection => "no_connection",
            Self::NotRun => "not_run",
            Self::OtherTarget => "other_target",
            Self::Broken => "broken",
            Self::Crossed => "crossed",
            Self::Timeout => "timeout",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Debug, thiserror::Error)]
pub struct AttemptError {
    /// Kind of failure.
    pub kind: AttemptErrorKind,
    /// What happened.
    pub context: Box<str>,
}

impl AttemptError {
    /// Creates an error with its context.
    pub fn new(kind: AttemptErrorKind, context: impl fmt::Display) -> Self {
        Self {
            kind,
            context: context.to_string().into(),
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.label(), self.context)
    }
}

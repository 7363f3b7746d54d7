//! Errors of an attempt at a target.

use std::fmt;

/// Why an attempt failed; decides whether the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptErrorKind {
    /// No connection could be established; nothing was sent.
    Unreachable,
    /// All connections that this process may hold to the target are in use; nothing was sent.
    ConnectionLimit,
    /// The target announced that it leaves, or wants no requests for a while, before the request was sent.
    NotWanted,
    /// The reply was no longer needed when a connection was open; nothing was sent.
    NotNeeded,
    /// The target reported that it did not run the request.
    NotRun,
    /// The target refused the request without saying that it did not run it; the request may have run.
    UncertainRefusal,
    /// The address now belongs to another target, which did not run the request.
    WrongTarget,
    /// The connection ended before a complete reply, or the reply is invalid; the request may have run.
    NoValidReply,
    /// The reply carries the id of another request; the request may have run.
    MismatchedReply,
    /// No reply arrived before the deadline; the request may have run.
    Timeout,
}

impl AttemptErrorKind {
    /// Returns whether the request is known not to have run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::ConnectionLimit
                | Self::NotWanted
                | Self::NotNeeded
                | Self::NotRun
                | Self::WrongTarget
        )
    }

    /// Returns whether the request may have reached the target.
    pub const fn may_have_arrived(self) -> bool {
        !matches!(
            self,
            Self::Unreachable | Self::ConnectionLimit | Self::NotWanted | Self::NotNeeded
        )
    }

    /// Returns whether the target replied.
    pub const fn is_reply(self) -> bool {
        matches!(
            self,
            Self::NotRun | Self::UncertainRefusal | Self::WrongTarget | Self::MismatchedReply
        )
    }

    /// Returns the label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::ConnectionLimit => "no_connection",
            Self::NotWanted => "not_wanted",
            Self::NotNeeded => "not_needed",
            Self::NotRun => "not_run",
            Self::UncertainRefusal => "uncertain_refusal",
            Self::WrongTarget => "other_target",
            Self::NoValidReply => "broken",
            Self::MismatchedReply => "crossed",
            Self::Timeout => "timeout",
        }
    }
}

/// A failed attempt.
#[derive(Clone, Debug, thiserror::Error)]
pub struct AttemptError {
    /// Kind of error.
    pub kind: AttemptErrorKind,
    /// Details for the log.
    pub context: Box<str>,
}

impl AttemptError {
    /// Creates an error.
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

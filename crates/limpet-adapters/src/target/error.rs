//! Errors of target connections.

use std::fmt;

use limpet_types::TargetAddr;

use crate::target::TargetReport;

/// What went wrong at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetErrorKind {
    /// Nothing listens at the address.
    Refused,
    /// No connection within the time, or another connect error.
    Unreachable,
    /// The connection had ended before any byte of the request was written.
    NotWritten,
    /// The connection ended after a byte may have been written and before the whole response.
    Broken,
    /// The target does not hold the index version and ran nothing.
    VersionNotHeld,
    /// The target shed the attempt and ran nothing.
    Shed,
    /// The target reported an error and may have run the attempt.
    Failed,
    /// The response belongs to another attempt.
    Crossed,
    /// The response lacks a header or has one that cannot be read.
    Malformed,
}

/// A failed attempt: kind, context, and what the target reported of itself.
#[derive(Clone, Debug, thiserror::Error)]
pub struct TargetError {
    /// What went wrong.
    pub kind: TargetErrorKind,
    /// Target.
    pub target: TargetAddr,
    /// Detail for a person.
    pub context: Box<str>,
    /// Report of the target, if it sent one for this attempt.
    pub report: Option<Box<TargetReport>>,
}

impl TargetError {
    /// Creates an error.
    pub fn new(kind: TargetErrorKind, target: TargetAddr, context: impl fmt::Display) -> Self {
        Self {
            kind,
            target,
            context: context.to_string().into(),
            report: None,
        }
    }

    /// Adds what the target reported.
    pub fn with_report(mut self, report: TargetReport) -> Self {
        self.report = Some(Box::new(report));
        self
    }

    /// Returns whether the target certainly ran no part of the attempt.
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            TargetErrorKind::Refused
                | TargetErrorKind::Unreachable
                | TargetErrorKind::NotWritten
                | TargetErrorKind::VersionNotHeld
                | TargetErrorKind::Shed
        )
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "target {}: {:?}: {}",
            self.target, self.kind, self.context
        )
    }
}

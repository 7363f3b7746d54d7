//! Failures of attempts at targets.

use std::fmt;

use limpet_types::TargetAddr;

use crate::target::TargetReport;

/// Why an attempt at a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetErrorKind {
    /// The connection was refused, because nothing listens at the address.
    Refused,
    /// Connecting timed out or failed otherwise.
    Unreachable,
    /// No byte of the request was written: the connection had closed, or the request is not valid in HTTP.
    NotWritten,
    /// The connection closed after a byte may have been written and before the response was complete.
    Broken,
    /// The target does not hold the requested index version and ran nothing.
    VersionNotHeld,
    /// The target shed the attempt, for example because it is draining, and ran nothing.
    Shed,
    /// The target reported an error and may have run the attempt.
    Failed,
    /// The response belongs to another attempt.
    Crossed,
    /// The response lacks a required header, has an invalid one or differs from what was requested.
    Malformed,
}

/// Failure of an attempt at a target.
#[derive(Clone, Debug, thiserror::Error)]
pub struct TargetError {
    /// Why the attempt failed.
    pub kind: TargetErrorKind,
    /// Target that the attempt was made at.
    pub target: TargetAddr,
    /// Details for logs.
    pub context: Box<str>,
    /// Report that the target sent about itself in its response to this attempt, if any.
    pub report: Option<Box<TargetReport>>,
}

impl TargetError {
    /// Creates an error without a report.
    pub fn new(kind: TargetErrorKind, target: TargetAddr, context: impl fmt::Display) -> Self {
        Self {
            kind,
            target,
            context: context.to_string().into(),
            report: None,
        }
    }

    /// Adds the report of the target.
    pub fn with_report(mut self, report: TargetReport) -> Self {
        self.report = Some(Box::new(report));
        self
    }

    /// Returns whether it is certain that the target ran no part of the attempt.
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

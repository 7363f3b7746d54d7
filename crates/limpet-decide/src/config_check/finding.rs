//! One result of the check.

use std::fmt;

use super::{
    FindingKind,
    Place,
    Severity, //
};

/// A broken rule, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Rule that is broken.
    pub kind: FindingKind,
    /// Entry that breaks it.
    pub place: Place,
    /// What is wrong there, for operators.
    pub text: Box<str>,
}

impl Finding {
    /// Creates a finding.
    pub(super) fn new(kind: FindingKind, place: Place, text: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            place,
            text: text.into(),
        }
    }

    /// Returns how much the finding matters.
    pub const fn severity(&self) -> Severity {
        self.kind.severity()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

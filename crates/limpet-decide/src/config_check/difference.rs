//! One difference between two versions of a configuration.

use std::fmt;

use super::Place;

/// What happened to an entry or field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It has another value.
    Changed {
        /// Value in force.
        old: Box<str>,
        /// Value in the new version.
        new: Box<str>,
    },
}

impl DifferenceKind {
    /// Returns the name for programs, which does not change.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed { .. } => "changed",
        }
    }
}

/// A difference from the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Entry that differs; its number is the one in the new version, or in the one in force if it was removed.
    pub place: Place,
    /// Field of the entry that differs; `None` if the entry as a whole is new or gone.
    pub field: Option<Box<str>>,
    /// What happened.
    pub kind: DifferenceKind,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.place)?;
        if let Some(field) = &self.field {
            write!(f, ", {field}")?;
        }
        match &self.kind {
            DifferenceKind::Changed { old, new } => write!(f, ": {old} -> {new}"),
            kind => write!(f, ": {}", kind.name()),
        }
    }
}

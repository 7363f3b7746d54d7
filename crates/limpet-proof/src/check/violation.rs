//! A property that does not hold.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A property of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// Every result of an answer comes from the snapshot that it names.
    OneSnapshot,
    /// Every range that an answer claims was answered by a target that holds it.
    Coverage,
    /// A cold target runs no more than it bears.
    ColdLimit,
    /// No new work goes to a zone that is out.
    ZoneOut,
    /// No new work goes to a leaving target.
    Leaving,
    /// Only a request with a valid API key runs.
    ApiKey,
    /// No team gets more than its rate and burst.
    Rate,
    /// An answer is whole and belongs to its request.
    OwnAnswer,
    /// A refusal with `not_run` is true.
    NotRun,
    /// An order runs at most once.
    OrderOnce,
    /// The answers to one ticket are those of one register.
    OrderRegister,
    /// No request is cut, but by a kill or a freeze.
    Cut,
}

/// A property that does not hold, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Property.
    pub property: Property,
    /// What contradicts it.
    pub reason: Box<str>,
}

impl Violation {
    pub(super) fn new(property: Property, reason: impl Into<Box<str>>) -> Self {
        Self {
            property,
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.reason)
    }
}

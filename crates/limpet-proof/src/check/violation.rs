//! Properties that a history must have, and their violations.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A property that each history must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// All results of an answer come from the snapshot that the answer names.
    OneSnapshot,
    /// Each range that an answer claims was answered by a target that holds it.
    Coverage,
    /// A cold target runs no more requests at once than its cold limit.
    ColdLimit,
    /// No new work goes to a zone that was taken out.
    ZoneOut,
    /// No new work goes to a leaving target.
    Leaving,
    /// Only a request with a valid API key runs.
    ApiKey,
    /// No team gets more than its rate and burst.
    Rate,
    /// An answer is whole and belongs to the request for which it was sent.
    OwnAnswer,
    /// No target ran a request that was refused with `not_run`.
    NotRun,
    /// An order runs at most once.
    OrderOnce,
    /// The answers to the requests with one ticket are linearizable as reads of one register.
    OrderRegister,
    /// Each request on an open connection gets a whole response unless its entry was killed or paused.
    Cut,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated property.
    pub property: Property,
    /// Observation that violates it.
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

//! Values that may appear once.

use std::{
    collections::HashMap,
    fmt::Display,
    hash::Hash,
    ops::Range, //
};

use crate::parse::Report;

/// Refuses the second use of a value.
#[derive(Debug)]
pub(super) struct Unique<T> {
    what: &'static str,
    seen: HashMap<T, Box<str>>,
}

impl<T: Hash + Eq> Unique<T> {
    /// Creates an empty set of values that are named `what` in problems.
    pub(super) fn new(what: &'static str) -> Self {
        Self {
            what,
            seen: HashMap::new(),
        }
    }

    /// Notes a value of `owner`; reports it if it was noted before.
    pub(super) fn note(
        &mut self,
        report: &mut Report,
        span: &Range<usize>,
        value: T,
        shown: impl Display,
        owner: &str,
    ) {
        let what = self.what;
        match self.seen.get(&value) {
            Some(first) => report.add(
                span,
                format!("duplicate {what} \"{shown}\""),
                format!("{first:?} has it already; each {what} appears once"),
            ),
            None => {
                self.seen.insert(value, owner.into());
            }
        }
    }
}

//! Detection of values that are defined more than once.

use std::{
    collections::HashMap,
    fmt::Display,
    hash::Hash,
    ops::Range, //
};

use crate::parse::Report;

/// Set of values that must be unique, with the owner of each.
#[derive(Debug)]
pub(super) struct UniqueValues<T> {
    value_kind: &'static str,
    owners: HashMap<T, Box<str>>,
}

impl<T: Hash + Eq> UniqueValues<T> {
    /// Creates an empty set; problems call its values `value_kind`.
    pub(super) fn new(value_kind: &'static str) -> Self {
        Self {
            value_kind,
            owners: HashMap::new(),
        }
    }

    /// Adds a value of `owner`; reports a duplicate if the set contains it already.
    pub(super) fn insert(
        &mut self,
        report: &mut Report,
        span: &Range<usize>,
        value: T,
        displayed: impl Display,
        owner: &str,
    ) {
        let value_kind = self.value_kind;
        match self.owners.get(&value) {
            Some(first_owner) => report.add(
                span,
                format!("duplicate {value_kind} \"{displayed}\""),
                format!("{first_owner:?} has it already; each {value_kind} appears once"),
            ),
            None => {
                self.owners.insert(value, owner.into());
            }
        }
    }
}

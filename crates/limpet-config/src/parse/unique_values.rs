//! Detection of values that are defined more than once.

use std::{
    collections::HashMap,
    fmt::Display,
    hash::Hash,
    ops::Range, //
};

use crate::parse::Report;

/// Set of values that must be unique, with the name of the item that defines each.
#[derive(Debug)]
pub(super) struct UniqueValues<T> {
    value_kind: &'static str,
    item_names: HashMap<T, Box<str>>,
}

impl<T: Hash + Eq> UniqueValues<T> {
    /// Creates an empty set; `value_kind` names its values in problems.
    pub(super) fn new(value_kind: &'static str) -> Self {
        Self {
            value_kind,
            item_names: HashMap::new(),
        }
    }

    /// Adds a value that the item `item_name` defines; reports a duplicate if the set contains it already.
    ///
    /// `displayed` is the value as it appears in the problem.
    pub(super) fn insert(
        &mut self,
        report: &mut Report,
        span: &Range<usize>,
        value: T,
        displayed: impl Display,
        item_name: &str,
    ) {
        let value_kind = self.value_kind;
        match self.item_names.get(&value) {
            Some(first_item_name) => report.add(
                span,
                format!("duplicate {value_kind} \"{displayed}\""),
                format!("{first_item_name:?} has it already; each {value_kind} appears once"),
            ),
            None => {
                self.item_names.insert(value, item_name.into());
            }
        }
    }
}

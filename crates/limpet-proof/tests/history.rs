//! Guards against a check of histories that misses a violation or reports one that does not exist.
//!
//! A file in `bad` is named after the property that it violates, with an optional suffix after a dot.

use std::{
    collections::BTreeSet,
    path::Path, //
};

use limpet_proof::{
    check::{
        Property,
        find_violations, //
    },
    history::parse_history, //
};

fn has_no_violation(_path: &Path, history: String) -> datatest_stable::Result<()> {
    let violations = find_violations(&parse_history(&history)?);
    match violations.is_empty() {
        true => Ok(()),
        false => Err(format!("{violations:#?}").into()),
    }
}

fn violates_named_property(path: &Path, history: String) -> datatest_stable::Result<()> {
    let file_name = path.file_name().unwrap().to_str().unwrap();
    let property_name = file_name.split('.').next().unwrap();
    let expected: Property = serde_json::from_value(property_name.into())?;
    let violations = find_violations(&parse_history(&history)?);
    let properties: BTreeSet<Property> = violations
        .iter()
        .map(|violation| violation.property)
        .collect();
    match properties == BTreeSet::from([expected]) {
        true => Ok(()),
        false => Err(format!("{violations:#?}").into()),
    }
}

datatest_stable::harness! {
    { test = has_no_violation, root = "tests/good", pattern = r"\.jsonl$" },
    { test = violates_named_property, root = "tests/bad", pattern = r"\.jsonl$" },
}

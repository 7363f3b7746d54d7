//! Guards against a checker that misses a violation or reports one that does not exist.
//!
//! A file in `bad` is named after the property that it violates, with an optional suffix after a dot.

use std::{
    collections::BTreeSet,
    path::Path, //
};

use limpet_proof::{
    check::{
        Property,
        violations, //
    },
    history::read, //
};

fn has_no_violation(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let violations = violations(&read(&text)?);
    match violations.is_empty() {
        true => Ok(()),
        false => Err(format!("{violations:#?}").into()),
    }
}

fn violates_named_property(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap().to_str().unwrap();
    let name = name.split('.').next().unwrap();
    let expected: Property = serde_json::from_value(name.into())?;
    let violations = violations(&read(&text)?);
    let properties: BTreeSet<Property> = violations.iter().map(|v| v.property).collect();
    match properties == BTreeSet::from([expected]) {
        true => Ok(()),
        false => Err(format!("{violations:#?}").into()),
    }
}

datatest_stable::harness! {
    { test = has_no_violation, root = "tests/good", pattern = r"\.jsonl$" },
    { test = violates_named_property, root = "tests/bad", pattern = r"\.jsonl$" },
}

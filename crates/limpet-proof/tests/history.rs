//! Guards against a checker that accepts a violated property or sees one where none is.
//!
//! The name of a bad history is the property that it violates, and may have a suffix after a dot.

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

fn holds(_path: &Path, text: String) -> datatest_stable::Result<()> {
    let found = violations(&read(&text)?);
    match found.is_empty() {
        true => Ok(()),
        false => Err(format!("{found:#?}").into()),
    }
}

fn violates(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap().to_str().unwrap();
    let name = name.split('.').next().unwrap();
    let expected: Property = serde_json::from_value(name.into())?;
    let found = violations(&read(&text)?);
    let properties: BTreeSet<Property> = found.iter().map(|v| v.property).collect();
    match properties == BTreeSet::from([expected]) {
        true => Ok(()),
        false => Err(format!("{found:#?}").into()),
    }
}

datatest_stable::harness! {
    { test = holds, root = "tests/good", pattern = r"\.jsonl$" },
    { test = violates, root = "tests/bad", pattern = r"\.jsonl$" },
}

//! Parsing of the headers of a response of a target.

use std::str::FromStr;

use http::HeaderMap;
use limpet_types::{
    IndexVersion,
    KeyRange, //
};

use crate::target::{
    ReportedState,
    TargetReport, //
};

/// Returns a required header as text.
pub(crate) fn required_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, String> {
    let value = headers
        .get(name)
        .ok_or_else(|| format!("{name} header is missing"))?;
    value
        .to_str()
        .map_err(|_| format!("{name} header is not text"))
}

/// Returns a required header as a number.
pub(crate) fn required_number<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<T, String> {
    let value = required_text(headers, name)?;
    let parsed = value.trim().parse();
    parsed.map_err(|_| format!("{name} header is not a number: {value:?}"))
}

/// Parses the report that a target sends about itself in the headers of a response.
pub(crate) fn parse_report(headers: &HeaderMap) -> Result<TargetReport, String> {
    let state = match required_text(headers, "x-target-state")? {
        "cold" => ReportedState::Cold,
        "warm" => ReportedState::Warm,
        "draining" => ReportedState::Draining,
        other => {
            return Err(format!(
                "x-target-state header is not a known state: {other:?}"
            ));
        }
    };
    let versions_held = match headers.get("x-index-versions-held") {
        None => Vec::new(),
        Some(_) => parse_versions(required_text(headers, "x-index-versions-held")?)?,
    };
    Ok(TargetReport {
        state,
        incarnation: required_number(headers, "x-target-incarnation")?,
        versions_held,
    })
}

/// Parses a list of index versions separated by commas.
fn parse_versions(list: &str) -> Result<Vec<IndexVersion>, String> {
    let items = list
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty());
    items
        .map(|item| item.parse())
        .collect::<Result<_, _>>()
        .map_err(|_| format!("x-index-versions-held header is not a list of numbers: {list:?}"))
}

/// Parses the key range that a response covers, given as `start-end` without the key `end`.
pub(crate) fn parse_range(headers: &HeaderMap) -> Result<KeyRange, String> {
    let value = required_text(headers, "x-range")?;
    let range = value.split_once('-').and_then(|(start, end)| {
        let range = KeyRange::new(start.trim().parse().ok()?, end.trim().parse().ok()?);
        (!range.is_empty()).then_some(range)
    });
    range.ok_or_else(|| format!("x-range header is not a range: {value:?}"))
}

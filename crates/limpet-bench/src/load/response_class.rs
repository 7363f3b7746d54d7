//! Classification of responses: complete, partial, refused or wrong.

use http::{
    Response,
    StatusCode, //
};
use limpet_types::key_range::KEY_SPACE_END;
use serde::Deserialize;
use serde_json::Value;

use crate::load::arguments::LookupInput;

/// Reason given for a missing range that was not queried because another shard had already decided an
/// exists query.
const NOT_NEEDED: &str = "not_needed";

/// What a response says, after it was checked against its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// Answered with full coverage.
    Complete,
    /// Answered with partial coverage; the missing ranges are listed.
    Partial,
    /// Refused with an error code.
    Refused {
        /// Error code.
        code: Box<str>,
        /// Whether the entry states that no target ran the request.
        not_run: bool,
        /// Ticket to repeat the order with, if the entry requires one.
        ticket: Option<Box<str>>,
    },
    /// The response contradicts its request or itself; holds the reason.
    Wrong(Box<str>),
}

#[derive(Debug, Deserialize)]
struct CoverageRange {
    start: u64,
    end: u64,
    #[serde(default)]
    reason: Option<Box<str>>,
}

impl CoverageRange {
    /// Returns whether the missing range could still change the answer.
    fn affects_answer(&self) -> bool {
        self.reason.as_deref() != Some(NOT_NEEDED)
    }
}

#[derive(Debug, Deserialize)]
struct Coverage {
    answered: Vec<CoverageRange>,
    missing: Vec<CoverageRange>,
}

#[derive(Debug, Deserialize)]
struct Answer {
    request_id: Box<str>,
    complete: bool,
    coverage: Coverage,
    #[serde(default)]
    results: Vec<ShardResult>,
}

#[derive(Debug, Deserialize)]
struct ShardResult {
    shard: Box<str>,
    #[serde(default)]
    body: Value,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    code: Box<str>,
    not_run: bool,
    request_id: Option<Box<str>>,
    ticket: Option<Box<str>>,
}

/// Classifies the response to the request with the ID `request_id`.
///
/// The coverage must span every key if `input` is [`LookupInput::BodyOnly`].
pub fn classify_response(
    response: &Response<bytes::Bytes>,
    request_id: &str,
    input: LookupInput,
) -> ResponseClass {
    if response.status() != StatusCode::OK {
        return classify_refusal(response, request_id);
    }
    let answer: Answer = match serde_json::from_slice(response.body()) {
        Ok(answer) => answer,
        Err(error) => {
            return ResponseClass::Wrong(format!("answer is not readable: {error}").into());
        }
    };
    match find_inconsistency(&answer, request_id, input) {
        Some(inconsistency) => ResponseClass::Wrong(inconsistency),
        None if !answer
            .coverage
            .missing
            .iter()
            .any(CoverageRange::affects_answer) =>
        {
            ResponseClass::Complete
        }
        None => ResponseClass::Partial,
    }
}

fn classify_refusal(response: &Response<bytes::Bytes>, request_id: &str) -> ResponseClass {
    let refusal: Refusal = match serde_json::from_slice(response.body()) {
        Ok(refusal) => refusal,
        Err(error) => {
            return ResponseClass::Wrong(format!("refusal is not readable: {error}").into());
        }
    };
    if refusal.request_id.is_some_and(|id| &*id != request_id) {
        return ResponseClass::Wrong("refusal of another request".into());
    }
    let header = response.headers().get("x-limpet-ticket");
    let ticket = header.and_then(|value| value.to_str().ok()).map(Into::into);
    ResponseClass::Refused {
        code: refusal.code,
        not_run: refusal.not_run,
        ticket: ticket.or(refusal.ticket),
    }
}

/// Returns how an answer contradicts its request or itself, or `None` if it is consistent.
fn find_inconsistency(answer: &Answer, request_id: &str, input: LookupInput) -> Option<Box<str>> {
    if &*answer.request_id != request_id {
        return Some(format!("answer to request {}", answer.request_id).into());
    }
    let is_full = answer.coverage.missing.is_empty();
    let is_sufficient = !answer
        .coverage
        .missing
        .iter()
        .any(CoverageRange::affects_answer);
    // If only ranges with the reason `not_needed` are missing, because one shard decided an exists query, the
    // answer may be marked complete or not.
    if answer.complete != is_full && answer.complete != is_sufficient {
        return Some("`complete` contradicts the missing ranges".into());
    }
    let mut ranges: Vec<&CoverageRange> = answer.coverage.answered.iter().collect();
    ranges.extend(&answer.coverage.missing);
    ranges.sort_by_key(|range| range.start);
    let is_overlap = |pair: &[&CoverageRange]| pair[0].end > pair[1].start;
    if ranges.windows(2).any(is_overlap) {
        return Some("ranges of the coverage overlap".into());
    }
    let covered_keys: u64 = ranges.iter().map(|range| range.end - range.start).sum();
    if input == LookupInput::BodyOnly && covered_keys != KEY_SPACE_END {
        return Some(format!("coverage spans {covered_keys} of {KEY_SPACE_END} keys").into());
    }
    let mut result_shards: Vec<&str> = answer.results.iter().map(|result| &*result.shard).collect();
    result_shards.sort_unstable();
    if result_shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Some("two results of one shard".into());
    }
    let is_of_other_request = |result: &&ShardResult| {
        result
            .body
            .as_str()
            .is_some_and(|body| names_other_request(body, request_id))
    };
    let wrong_result = answer.results.iter().find(is_of_other_request)?;
    Some(format!("shard {} answered another request", wrong_result.shard).into())
}

/// Returns whether the body of a result carries the ID of another request.
///
/// Fake targets answer with the body `NAME:REQUEST_ID:LENGTH`.
fn names_other_request(body: &str, request_id: &str) -> bool {
    let mut parts = body.split(':');
    let (Some(_), Some(id), Some(_), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return false;
    };
    let is_id = id.len() == 32 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id && id != request_id
}

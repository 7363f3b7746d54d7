//! Judgement of one response.

use http::{
    Response,
    StatusCode, //
};
use limpet_types::key_range::KEY_SPACE_END;
use serde::Deserialize;
use serde_json::Value;

use crate::load::arguments::LookupNeed;

/// Reason of a range that was not asked because an exists query already had its yes.
const NOT_NEEDED: &str = "not_needed";

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with full coverage.
    Complete,
    /// Answered with partial coverage that is named.
    Partial,
    /// Refused with a code.
    Refused {
        /// Code.
        code: Box<str>,
        /// Whether the entry says that nothing ran.
        not_run: bool,
        /// Ticket, if the entry asks for one.
        ticket: Option<Box<str>>,
    },
    /// The response contradicts the request or itself.
    Wrong(Box<str>),
}

#[derive(Debug, Deserialize)]
struct Range {
    start: u64,
    end: u64,
    #[serde(default)]
    reason: Option<Box<str>>,
}

impl Range {
    /// Returns whether the range is missing although it could change the answer.
    fn is_lacking(&self) -> bool {
        self.reason.as_deref() != Some(NOT_NEEDED)
    }
}

#[derive(Debug, Deserialize)]
struct Coverage {
    answered: Vec<Range>,
    missing: Vec<Range>,
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

/// Judges a response to the request with this id.
pub fn classify(response: &Response<bytes::Bytes>, request_id: &str, need: LookupNeed) -> Outcome {
    if response.status() != StatusCode::OK {
        return classify_refusal(response, request_id);
    }
    let answer: Answer = match serde_json::from_slice(response.body()) {
        Ok(answer) => answer,
        Err(error) => return Outcome::Wrong(format!("answer is not readable: {error}").into()),
    };
    match fault(&answer, request_id, need) {
        Some(fault) => Outcome::Wrong(fault),
        None if !answer.coverage.missing.iter().any(Range::is_lacking) => Outcome::Complete,
        None => Outcome::Partial,
    }
}

fn classify_refusal(response: &Response<bytes::Bytes>, request_id: &str) -> Outcome {
    let refusal: Refusal = match serde_json::from_slice(response.body()) {
        Ok(refusal) => refusal,
        Err(error) => return Outcome::Wrong(format!("refusal is not readable: {error}").into()),
    };
    if refusal.request_id.is_some_and(|id| &*id != request_id) {
        return Outcome::Wrong("refusal of another request".into());
    }
    let header = response.headers().get("x-limpet-ticket");
    let ticket = header.and_then(|value| value.to_str().ok()).map(Into::into);
    Outcome::Refused {
        code: refusal.code,
        not_run: refusal.not_run,
        ticket: ticket.or(refusal.ticket),
    }
}

/// Returns what is wrong with an answer, if anything is.
fn fault(answer: &Answer, request_id: &str, need: LookupNeed) -> Option<Box<str>> {
    if &*answer.request_id != request_id {
        return Some(format!("answer to request {}", answer.request_id).into());
    }
    let is_whole = answer.coverage.missing.is_empty();
    let is_decided = !answer.coverage.missing.iter().any(Range::is_lacking);
    // An exists query with a yes may be called complete or not; the missing ranges say the rest.
    if answer.complete != is_whole && answer.complete != is_decided {
        return Some("`complete` contradicts the missing ranges".into());
    }
    let mut ranges: Vec<&Range> = answer.coverage.answered.iter().collect();
    ranges.extend(&answer.coverage.missing);
    ranges.sort_by_key(|range| range.start);
    let is_overlap = |pair: &[&Range]| pair[0].end > pair[1].start;
    if ranges.windows(2).any(is_overlap) {
        return Some("ranges of the coverage overlap".into());
    }
    let covered: u64 = ranges.iter().map(|range| range.end - range.start).sum();
    if need == LookupNeed::Nothing && covered != KEY_SPACE_END {
        return Some(format!("coverage spans {covered} of {KEY_SPACE_END} keys").into());
    }
    let mut shards: Vec<&str> = answer.results.iter().map(|result| &*result.shard).collect();
    shards.sort_unstable();
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Some("two results of one shard".into());
    }
    let crossed = |result: &&ShardResult| {
        result
            .body
            .as_str()
            .is_some_and(|body| is_crossed(body, request_id))
    };
    let result = answer.results.iter().find(crossed)?;
    Some(format!("shard {} answered another request", result.shard).into())
}

/// Returns whether the body of a stand-in target, `NAME:REQUEST_ID:LENGTH`, names another request.
fn is_crossed(body: &str, request_id: &str) -> bool {
    let mut parts = body.split(':');
    let (Some(_), Some(id), Some(_), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return false;
    };
    let is_id = id.len() == 32 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id && id != request_id
}

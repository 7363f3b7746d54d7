//! Parses and formats the reply of an entry: an answer with its coverage, or a refusal.

use std::fmt::Write as _;

use bytes::Bytes;
use http::Response;
use limpet_types::RequestId;
use serde::Deserialize;
use serde_json::Value;

use crate::exit_status::ExitStatus;

/// The key range of a shard that answered the query, or of one whose result the answer lacks.
#[derive(Clone, Debug, Deserialize)]
struct ShardRange {
    shard: Box<str>,
    start: u64,
    end: u64,
    /// Why the answer lacks the range; `None` if the shard answered.
    reason: Option<Box<str>>,
}

impl ShardRange {
    /// Returns whether the result of the range could still change the answer.
    fn is_needed(&self) -> bool {
        self.reason.as_deref() != Some("not_needed")
    }
}

/// Key ranges of the shards that answered, and of those whose results the answer lacks.
#[derive(Clone, Debug, Default, Deserialize)]
struct Coverage {
    answered: Vec<ShardRange>,
    missing: Vec<ShardRange>,
}

/// The fields of an answer that the text output shows.
#[derive(Clone, Debug, Deserialize)]
struct Answer {
    request_id: Option<Box<str>>,
    snapshot: Option<Value>,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    coverage: Coverage,
    found: Option<bool>,
    #[serde(default)]
    results: Vec<ShardResult>,
    /// Answers of the lookups that this one depends on, by name.
    #[serde(default)]
    dependencies: std::collections::BTreeMap<Box<str>, Answer>,
}

impl Answer {
    /// Returns whether no missing range could change the answer.
    ///
    /// An exists query ends with the first match and lists the other ranges as `not_needed`.
    fn is_decided(&self) -> bool {
        self.complete || !self.coverage.missing.iter().any(ShardRange::is_needed)
    }
}

/// The result of one shard.
#[derive(Clone, Debug, Deserialize)]
struct ShardResult {
    shard: Box<str>,
    #[serde(default)]
    body: Value,
    /// Set instead of `body` if the result is not UTF-8.
    body_base64: Option<Box<str>>,
}

/// The fields of a refusal that the text output shows.
#[derive(Clone, Debug, Deserialize)]
struct RefusalBody {
    code: Box<str>,
    not_run: bool,
    message: Box<str>,
    request_id: Option<Box<str>>,
    ticket: Option<Box<str>>,
}

/// The parsed body of a response.
#[derive(Clone, Debug)]
enum Content {
    Answer(Answer),
    Refusal(RefusalBody),
    /// Neither an answer nor a refusal, or a response to another request; contains the reason.
    Unreadable(Box<str>),
}

/// The reply to one query.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    status: u16,
    /// Ticket in the header of the response.
    ticket: Option<Box<str>>,
    /// Body as JSON; a body of another format is a JSON string.
    body: Value,
    content: Content,
}

impl Reply {
    /// Parses a response; a response to another request counts as unreadable.
    ///
    /// If the query had a ticket, the body may be the recorded outcome of an earlier request and contain
    /// the identifier of that request. The header then identifies the request that was answered.
    pub(crate) fn new(response: Response<Bytes>, request_id: RequestId, has_ticket: bool) -> Self {
        let status = response.status().as_u16();
        let ticket_header = response.headers().get("x-limpet-ticket");
        let ticket = ticket_header
            .and_then(|value| value.to_str().ok())
            .map(Into::into);
        let body: Value = serde_json::from_slice(response.body()).unwrap_or_else(|_| {
            Value::String(String::from_utf8_lossy(response.body()).into_owned())
        });
        let request_id_header = response.headers().get("x-limpet-request-id");
        let header_request_id = request_id_header.and_then(|value| value.to_str().ok());
        let answered_request_id = header_request_id.filter(|_| has_ticket);
        let is_success = response.status().is_success();
        let content = parse_content(is_success, &body, request_id, answered_request_id);
        Self {
            status,
            ticket,
            body,
            content,
        }
    }

    /// Returns the ticket that the entry issued, if it refused the order for lack of a ticket.
    pub(crate) fn issued_ticket(&self) -> Option<Box<str>> {
        match &self.content {
            Content::Refusal(refusal) if &*refusal.code == "ticket_required" => {
                self.ticket.clone().or_else(|| refusal.ticket.clone())
            }
            _ => None,
        }
    }

    /// Returns the exit status of the command.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match &self.content {
            Content::Answer(answer) if answer.is_decided() => ExitStatus::Success,
            Content::Answer(_) => ExitStatus::Partial,
            Content::Refusal(refusal) if refusal.not_run => ExitStatus::RefusedNotRun,
            Content::Refusal(_) => ExitStatus::RefusedMaybeRun,
            Content::Unreadable(_) => ExitStatus::NoResponse,
        }
    }

    /// Returns the body of the response as JSON.
    pub(crate) const fn json(&self) -> &Value {
        &self.body
    }

    /// Returns the line that `watch` prints.
    pub(crate) fn summary(&self) -> String {
        match &self.content {
            Content::Answer(answer) => format!(
                "{} {}/{} shards{}",
                if answer.complete {
                    "complete"
                } else {
                    "partial"
                },
                answer.coverage.answered.len(),
                answer.coverage.answered.len() + answer.coverage.missing.len(),
                answer
                    .found
                    .map_or(String::new(), |found| format!(" found={found}")),
            ),
            Content::Refusal(refusal) => {
                format!(
                    "{} not_run={} {}",
                    refusal.code, refusal.not_run, refusal.message
                )
            }
            Content::Unreadable(reason) => format!("unreadable: {reason}"),
        }
    }

    /// Returns the text output: results and coverage of an answer, or code and message of a refusal.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        match &self.content {
            Content::Answer(answer) => write_answer(&mut text, answer, ""),
            Content::Refusal(refusal) => {
                let execution = if refusal.not_run {
                    "not run"
                } else {
                    "may have run: look before sending an order again"
                };
                push_line(
                    &mut text,
                    &format!(
                        "refused: {} (HTTP {}, {execution})",
                        refusal.code, self.status
                    ),
                );
                push_line(&mut text, &format!("message: {}", refusal.message));
                if let Some(id) = &refusal.request_id {
                    push_line(&mut text, &format!("request: {id}"));
                }
            }
            Content::Unreadable(reason) => {
                push_line(
                    &mut text,
                    &format!("unreadable: HTTP {}: {reason}", self.status),
                );
            }
        }
        text
    }
}

/// Parses the body as an answer or a refusal and checks which request it belongs to.
///
/// If given, `answered_request_id`, which comes from the response header, is checked instead of the
/// identifier in the body.
fn parse_content(
    is_success: bool,
    body: &Value,
    request_id: RequestId,
    answered_request_id: Option<&str>,
) -> Content {
    let expected_id = format!("{request_id:032x}");
    let unreadable_content =
        |error: serde_json::Error| Content::Unreadable(error.to_string().into());
    let (content, body_request_id) = if is_success {
        match Answer::deserialize(body) {
            Ok(answer) => {
                let id = answer.request_id.clone();
                (Content::Answer(answer), id)
            }
            Err(error) => return unreadable_content(error),
        }
    } else {
        match RefusalBody::deserialize(body) {
            Ok(refusal) => {
                let id = refusal.request_id.clone();
                (Content::Refusal(refusal), id)
            }
            Err(error) => return unreadable_content(error),
        }
    };
    match answered_request_id.map(Into::into).or(body_request_id) {
        Some(id) if *id != *expected_id => {
            Content::Unreadable(format!("response to request {id}, sent was {expected_id}").into())
        }
        _ => content,
    }
}

/// Appends the text output of an answer, with each of its dependencies indented before it.
fn write_answer(text: &mut String, answer: &Answer, indent: &str) {
    for (name, dependency) in &answer.dependencies {
        push_line(text, &format!("{indent}dependency {name}:"));
        write_answer(text, dependency, &format!("{indent}  "));
    }
    if let Some(found) = answer.found {
        push_line(text, &format!("{indent}found: {found}"));
    }
    for result in &answer.results {
        let body = match (&result.body, &result.body_base64) {
            (_, Some(base64)) => format!("base64 {base64}"),
            (Value::String(body), None) => body.clone(),
            (body, None) => body.to_string(),
        };
        push_line(text, &format!("{indent}{}: {body}", result.shard));
    }
    let answered_count = answer.coverage.answered.len();
    let shard_count = answered_count + answer.coverage.missing.len();
    let completeness = if answer.complete {
        "complete"
    } else if answer.is_decided() {
        "decided by the first yes"
    } else {
        "partial"
    };
    let snapshot = match &answer.snapshot {
        None | Some(Value::Null) => "none".into(),
        Some(snapshot) => snapshot.to_string(),
    };
    push_line(
        text,
        &format!(
            "{indent}coverage: {completeness}, {answered_count} of {shard_count} shards, snapshot {snapshot}"
        ),
    );
    for range in &answer.coverage.missing {
        if !range.is_needed() {
            continue;
        }
        let reason = range.reason.as_deref().unwrap_or("no reason given");
        let (shard, start, end) = (&range.shard, range.start, range.end);
        push_line(
            text,
            &format!("{indent}missing: {shard} {start}..{end}: {reason}"),
        );
    }
}

/// Appends a line and a line break.
fn push_line(text: &mut String, line: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{line}");
}

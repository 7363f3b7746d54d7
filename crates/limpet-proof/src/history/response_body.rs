//! Bodies of the responses of an entry, as a caller parses them.

use serde::{
    Deserialize,
    Serialize, //
};

/// Body of a response: an answer (status 200) or a refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseBody {
    /// ID of the request that the response belongs to.
    pub request_id: Box<str>,
    /// Index version that all results come from.
    pub snapshot: Option<u64>,
    /// Whether the response claims full coverage.
    pub complete: bool,
    /// Answered and missing key ranges.
    pub coverage: Coverage,
    /// Results by shard.
    pub results: Vec<ShardResult>,
    /// Error code of a refusal.
    pub code: Option<Box<str>>,
    /// Whether a refusal claims that no target ran any part of the request.
    pub not_run: bool,
    /// Ticket that a refusal with the code `ticket_required` issues.
    pub ticket: Option<Box<str>>,
}

/// Key ranges that an answer covers or lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Coverage {
    /// Ranges that a target answered.
    pub answered: Vec<ShardRange>,
    /// Ranges without a result.
    pub missing: Vec<ShardRange>,
}

/// Key range of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRange {
    /// Name of the shard.
    pub shard: Box<str>,
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
    /// Why the range is missing; `None` for an answered range.
    #[serde(default)]
    pub reason: Option<Box<str>>,
}

/// Result of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResult {
    /// Name of the shard.
    pub shard: Box<str>,
    /// Response body of the fake target: `NAME:REQUEST_ID:LENGTH`, followed by `:RECORD` if a record
    /// was asked for.
    #[serde(default)]
    pub body: Box<str>,
}

/// Parts of the response body of a fake target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyParts<'a> {
    /// Target that sent the body.
    pub target: &'a str,
    /// ID of the caller's request that the body answers.
    pub request_id: &'a str,
    /// Size of the query body in bytes.
    pub size_bytes: usize,
    /// Key of the record asked for, if any.
    pub record: Option<&'a str>,
}

impl ShardResult {
    /// Splits the body into its parts; returns `None` if it is truncated.
    pub fn parse_body(&self) -> Option<BodyParts<'_>> {
        let mut parts = self.body.splitn(4, ':');
        Some(BodyParts {
            target: parts.next()?,
            request_id: parts.next()?,
            size_bytes: parts.next()?.parse().ok()?,
            record: parts.next(),
        })
    }
}

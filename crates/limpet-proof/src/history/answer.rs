//! Response bodies as a caller parses them.

use serde::{
    Deserialize,
    Serialize, //
};

/// Body of an answer (status 200) or of a refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Answer {
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
    /// Whether a refusal claims that no target ran any part.
    pub not_run: bool,
    /// Ticket that comes with `ticket_required`.
    pub ticket: Option<Box<str>>,
}

/// Key ranges of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Coverage {
    /// Ranges that a target answered.
    pub answered: Vec<Range>,
    /// Ranges without a result.
    pub missing: Vec<Range>,
}

/// One key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Shard.
    pub shard: Box<str>,
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
    /// Why the range is missing.
    #[serde(default)]
    pub reason: Option<Box<str>>,
}

/// Result of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResult {
    /// Shard.
    pub shard: Box<str>,
    /// Response body of the fake target: `NAME:REQUEST:LENGTH`, with `:RECORD` if a record was asked for.
    #[serde(default)]
    pub body: Box<str>,
}

/// Fields of the response body of a fake target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyParts<'a> {
    /// Target that sent the body.
    pub target: &'a str,
    /// ID of the caller request that it answers.
    pub request: &'a str,
    /// Size of the query body.
    pub size_bytes: usize,
    /// Record asked for, if one was.
    pub record: Option<&'a str>,
}

impl ShardResult {
    /// Parses the body; returns `None` if it is truncated.
    pub fn parts(&self) -> Option<BodyParts<'_>> {
        let mut parts = self.body.splitn(4, ':');
        Some(BodyParts {
            target: parts.next()?,
            request: parts.next()?,
            size_bytes: parts.next()?.parse().ok()?,
            record: parts.next(),
        })
    }
}

//! Refusals of requests, with codes that callers and peers can rely on.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Reason of a refusal as a code, whose meaning stays the same in every release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or belongs to no team.
    Unauthorized,
    /// The team is not allowed to use the lookup.
    Forbidden,
    /// The lookup does not exist.
    UnknownLookup,
    /// The team exceeded its rate limit.
    RateLimited,
    /// Too much work is queued to meet the deadline.
    Overloaded,
    /// The process is starting and accepts no requests yet.
    Starting,
    /// The process is draining and accepts no new requests.
    Draining,
    /// The zone of the target, or of the entry that received the request, was taken out of service.
    ZoneOut,
    /// The process has no recent evidence that its configuration is current.
    ConfigStale,
    /// The deadline passed.
    DeadlineExceeded,
    /// The results are incomplete and the caller does not accept partial results.
    IncompleteCoverage,
    /// No target of the shard is usable.
    NoTarget,
    /// The relay does not own the target.
    NotOwner,
    /// The target is being removed and receives no new requests.
    TargetLeaving,
    /// The target is cold, and no more attempts may wait for it.
    TargetCold,
    /// The target rejected the attempt to shed load.
    TargetShed,
    /// The target does not hold the requested index version.
    SnapshotUnavailable,
    /// The request crashed too many targets.
    RequestQuarantined,
    /// The order has no ticket.
    TicketRequired,
    /// The ticket is malformed or belongs to another team.
    TicketInvalid,
    /// The target failed.
    TargetFailed,
    /// The peer could not be reached.
    PeerUnreachable,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
    /// An internal error of limpetshunt.
    Internal,
}

impl RefusalCode {
    /// Returns the code as written in answers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownLookup => "unknown_lookup",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::Starting => "starting",
            Self::Draining => "draining",
            Self::ZoneOut => "zone_out",
            Self::ConfigStale => "config_stale",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::IncompleteCoverage => "incomplete_coverage",
            Self::NoTarget => "no_target",
            Self::NotOwner => "not_owner",
            Self::TargetLeaving => "target_leaving",
            Self::TargetCold => "target_cold",
            Self::TargetShed => "target_shed",
            Self::SnapshotUnavailable => "snapshot_unavailable",
            Self::RequestQuarantined => "request_quarantined",
            Self::TicketRequired => "ticket_required",
            Self::TicketInvalid => "ticket_invalid",
            Self::TargetFailed => "target_failed",
            Self::PeerUnreachable => "peer_unreachable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Internal => "internal",
        }
    }

    /// Returns the status code of the HTTP answer to the caller.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::TicketInvalid => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownLookup => 404,
            Self::RequestQuarantined => 422,
            Self::TicketRequired => 428,
            Self::RateLimited => 429,
            Self::TargetFailed | Self::PeerUnreachable | Self::OutcomeUnknown => 502,
            Self::DeadlineExceeded | Self::IncompleteCoverage => 504,
            Self::Internal => 500,
            _ => 503,
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reason why a request has no result: a code, whether any part of the request may have run, and a
/// message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// Code of the reason.
    pub code: RefusalCode,
    /// Whether it is certain that no target ran any part of the request.
    pub not_run: bool,
    /// Human-readable explanation.
    pub message: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            not_run: true,
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn maybe_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            not_run: false,
            message: message.into(),
        }
    }
}

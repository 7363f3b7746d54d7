//! Refusal codes that callers and peers rely on.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// No key, or a key that no team has.
    Unauthorized,
    /// The team may not use this lookup.
    Forbidden,
    /// No such lookup.
    UnknownLookup,
    /// The team is over its rate and burst.
    RateLimited,
    /// Too much work is queued for the deadline.
    Overloaded,
    /// The process is starting.
    Starting,
    /// The process is draining.
    Draining,
    /// The zone was taken out.
    ZoneOut,
    /// No proof that the configuration is current.
    ConfigStale,
    /// The deadline passed.
    DeadlineExceeded,
    /// Coverage is incomplete and the caller does not accept that.
    IncompleteCoverage,
    /// No target of the shard can be used.
    NoTarget,
    /// The relay does not own the target.
    NotOwner,
    /// The target is leaving.
    TargetLeaving,
    /// The target is cold and at its limit.
    TargetCold,
    /// The target shed the attempt.
    TargetShed,
    /// The target does not hold the index version.
    SnapshotUnavailable,
    /// The request crashed too many targets.
    RequestQuarantined,
    /// The order has no ticket yet.
    TicketRequired,
    /// The ticket is malformed or of another team.
    TicketInvalid,
    /// The target failed.
    TargetFailed,
    /// The peer could not be reached.
    PeerUnreachable,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// A fault of limpetshunt itself.
    Internal,
}

impl RefusalCode {
    /// Returns the code as it stands in answers and logs.
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

    /// Returns the HTTP status that callers see.
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

/// A refusal: code, whether the request certainly did not run, and context.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// True only if no target ran any part of the request.
    pub not_run: bool,
    /// What happened, for a person.
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

//! How a request ended.

use std::time::Duration;

use http::{
    HeaderValue,
    StatusCode, //
};

use crate::target::TargetReply;

/// Why a request got no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request is not one that can be forwarded.
    BadRequest,
    /// The body is larger than the text allows.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTooSlow,
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no team.
    BadKey,
    /// The team has used up its rate.
    OverRate,
    /// This process knows no text yet.
    NoText,
    /// The request crashed targets before.
    Quarantined,
    /// No target can take the request.
    NoTarget,
    /// Every target that was asked refused to run the request.
    Shed,
    /// Too few shards delivered their part.
    CoverageLow,
    /// The request may have run, but there is no answer.
    Broken,
    /// The time of the request is over.
    TimedOut,
    /// The process ends before the request.
    Stopped,
}

impl RefusalReason {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::OverRate => "over_rate",
            Self::NoText => "no_text",
            Self::Quarantined => "quarantined",
            Self::NoTarget => "no_target",
            Self::Shed => "shed",
            Self::CoverageLow => "coverage_low",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::Stopped => "stopped",
        }
    }
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request certainly did not run.
    pub is_not_run: bool,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            is_not_run: true,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub const fn maybe_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            is_not_run: false,
            retry_after: None,
        }
    }

    /// Returns the refusal with a time after which the caller may come back.
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the status; 408, 429 and 503 promise that the request did not run.
    pub const fn status(self) -> StatusCode {
        match (self.reason, self.is_not_run) {
            (RefusalReason::BadRequest, _) => StatusCode::BAD_REQUEST,
            (RefusalReason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (RefusalReason::BodyTooSlow, _) => StatusCode::REQUEST_TIMEOUT,
            (RefusalReason::NoRoute, _) => StatusCode::NOT_FOUND,
            (RefusalReason::BadKey, _) => StatusCode::UNAUTHORIZED,
            (RefusalReason::OverRate, _) => StatusCode::TOO_MANY_REQUESTS,
            (_, true) => StatusCode::SERVICE_UNAVAILABLE,
            (RefusalReason::TimedOut, false) => StatusCode::GATEWAY_TIMEOUT,
            (_, false) => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// The reply of one target, unchanged.
    Reply(TargetReply),
    /// Parts of several shards.
    Gathered {
        /// Signatures of the parts.
        signatures: Vec<HeaderValue>,
        /// Number of shards left out.
        missing: usize,
        /// Records in falling order.
        body: Vec<u8>,
    },
}

/// How a request ended.
pub type Outcome = Result<Answer, Refusal>;

impl Answer {
    /// Returns the number of shards left out.
    pub const fn missing(&self) -> usize {
        match self {
            Self::Reply(_) => 0,
            Self::Gathered { missing, .. } => *missing,
        }
    }
}

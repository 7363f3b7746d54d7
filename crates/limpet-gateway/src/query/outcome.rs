//! The outcome of a request: an answer or an error.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue,
    StatusCode, //
};

use crate::target::TargetReply;

/// Why the gateway answers a request with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestErrorKind {
    /// The request is malformed and cannot be forwarded.
    BadRequest,
    /// The body exceeds the size limit of the config.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// No route matches.
    NoRoute,
    /// The API key is missing or belongs to no team.
    BadKey,
    /// The team has exceeded its rate limit.
    RateLimited,
    /// No memory is left for a body that is larger than usual.
    NoMemory,
    /// This process has not received a config yet.
    NoConfig,
    /// The request is quarantined because it is suspected of crashing targets.
    Quarantined,
    /// The request could not be answered within its goal, because too many others wait.
    Overloaded,
    /// No target is available for the request.
    NoTarget,
    /// None of the targets that were tried ran the request.
    Shed,
    /// Fewer shards replied than the required coverage.
    CoverageLow,
    /// The request may have run, but no valid reply arrived.
    OutcomeUnknown,
    /// The deadline of the request has passed.
    TimedOut,
    /// The process shuts down before the request completes.
    ShuttingDown,
}

impl RequestErrorKind {
    /// Returns the label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::RateLimited => "over_rate",
            Self::NoMemory => "no_memory",
            Self::NoConfig => "no_text",
            Self::Quarantined => "quarantined",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no_target",
            Self::Shed => "shed",
            Self::CoverageLow => "coverage_low",
            Self::OutcomeUnknown => "broken",
            Self::TimedOut => "timed_out",
            Self::ShuttingDown => "stopped",
        }
    }
}

/// A request that the gateway answers with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Kind of error.
    pub kind: RequestErrorKind,
    /// Whether the request is known not to have run on any target.
    pub is_not_run: bool,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error for a request that did not run.
    pub const fn not_run(kind: RequestErrorKind) -> Self {
        Self {
            kind,
            is_not_run: true,
            retry_after: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub const fn may_have_run(kind: RequestErrorKind) -> Self {
        Self {
            kind,
            is_not_run: false,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the HTTP status; 408, 429 and 503 tell the caller that the request did not run.
    pub const fn status(self) -> StatusCode {
        match (self.kind, self.is_not_run) {
            (RequestErrorKind::BadRequest, _) => StatusCode::BAD_REQUEST,
            (RequestErrorKind::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (RequestErrorKind::BodyTooSlow, _) => StatusCode::REQUEST_TIMEOUT,
            (RequestErrorKind::NoRoute, _) => StatusCode::NOT_FOUND,
            (RequestErrorKind::BadKey, _) => StatusCode::UNAUTHORIZED,
            (RequestErrorKind::RateLimited, _) => StatusCode::TOO_MANY_REQUESTS,
            (_, true) => StatusCode::SERVICE_UNAVAILABLE,
            (RequestErrorKind::TimedOut, false) => StatusCode::GATEWAY_TIMEOUT,
            (_, false) => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A successful answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// The reply of one target, unchanged.
    Reply(TargetReply),
    /// The merged parts of several shards.
    Gathered {
        /// Signature of each part.
        signatures: Vec<HeaderValue>,
        /// Number of shards whose part is missing.
        missing_count: usize,
        /// Greatest records of all parts, in descending order.
        body: Bytes,
    },
}

/// The answer or error that ends a request.
pub type Outcome = Result<Answer, RequestError>;

impl Answer {
    /// Returns the number of shards whose part is missing.
    pub const fn missing_count(&self) -> usize {
        match self {
            Self::Reply(_) => 0,
            Self::Gathered { missing_count, .. } => *missing_count,
        }
    }
}

/// Returns whether a status guarantees the caller that its request did not run and will not run later.
pub const fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
    )
}

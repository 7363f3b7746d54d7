//! Failure of all attempts at a service.

use std::time::Duration;

use super::RequestErrorKind;

/// Why no attempt at a service succeeded.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceError {
    /// Kind of error for the caller.
    pub(super) kind: RequestErrorKind,
    /// Whether the request is known not to have run on any target of the service.
    pub(super) is_not_run: bool,
    /// Time after which a target of the service wants requests again, if that is known.
    pub(super) retry_after: Option<Duration>,
}

/// The deadline passed; a target may still run the request.
pub(super) const TIMED_OUT: ServiceError = ServiceError {
    kind: RequestErrorKind::TimedOut,
    is_not_run: false,
    retry_after: None,
};

/// The query was quarantined before its first attempt at the service.
pub(super) const QUARANTINED: ServiceError = ServiceError {
    kind: RequestErrorKind::Quarantined,
    is_not_run: true,
    retry_after: None,
};

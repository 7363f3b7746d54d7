//! One admitted caller request.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use limpet_types::{
    KeyRange,
    Refusal,
    RequestId,
    TeamName, //
};

use crate::{
    blackboard::ConfigInForce,
    entry::limits::RESPONSE_MARGIN, //
};

/// One admitted caller request; its dependencies share it.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) request_id: RequestId,
    pub(super) team: TeamName,
    /// Boot time at which the caller stops waiting.
    pub(super) deadline: Duration,
    pub(super) is_partial_allowed: bool,
    pub(super) record_key: Option<Box<str>>,
    /// Ticket of an order, as the caller sent it.
    pub(super) ticket: Option<Box<str>>,
    pub(super) body: Bytes,
    /// The configuration that the request is planned with to its end.
    pub(super) in_force: Arc<ConfigInForce>,
    attempts: AtomicU32,
    maybe_run: AtomicU32,
}

impl RequestContext {
    pub(super) fn new(
        request_id: RequestId,
        team: TeamName,
        deadline: Duration,
        body: Bytes,
        in_force: Arc<ConfigInForce>,
    ) -> Self {
        Self {
            request_id,
            team,
            deadline,
            is_partial_allowed: false,
            record_key: None,
            ticket: None,
            body,
            in_force,
            attempts: AtomicU32::new(0),
            maybe_run: AtomicU32::new(0),
        }
    }

    /// Returns the boot time until which answers are accepted.
    pub(super) fn answer_deadline(&self) -> Duration {
        self.deadline.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the number of the next attempt; never used twice in a request.
    pub(super) fn next_attempt_number(&self) -> u32 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes that an attempt is about to leave and may run from now on.
    pub(super) fn record_attempt_sent(&self) {
        self.maybe_run.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that an attempt certainly did not run.
    pub(super) fn record_attempt_not_run(&self) {
        self.maybe_run.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns whether no attempt of the request ran or may still run.
    pub(super) fn is_not_run(&self) -> bool {
        self.maybe_run.load(Ordering::Acquire) == 0
    }

    /// Returns a refusal of the whole request with a true `not_run`.
    pub(super) fn refuse_request(&self, refusal: Refusal) -> Refusal {
        Refusal {
            not_run: self.is_not_run(),
            ..refusal
        }
    }

    /// Returns the hashed record key, if the caller sent one.
    pub(super) fn record_key_hash(&self) -> Option<u64> {
        self.record_key
            .as_ref()
            .map(|record| KeyRange::hash_key(record.as_bytes()))
    }
}

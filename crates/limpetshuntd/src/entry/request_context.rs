//! The data of one caller request that all its queries share.

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

/// One admitted caller request, shared by the queries of its lookup and of the lookup's dependencies.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) request_id: RequestId,
    pub(super) team: TeamName,
    /// Time since boot at which the caller stops waiting for the response.
    pub(super) deadline: Duration,
    /// Whether the caller accepts results that do not cover every shard.
    pub(super) is_partial_allowed: bool,
    /// Key of the record that the caller named.
    pub(super) record_key: Option<Box<str>>,
    /// Order ticket, as the caller sent it.
    pub(super) ticket: Option<Box<str>>,
    pub(super) body: Bytes,
    /// Configuration with which the request runs to its end, also when a newer one comes into force.
    pub(super) config_in_force: Arc<ConfigInForce>,
    /// Number of attempts built so far; gives each attempt its number.
    attempt_count: AtomicU32,
    /// Number of attempts that ran or may still run.
    maybe_run_count: AtomicU32,
}

impl RequestContext {
    /// Creates the context of a request without a record key and a ticket, for which partial results are not
    /// accepted.
    pub(super) fn new(
        request_id: RequestId,
        team: TeamName,
        deadline: Duration,
        body: Bytes,
        config_in_force: Arc<ConfigInForce>,
    ) -> Self {
        Self {
            request_id,
            team,
            deadline,
            is_partial_allowed: false,
            record_key: None,
            ticket: None,
            body,
            config_in_force,
            attempt_count: AtomicU32::new(0),
            maybe_run_count: AtomicU32::new(0),
        }
    }

    /// Returns the time since boot until which answers of targets are accepted.
    pub(super) fn answer_deadline(&self) -> Duration {
        self.deadline.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the number of the next attempt, which no other attempt of the request has.
    pub(super) fn next_attempt_number(&self) -> u32 {
        self.attempt_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that an attempt is about to be sent, and so may run from now on.
    pub(super) fn record_attempt_sent(&self) {
        self.maybe_run_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that an attempt that was sent certainly did not run.
    pub(super) fn record_attempt_not_run(&self) {
        self.maybe_run_count.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns whether certainly no attempt that was sent for the request ran or may still run.
    pub(super) fn is_not_run(&self) -> bool {
        self.maybe_run_count.load(Ordering::Acquire) == 0
    }

    /// Turns the refusal of one query into one of the whole request: `not_run` only if no attempt of any
    /// query ran or may still run.
    pub(super) fn refuse_request(&self, refusal: Refusal) -> Refusal {
        Refusal {
            not_run: self.is_not_run(),
            ..refusal
        }
    }

    /// Returns the hash of the record key, if the caller sent one.
    pub(super) fn record_key_hash(&self) -> Option<u64> {
        self.record_key
            .as_ref()
            .map(|record_key| KeyRange::hash_key(record_key.as_bytes()))
    }
}

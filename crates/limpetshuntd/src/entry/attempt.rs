//! Sends one attempt to the relay that owns the target, and updates the statistics of the target.

use std::time::{
    Duration,
    Instant, //
};

use limpet_config::{
    Service,
    Shard,
    Target, //
};
use limpet_types::{
    IndexVersion, NodeId, Refusal, RefusalCode,
    message::{
        AttemptAnswer,
        AttemptKind,
        AttemptReply,
        AttemptRequest,
        PeerReply,
        PeerRequest, //
    },
};

use crate::entry::{
    request_context::RequestContext,
    state::Entry, //
};

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub(super) struct AttemptFailure {
    pub(super) refusal: Refusal,
    /// Whether the attempt was certainly not sent to the target, for a reason after which a retry costs no
    /// retry budget; see [`is_refused_by_relay`].
    pub(super) has_failed_before_target: bool,
}

impl AttemptFailure {
    /// A failure before the attempt was sent to the target.
    fn before_target(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            refusal: Refusal::not_run(code, message),
            has_failed_before_target: true,
        }
    }

    /// A failure after which the target may have run the attempt.
    fn maybe_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            refusal: Refusal::maybe_run(code, message),
            has_failed_before_target: false,
        }
    }
}

/// What an attempt asks for, from which target and through which relay.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptSpec<'a> {
    pub(super) service: &'a Service,
    pub(super) shard: &'a Shard,
    pub(super) target: &'a Target,
    /// Relay that owns the target.
    pub(super) owner: NodeId,
    pub(super) kind: AttemptKind,
    /// Index version to read; `None` if none is pinned.
    pub(super) pinned_version: Option<IndexVersion>,
    /// Hash of the service, the kind, the body and, for a single record, its key; equal for repetitions of
    /// the request.
    pub(super) fingerprint: u64,
}

impl AttemptSpec<'_> {
    /// Returns whether the attempt concerns the single record that the caller named.
    const fn is_single_record(&self) -> bool {
        matches!(self.kind, AttemptKind::Record | AttemptKind::Order)
    }
}

/// Updates the statistics of a target for one attempt: counts the attempt as in flight until the tracker is
/// dropped, and records its latency or its failure. For a cancelled attempt, the time until the cancellation
/// is recorded as a latency if the target is usually faster.
struct AttemptTracker<'a> {
    entry: &'a Entry,
    spec: AttemptSpec<'a>,
    started_at: Instant,
    /// Whether the outcome was recorded. If a tracker is dropped before that, its attempt was cancelled.
    is_finished: bool,
}

impl<'a> AttemptTracker<'a> {
    fn new(entry: &'a Entry, spec: AttemptSpec<'a>) -> Self {
        entry
            .target_stats()
            .get_or_insert(spec.target.addr)
            .in_flight += 1;
        Self {
            entry,
            spec,
            started_at: Instant::now(),
            is_finished: false,
        }
    }

    /// Adds a latency to the samples from which the hedge delay of the service is computed.
    fn record_hedge_latency(&self, elapsed: Duration) {
        let service = &self.spec.service.name;
        self.entry
            .with_service_state(service, |state| state.hedge_policy.record_latency(elapsed));
    }

    /// Records the outcome of an attempt that was not cancelled in the statistics of the target and, if the
    /// target answered, in the samples for the hedge delay.
    fn finish(&mut self, outcome: &Result<AttemptReply, AttemptFailure>) {
        self.is_finished = true;
        let elapsed = self.started_at.elapsed();
        let now = self.entry.board.now();
        let mut target_stats = self.entry.target_stats();
        let stats = target_stats.get_or_insert(self.spec.target.addr);
        match outcome {
            Ok(reply) => {
                stats.is_cold = reply.is_target_cold;
                if !reply.versions_held.is_empty() {
                    stats.reported_versions.clone_from(&reply.versions_held);
                }
                match &reply.outcome {
                    Ok(_) => stats.record_latency(elapsed),
                    // A target that lacks the index version is not faulty.
                    Err(refusal) if refusal.code == RefusalCode::SnapshotUnavailable => {}
                    Err(_) => stats.record_failure(now),
                }
            }
            Err(_) => stats.record_failure(now),
        }
        drop(target_stats);
        if outcome.as_ref().is_ok_and(|reply| reply.outcome.is_ok()) {
            self.record_hedge_latency(elapsed);
        }
    }
}

impl Drop for AttemptTracker<'_> {
    fn drop(&mut self) {
        let elapsed = self.started_at.elapsed();
        let mut target_stats = self.entry.target_stats();
        let stats = target_stats.get_or_insert(self.spec.target.addr);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if self.is_finished {
            return;
        }
        // The cancelled attempt would have taken longer still. Without its sample, targets that are slow
        // enough to be cancelled would look fast.
        if elapsed > stats.smoothed_latency {
            stats.record_latency(elapsed);
        }
        drop(target_stats);
        self.record_hedge_latency(elapsed);
    }
}

impl Entry {
    /// Sends an attempt to the relay that owns the target, and returns the answer of the target.
    ///
    /// A reply that belongs to another attempt is dropped, and the attempt counts as failed.
    pub(super) async fn send_attempt(
        &self,
        request_context: &RequestContext,
        spec: AttemptSpec<'_>,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let time_left = request_context
            .answer_deadline()
            .saturating_sub(self.board.now());
        if time_left.is_zero() {
            return Err(AttemptFailure::before_target(
                RefusalCode::DeadlineExceeded,
                "no time left for an attempt",
            ));
        }
        let request = AttemptRequest {
            request_id: request_context.request_id,
            attempt_number: request_context.next_attempt_number(),
            team: request_context.team.clone(),
            service: spec.service.name.clone(),
            shard: spec.shard.name.clone(),
            target: spec.target.name.clone(),
            kind: spec.kind,
            range: spec.shard.range,
            snapshot: spec.pinned_version,
            time_left,
            fingerprint: spec.fingerprint,
            record: request_context
                .record_key
                .clone()
                .filter(|_| spec.is_single_record()),
            ticket: request_context
                .ticket
                .clone()
                .filter(|_| spec.kind == AttemptKind::Order),
            body: request_context.body.to_vec(),
        };
        let request = PeerRequest::Attempt(request);
        let mut tracker = AttemptTracker::new(self, spec);
        // Counted before the send, so that the request counts as maybe run even if this future is dropped.
        request_context.record_attempt_sent();
        let peer_result = self
            .peer_client
            .call(spec.owner.addr, &request, time_left)
            .await;
        let outcome = match peer_result {
            Ok(PeerReply::Attempt(reply)) => match &request {
                PeerRequest::Attempt(request) if reply.belongs_to(request) => Ok(reply),
                _ => {
                    metrics::counter!("limpet_entry_crossed_replies").increment(1);
                    tracing::warn!(
                        request_id = %format_args!("{:032x}", request_context.request_id),
                        target = %spec.target.name,
                        "reply to another attempt dropped"
                    );
                    Err(AttemptFailure::maybe_run(
                        RefusalCode::PeerUnreachable,
                        "the reply belongs to another attempt",
                    ))
                }
            },
            Ok(PeerReply::Unsupported) => Err(AttemptFailure::before_target(
                RefusalCode::NotOwner,
                "the peer is no relay",
            )),
            Ok(_) => Err(AttemptFailure::maybe_run(
                RefusalCode::Internal,
                "the peer replied with another message",
            )),
            Err(error) if error.is_not_sent() => Err(AttemptFailure::before_target(
                RefusalCode::PeerUnreachable,
                error.to_string(),
            )),
            Err(error) => Err(AttemptFailure::maybe_run(
                RefusalCode::PeerUnreachable,
                error.to_string(),
            )),
        };
        tracker.finish(&outcome);
        let outcome = outcome.and_then(|reply| {
            reply.outcome.map_err(|refusal| AttemptFailure {
                has_failed_before_target: refusal.not_run && is_refused_by_relay(refusal.code),
                refusal,
            })
        });
        if outcome
            .as_ref()
            .is_err_and(|failure| failure.refusal.not_run)
        {
            request_context.record_attempt_not_run();
        }
        outcome
    }
}

/// Returns whether a relay that refuses an attempt as not run with this code has certainly not sent it to the
/// target, so that a retry costs no retry budget.
///
/// Codes that stand for load, a passed deadline or a quarantine are left out, although relays refuse unsent
/// attempts with these codes as well.
const fn is_refused_by_relay(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::NotOwner
            | RefusalCode::NoTarget
            | RefusalCode::TargetLeaving
            | RefusalCode::ZoneOut
            | RefusalCode::Draining
            | RefusalCode::Starting
            | RefusalCode::ConfigStale
            | RefusalCode::PeerUnreachable
    )
}

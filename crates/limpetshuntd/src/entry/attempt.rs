//! One attempt at one target.

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

/// A failed attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptFailure {
    pub(super) refusal: Refusal,
    /// Whether the attempt certainly did not reach the target.
    pub(super) is_before_target: bool,
}

impl AttemptFailure {
    fn before_target(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            refusal: Refusal::not_run(code, message),
            is_before_target: true,
        }
    }

    fn maybe_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            refusal: Refusal::maybe_run(code, message),
            is_before_target: false,
        }
    }
}

/// What an attempt asks for and of whom.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptPlan<'a> {
    pub(super) service: &'a Service,
    pub(super) shard: &'a Shard,
    pub(super) target: &'a Target,
    pub(super) owner: NodeId,
    pub(super) kind: AttemptKind,
    pub(super) snapshot: Option<IndexVersion>,
    pub(super) fingerprint: u64,
}

impl AttemptPlan<'_> {
    /// Returns whether the attempt concerns the one record that the caller named.
    const fn is_keyed(&self) -> bool {
        matches!(self.kind, AttemptKind::Record | AttemptKind::Order)
    }
}

/// Counts the attempt at its target, and records its time even when it is cancelled.
struct Watch<'a> {
    entry: &'a Entry,
    plan: AttemptPlan<'a>,
    started: Instant,
    is_ended: bool,
}

impl<'a> Watch<'a> {
    fn new(entry: &'a Entry, plan: AttemptPlan<'a>) -> Self {
        entry.target_stats().get_mut(plan.target.addr).in_flight += 1;
        Self {
            entry,
            plan,
            started: Instant::now(),
            is_ended: false,
        }
    }

    fn record(&self, elapsed: Duration) {
        let service = &self.plan.service.name;
        self.entry
            .with_service_state(service, |state| state.hedge_policy.record_latency(elapsed));
    }

    fn end(&mut self, outcome: &Result<AttemptReply, AttemptFailure>) {
        self.is_ended = true;
        let elapsed = self.started.elapsed();
        let now = self.entry.board.now();
        let mut views = self.entry.target_stats();
        let view = views.get_mut(self.plan.target.addr);
        match outcome {
            Ok(reply) => {
                view.cold = reply.is_target_cold;
                if !reply.versions_held.is_empty() {
                    view.versions.clone_from(&reply.versions_held);
                }
                match &reply.outcome {
                    Ok(_) => view.record_latency(elapsed),
                    // A missing index version is no sign of a bad target.
                    Err(refusal) if refusal.code == RefusalCode::SnapshotUnavailable => {}
                    Err(_) => view.record_failure(now),
                }
            }
            Err(_) => view.record_failure(now),
        }
        drop(views);
        if outcome.as_ref().is_ok_and(|reply| reply.outcome.is_ok()) {
            self.record(elapsed);
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let elapsed = self.started.elapsed();
        let mut views = self.entry.target_stats();
        let view = views.get_mut(self.plan.target.addr);
        view.in_flight = view.in_flight.saturating_sub(1);
        if self.is_ended {
            return;
        }
        // The answer would have taken longer; leaving the sample out would make slow targets look fast.
        if elapsed > view.latency {
            view.record_latency(elapsed);
        }
        drop(views);
        self.record(elapsed);
    }
}

impl Entry {
    /// Sends one attempt to the owner of its target and checks that the reply belongs to it.
    pub(super) async fn attempt(
        &self,
        request_context: &RequestContext,
        plan: AttemptPlan<'_>,
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
            attempt: request_context.next_attempt_number(),
            team: request_context.team.clone(),
            service: plan.service.name.clone(),
            shard: plan.shard.name.clone(),
            target: plan.target.name.clone(),
            kind: plan.kind,
            range: plan.shard.range,
            snapshot: plan.snapshot,
            time_left,
            fingerprint: plan.fingerprint,
            record: request_context
                .record_key
                .clone()
                .filter(|_| plan.is_keyed()),
            ticket: request_context
                .ticket
                .clone()
                .filter(|_| plan.kind == AttemptKind::Order),
            body: request_context.body.to_vec(),
        };
        let request = PeerRequest::Attempt(request);
        let mut watch = Watch::new(self, plan);
        request_context.record_attempt_sent();
        let called = self.peers.call(plan.owner.addr, &request, time_left).await;
        let outcome = match called {
            Ok(PeerReply::Attempt(reply)) => match &request {
                PeerRequest::Attempt(request) if reply.belongs_to(request) => Ok(reply),
                _ => {
                    metrics::counter!("limpet_entry_crossed_replies").increment(1);
                    tracing::warn!(
                        request_id = %format_args!("{:032x}", request_context.request_id),
                        target = %plan.target.name,
                        "reply of another attempt dropped"
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
        watch.end(&outcome);
        let outcome = outcome.and_then(|reply| {
            reply.outcome.map_err(|refusal| AttemptFailure {
                is_before_target: refusal.not_run && is_refused_by_relay(refusal.code),
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

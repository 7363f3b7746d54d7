//! Queries one shard with a first attempt, hedged attempts and retries.

use std::time::Duration;

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use limpet_config::{
    Service,
    Shard, //
};
use limpet_decide::{
    plan::ShardCandidates,
    replica::{
        Selection,
        select_replica, //
    },
    retry::FailedAttempt,
};
use limpet_types::{
    IndexVersion, NodeId, Refusal, RefusalCode,
    message::{
        AttemptAnswer,
        AttemptKind, //
    },
};

use crate::entry::{
    attempt::{
        AttemptFailure,
        AttemptSpec, //
    },
    request_context::RequestContext,
    state::Entry,
};

/// Pause before replicas that already failed are tried again.
const REPLICA_RESET_PAUSE: Duration = Duration::from_millis(10);

/// Query of one shard, to which it may send several attempts.
pub(super) struct ShardQuery<'a> {
    pub(super) entry: &'a Entry,
    pub(super) request_context: &'a RequestContext,
    pub(super) service: &'a Service,
    pub(super) shard: &'a Shard,
    pub(super) kind: AttemptKind,
    /// Index version to read; `None` if none is pinned.
    pub(super) pinned_version: Option<IndexVersion>,
    /// Hash of the service, the kind, the body and, for a single record, its key; equal for repetitions of
    /// the request.
    pub(super) fingerprint: u64,
    /// Replicas of the shard; those already tried and those without a known owner are marked unusable.
    pub(super) replicas: ShardCandidates,
}

impl<'a> ShardQuery<'a> {
    /// Sends attempts until one is answered or no further one is allowed.
    ///
    /// A hedged attempt starts when the attempts so far are unusually slow. A retry starts when all
    /// running attempts have failed.
    pub(super) async fn run(
        mut self,
        first_selection: Result<Selection, RefusalCode>,
    ) -> Result<AttemptAnswer, Refusal> {
        let entry = self.entry;
        let all_replicas = self.replicas.clone();
        let is_hedging_enabled = self.service.is_hedging_allowed && self.kind.is_idempotent();
        let mut running = FuturesUnordered::new();
        let mut attempt_count = 0;
        let mut next_selection = Some(first_selection);
        let hedge_timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(hedge_timer);
        let mut is_hedge_armed = false;
        loop {
            if let Some(selection) = next_selection.take() {
                match selection.and_then(|selection| self.resolve_owner(selection)) {
                    Ok((selection, owner)) => {
                        attempt_count += 1;
                        // Each replica is tried once before any is tried again.
                        self.replicas.candidates[selection.index].unusable_reason =
                            Some(RefusalCode::NoTarget);
                        let spec = self.build_attempt_spec(selection.index, owner);
                        tracing::debug!(
                            request_id = %format_args!("{:032x}", self.request_context.request_id),
                            shard = %self.shard.name,
                            target = %spec.target.name,
                            relay = %owner,
                            attempt = attempt_count,
                            reason = selection.reason.as_str(),
                            "replica selected"
                        );
                        running.push(entry.send_attempt(self.request_context, spec));
                        let delay = entry.with_service_state(&self.service.name, |state| {
                            if attempt_count == 1 {
                                state.hedge_policy.record_first_attempt();
                                state.retry_budget.record_first_attempt();
                            }
                            state.hedge_policy.delay()
                        });
                        is_hedge_armed =
                            is_hedging_enabled && attempt_count < self.service.attempts_max;
                        if let (true, Some(delay)) = (is_hedge_armed, delay) {
                            let fire_at = tokio::time::Instant::now() + delay;
                            hedge_timer.as_mut().reset(fire_at);
                        } else {
                            is_hedge_armed = false;
                        }
                    }
                    Err(code) if running.is_empty() => {
                        // No attempt is running and no replica is usable.
                        attempt_count += 1;
                        let failure = AttemptFailure {
                            refusal: Refusal::not_run(code, "no replica can be used"),
                            has_failed_before_target: true,
                        };
                        // Waiting does not help: the lookup must pin another index version.
                        let is_final = code == RefusalCode::SnapshotUnavailable;
                        if is_final || !self.try_spend_retry(&failure, attempt_count) {
                            return Err(failure.refusal);
                        }
                        next_selection = Some(self.reset_and_select(&all_replicas).await);
                        continue;
                    }
                    // No replica is left for a hedged attempt; the running attempts go on.
                    Err(_) => {}
                }
            }
            tokio::select! {
                biased;
                Some(outcome) = running.next() => match outcome {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => {
                        if !running.is_empty() {
                            continue;
                        }
                        let selection = self.select_replica();
                        let is_version_missing =
                            failure.refusal.code == RefusalCode::SnapshotUnavailable;
                        let is_final = is_version_missing && selection.is_err();
                        if is_final || !self.try_spend_retry(&failure, attempt_count) {
                            return Err(failure.refusal);
                        }
                        next_selection = Some(match selection {
                            Ok(selection) => Ok(selection),
                            Err(_) => self.reset_and_select(&all_replicas).await,
                        });
                    }
                },
                () = hedge_timer.as_mut(), if is_hedge_armed => {
                    is_hedge_armed = false;
                    let selection = self.select_replica();
                    let is_hedge_allowed = selection.is_ok()
                        && entry.with_service_state(&self.service.name, |state| {
                            state.hedge_policy.try_spend()
                        });
                    if is_hedge_allowed {
                        metrics::counter!("limpet_entry_hedges").increment(1);
                        tracing::info!(
                            request_id = %format_args!("{:032x}", self.request_context.request_id),
                            shard = %self.shard.name,
                            attempts = attempt_count,
                            "starting a hedged attempt"
                        );
                        next_selection = Some(selection);
                    } else if selection.is_ok() {
                        metrics::counter!("limpet_entry_hedges_over_budget").increment(1);
                    }
                }
            }
        }
    }

    /// Makes the tried replicas selectable again after a pause, and selects one.
    async fn reset_and_select(
        &mut self,
        all_replicas: &ShardCandidates,
    ) -> Result<Selection, RefusalCode> {
        tokio::time::sleep(REPLICA_RESET_PAUSE).await;
        self.replicas = all_replicas.clone();
        self.select_replica()
    }

    fn build_attempt_spec(&self, target_index: usize, owner: NodeId) -> AttemptSpec<'a> {
        AttemptSpec {
            service: self.service,
            shard: self.shard,
            target: &self.shard.targets[target_index],
            owner,
            kind: self.kind,
            pinned_version: self.pinned_version,
            fingerprint: self.fingerprint,
        }
    }

    fn select_replica(&self) -> Result<Selection, RefusalCode> {
        let target_stats = self.entry.target_stats();
        let (candidates, now) = (&self.replicas.candidates, self.entry.board.now());
        select_replica(
            &target_stats,
            candidates,
            self.pinned_version,
            now,
            rand::random(),
        )
    }

    /// Looks up the relay that owns the selected target. If no owner is known, selects other targets until
    /// one has a known owner, and returns the reason if no replica is left.
    fn resolve_owner(
        &mut self,
        mut selection: Selection,
    ) -> Result<(Selection, NodeId), RefusalCode> {
        let directory = self.entry.board.owner_directory.load();
        loop {
            let target = &self.shard.targets[selection.index];
            if let Some(owner) = directory.owner_of(target.addr) {
                return Ok((selection, owner));
            }
            metrics::counter!("limpet_entry_unknown_owners").increment(1);
            tracing::info!(
                request_id = %format_args!("{:032x}", self.request_context.request_id),
                shard = %self.shard.name,
                target = %target.name,
                "target has no known owner"
            );
            self.replicas.candidates[selection.index].unusable_reason = Some(RefusalCode::NotOwner);
            selection = self.select_replica()?;
        }
    }

    /// Returns whether a failed attempt may be retried; if so, spends retry budget unless
    /// [`AttemptFailure::has_failed_before_target`] is set.
    fn try_spend_retry(&self, failure: &AttemptFailure, attempt_count: u32) -> bool {
        let failed_attempt = FailedAttempt {
            is_idempotent: self.kind.is_idempotent(),
            is_not_run: failure.refusal.not_run,
            has_failed_before_target: failure.has_failed_before_target,
            attempt_count,
            attempts_max: self.service.attempts_max,
        };
        let service = &self.service.name;
        let is_retried = self.entry.with_service_state(service, |state| {
            state.retry_budget.try_spend(failed_attempt)
        });
        if is_retried {
            metrics::counter!("limpet_entry_retries").increment(1);
        }
        tracing::info!(
            request_id = %format_args!("{:032x}", self.request_context.request_id),
            shard = %self.shard.name,
            attempts = attempt_count,
            code = failure.refusal.code.as_str(),
            cause = %failure.refusal.message,
            not_run = failure.refusal.not_run,
            retried = is_retried,
            "attempt failed"
        );
        is_retried
    }
}

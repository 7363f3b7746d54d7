//! The attempts at one shard: first, hedges and retries.

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
        AttemptPlan, //
    },
    request_context::RequestContext,
    state::Entry,
};

/// Pause before a shard starts over with replicas that already failed.
const START_OVER_PAUSE: Duration = Duration::from_millis(10);

/// The attempts at one shard.
pub(super) struct ShardQuery<'a> {
    pub(super) entry: &'a Entry,
    pub(super) request_context: &'a RequestContext,
    pub(super) service: &'a Service,
    pub(super) shard: &'a Shard,
    pub(super) kind: AttemptKind,
    pub(super) snapshot: Option<IndexVersion>,
    pub(super) fingerprint: u64,
    pub(super) plan: ShardCandidates,
}

impl<'a> ShardQuery<'a> {
    /// Runs until an answer or until no further attempt is allowed.
    pub(super) async fn run(
        mut self,
        first: Result<Selection, RefusalCode>,
    ) -> Result<AttemptAnswer, Refusal> {
        let entry = self.entry;
        let original = self.plan.clone();
        let is_hedged = self.service.hedge && self.kind.is_idempotent();
        let mut running = FuturesUnordered::new();
        let mut attempts = 0;
        let mut next = Some(first);
        let hedge_timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(hedge_timer);
        let mut may_hedge = false;
        loop {
            if let Some(choice) = next.take() {
                match choice.and_then(|choice| self.with_owner(choice)) {
                    Ok((choice, owner)) => {
                        attempts += 1;
                        self.plan.candidates[choice.index].unusable = Some(RefusalCode::NoTarget);
                        let plan = self.attempt_plan(choice.index, owner);
                        tracing::debug!(
                            request_id = %format_args!("{:032x}", self.request_context.request_id),
                            shard = %self.shard.name,
                            target = %plan.target.name,
                            relay = %owner,
                            attempt = attempts,
                            reason = choice.reason.as_str(),
                            "replica chosen"
                        );
                        running.push(entry.attempt(self.request_context, plan));
                        let delay = entry.with_service_state(&self.service.name, |state| {
                            if attempts == 1 {
                                state.hedge_policy.record_first_attempt();
                                state.retry_budget.record_first_attempt();
                            }
                            state.hedge_policy.delay()
                        });
                        may_hedge = is_hedged && attempts < self.service.attempts_max;
                        if let (true, Some(delay)) = (may_hedge, delay) {
                            let at = tokio::time::Instant::now() + delay;
                            hedge_timer.as_mut().reset(at);
                        } else {
                            may_hedge = false;
                        }
                    }
                    Err(code) if running.is_empty() => {
                        // Nothing was sent: no replica can be used at this moment.
                        attempts += 1;
                        let refused = AttemptFailure {
                            refusal: Refusal::not_run(code, "no replica can be used"),
                            is_before_target: true,
                        };
                        let is_final = code == RefusalCode::SnapshotUnavailable;
                        if is_final || !self.may_retry(&refused, attempts) {
                            return Err(refused.refusal);
                        }
                        next = Some(self.start_over(&original).await);
                        continue;
                    }
                    Err(_) => {}
                }
            }
            tokio::select! {
                biased;
                Some(ended) = running.next() => match ended {
                    Ok(answer) => return Ok(answer),
                    Err(failed) => {
                        if !running.is_empty() {
                            continue;
                        }
                        let replica = self.select();
                        let is_snapshot = failed.refusal.code == RefusalCode::SnapshotUnavailable;
                        let is_final = is_snapshot && replica.is_err();
                        if is_final || !self.may_retry(&failed, attempts) {
                            return Err(failed.refusal);
                        }
                        next = Some(match replica {
                            Ok(choice) => Ok(choice),
                            Err(_) => self.start_over(&original).await,
                        });
                    }
                },
                () = hedge_timer.as_mut(), if may_hedge => {
                    may_hedge = false;
                    let choice = self.select();
                    let is_paid = choice.is_ok()
                        && entry.with_service_state(&self.service.name, |state| {
                            state.hedge_policy.try_spend()
                        });
                    if is_paid {
                        metrics::counter!("limpet_entry_hedges").increment(1);
                        tracing::info!(
                            request_id = %format_args!("{:032x}", self.request_context.request_id),
                            shard = %self.shard.name,
                            attempts,
                            "hedged"
                        );
                        next = Some(choice);
                    } else if choice.is_ok() {
                        metrics::counter!("limpet_entry_hedges_over_budget").increment(1);
                    }
                }
            }
        }
    }

    async fn start_over(&mut self, original: &ShardCandidates) -> Result<Selection, RefusalCode> {
        tokio::time::sleep(START_OVER_PAUSE).await;
        self.plan = original.clone();
        self.select()
    }

    fn attempt_plan(&self, index: usize, owner: NodeId) -> AttemptPlan<'a> {
        AttemptPlan {
            service: self.service,
            shard: self.shard,
            target: &self.shard.targets[index],
            owner,
            kind: self.kind,
            snapshot: self.snapshot,
            fingerprint: self.fingerprint,
        }
    }

    fn select(&self) -> Result<Selection, RefusalCode> {
        let views = self.entry.target_stats();
        let (candidates, now) = (&self.plan.candidates, self.entry.board.now());
        select_replica(&views, candidates, self.snapshot, now, rand::random())
    }

    /// Looks up the owner of the chosen target, and chooses again while none is known.
    fn with_owner(&mut self, mut choice: Selection) -> Result<(Selection, NodeId), RefusalCode> {
        let directory = self.entry.board.owner_directory.load();
        loop {
            let target = &self.shard.targets[choice.index];
            if let Some(owner) = directory.owner_of(target.addr) {
                return Ok((choice, owner));
            }
            metrics::counter!("limpet_entry_unknown_owners").increment(1);
            tracing::info!(
                request_id = %format_args!("{:032x}", self.request_context.request_id),
                shard = %self.shard.name,
                target = %target.name,
                "target has no known owner"
            );
            self.plan.candidates[choice.index].unusable = Some(RefusalCode::NotOwner);
            choice = self.select()?;
        }
    }

    fn may_retry(&self, failed: &AttemptFailure, attempts: u32) -> bool {
        let failure = FailedAttempt {
            is_idempotent: self.kind.is_idempotent(),
            is_not_run: failed.refusal.not_run,
            has_not_reached_target: failed.is_before_target,
            attempts,
            attempts_max: self.service.attempts_max,
        };
        let service = &self.service.name;
        let may_retry = self
            .entry
            .with_service_state(service, |state| state.retry_budget.try_spend(failure));
        if may_retry {
            metrics::counter!("limpet_entry_retries").increment(1);
        }
        tracing::info!(
            request_id = %format_args!("{:032x}", self.request_context.request_id),
            shard = %self.shard.name,
            attempts,
            code = failed.refusal.code.as_str(),
            cause = %failed.refusal.message,
            not_run = failed.refusal.not_run,
            retried = may_retry,
            "attempt failed"
        );
        may_retry
    }
}

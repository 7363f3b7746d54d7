//! A request to one target of a service, with retries and hedges at other targets where the route allows
//! them.

use std::{
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use futures::{
    Future,
    StreamExt,
    stream::FuturesUnordered, //
};
use limpet_types::deployment::TargetId;
use tokio::time::{
    Instant,
    sleep,
    sleep_until,
    timeout, //
};

use super::{
    QueryContext,
    RequestErrorKind,
    attempt::run_attempt, //
};
use crate::target::{
    AttemptError,
    Target,
    TargetCriteria,
    TargetReply, //
};

/// Shortest delay before a hedge, an extra attempt while the first one is still in flight.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(8);
/// Longest delay before a hedge, as a fraction of the latency goal.
const HEDGE_DELAY_GOAL_FRACTION: f64 = 0.4;
/// Time between two attempts to pick a target while none has capacity.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// How long the remaining attempts may run on after the first reply, because a connection is reusable only
/// after a complete reply.
const DETACHED_ATTEMPTS_TIMEOUT: Duration = Duration::from_millis(150);

/// Cause of a hedge in logs and metrics.
const HEDGE_CAUSE: &str = "straggler";

/// Why no attempt at a service succeeded.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceError {
    /// Kind of error for the caller.
    pub(super) kind: RequestErrorKind,
    /// Whether the request is known not to have run on any target of the service.
    pub(super) is_not_run: bool,
}

/// The deadline passed; a target may still run the request.
const TIMED_OUT: ServiceError = ServiceError {
    kind: RequestErrorKind::TimedOut,
    is_not_run: false,
};

/// An attempt in flight; resolves to its target and its result.
type AttemptFuture =
    Pin<Box<dyn Future<Output = (Arc<Target>, Result<TargetReply, AttemptError>)> + Send>>;

/// All attempts of one query at one service.
pub(super) struct ServiceAttempts {
    query: Arc<QueryContext>,
    service: Box<str>,
    tried: Vec<TargetId>,
    /// Number of attempts that may have reached a target.
    attempts_sent: u32,
    may_have_run: bool,
    running: FuturesUnordered<AttemptFuture>,
    last_failed_reply: Option<TargetReply>,
}

impl ServiceAttempts {
    /// Prepares the attempts of a query at `service`.
    pub(super) fn new(query: Arc<QueryContext>, service: &str) -> Self {
        query.shared.record_first_attempt(service);
        Self {
            query,
            service: service.into(),
            tried: Vec::new(),
            attempts_sent: 0,
            may_have_run: false,
            running: FuturesUnordered::new(),
            last_failed_reply: None,
        }
    }

    /// Runs attempts until one succeeds or no further one is allowed.
    ///
    /// Returns the last error reply of a target if no further attempt is allowed.
    pub(super) async fn run(mut self) -> Result<TargetReply, ServiceError> {
        let result = self.run_attempts().await;
        if let Err(error) = &result {
            tracing::info!(
                request_id = self.query.request_id(), service = %self.service,
                reason = error.kind.label(), not_run = error.is_not_run,
                tried = ?self.tried, left_ms = self.query.time_left().as_millis(),
                "no attempt at the service succeeded"
            );
        }
        result
    }

    async fn run_attempts(&mut self) -> Result<TargetReply, ServiceError> {
        self.start_first_attempt().await?;
        let mut hedge_at = self.hedge_at();
        loop {
            let next = tokio::select! {
                next = self.running.next() => next,
                () = sleep_until(hedge_at.unwrap_or(self.query.deadline)), if hedge_at.is_some() => {
                    hedge_at = None;
                    self.hedge();
                    continue;
                }
                () = sleep_until(self.query.deadline) => return Err(TIMED_OUT),
            };
            let Some((_, result)) = next else {
                return self.final_result();
            };
            match result {
                Ok(reply) if !reply.status.is_server_error() => {
                    self.detach_remaining_attempts();
                    return Ok(reply);
                }
                // The target ran the request, but it failed.
                Ok(reply) => {
                    self.may_have_run = true;
                    self.last_failed_reply = Some(reply);
                    if self.query.route.is_idempotent() {
                        self.retry("failed_reply");
                    }
                }
                Err(error) => {
                    self.may_have_run |= !error.kind.is_not_run();
                    if !error.kind.may_have_arrived() {
                        self.attempts_sent = self.attempts_sent.saturating_sub(1);
                    }
                    let may_retry = error.kind.is_not_run() || self.query.route.is_idempotent();
                    if may_retry {
                        self.retry(error.kind.label());
                    }
                }
            }
        }
    }

    /// Starts the first attempt as soon as a target has capacity.
    async fn start_first_attempt(&mut self) -> Result<(), ServiceError> {
        loop {
            if self.start_attempt(false) {
                return Ok(());
            }
            let has_target = self.query.shared.fleet().has_active_target(&self.service);
            if !has_target || self.query.time_left() < TARGET_POLL_INTERVAL * 2 {
                return Err(ServiceError {
                    kind: RequestErrorKind::NoTarget,
                    is_not_run: true,
                });
            }
            sleep(TARGET_POLL_INTERVAL).await;
        }
    }

    /// Starts an attempt at a target that was not tried yet; returns false if none has capacity.
    fn start_attempt(&mut self, needs_free_slot: bool) -> bool {
        let query = Arc::clone(&self.query);
        let shared = &query.shared;
        let service = query.table.service(&self.service);
        let processes = shared.rate_limiter().process_counts().total;
        let criteria = TargetCriteria {
            service: &self.service,
            zone: &shared.settings.zone,
            tried: &self.tried,
            connections_max: service.map_or(1, |s| s.connections_max),
            cold_rate_per_s: service.map_or(0.0, |s| s.cold_rate_per_s),
            needs_free_slot,
            processes,
        };
        let limit = criteria.connections_limit();
        let Some(target) = shared.fleet().pick(&criteria, shared.now()) else {
            return false;
        };
        self.tried.push(target.id.clone());
        self.attempts_sent += 1;
        let attempt_query = Arc::clone(&query);
        self.running.push(Box::pin(async move {
            let result = run_attempt(&attempt_query, &target, limit).await;
            (target, result)
        }));
        true
    }

    /// Returns when a hedge may be sent, or `None` if the route does not allow one.
    fn hedge_at(&self) -> Option<Instant> {
        let route = &self.query.route;
        if !route.is_idempotent() || route.attempts_max < 2 {
            return None;
        }
        let goal = route.latency_goal.mul_f64(HEDGE_DELAY_GOAL_FRACTION);
        let shared = &self.query.shared;
        let delay = shared.with_latency(&route.name, |latency| latency.straggler_delay());
        let delay = delay.unwrap_or(goal).min(goal).max(HEDGE_DELAY_MIN);
        Some(Instant::now() + delay)
    }

    /// Sends a hedge because the first attempt is a straggler.
    fn hedge(&mut self) {
        let shared = Arc::clone(&self.query.shared);
        if self.attempts_sent >= self.query.route.attempts_max || self.running.is_empty() {
            return;
        }
        let now = shared.now();
        let mean = shared.with_latency(&self.query.route.name, |latency| latency.mean());
        let waited = self.query.arrived.elapsed();
        if let Some(id) = self.tried.last()
            && let Some(target) = shared.fleet().get(id)
        {
            target.health().record_straggler(waited, mean, now);
        }
        // A hedge needs a target with a free slot, since it would only lengthen the queues under load.
        self.start_extra_attempt(HEDGE_CAUSE);
    }

    /// Retries after a failed attempt if attempts and time are left.
    fn retry(&mut self, cause: &'static str) {
        if self.attempts_sent < self.query.route.attempts_max
            && self.query.time_left() > TARGET_POLL_INTERVAL
        {
            self.start_extra_attempt(cause);
        }
    }

    /// Starts a retry or hedge if the retry budget of the service allows it.
    fn start_extra_attempt(&mut self, cause: &'static str) {
        let shared = Arc::clone(&self.query.shared);
        // An attempt that reached no target caused no load, so its replacement needs no budget.
        let is_first_send = self.attempts_sent == 0;
        if !is_first_send && !shared.try_spend_retry(&self.service) {
            metrics::counter!("limpet_repeats_refused_total", "cause" => cause).increment(1);
            return;
        }
        let is_sent = self.start_attempt(cause == HEDGE_CAUSE);
        metrics::counter!("limpet_repeats_total", "cause" => cause).increment(1);
        tracing::info!(
            request_id = self.query.request_id(), service = %self.service, cause, is_sent,
            sent = self.attempts_sent, "request repeated"
        );
    }

    /// Lets the remaining attempts run on for a while, so that their connections can be reused.
    fn detach_remaining_attempts(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let mut running = std::mem::take(&mut self.running);
        tokio::spawn(timeout(DETACHED_ATTEMPTS_TIMEOUT, async move {
            while running.next().await.is_some() {}
        }));
    }

    /// Returns the result when no attempt is in flight any more.
    fn final_result(&mut self) -> Result<TargetReply, ServiceError> {
        match self.last_failed_reply.take() {
            Some(reply) => Ok(reply),
            // An attempt has the deadline of the query and may time out just before the query does.
            None if self.may_have_run && self.query.time_left().is_zero() => Err(TIMED_OUT),
            None if self.may_have_run => Err(ServiceError {
                kind: RequestErrorKind::OutcomeUnknown,
                is_not_run: false,
            }),
            None => Err(ServiceError {
                kind: RequestErrorKind::Shed,
                is_not_run: true,
            }),
        }
    }
}

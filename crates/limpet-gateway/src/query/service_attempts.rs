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
/// Longest delay before a hedge, as a fraction of the latency goal of the route.
const HEDGE_DELAY_GOAL_FRACTION: f64 = 0.4;
/// Longest time for which a request waits for paused targets, as a fraction of the latency goal of the route.
const PAUSE_GOAL_FRACTION: f64 = 0.25;
/// Time between two tries to pick a target while none has capacity.
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
    /// Time after which a target of the service wants requests again, if that is known.
    pub(super) retry_after: Option<Duration>,
}

/// The deadline passed; a target may still run the request.
const TIMED_OUT: ServiceError = ServiceError {
    kind: RequestErrorKind::TimedOut,
    is_not_run: false,
    retry_after: None,
};

/// An attempt in flight; resolves to its target and its result.
type AttemptFuture =
    Pin<Box<dyn Future<Output = (Arc<Target>, Result<TargetReply, AttemptError>)> + Send>>;

/// All attempts of one query at one service, with the rules for retries and hedges.
pub(super) struct ServiceAttempts {
    query: Arc<QueryContext>,
    service: Box<str>,
    /// Targets that an attempt was made at.
    tried_targets: Vec<TargetId>,
    /// Number of attempts that may have reached a target.
    sent_attempt_count: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
    attempts_in_flight: FuturesUnordered<AttemptFuture>,
    /// Latest error reply of a target.
    last_failed_reply: Option<TargetReply>,
}

impl ServiceAttempts {
    /// Prepares the attempts of a query at `service`.
    pub(super) fn new(query: Arc<QueryContext>, service: &str) -> Self {
        query.shared.record_service_request(service);
        Self {
            query,
            service: service.into(),
            tried_targets: Vec::new(),
            sent_attempt_count: 0,
            may_have_run: false,
            attempts_in_flight: FuturesUnordered::new(),
            last_failed_reply: None,
        }
    }

    /// Runs attempts until one succeeds, the deadline passes or no further one is allowed.
    ///
    /// In the last case, returns the latest error reply of a target, if there was one.
    pub(super) async fn run(mut self) -> Result<TargetReply, ServiceError> {
        let result = self.run_attempts().await;
        if let Err(error) = &result {
            tracing::info!(
                request_id = self.query.request_id(), service = %self.service,
                reason = error.kind.label(), not_run = error.is_not_run,
                tried = ?self.tried_targets, left_ms = self.query.time_left().as_millis(),
                "no attempt at the service succeeded"
            );
        }
        result
    }

    /// Runs the attempts; [`ServiceAttempts::run`] logs a failure.
    async fn run_attempts(&mut self) -> Result<TargetReply, ServiceError> {
        self.start_first_attempt().await?;
        let mut hedge_time = self.hedge_time();
        loop {
            let finished = tokio::select! {
                finished = self.attempts_in_flight.next() => finished,
                () = sleep_until(hedge_time.unwrap_or(self.query.deadline)), if hedge_time.is_some() => {
                    hedge_time = None;
                    self.start_hedge();
                    continue;
                }
                () = sleep_until(self.query.deadline) => return Err(TIMED_OUT),
            };
            let Some((_, result)) = finished else {
                return self.final_result();
            };
            match result {
                Ok(reply) if !reply.status.is_server_error() => {
                    self.detach_remaining_attempts();
                    return Ok(reply);
                }
                // The target ran the request and answered with an error.
                Ok(reply) => {
                    self.may_have_run = true;
                    self.last_failed_reply = Some(reply);
                    if self.query.route.is_idempotent() {
                        self.start_retry("failed_reply");
                    }
                }
                Err(error) => {
                    self.may_have_run |= !error.kind.is_not_run();
                    if !error.kind.may_have_arrived() {
                        self.sent_attempt_count = self.sent_attempt_count.saturating_sub(1);
                    }
                    let may_retry = error.kind.is_not_run() || self.query.route.is_idempotent();
                    if may_retry {
                        self.start_retry(error.kind.label());
                    }
                }
            }
        }
    }

    /// Starts the first attempt as soon as a target has capacity; fails if the service has no target that
    /// accepts requests or the deadline is near.
    async fn start_first_attempt(&mut self) -> Result<(), ServiceError> {
        loop {
            if self.start_attempt(false) {
                return Ok(());
            }
            let shared = &self.query.shared;
            let pause = shared.fleet().shortest_pause(&self.service, shared.now());
            let is_paused = pause.is_some_and(|pause| {
                pause >= self.query.route.latency_goal.mul_f64(PAUSE_GOAL_FRACTION)
            });
            let is_late = self.query.time_left() < TARGET_POLL_INTERVAL * 2;
            if pause.is_none() || is_paused || is_late {
                return Err(ServiceError {
                    kind: RequestErrorKind::NoTarget,
                    is_not_run: true,
                    retry_after: pause.filter(|pause| !pause.is_zero()),
                });
            }
            sleep(TARGET_POLL_INTERVAL).await;
        }
    }

    /// Starts an attempt at a target that was not tried yet; returns false if none has capacity.
    ///
    /// With `needs_free_slot`, only targets that can process the request at once are picked.
    fn start_attempt(&mut self, needs_free_slot: bool) -> bool {
        let query = Arc::clone(&self.query);
        let shared = &query.shared;
        let service = query.route_table.service(&self.service);
        let process_count = shared.rate_limiter().process_counts().total;
        let cold_rate_per_s = service.map_or(0.0, |service| service.cold_rate_per_s);
        let cold_send_interval =
            |target: &Target| shared.cold_send_interval(target, cold_rate_per_s);
        let criteria = TargetCriteria {
            service: &self.service,
            zone: &shared.settings.zone,
            tried_targets: &self.tried_targets,
            connections_max: service.map_or(1, |service| service.connections_max),
            cold_send_interval: match cold_rate_per_s > 0.0 {
                true => Some(&cold_send_interval),
                false => None,
            },
            needs_free_slot,
            process_count,
            aggregator_count: query.aggregator_count,
        };
        let connections_limit = criteria.connections_limit();
        let Some(target) = shared.fleet().pick(&criteria, shared.now()) else {
            return false;
        };
        self.tried_targets.push(target.id.clone());
        self.sent_attempt_count += 1;
        let attempt_query = Arc::clone(&query);
        self.attempts_in_flight.push(Box::pin(async move {
            let result = run_attempt(&attempt_query, &target, connections_limit).await;
            (target, result)
        }));
        true
    }

    /// Returns when a hedge may be sent, or `None` if the route does not allow one.
    fn hedge_time(&self) -> Option<Instant> {
        let route = &self.query.route;
        if !route.is_idempotent() || route.attempts_max < 2 {
            return None;
        }
        let delay_max = route.latency_goal.mul_f64(HEDGE_DELAY_GOAL_FRACTION);
        let shared = &self.query.shared;
        let delay = shared.with_route_latency(&route.name, |latency| latency.straggler_delay());
        let delay = delay
            .unwrap_or(delay_max)
            .min(delay_max)
            .max(HEDGE_DELAY_MIN);
        Some(Instant::now() + delay)
    }

    /// Starts a hedge because the latest attempt is a straggler, if another attempt is allowed.
    fn start_hedge(&mut self) {
        let shared = Arc::clone(&self.query.shared);
        if self.sent_attempt_count >= self.query.route.attempts_max
            || self.attempts_in_flight.is_empty()
        {
            return;
        }
        let now = shared.now();
        let mean_latency =
            shared.with_route_latency(&self.query.route.name, |latency| latency.mean());
        let waited = self.query.arrived_at.elapsed();
        if let Some(id) = self.tried_targets.last()
            && let Some(target) = shared.fleet().get(id)
        {
            target.health().record_straggler(waited, mean_latency, now);
        }
        // A hedge needs a target with a free slot, because under load it would only lengthen the queues.
        self.start_extra_attempt(HEDGE_CAUSE);
    }

    /// Starts a retry after a failed attempt if attempts and time are left.
    fn start_retry(&mut self, cause: &'static str) {
        if self.sent_attempt_count < self.query.route.attempts_max
            && self.query.time_left() > TARGET_POLL_INTERVAL
        {
            self.start_extra_attempt(cause);
        }
    }

    /// Starts a retry or hedge if the retry budget of the service allows it.
    fn start_extra_attempt(&mut self, cause: &'static str) {
        let shared = Arc::clone(&self.query.shared);
        // An attempt that reached no target caused no load, so the one that replaces it needs no budget.
        let is_none_sent = self.sent_attempt_count == 0;
        if !is_none_sent && !shared.try_spend_retry(&self.service) {
            metrics::counter!("limpet_repeats_refused_total", "cause" => cause).increment(1);
            return;
        }
        let is_sent = self.start_attempt(cause == HEDGE_CAUSE);
        metrics::counter!("limpet_repeats_total", "cause" => cause).increment(1);
        tracing::info!(
            request_id = self.query.request_id(), service = %self.service, cause, is_sent,
            sent = self.sent_attempt_count, "request repeated"
        );
    }

    /// Lets the remaining attempts run on for a while in the background, so that their connections can be
    /// reused.
    fn detach_remaining_attempts(&mut self) {
        if self.attempts_in_flight.is_empty() {
            return;
        }
        let mut remaining_attempts = std::mem::take(&mut self.attempts_in_flight);
        let drive_attempts = async move { while remaining_attempts.next().await.is_some() {} };
        self.query.shared.spawn_background(async move {
            // The attempts that are still in flight then are cancelled.
            let _ = timeout(DETACHED_ATTEMPTS_TIMEOUT, drive_attempts).await;
        });
    }

    /// Returns how long no target of the service wants a request, if that is so.
    fn pause_left(&self) -> Option<Duration> {
        let shared = &self.query.shared;
        let pause = shared.fleet().shortest_pause(&self.service, shared.now());
        pause.filter(|pause| !pause.is_zero())
    }

    /// Returns the result after the last attempt has failed: the latest error reply of a target, or an error
    /// if there was none.
    fn final_result(&mut self) -> Result<TargetReply, ServiceError> {
        match self.last_failed_reply.take() {
            Some(reply) => Ok(reply),
            // An attempt has the deadline of the query and may time out just before the query does.
            None if self.may_have_run && self.query.time_left().is_zero() => Err(TIMED_OUT),
            None if self.may_have_run => Err(ServiceError {
                kind: RequestErrorKind::OutcomeUnknown,
                is_not_run: false,
                retry_after: None,
            }),
            None => Err(ServiceError {
                kind: RequestErrorKind::Shed,
                is_not_run: true,
                retry_after: self.pause_left(),
            }),
        }
    }
}

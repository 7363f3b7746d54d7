//! A request to one target of a service, repeated on others where that is allowed.

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
    TargetCriteria, //
    TargetReply,
};

/// Shortest time after which a repeat is sent while the first attempt still runs.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(8);
/// Latest time of such a repeat, as a part of the latency goal.
const HEDGE_DELAY_GOAL_PART: f64 = 0.4;
/// Time between two looks for a target when all connections are in use.
const BUSY_PAUSE: Duration = Duration::from_millis(4);
/// Time for which an attempt that lost goes on, because its connection can be used again after it.
const LINGER: Duration = Duration::from_millis(150);

/// Cause of a repeat while the first attempt still runs.
const STRAGGLER: &str = "straggler";

/// Why a service gave no reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceError {
    /// Why.
    pub(super) kind: RequestErrorKind,
    /// Whether the request certainly did not run.
    pub(super) is_not_run: bool,
}

/// The deadline passed; a target may still run the request.
const TIMED_OUT: ServiceError = ServiceError {
    kind: RequestErrorKind::TimedOut,
    is_not_run: false,
};

type Running =
    Pin<Box<dyn Future<Output = (Arc<Target>, Result<TargetReply, AttemptError>)> + Send>>;

/// Attempts of one request at one service.
pub(super) struct Repeater {
    query: Arc<QueryContext>,
    service: Box<str>,
    tried: Vec<TargetId>,
    sent: u32,
    may_have_run: bool,
    running: FuturesUnordered<Running>,
    last_failed_reply: Option<TargetReply>,
}

impl Repeater {
    /// Creates the attempts of a query at one service.
    pub(super) fn new(query: Arc<QueryContext>, service: &str) -> Self {
        query.shared.note_first(service);
        Self {
            query,
            service: service.into(),
            tried: Vec::new(),
            sent: 0,
            may_have_run: false,
            running: FuturesUnordered::new(),
            last_failed_reply: None,
        }
    }

    /// Runs attempts until one succeeds or nothing more may be sent.
    ///
    /// A failed reply of a target counts as a success if no repeat is possible.
    pub(super) async fn run(mut self) -> Result<TargetReply, ServiceError> {
        let result = self.run_attempts().await;
        if let Err(error) = &result {
            tracing::info!(
                request_id = self.query.request_id(), service = %self.service,
                reason = error.kind.label(), not_run = error.is_not_run,
                tried = ?self.tried, left_ms = self.query.left().as_millis(),
                "service gave no reply"
            );
        }
        result
    }

    async fn run_attempts(&mut self) -> Result<TargetReply, ServiceError> {
        self.start_first().await?;
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
                return self.finish();
            };
            match result {
                Ok(reply) if !reply.status.is_server_error() => {
                    self.linger();
                    return Ok(reply);
                }
                // The target ran the request and failed.
                Ok(reply) => {
                    self.may_have_run = true;
                    self.last_failed_reply = Some(reply);
                    if self.query.route.is_idempotent() {
                        self.repeat_after("failed_reply");
                    }
                }
                Err(error) => {
                    self.may_have_run |= !error.kind.is_not_run();
                    if !error.kind.may_have_arrived() {
                        self.sent = self.sent.saturating_sub(1);
                    }
                    let may_repeat = error.kind.is_not_run() || self.query.route.is_idempotent();
                    if may_repeat {
                        self.repeat_after(error.kind.label());
                    }
                }
            }
        }
    }

    /// Starts the first attempt as soon as a target has room.
    async fn start_first(&mut self) -> Result<(), ServiceError> {
        loop {
            if self.start(false) {
                return Ok(());
            }
            let is_there = self.query.shared.fleet().has_active_target(&self.service);
            if !is_there || self.query.left() < BUSY_PAUSE * 2 {
                return Err(ServiceError {
                    kind: RequestErrorKind::NoTarget,
                    is_not_run: true,
                });
            }
            sleep(BUSY_PAUSE).await;
        }
    }

    /// Starts an attempt at a target that was not tried; false if there is none with room.
    fn start(&mut self, needs_free_slot: bool) -> bool {
        let query = Arc::clone(&self.query);
        let shared = &query.shared;
        let service = query.table.service(&self.service);
        let processes = shared.ledger().process_counts().total;
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
        self.sent += 1;
        let attempt_query = Arc::clone(&query);
        self.running.push(Box::pin(async move {
            let result = run_attempt(&attempt_query, &target, limit).await;
            (target, result)
        }));
        true
    }

    /// Returns when a repeat may be sent although the first attempt has not failed.
    fn hedge_at(&self) -> Option<Instant> {
        let route = &self.query.route;
        if !route.is_idempotent() || route.attempts_max < 2 {
            return None;
        }
        let goal = route.latency_goal.mul_f64(HEDGE_DELAY_GOAL_PART);
        let shared = &self.query.shared;
        let delay = shared.with_latency(&route.name, |latency| latency.straggler_delay());
        let delay = delay.unwrap_or(goal).min(goal).max(HEDGE_DELAY_MIN);
        Some(Instant::now() + delay)
    }

    fn hedge(&mut self) {
        let shared = Arc::clone(&self.query.shared);
        if self.sent >= self.query.route.attempts_max || self.running.is_empty() {
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
        // Under load a second run of the same request would only make the queues longer.
        self.repeat(STRAGGLER);
    }

    fn repeat_after(&mut self, cause: &'static str) {
        if self.sent < self.query.route.attempts_max && self.query.left() > BUSY_PAUSE {
            self.repeat(cause);
        }
    }

    /// Sends the request once more if the budget of the service allows it.
    fn repeat(&mut self, cause: &'static str) {
        let shared = Arc::clone(&self.query.shared);
        // What never reached a target is no load and needs no budget.
        let is_first_arrival = self.sent == 0;
        if !is_first_arrival && !shared.try_repeat(&self.service) {
            metrics::counter!("limpet_repeats_refused_total", "cause" => cause).increment(1);
            return;
        }
        let is_sent = self.start(cause == STRAGGLER);
        metrics::counter!("limpet_repeats_total", "cause" => cause).increment(1);
        tracing::info!(
            request_id = self.query.request_id(), service = %self.service, cause, is_sent,
            sent = self.sent, "request repeated"
        );
    }

    /// Lets attempts that lost go on for a moment, for their connections.
    fn linger(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let mut running = std::mem::take(&mut self.running);
        tokio::spawn(timeout(LINGER, async move {
            while running.next().await.is_some() {}
        }));
    }

    fn finish(&mut self) -> Result<TargetReply, ServiceError> {
        match self.last_failed_reply.take() {
            Some(reply) => Ok(reply),
            // The attempt's own deadline is that of the query and may be noticed first.
            None if self.may_have_run && self.query.left().is_zero() => Err(TIMED_OUT),
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

//! All attempts of a request at the targets of a service, with retries and hedges at other targets where the route allows
//! them.

use std::{
    sync::Arc,
    time::Duration, //
};

use futures::StreamExt;
use limpet_decide::attempt_budget::{
    ExtraAttempt,
    RetryRank, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};

use super::{
    QueryContext, RequestErrorKind,
    attempt::run_attempt,
    attempt_wait::AttemptWait,
    detached_attempts::{
        AttemptsInFlight,
        detach, //
    },
    gather_progress::GatherProgress,
    hedge_timer::HedgeTimer,
    service_error::{
        QUARANTINED,
        ServiceError,
        TIMED_OUT, //
    },
    service_targets::ServiceTargets,
    wanted_attempt::{
        Start,
        Wanted, //
    },
};
use crate::target::{
    AttemptError,
    AttemptErrorKind,
    RoomGuard,
    ServiceRoom,
    Target,
    TargetReply, //
};

/// Time before the deadline at which no attempt is started any more.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(8);
/// Fraction of the latency goal within which a request that has not run anywhere is refused if no target takes it.
const REFUSAL_GOAL_FRACTION: f64 = 0.25;

/// All attempts of one query at one service, with the rules for retries and hedges.
pub(super) struct ServiceAttempts {
    query: Arc<QueryContext>,
    service: Box<str>,
    room: Arc<ServiceRoom>,
    progress: Arc<GatherProgress>,
    /// Index of the part in the query.
    part: usize,
    started_at: Instant,
    targets: ServiceTargets,
    /// Number of attempts that may run or may have run.
    counted_attempts: u32,
    /// Number of attempts that may have reached a target.
    arrived_attempts: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// Whether the request has earned budget.
    is_recorded: bool,
    attempts_in_flight: AttemptsInFlight,
    /// Latest error reply of a target.
    last_failed_reply: Option<TargetReply>,
    wanted: Option<Wanted>,
    wait: AttemptWait,
    hedge_timer: HedgeTimer,
}

impl ServiceAttempts {
    /// Prepares the attempts of a query at the only service that it is sent to.
    pub(super) fn new(query: Arc<QueryContext>, service: &str) -> Self {
        Self::new_part(query, service, &Arc::new(GatherProgress::new(1)), 0)
    }

    /// Prepares the attempts for one part of a query.
    pub(super) fn new_part(
        query: Arc<QueryContext>,
        service: &str,
        progress: &Arc<GatherProgress>,
        part: usize,
    ) -> Self {
        Self {
            room: query.shared.room_notifier.service(service),
            service: service.into(),
            progress: Arc::clone(progress),
            part,
            started_at: Instant::now(),
            targets: ServiceTargets::new(Arc::clone(&query), service),
            counted_attempts: 0,
            arrived_attempts: 0,
            may_have_run: false,
            is_recorded: false,
            attempts_in_flight: AttemptsInFlight::new(),
            last_failed_reply: None,
            wanted: Some(Wanted::First),
            wait: AttemptWait::default(),
            hedge_timer: HedgeTimer::default(),
            query,
        }
    }

    /// Runs attempts until one succeeds, the deadline passes or no further one is allowed.
    ///
    /// In the last case, returns the latest error reply of a target, if there was one.
    pub(super) async fn run(mut self) -> Result<TargetReply, ServiceError> {
        let result = self.run_attempts().await;
        self.progress.record_end(self.part);
        if let Err(error) = &result {
            tracing::info!(
                request_id = self.query.request_id(), service = %self.service,
                reason = error.kind.label(), not_run = error.is_not_run,
                tried = ?self.targets.asked.ids(),
                left_ms = self.query.time_left().as_millis(),
                "no attempt at the service succeeded"
            );
        }
        result
    }

    /// Runs the attempts; [`ServiceAttempts::run`] logs a failure.
    async fn run_attempts(&mut self) -> Result<TargetReply, ServiceError> {
        loop {
            if let Some(wanted) = self.wanted {
                self.advance(wanted)?;
            }
            if self.wanted.is_none() && self.attempts_in_flight.is_empty() {
                return self.final_result();
            }
            let hedge_at = self.hedge_at();
            let timer = match self.wanted {
                Some(wanted) => self.wait_limit(wanted),
                None => hedge_at.unwrap_or(self.query.deadline),
            };
            let awaits_last_parts = hedge_at.is_some() && !self.progress.is_at_last_parts();
            tokio::select! {
                Some((target, result)) = self.attempts_in_flight.next() => {
                    if let Some(reply) = self.handle_result(&target, result) {
                        return Ok(reply);
                    }
                }
                () = self.wait.woken(), if self.wanted.is_some() => self.targets.asked.record_room(),
                // The hedge of one of the last parts is due earlier.
                () = self.progress.reach_last_parts(), if awaits_last_parts => {}
                () = sleep_until(timer.min(self.query.deadline)) => self.handle_timer()?,
            }
        }
    }

    /// Handles the end of the time for which the attempts were awaited.
    fn handle_timer(&mut self) -> Result<(), ServiceError> {
        let is_over = self.query.time_left().is_zero();
        match self.wanted {
            Some(Wanted::First) => return Err(self.no_target_error()),
            Some(_) => {
                self.wanted = None;
                self.hedge_timer.stop();
                self.wait.clear();
            }
            None if !is_over => {
                self.targets.record_straggler(self.hedge_timer.waited());
                let kind = self.hedge_timer.kind(&self.query.hedge_timing());
                self.wanted = Some(Wanted::Hedge(kind));
            }
            None => {}
        }
        match is_over && !self.attempts_in_flight.is_empty() {
            true => Err(TIMED_OUT),
            false => Ok(()),
        }
    }

    /// Handles the result of an attempt; returns the reply if it is the one for the caller.
    fn handle_result(
        &mut self,
        target: &Target,
        result: Result<TargetReply, AttemptError>,
    ) -> Option<TargetReply> {
        let (cause, may_retry) = match result {
            Ok(reply) if !reply.status.is_server_error() => {
                self.detach_remaining_attempts();
                return Some(reply);
            }
            // The target ran the request and answered with an error.
            Ok(reply) => {
                self.may_have_run = true;
                self.last_failed_reply = Some(reply);
                ("failed_reply", self.query.route.is_idempotent())
            }
            Err(error) => {
                let is_not_run = error.kind.is_not_run();
                self.may_have_run |= !is_not_run;
                if is_not_run {
                    self.counted_attempts = self.counted_attempts.saturating_sub(1);
                    self.progress.record_not_run();
                    let now = self.query.shared.now();
                    let asked = &mut self.targets.asked;
                    match error.kind {
                        // Another target at the address rejects the request however often it is asked.
                        AttemptErrorKind::WrongTarget => {}
                        // The target may get a free connection at any time.
                        AttemptErrorKind::ConnectionLimit => {
                            asked.record_no_connection(&target.id, now);
                        }
                        _ => asked.record_rejection(&target.id, now),
                    }
                }
                if !error.kind.may_have_arrived() {
                    self.arrived_attempts = self.arrived_attempts.saturating_sub(1);
                }
                let may_retry = is_not_run || self.query.route.is_idempotent();
                (error.kind.label(), may_retry)
            }
        };
        if may_retry {
            self.wait.clear();
            // A request that was only short of a connection goes on waiting as one that found no room.
            self.wanted = match self.arrived_attempts == 0 && !self.targets.asked.has_asked() {
                true => Some(Wanted::First),
                false => Some(Wanted::Retry(cause)),
            };
        }
        if self.attempts_in_flight.is_empty() {
            self.progress.record_idle(self.part, may_retry);
        }
        None
    }

    /// Tries to start the attempt that is wanted.
    fn advance(&mut self, wanted: Wanted) -> Result<(), ServiceError> {
        match self.try_start(wanted) {
            Start::Started => {
                self.wanted = None;
                self.wait.clear();
                self.hedge_timer.restart();
            }
            Start::Waiting => {}
            Start::Impossible if wanted == Wanted::First => return Err(self.no_target_error()),
            Start::Refused if wanted == Wanted::First => return Err(QUARANTINED),
            Start::Impossible | Start::Refused => {
                self.wanted = None;
                self.wait.clear();
                match wanted {
                    Wanted::Hedge(kind) => self.hedge_timer.record_refusal(kind),
                    Wanted::First | Wanted::Retry(_) => self.hedge_timer.stop(),
                }
            }
        }
        Ok(())
    }

    /// Starts an attempt if budget and room allow it, or waits for them.
    fn try_start(&mut self, wanted: Wanted) -> Start {
        if !self.is_allowed(wanted) {
            return Start::Impossible;
        }
        // Checked before a target is picked or budget is spent.
        if self.query.is_quarantined() {
            return Start::Refused;
        }
        let extra = wanted.extra();
        // An attempt that reached no target caused no load, so the one that replaces it needs no budget.
        let spent = extra.filter(|_| self.arrived_attempts > 0);
        if let Some((kind, cause)) = spent
            && !self.spend(kind)
        {
            metrics::counter!("limpet_repeats_refused_total", "cause" => cause).increment(1);
            return match kind {
                ExtraAttempt::Retry => Start::Waiting,
                ExtraAttempt::EarlyHedge | ExtraAttempt::Hedge => Start::Impossible,
            };
        }
        if !self.start_attempt(wanted) && !self.start_as_waiter(wanted) {
            if let Some((kind, _)) = spent {
                let shared = &self.query.shared;
                let budgets = shared.retry_budgets(&self.service);
                budgets.refund(&self.service, kind, shared.now());
            }
            return self.await_room(wanted);
        }
        if let Some((_, cause)) = extra {
            metrics::counter!("limpet_repeats_total", "cause" => cause).increment(1);
            tracing::info!(
                request_id = self.query.request_id(), service = %self.service, cause,
                sent = self.counted_attempts, "request repeated"
            );
        }
        Start::Started
    }

    /// Returns whether the route allows an attempt and there is time for it.
    fn is_allowed(&self, wanted: Wanted) -> bool {
        let has_time = self.query.time_left() >= ATTEMPT_TIME_MIN;
        match wanted {
            Wanted::First => has_time,
            Wanted::Retry(_) => has_time && self.counted_attempts < self.query.route.attempts_max,
            Wanted::Hedge(_) => {
                has_time
                    && self.query.route.is_idempotent()
                    && !self.attempts_in_flight.is_empty()
                    && self.counted_attempts < self.query.route.attempts_max
            }
        }
    }

    /// Spends an extra attempt; a retry that is refused waits for the budget.
    fn spend(&mut self, kind: ExtraAttempt) -> bool {
        let query = Arc::clone(&self.query);
        let budgets = query.shared.retry_budgets(&self.service);
        let now = query.shared.now();
        let mut result = budgets.try_spend(&self.service, kind, self.wait.budget(), now);
        if result.is_err() && kind == ExtraAttempt::Retry && self.wait.budget().is_none() {
            let place = budgets.wait(&self.service, self.rank());
            self.wait.wait_for_budget(place);
            // The budget may have changed before the retry was among those that wait.
            result = budgets.try_spend(&self.service, kind, self.wait.budget(), now);
        }
        if let Err(next_change) = result {
            let is_first = self.wait.budget().is_some_and(|place| place.is_first());
            let delay = next_change.saturating_sub(now);
            self.wait.wake_after(is_first.then_some(delay));
        }
        result.is_ok()
    }

    /// Takes a place among those that wait for room, unless the request has one, and tries to start the attempt again: a
    /// target may have got room before. Budget that was spent for the attempt stays spent meanwhile.
    fn start_as_waiter(&mut self, wanted: Wanted) -> bool {
        if !self.wait.wait_for_room(&self.room, self.rank()) {
            return false;
        }
        if !wanted.is_hedge() {
            self.room.wanted.notify_waiters();
        }
        self.start_attempt(wanted)
    }

    /// Waits until a target may have room, if that can happen.
    fn await_room(&mut self, wanted: Wanted) -> Start {
        self.wait.pass_on();
        let outlook = self.targets.outlook();
        self.wait.wake_after(outlook.next_in);
        let may_come = match wanted {
            Wanted::First => !self.targets.is_paused(),
            Wanted::Retry(_) => {
                outlook.has_other_target
                    || self.targets.asked.has_rejected()
                    || outlook.next_in.is_some()
            }
            Wanted::Hedge(_) => outlook.has_other_target,
        };
        match may_come {
            true => Start::Waiting,
            false => Start::Impossible,
        }
    }

    /// Returns the time until which a wanted attempt waits.
    ///
    /// A late part is hardly worth the room that it takes, and a request that ran nowhere should be refused early: it
    /// does not wait once a reply could no longer arrive in time.
    fn wait_limit(&self, wanted: Wanted) -> Instant {
        let before_deadline = |duration: Duration| {
            let deadline = self.query.deadline;
            deadline.checked_sub(duration).unwrap_or(deadline)
        };
        let latest = before_deadline(ATTEMPT_TIME_MIN);
        let refusal_at =
            self.started_at + self.query.route.latency_goal.mul_f64(REFUSAL_GOAL_FRACTION);
        match wanted {
            Wanted::First => latest.min(before_deadline(
                self.query.mean_latency().unwrap_or_default(),
            )),
            Wanted::Hedge(_) => latest,
            Wanted::Retry(_) if self.progress.may_have_run() => {
                latest.min(self.query.goal_at.max(refusal_at))
            }
            Wanted::Retry(_) => latest.min(refusal_at),
        }
    }

    /// Returns the rank of this request among those that wait.
    fn rank(&self) -> RetryRank {
        let goal_left = self.query.goal_at.saturating_duration_since(Instant::now());
        RetryRank {
            priority: self.query.priority,
            missing_count: self.progress.missing_count(),
            goal_at: self.query.shared.now() + goal_left,
        }
    }

    /// Starts an attempt; returns false if no target has room.
    ///
    /// A hedge needs a target with a free slot, because under load it would only lengthen the queues.
    fn start_attempt(&mut self, wanted: Wanted) -> bool {
        let Some((target, connections_limit)) = self.targets.pick(wanted.is_hedge()) else {
            return false;
        };
        // A request that is never sent earns no budget, and one whose first attempt is repeated earns it once.
        if wanted == Wanted::First && !std::mem::replace(&mut self.is_recorded, true) {
            self.query.shared.record_service_request(&self.service);
        }
        self.counted_attempts += 1;
        self.arrived_attempts += 1;
        let may_try_again = self.counted_attempts < self.query.route.attempts_max;
        self.progress.record_start(self.part, may_try_again);
        let query = Arc::clone(&self.query);
        let room = Arc::clone(&self.room);
        let (progress, part) = (Arc::clone(&self.progress), self.part);
        self.attempts_in_flight.push(Box::pin(async move {
            let _guard = RoomGuard(room);
            let result = run_attempt(&query, &target, connections_limit, || {
                progress.needs_part(part)
            });
            let result = result.await;
            (target, result)
        }));
        true
    }

    /// Returns when the next hedge may be sent, or `None` if none is allowed.
    fn hedge_at(&self) -> Option<Instant> {
        let route = &self.query.route;
        let is_allowed = self.wanted.is_none()
            && route.is_idempotent()
            && self.counted_attempts < route.attempts_max;
        if !is_allowed {
            return None;
        }
        let is_last_part = self.progress.is_at_last_parts();
        self.hedge_timer
            .due_at(&self.query.hedge_timing(), is_last_part)
    }

    /// Returns the error of a request that no target can get.
    fn no_target_error(&self) -> ServiceError {
        ServiceError {
            kind: RequestErrorKind::NoTarget,
            is_not_run: true,
            retry_after: self.targets.pause_left(),
        }
    }

    /// Lets the remaining attempts run on for a while in the background, so that their connections can be reused.
    fn detach_remaining_attempts(&mut self) {
        let remaining_attempts = std::mem::take(&mut self.attempts_in_flight);
        detach(&self.query.shared, &self.room, remaining_attempts);
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
                retry_after: self.targets.pause_left(),
            }),
        }
    }
}

impl Drop for ServiceAttempts {
    /// Cancels the attempts of a query without an answer; those that a partial answer lacks run on for a while.
    fn drop(&mut self) {
        if self.progress.is_answered() {
            self.detach_remaining_attempts();
        }
    }
}

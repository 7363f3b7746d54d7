//! Queues and starts the attempts on a target, and opens its connections.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_adapters::target::{
    TargetConnection,
    TargetError,
    TargetErrorKind, //
};
use limpet_decide::{
    pool::{
        Checkout,
        ConnectionId,
        connection_budget, //
    },
    quarantine::Restriction,
    warmup::WarmupEvidence, //
};
use limpet_types::{
    Refusal,
    RefusalCode, //
};
use ractor::ActorRef;

use crate::relay::target::actor::{
    ABANDONED_GRACE,
    QUEUE_CHECK_INTERVAL,
    RECONNECT_DELAY,
    RunningAttempt,
    TargetActorMessage,
    TargetActorState, //
};
use crate::relay::{
    attempt::Attempt,
    attempt_task::{
        self,
        CONNECT_TIMEOUT,
        ConnectionSource, //
    },
    checks::{
        TIME_LEFT_MIN,
        check_sendable, //
    },
};

/// Why an attempt from the queue was not started.
enum NotStarted {
    /// The attempt goes back to the head of the queue: it must run alone while the target may still run
    /// other attempts, or no connection or slot is free.
    Requeue(Box<Attempt>),
    /// A check before the send failed, or an isolated run of the same request is already in progress.
    Refuse(Box<Attempt>, Refusal),
}

impl TargetActorState {
    /// Queues an attempt, or refuses it if too many attempts are ahead of it.
    pub(super) fn enqueue(&mut self, attempt: Attempt) {
        let now = self.relay.board.now();
        if let Some(refusal) = self.check_overload(&attempt, now) {
            return attempt.refuse(refusal, self.warmup.is_cold(), now);
        }
        self.queue.push(attempt);
    }

    /// Returns a refusal if a cold target has a full queue, or if the deadline of the attempt would
    /// pass before its turn.
    fn check_overload(&mut self, attempt: &Attempt, now: Duration) -> Option<Refusal> {
        let limit = self.warmup.concurrency_limit(now).max(1);
        let occupied_slot_count = self.count_occupied_slots(now);
        let attempt_count_ahead = (occupied_slot_count + self.queue.len()) as u32;
        if attempt_count_ahead < limit {
            return None;
        }
        // The past latency does not tell how slow a cold target is, and another replica is the better
        // choice. So no more attempts wait than may run at a time.
        if self.warmup.is_cold() && self.queue.len() as u32 >= limit {
            let reason = format!("the target is cold and has {attempt_count_ahead} attempts");
            return Some(Refusal::not_run(RefusalCode::TargetCold, reason));
        }
        let expected_wait = self.smoothed_latency * (attempt_count_ahead / limit);
        (now + expected_wait >= attempt.deadline).then(|| {
            let reason =
                format!("{attempt_count_ahead} attempts are ahead and the deadline is too near");
            Refusal::not_run(RefusalCode::Overloaded, reason)
        })
    }

    /// Drops cancelled attempts from the queue, refuses expired ones, and starts others while the
    /// limits allow.
    pub(super) fn dispatch(&mut self, myself: &ActorRef<TargetActorMessage>) {
        let now = self.relay.board.now();
        drop(
            self.queue
                .remove_if(|attempt| attempt.reply_sender.is_closed()),
        );
        let is_expired = |attempt: &Attempt| now + TIME_LEFT_MIN >= attempt.deadline;
        for attempt in self.queue.remove_if(is_expired) {
            let reason = "the deadline passed in the queue";
            let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, reason);
            attempt.refuse(refusal, self.warmup.is_cold(), now);
        }
        while !self.running.values().any(|running| running.is_isolated) {
            let now = self.relay.board.now();
            if self.count_occupied_slots(now) >= self.warmup.concurrency_limit(now) as usize {
                break;
            }
            let Some(attempt) = self.queue.pop() else {
                break;
            };
            match self.start_attempt(myself, attempt, now) {
                Ok(()) => {}
                Err(NotStarted::Refuse(attempt, refusal)) => {
                    attempt.refuse(refusal, self.warmup.is_cold(), now);
                }
                Err(NotStarted::Requeue(attempt)) => {
                    self.queue.push_front(*attempt);
                    break;
                }
            }
        }
    }

    /// Starts the task of one attempt, or gives the attempt back with the reason why it was not started.
    fn start_attempt(
        &mut self,
        myself: &ActorRef<TargetActorMessage>,
        attempt: Attempt,
        now: Duration,
    ) -> Result<(), NotStarted> {
        let fingerprint = attempt.request.fingerprint;
        if let Err(refusal) = check_sendable(&self.relay, self.addr, attempt.deadline, fingerprint)
        {
            return Err(NotStarted::Refuse(Box::new(attempt), refusal));
        }
        let restriction = self.relay.board.strikes().restriction(fingerprint, now);
        let is_isolated = restriction == Restriction::Isolated;
        if is_isolated && (!self.running.is_empty() || self.has_abandoned_attempts(now)) {
            return Err(NotStarted::Requeue(Box::new(attempt)));
        }
        let (connection_id, source) = match self.checkout_connection() {
            Some(checked_out) => checked_out,
            None => return Err(NotStarted::Requeue(Box::new(attempt))),
        };
        if is_isolated {
            if !self
                .relay
                .board
                .strikes()
                .begin_isolated_run(fingerprint, now)
            {
                self.return_connection(connection_id, source);
                let reason = "the request has a strike and runs alone elsewhere";
                let refusal = Refusal::not_run(RefusalCode::RequestQuarantined, reason);
                return Err(NotStarted::Refuse(Box::new(attempt), refusal));
            }
            tracing::info!(
                addr = %self.addr,
                fingerprint,
                "running a request with a strike in isolation"
            );
        }
        self.running.insert(
            connection_id,
            RunningAttempt {
                fingerprint,
                is_connection_replaced: false,
                is_in_suspected_crash: false,
                is_isolated,
            },
        );
        let relay = Arc::clone(&self.relay);
        let suspicion_timeout = self.suspicion_timeout();
        let task = attempt_task::run(
            relay,
            myself.clone(),
            connection_id,
            attempt,
            source,
            suspicion_timeout,
        );
        self.tasks.spawn(task);
        Ok(())
    }

    /// Returns whether the target may still run an attempt that the relay has abandoned; forgets the
    /// attempts that the target no longer runs.
    fn has_abandoned_attempts(&mut self, now: Duration) -> bool {
        self.abandoned
            .retain(|abandoned| now < abandoned.runs_until);
        !self.abandoned.is_empty()
    }

    /// Takes an idle connection, or the right to open a new one if the connection budget of the target
    /// allows; `None` if the attempt must wait.
    fn checkout_connection(&mut self) -> Option<(ConnectionId, ConnectionSource)> {
        loop {
            match self.pool.checkout() {
                Checkout::Wait => return None,
                Checkout::Open(id) => return Some((id, ConnectionSource::New)),
                Checkout::Reuse(id) => match self.idle_connections.remove(&id) {
                    Some(connection) if connection.is_open() => {
                        return Some((id, ConnectionSource::Idle(connection)));
                    }
                    // The target closed the connection, so it may have restarted: it counts as cold
                    // until it reports that it is warm.
                    _ => {
                        self.pool.remove(id);
                        self.observe(WarmupEvidence::ConnectionLost);
                        let now = self.relay.board.now();
                        if self.count_occupied_slots(now)
                            >= self.warmup.concurrency_limit(now) as usize
                        {
                            return None;
                        }
                    }
                },
            }
        }
    }

    /// Gives back a connection that was taken and not used.
    fn return_connection(&mut self, connection_id: ConnectionId, source: ConnectionSource) {
        match source {
            ConnectionSource::Idle(connection) if self.pool.check_in(connection_id, true) => {
                self.idle_connections.insert(connection_id, connection);
            }
            _ => self.pool.remove(connection_id),
        }
    }

    /// Opens connections in advance, so that there is one per slot if the connection budget of the target
    /// allows.
    pub(super) fn preconnect(&mut self, myself: &ActorRef<TargetActorMessage>) {
        let now = self.relay.board.now();
        let is_usable = !self.target_config.is_zone_disabled && !self.target_config.is_leaving;
        if now < self.reconnect_at || !is_usable || !self.is_owned(now) {
            return;
        }
        let wanted_connection_count = self
            .target_config
            .slots
            .min(connection_budget(self.target_config.connections_max));
        while let Some(connection_id) = self.pool.preconnect(wanted_connection_count) {
            self.spawn_connect(myself, connection_id);
        }
    }

    /// Returns whether the relay owns the target at `now`, a time since boot.
    fn is_owned(&self, now: Duration) -> bool {
        let board = &self.relay.board;
        board
            .ownership_deadlines
            .load()
            .owned_until(self.addr, now)
            .is_some()
    }

    /// Opens a connection in a task that reports to this actor.
    pub(super) fn spawn_connect(
        &mut self,
        myself: &ActorRef<TargetActorMessage>,
        connection_id: ConnectionId,
    ) {
        let (addr, myself) = (self.addr, myself.clone());
        self.tasks.spawn(async move {
            let result = TargetConnection::open(addr, CONNECT_TIMEOUT).await;
            let _ = myself.cast(TargetActorMessage::ConnectFinished {
                connection_id,
                result,
            });
        });
    }

    /// Adds a connection that was opened in advance or as a replacement, or handles the failure to open it.
    pub(super) fn handle_connect_finished(
        &mut self,
        connection_id: ConnectionId,
        result: Result<TargetConnection, TargetError>,
    ) {
        match result {
            Ok(connection) => {
                self.pool.mark_open(connection_id);
                self.idle_connections.insert(connection_id, connection);
            }
            Err(error) => {
                self.pool.remove(connection_id);
                self.handle_connect_failure(&error);
            }
        }
    }

    /// Handles a connection that could not be opened: the target counts as cold, no connection is opened in
    /// advance for [`RECONNECT_DELAY`], and a suspected crash is confirmed if the target refused the
    /// connection.
    pub(super) fn handle_connect_failure(&mut self, error: &TargetError) {
        self.reconnect_at = self.relay.board.now() + RECONNECT_DELAY;
        self.observe(WarmupEvidence::ConnectionLost);
        if error.kind == TargetErrorKind::Refused {
            let crash = self.crash_detector.record_refused_connection();
            self.record_crash(crash);
        }
    }

    /// Schedules a tick if attempts wait, a connection may be opened again later, or abandoned attempts
    /// expire, because no other message may arrive then.
    pub(super) fn schedule_tick(&mut self, myself: &ActorRef<TargetActorMessage>) {
        let now = self.relay.board.now();
        let delay = if !self.queue.is_empty() {
            QUEUE_CHECK_INTERVAL
        } else if now < self.reconnect_at {
            self.reconnect_at - now
        } else if self.has_abandoned_attempts(now) {
            ABANDONED_GRACE
        } else {
            return;
        };
        if self.is_tick_scheduled {
            return;
        }
        self.is_tick_scheduled = true;
        let myself = myself.clone();
        self.tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = myself.cast(TargetActorMessage::Tick);
        });
    }
}

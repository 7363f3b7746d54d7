//! The actor of one owned target, which alone decides which attempts run there.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_adapters::target::{
    TargetConnection,
    TargetError, //
};
use limpet_decide::{
    pool::{
        ConnectionId,
        ConnectionPool,
        suspicion_timeout, //
    },
    warmup::{
        WarmupEvidence,
        WarmupState,
        WarmupTransition, //
    },
};
use limpet_types::{
    Refusal,
    RefusalCode,
    TargetAddr, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::task::JoinSet;

use crate::relay::{
    attempt::Attempt,
    attempt_queue::AttemptQueue,
    attempt_task::FinishedAttempt,
    crash_detector::{
        Crash,
        CrashDetector, //
    },
    state::{
        InFlightGuard,
        RelayState, //
    },
    target_table::TargetConfig, //
};

/// Interval at which the actor checks its queue again while attempts wait: their deadlines pass and the limit
/// of a target rises without a message.
pub(super) const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Delay after a connection could not be opened, before connections are opened in advance again.
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time after its deadline for which an abandoned attempt still counts as running: the target counts the time
/// to the deadline from the arrival of the request, which is later than its send.
pub(super) const ABANDONED_GRACE: Duration = Duration::from_millis(20);
/// Inverse of the weight that a new sample has in the smoothed latency.
const LATENCY_SMOOTHING_FACTOR: u32 = 8;

/// Messages to the actor of a target.
#[derive(Debug)]
pub(crate) enum TargetActorMessage {
    /// Queue an attempt that arrived, or refuse it if too many attempts are ahead of it.
    Run(Box<Attempt>),
    /// A connection was opened in advance or as a replacement, or could not be opened.
    ConnectFinished {
        /// Connection that was to be opened, as the pool identifies it.
        connection_id: ConnectionId,
        /// The connection, or why it could not be opened.
        result: Result<TargetConnection, TargetError>,
    },
    /// The task of an attempt ended.
    AttemptFinished(Box<FinishedAttempt>),
    /// Nothing was received for the suspicion timeout on a connection on which a response is due.
    ConnectionSuspected {
        /// Connection on which the response is due, as the pool identifies it.
        connection_id: ConnectionId,
    },
    /// A new configuration is in force, which may have other limits for the target.
    ConfigChanged,
    /// Check the queue and the connections again, although nothing else happened; sent at the time for which
    /// the tick was scheduled.
    Tick,
}

/// An attempt whose task is running.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) fingerprint: u64,
    /// Whether its connection is suspected and a replacement was allowed: while the target is warm, the
    /// attempt then no longer occupies a slot.
    pub(super) is_connection_replaced: bool,
    /// Whether the attempt already belongs to a suspected crash, so that another broken connection doesn't
    /// add its fingerprint again.
    pub(super) is_in_suspected_crash: bool,
    /// Whether no other attempt may run on the target at the same time, because the request has a strike.
    pub(super) is_isolated: bool,
}

/// An attempt that the relay no longer waits for and that the target may still run.
#[derive(Debug)]
pub(super) struct AbandonedAttempt {
    /// Time since boot after which the target no longer runs the attempt.
    pub(super) runs_until: Duration,
    /// Counts the attempt as in flight, so that the ownership of the target is not given back before
    /// `runs_until`.
    pub(super) _in_flight_guard: InFlightGuard,
}

/// State of the actor of one target.
#[derive(Debug)]
pub(crate) struct TargetActorState {
    pub(super) relay: Arc<RelayState>,
    pub(super) addr: TargetAddr,
    pub(super) target_config: TargetConfig,
    pub(super) warmup: WarmupState,
    /// States of all connections; the idle connections themselves are in `idle_connections`.
    pub(super) pool: ConnectionPool,
    pub(super) crash_detector: CrashDetector,
    /// Attempts that wait for a slot or a connection.
    pub(super) queue: AttemptQueue,
    pub(super) idle_connections: HashMap<ConnectionId, TargetConnection>,
    /// Attempts whose task is running, by the connection that they use.
    pub(super) running: HashMap<ConnectionId, RunningAttempt>,
    pub(super) abandoned: Vec<AbandonedAttempt>,
    /// Smoothed latency of successful attempts; zero before the first one.
    pub(super) smoothed_latency: Duration,
    /// Time since boot before which no connection is opened in advance.
    pub(super) reconnect_at: Duration,
    /// Whether a task will send a tick; at most one does at a time.
    pub(super) is_tick_scheduled: bool,
    /// Tasks that run attempts, open connections and send ticks; they end with the actor.
    pub(super) tasks: JoinSet<()>,
}

/// Actor of one owned target.
#[derive(Debug)]
pub(crate) struct TargetActor;

impl Actor for TargetActor {
    type Msg = TargetActorMessage;
    type State = TargetActorState;
    type Arguments = (Arc<RelayState>, TargetConfig);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (relay, target_config): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut state = TargetActorState::new(relay, target_config);
        state.preconnect(&myself);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        // Removes the tasks that have ended, which would otherwise stay in the set.
        while state.tasks.try_join_next().is_some() {}
        match message {
            TargetActorMessage::Run(attempt) => state.enqueue(*attempt),
            TargetActorMessage::ConnectFinished {
                connection_id,
                result,
            } => state.handle_connect_finished(connection_id, result),
            TargetActorMessage::AttemptFinished(finished) => {
                state.handle_attempt_finished(*finished)
            }
            TargetActorMessage::ConnectionSuspected { connection_id } => {
                state.handle_connection_suspected(&myself, connection_id)
            }
            TargetActorMessage::ConfigChanged => state.apply_config(),
            TargetActorMessage::Tick => state.is_tick_scheduled = false,
        }
        state.dispatch(&myself);
        state.preconnect(&myself);
        state.schedule_tick(&myself);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.relay.board.now();
        for attempt in state.queue.remove_if(|_| true) {
            let reason = "the relay no longer owns the target";
            let refusal = Refusal::not_run(RefusalCode::NotOwner, reason);
            attempt.refuse(refusal, state.warmup.is_cold(), now);
        }
        state.idle_connections.clear();
        state.tasks.shutdown().await;
        Ok(())
    }
}

impl TargetActorState {
    fn new(relay: Arc<RelayState>, target_config: TargetConfig) -> Self {
        Self {
            relay,
            addr: target_config.addr,
            target_config,
            warmup: WarmupState::new(target_config.cold_limit, target_config.slots),
            pool: ConnectionPool::new(target_config.connections_max),
            crash_detector: CrashDetector::new(target_config.addr),
            queue: AttemptQueue::default(),
            idle_connections: HashMap::new(),
            running: HashMap::new(),
            abandoned: Vec::new(),
            smoothed_latency: Duration::ZERO,
            reconnect_at: Duration::ZERO,
            is_tick_scheduled: false,
            tasks: JoinSet::new(),
        }
    }

    /// Applies the limits of a changed configuration; if the zone of the target was enabled again, the target
    /// counts as cold.
    fn apply_config(&mut self) {
        let target_table = self.relay.target_table();
        let Some(target_config) = target_table.and_then(|table| table.get_by_addr(self.addr))
        else {
            return;
        };
        if self.target_config.is_zone_disabled && !target_config.is_zone_disabled {
            self.observe(WarmupEvidence::ZoneReturned);
        }
        if self.target_config != target_config {
            self.warmup
                .set_limits(target_config.cold_limit, target_config.slots);
            self.pool.set_connections_max(target_config.connections_max);
            self.target_config = target_config;
        }
    }

    /// Updates the warm-up state by what was observed of the target, and logs if the target turns cold or
    /// warm.
    pub(super) fn observe(&mut self, evidence: WarmupEvidence) {
        let now = self.relay.board.now();
        let Some(change) = self.warmup.observe(evidence, now) else {
            return;
        };
        let limit = self.warmup.concurrency_limit(now);
        match change {
            WarmupTransition::Warmed => {
                tracing::info!(addr = %self.addr, limit, "target reports that it is warm");
            }
            _ => {
                tracing::info!(addr = %self.addr, limit, reason = ?change, "target counts as cold");
            }
        }
    }

    /// Counts and logs a crash, and gives a strike to every request that was in flight; `None` means that no
    /// crash was confirmed, and changes nothing.
    pub(super) fn record_crash(&mut self, crash: Option<Crash>) {
        let Some(crash) = crash else {
            return;
        };
        let now = self.relay.board.now();
        let strike_count =
            self.relay
                .board
                .strikes()
                .record_crash(crash.id, &crash.fingerprints, now);
        metrics::counter!("limpet_relay_crashes_total").increment(1);
        tracing::warn!(
            addr = %self.addr,
            in_flight = crash.fingerprints.len(),
            strikes = strike_count,
            "target crashed; every request in flight gets a strike"
        );
    }

    /// Returns the number of attempts that count against the concurrency limit.
    ///
    /// A cold target may crash if it runs more attempts than its limit. So while it is cold, abandoned
    /// attempts count until the target no longer runs them, and attempts on replaced connections keep
    /// their slots.
    pub(super) fn count_occupied_slots(&mut self, now: Duration) -> usize {
        self.abandoned
            .retain(|abandoned| now < abandoned.runs_until);
        if !self.warmup.is_cold() {
            return self
                .running
                .values()
                .filter(|running| !running.is_connection_replaced)
                .count();
        }
        self.running.len() + self.abandoned.len()
    }

    /// Logs a suspected connection and opens a replacement if the pool allows one.
    fn handle_connection_suspected(
        &mut self,
        myself: &ActorRef<TargetActorMessage>,
        connection_id: ConnectionId,
    ) {
        let now = self.relay.board.now();
        let replacement_id = self.pool.suspect(connection_id, now);
        tracing::info!(
            addr = %self.addr,
            connection = connection_id,
            latency_us = self.smoothed_latency.as_micros() as u64,
            replaced = replacement_id.is_some(),
            "connection is suspected: a response is due and nothing is received"
        );
        metrics::counter!("limpet_relay_suspected_total").increment(1);
        if let Some(replacement_id) = replacement_id {
            if let Some(running) = self.running.get_mut(&connection_id) {
                running.is_connection_replaced = true;
            }
            self.spawn_connect(myself, replacement_id);
        }
    }

    /// Returns the time without a received byte after which a connection is suspected.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        suspicion_timeout(self.smoothed_latency)
    }

    /// Adds a sample to the smoothed latency.
    pub(super) fn record_latency(&mut self, sample: Duration) {
        self.smoothed_latency = if self.smoothed_latency.is_zero() {
            sample
        } else {
            (self.smoothed_latency * (LATENCY_SMOOTHING_FACTOR - 1) + sample)
                / LATENCY_SMOOTHING_FACTOR
        };
    }
}

//! Actor of one owned target: the only place that decides what runs there.

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
        Evidence,
        Transition,
        WarmupState, //
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
    crash::{
        Crash,
        CrashWatch, //
    },
    queue::TeamQueue,
    run::Finished,
    sites::Site,
    state::{
        InFlight,
        RelayState, //
    },
    work::Work, //
};

/// Interval at which a target with waiting attempts is looked at again.
pub(super) const TICK: Duration = Duration::from_millis(5);
/// Time before a connection is opened again after the target refused one.
pub(super) const REOPEN_DELAY: Duration = Duration::from_millis(50);
/// Time past its deadline for which an abandoned attempt counts; covers its way to the target.
pub(super) const ABANDONED_GRACE: Duration = Duration::from_millis(20);
/// Weight of a new sample in the smoothed latency is one in this many.
const LATENCY_SMOOTHING: u32 = 8;

/// Messages to the actor of a target.
#[derive(Debug)]
pub(crate) enum TargetMessage {
    /// Run an attempt.
    Run(Box<Work>),
    /// A connection opened ahead of need is there, or failed.
    Opened {
        /// Its number.
        id: ConnectionId,
        /// What became of it.
        result: Result<TargetConnection, TargetError>,
    },
    /// The task of an attempt ended.
    Finished(Box<Finished>),
    /// A connection owes a response and delivers nothing.
    Suspected {
        /// Its number.
        id: ConnectionId,
    },
    /// The configuration changed.
    Refresh,
    /// Time passed.
    Tick,
}

/// An attempt that was handed to its task.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) fingerprint: u64,
    /// Gave its slot to the replacement of its suspected connection.
    pub(super) is_replaced: bool,
    /// Is already part of a crash.
    pub(super) is_struck: bool,
    /// Runs alone because its request has a strike.
    pub(super) is_solo: bool,
}

/// An attempt that this side gave up and the target may still run.
#[derive(Debug)]
pub(super) struct Abandoned {
    /// Boot time at which the target has certainly stopped it.
    pub(super) end: Duration,
    /// Keeps a drain from releasing the target before that.
    pub(super) _in_flight: InFlight,
}

/// State of the actor of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(super) relay: Arc<RelayState>,
    pub(super) addr: TargetAddr,
    pub(super) site: Site,
    pub(super) cold: WarmupState,
    pub(super) pool: ConnectionPool,
    pub(super) crash: CrashWatch,
    pub(super) queue: TeamQueue,
    pub(super) idle: HashMap<ConnectionId, TargetConnection>,
    pub(super) running: HashMap<ConnectionId, Running>,
    pub(super) abandoned: Vec<Abandoned>,
    pub(super) latency: Duration,
    pub(super) reopen_at: Duration,
    pub(super) is_tick_due: bool,
    pub(super) tasks: JoinSet<()>,
}

/// Actor of one owned target.
#[derive(Debug)]
pub(crate) struct TargetActor;

impl Actor for TargetActor {
    type Msg = TargetMessage;
    type State = TargetState;
    type Arguments = (Arc<RelayState>, Site);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (relay, site): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut state = TargetState::new(relay, site);
        state.open_ahead(&myself);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        while state.tasks.try_join_next().is_some() {}
        match message {
            TargetMessage::Run(work) => state.take(*work),
            TargetMessage::Opened { id, result } => state.opened(id, result),
            TargetMessage::Finished(finished) => state.finished(*finished),
            TargetMessage::Suspected { id } => state.suspected(&myself, id),
            TargetMessage::Refresh => state.refresh(),
            TargetMessage::Tick => state.is_tick_due = false,
        }
        state.dispatch(&myself);
        state.open_ahead(&myself);
        state.schedule_tick(&myself);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.relay.board.now();
        for work in state.queue.take_if(|_| true) {
            let reason = "the relay no longer owns the target";
            let refusal = Refusal::not_run(RefusalCode::NotOwner, reason);
            work.refuse(refusal, state.cold.is_cold(), now);
        }
        state.idle.clear();
        state.tasks.shutdown().await;
        Ok(())
    }
}

impl TargetState {
    fn new(relay: Arc<RelayState>, site: Site) -> Self {
        Self {
            relay,
            addr: site.addr,
            site,
            cold: WarmupState::new(site.cold_limit, site.slots),
            pool: ConnectionPool::new(site.connections_max),
            crash: CrashWatch::new(site.addr),
            queue: TeamQueue::default(),
            idle: HashMap::new(),
            running: HashMap::new(),
            abandoned: Vec::new(),
            latency: Duration::ZERO,
            reopen_at: Duration::ZERO,
            is_tick_due: false,
            tasks: JoinSet::new(),
        }
    }

    /// Takes over the figures of a changed configuration.
    fn refresh(&mut self) {
        let sites = self.relay.sites();
        let Some(site) = sites.and_then(|sites| sites.at(self.addr)) else {
            return;
        };
        if self.site.is_zone_out && !site.is_zone_out {
            self.observe(Evidence::ZoneReturned);
        }
        if self.site != site {
            self.cold.set_limits(site.cold_limit, site.slots);
            self.pool.set_connections_max(site.connections_max);
            self.site = site;
        }
    }

    pub(super) fn observe(&mut self, evidence: Evidence) {
        let now = self.relay.board.now();
        let Some(change) = self.cold.observe(evidence, now) else {
            return;
        };
        let limit = self.cold.limit(now);
        match change {
            Transition::Warmed => {
                tracing::info!(addr = %self.addr, limit, "target is warm: it says so itself");
            }
            _ => {
                tracing::info!(addr = %self.addr, limit, reason = ?change, "target is cold");
            }
        }
    }

    pub(super) fn note_crash(&mut self, crash: Option<Crash>) {
        let Some(crash) = crash else {
            return;
        };
        let now = self.relay.board.now();
        let strikes = self
            .relay
            .board
            .strikes()
            .record_crash(crash.id, &crash.fingerprints, now);
        metrics::counter!("limpet_relay_crashes_total").increment(1);
        tracing::warn!(
            addr = %self.addr,
            in_flight = crash.fingerprints.len(),
            strikes,
            "target crashed; every request in flight gets a strike"
        );
    }

    /// Returns the attempts that count against the limit.
    ///
    /// A cold target must not get more than it bears, so attempts that this side gave up count
    /// until their deadline there, and suspected ones keep their place.
    pub(super) fn occupied(&mut self, now: Duration) -> usize {
        self.abandoned.retain(|abandoned| now < abandoned.end);
        if !self.cold.is_cold() {
            return self.running.values().filter(|r| !r.is_replaced).count();
        }
        self.running.len() + self.abandoned.len()
    }

    fn suspected(&mut self, myself: &ActorRef<TargetMessage>, id: ConnectionId) {
        let now = self.relay.board.now();
        let replacement = self.pool.suspect(id, now);
        tracing::info!(
            addr = %self.addr,
            connection = id,
            latency_us = self.latency.as_micros() as u64,
            replaced = replacement.is_some(),
            "connection owes a response and delivers nothing"
        );
        metrics::counter!("limpet_relay_suspected_total").increment(1);
        if let Some(replacement) = replacement {
            if let Some(running) = self.running.get_mut(&id) {
                running.is_replaced = true;
            }
            self.spawn_open(myself, replacement);
        }
    }

    pub(super) fn suspect_after(&self) -> Duration {
        suspicion_timeout(self.latency)
    }

    pub(super) fn note_latency(&mut self, sample: Duration) {
        self.latency = if self.latency.is_zero() {
            sample
        } else {
            (self.latency * (LATENCY_SMOOTHING - 1) + sample) / LATENCY_SMOOTHING
        };
    }
}

//! Keeps the end of freshness on the blackboard up to date.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use limpet_config::FRESHNESS_LIMIT_DEFAULT;
use limpet_decide::freshness::{
    Freshness,
    PeerEvidence, //
};
use limpet_types::{
    Phase,
    Revision, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::{
    sync::oneshot,
    task::JoinSet, //
};

use crate::control::{
    shared::{
        Evidence,
        Shared, //
    },
    ticker::tick,
};

/// Time between two looks at the clock; only the log and the seeking of evidence depend on it.
const TICK: Duration = Duration::from_millis(100);

/// Messages to the freshness controller; times are from before the read or call.
#[derive(Debug)]
pub(super) enum FreshnessMessage {
    /// Look at the clock.
    Tick,
    /// A revision was put in force.
    InForce { revision: Revision, limit: Duration },
    /// The service was read.
    Read { sent_at: Duration },
    /// The service could not be read.
    ReadFailed { sent_at: Duration },
    /// A peer answered.
    Answer {
        peer: SocketAddr,
        sent_at: Duration,
        answer: PeerEvidence,
    },
    /// Nothing listens at a peer's address.
    Refused { peer: SocketAddr, sent_at: Duration },
    /// Peers that the VM list calls live.
    Listed(Vec<SocketAddr>),
    /// Asks for peers to call next.
    NextProbes {
        count: usize,
        probes: oneshot::Sender<Vec<SocketAddr>>,
    },
}

/// The only writer of `fresh_until_us` and of the end of the start.
#[derive(Debug)]
pub(super) struct FreshnessController;

#[derive(Debug)]
pub(super) struct FreshnessState {
    shared: Arc<Shared>,
    freshness: Freshness,
    was_fresh: bool,
    tasks: JoinSet<()>,
}

impl Actor for FreshnessController {
    type Msg = FreshnessMessage;
    type State = FreshnessState;
    type Arguments = Arc<Shared>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        shared: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        tick(&mut tasks, myself, TICK, || FreshnessMessage::Tick);
        Ok(FreshnessState {
            shared,
            freshness: Freshness::new(FRESHNESS_LIMIT_DEFAULT),
            was_fresh: false,
            tasks,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let freshness = &mut state.freshness;
        match message {
            FreshnessMessage::Tick => {}
            FreshnessMessage::InForce { revision, limit } => {
                freshness.set_revision(revision, limit);
            }
            FreshnessMessage::Read { sent_at } => freshness.record_read(sent_at),
            FreshnessMessage::ReadFailed { sent_at } => freshness.record_read_failure(sent_at),
            FreshnessMessage::Answer {
                peer,
                sent_at,
                answer,
            } => freshness.record_reply(peer, sent_at, answer),
            FreshnessMessage::Refused { peer, sent_at } => {
                freshness.record_connection_refused(peer, sent_at)
            }
            FreshnessMessage::Listed(peers) => freshness.set_listed_peers(peers),
            FreshnessMessage::NextProbes { count, probes } => {
                let _ = probes.send(freshness.next_probes(state.shared.board.now(), count));
            }
        }
        state.publish();
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.tasks.shutdown().await;
        Ok(())
    }
}

impl FreshnessState {
    fn publish(&mut self) {
        let board = &self.shared.board;
        let now = board.now();
        let fresh_until = self.freshness.fresh_until().unwrap_or_default();
        let config_fresh_until_us = fresh_until.as_micros() as u64;
        board
            .config_fresh_until_us
            .store(config_fresh_until_us, Ordering::Release);
        let age = self.freshness.age(now);
        let is_starting = board.phase() == Phase::Starting;
        self.shared.evidence.store(Arc::new(Evidence {
            at: age.map(|age| now.saturating_sub(age)),
            reachability: self.freshness.reachability(now),
            is_wanted: is_starting || self.freshness.needs_refresh(now),
        }));
        let is_fresh = now < fresh_until;
        if is_fresh != self.was_fresh {
            self.was_fresh = is_fresh;
            let reason = match age {
                None => "no evidence",
                Some(_) if is_fresh && self.freshness.needs_refresh(now) => {
                    "service down for everybody"
                }
                Some(_) if is_fresh => "recent evidence",
                Some(_) => "evidence too old",
            };
            tracing::info!(is_fresh, reason, ?age, "freshness changed");
        }
        if let Some(age) = age {
            metrics::gauge!("limpet_config_evidence_age_seconds").set(age.as_secs_f64());
        }
        if is_starting && is_fresh && self.freshness.may_start_serving(now) {
            let ended = board.phase.send_if_modified(|phase| {
                let is_starting = *phase == Phase::Starting;
                if is_starting {
                    *phase = Phase::Serving;
                }
                is_starting
            });
            if ended {
                tracing::info!("start finished: the configuration is current");
            }
        }
    }
}

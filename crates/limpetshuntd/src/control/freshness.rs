//! Publishes until when the configuration in force counts as current.

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
    FreshnessTracker,
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
    actor_tasks::send_periodically,
    control_state::{
        ControlState,
        FreshnessStatus, //
    },
};

/// Time between two evaluations without an event; delays only log lines and the request for new evidence.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages to the freshness controller; `sent_at` is the boot time before the read or call was sent.
#[derive(Debug)]
pub(super) enum FreshnessMessage {
    /// Evaluate the freshness at the current time.
    Tick,
    /// A revision was put in force.
    ConfigInstalled {
        revision: Revision,
        freshness_limit: Duration,
    },
    /// The configuration service returned no revision older than a known one.
    ServiceRead { sent_at: Duration },
    /// The configuration service could not be read.
    ServiceReadFailed { sent_at: Duration },
    /// A peer replied to a gossip request.
    PeerReplied {
        peer: SocketAddr,
        sent_at: Duration,
        evidence: PeerEvidence,
    },
    /// No process listens at the peer's address.
    ConnectionRefused { peer: SocketAddr, sent_at: Duration },
    /// The VM list was fetched: addresses of the peers on live VMs.
    LivePeersListed(Vec<SocketAddr>),
    /// Return up to `count` peers to call next for evidence.
    NextProbes {
        count: usize,
        reply: oneshot::Sender<Vec<SocketAddr>>,
    },
}

/// Evaluates the evidence and ends the phase `Starting` once the configuration is known to be current.
///
/// It is the only writer of `config_fresh_until_us` on the blackboard.
#[derive(Debug)]
pub(super) struct FreshnessController;

#[derive(Debug)]
pub(super) struct FreshnessState {
    shared: Arc<ControlState>,
    freshness: FreshnessTracker,
    was_fresh: bool,
    tasks: JoinSet<()>,
}

impl Actor for FreshnessController {
    type Msg = FreshnessMessage;
    type State = FreshnessState;
    type Arguments = Arc<ControlState>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        shared: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        send_periodically(&mut tasks, myself, TICK_INTERVAL, || FreshnessMessage::Tick);
        Ok(FreshnessState {
            shared,
            freshness: FreshnessTracker::new(FRESHNESS_LIMIT_DEFAULT),
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
            FreshnessMessage::ConfigInstalled {
                revision,
                freshness_limit,
            } => {
                freshness.set_revision(revision, freshness_limit);
            }
            FreshnessMessage::ServiceRead { sent_at } => freshness.record_read(sent_at),
            FreshnessMessage::ServiceReadFailed { sent_at } => {
                freshness.record_read_failure(sent_at)
            }
            FreshnessMessage::PeerReplied {
                peer,
                sent_at,
                evidence,
            } => freshness.record_reply(peer, sent_at, evidence),
            FreshnessMessage::ConnectionRefused { peer, sent_at } => {
                freshness.record_connection_refused(peer, sent_at)
            }
            FreshnessMessage::LivePeersListed(peers) => freshness.set_live_peers(peers),
            FreshnessMessage::NextProbes { count, reply } => {
                let _ = reply.send(freshness.next_probes(state.shared.board.now(), count));
            }
        }
        state.publish_status();
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
    /// Publishes until when the configuration is fresh, logs changes, and ends the phase `Starting` if
    /// the evidence permits it.
    fn publish_status(&mut self) {
        let board = &self.shared.board;
        let now = board.now();
        let fresh_until = self.freshness.fresh_until().unwrap_or_default();
        let fresh_until_us = fresh_until.as_micros() as u64;
        board
            .config_fresh_until_us
            .store(fresh_until_us, Ordering::Release);
        let age = self.freshness.evidence_age(now);
        let is_starting = board.phase() == Phase::Starting;
        self.shared
            .freshness_status
            .store(Arc::new(FreshnessStatus {
                evidence_at: age.map(|age| now.saturating_sub(age)),
                reachability: self.freshness.reachability(now),
                needs_evidence: is_starting || self.freshness.needs_refresh(now),
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
            tracing::info!(
                is_fresh,
                reason,
                ?age,
                "freshness of the configuration changed"
            );
        }
        if let Some(age) = age {
            metrics::gauge!("limpet_config_evidence_age_seconds").set(age.as_secs_f64());
        }
        if is_starting && is_fresh && self.freshness.may_start_serving(now) {
            let is_start_over = board.phase.send_if_modified(|phase| {
                let is_starting = *phase == Phase::Starting;
                if is_starting {
                    *phase = Phase::Serving;
                }
                is_starting
            });
            if is_start_over {
                tracing::info!("serving: the configuration is current");
            }
        }
    }
}

//! Evaluates the evidence that the configuration in force is current, and publishes the time until which it
//! counts as current.

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

/// Time between two evaluations of the evidence if no message arrives.
///
/// A caller's request compares the published time with the clock itself, so a late evaluation delays only
/// log lines and the request for new evidence.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages to the freshness controller; `sent_at` is the time since boot just before the read or call was
/// sent.
#[derive(Debug)]
pub(super) enum FreshnessMessage {
    /// Evaluate the freshness at the current time.
    Tick,
    /// A revision was put in force.
    ConfigInstalled {
        revision: Revision,
        freshness_limit: Duration,
    },
    /// The configuration service was read, and no revision higher than that of the service is known here.
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
    /// The VM list was fetched, and these are the addresses of the peers on its live VMs.
    LivePeersListed(Vec<SocketAddr>),
    /// Return up to `count` peers to call next for evidence.
    NextProbes {
        count: usize,
        reply: oneshot::Sender<Vec<SocketAddr>>,
    },
}

/// Evaluates the evidence that the configuration in force is current, publishes the result, and changes the
/// phase from `Starting` to `Serving` once the evidence suffices.
///
/// It is the only writer of `config_fresh_until_us` on the blackboard.
#[derive(Debug)]
pub(super) struct FreshnessController;

/// State of the freshness controller between two messages.
#[derive(Debug)]
pub(super) struct FreshnessState {
    control_state: Arc<ControlState>,
    tracker: FreshnessTracker,
    /// Whether the configuration counted as current at the last evaluation.
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
        control_state: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        send_periodically(&mut tasks, myself, TICK_INTERVAL, || FreshnessMessage::Tick);
        Ok(FreshnessState {
            control_state,
            tracker: FreshnessTracker::new(FRESHNESS_LIMIT_DEFAULT),
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
        let tracker = &mut state.tracker;
        match message {
            FreshnessMessage::Tick => {}
            FreshnessMessage::ConfigInstalled {
                revision,
                freshness_limit,
            } => {
                tracker.set_revision(revision, freshness_limit);
            }
            FreshnessMessage::ServiceRead { sent_at } => tracker.record_read(sent_at),
            FreshnessMessage::ServiceReadFailed { sent_at } => tracker.record_read_failure(sent_at),
            FreshnessMessage::PeerReplied {
                peer,
                sent_at,
                evidence,
            } => tracker.record_reply(peer, sent_at, evidence),
            FreshnessMessage::ConnectionRefused { peer, sent_at } => {
                tracker.record_connection_refused(peer, sent_at)
            }
            FreshnessMessage::LivePeersListed(peers) => tracker.set_live_peers(peers),
            FreshnessMessage::NextProbes { count, reply } => {
                let _ = reply.send(tracker.next_probes(state.control_state.board.now(), count));
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
    /// Publishes the time until which the configuration counts as current and the [`FreshnessStatus`], and
    /// logs when the configuration becomes current or stale. Changes the phase from `Starting` to `Serving`
    /// once the configuration is current and the tracker allows serving.
    fn publish_status(&mut self) {
        let board = &self.control_state.board;
        let now = board.now();
        let fresh_until = self.tracker.fresh_until().unwrap_or_default();
        let fresh_until_us = fresh_until.as_micros() as u64;
        board
            .config_fresh_until_us
            .store(fresh_until_us, Ordering::Release);
        let age = self.tracker.evidence_age(now);
        let is_starting = board.phase() == Phase::Starting;
        self.control_state
            .freshness_status
            .store(Arc::new(FreshnessStatus {
                evidence_at: age.map(|age| now.saturating_sub(age)),
                reachability: self.tracker.reachability(now),
                needs_evidence: is_starting || self.tracker.needs_refresh(now),
            }));
        let is_fresh = now < fresh_until;
        if is_fresh != self.was_fresh {
            self.was_fresh = is_fresh;
            let reason = match age {
                None => "no evidence",
                Some(_) if is_fresh && self.tracker.needs_refresh(now) => {
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
        if is_starting && is_fresh && self.tracker.may_start_serving(now) {
            // The process may have started to drain meanwhile, and must then stay in the phase `Draining`.
            let has_started_serving = board.phase.send_if_modified(|phase| {
                let is_starting = *phase == Phase::Starting;
                if is_starting {
                    *phase = Phase::Serving;
                }
                is_starting
            });
            if has_started_serving {
                tracing::info!("serving: the configuration is current");
            }
        }
    }
}

//! Calls to peers.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::Duration, //
};

use limpet_peer::PeerErrorKind;
use limpet_types::message::{
    PeerReply,
    PeerRequest, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use rand::seq::IndexedRandom;
use tokio::{
    sync::oneshot,
    task::JoinSet, //
};

use crate::control::{
    exchange,
    freshness::FreshnessMessage,
    shared::Links,
    ticker::{
        reap,
        tick, //
    },
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);
/// Random peers asked in a round.
const PEERS_PER_ROUND: usize = 2;
/// Random peers that get a new revision at once.
const PEERS_PUSHED: usize = 3;
/// Further peers asked in a round while evidence is wanted; within a limit of 4 s this reaches 160
/// VMs, beyond which the outage exception does not apply.
const PROBES_PER_ROUND: usize = 16;
/// Longest wait for an answer; a peer that takes longer counts as silent.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Messages to the gossip controller.
#[derive(Debug)]
pub(super) enum GossipMessage {
    /// Start a round.
    Tick,
    /// A new revision is in force here.
    Installed,
    /// Ask one peer now.
    Ask(SocketAddr),
    /// A call has ended.
    Done(SocketAddr),
}

/// Asks peers for news and pushes new revisions.
#[derive(Debug)]
pub(super) struct GossipController;

#[derive(Debug)]
pub(super) struct GossipState {
    links: Links,
    in_flight: HashSet<SocketAddr>,
    tasks: JoinSet<()>,
}

impl Actor for GossipController {
    type Msg = GossipMessage;
    type State = GossipState;
    type Arguments = Links;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        links: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        tick(&mut tasks, myself.clone(), ROUND, || GossipMessage::Tick);
        let mut installed = links.shared.installed.subscribe();
        tasks.spawn(async move {
            while installed.changed().await.is_ok() {
                if myself.cast(GossipMessage::Installed).is_err() {
                    return;
                }
            }
        });
        Ok(GossipState {
            links,
            in_flight: HashSet::new(),
            tasks,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            GossipMessage::Tick => {
                reap(&mut state.tasks);
                let mut peers = state.random_peers(PEERS_PER_ROUND);
                if state.links.shared.evidence.load().is_wanted {
                    peers.extend(state.probes().await);
                }
                for peer in peers {
                    state.ask(&myself, peer);
                }
            }
            GossipMessage::Installed => {
                for peer in state.random_peers(PEERS_PUSHED) {
                    state.call(&myself, peer, true);
                }
            }
            GossipMessage::Ask(peer) => state.ask(&myself, peer),
            GossipMessage::Done(peer) => {
                state.in_flight.remove(&peer);
            }
        }
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

impl GossipState {
    /// Chooses among the known members and the listed addresses.
    fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let shared = &self.links.shared;
        let own = shared.board.node.addr;
        let members = shared.board.members.load();
        let known = members.nodes.iter().map(|member| member.record.node.addr);
        let mut peers: Vec<SocketAddr> = known.filter(|addr| *addr != own).collect();
        peers.extend(shared.listed.load().iter());
        peers.sort_unstable();
        peers.dedup();
        let chosen = peers.choose_multiple(&mut rand::rng(), count);
        chosen.copied().collect()
    }

    async fn probes(&self) -> Vec<SocketAddr> {
        let (probes, received) = oneshot::channel();
        let count = PROBES_PER_ROUND;
        let ask = FreshnessMessage::NextProbes { count, probes };
        let _ = self.links.freshness.cast(ask);
        received.await.unwrap_or_default()
    }

    /// Asks a peer, unless a call to it is under way.
    fn ask(&mut self, myself: &ActorRef<GossipMessage>, peer: SocketAddr) {
        if self.in_flight.insert(peer) {
            self.call(myself, peer, false);
        }
    }

    fn call(&mut self, myself: &ActorRef<GossipMessage>, peer: SocketAddr, push: bool) {
        let (links, myself) = (self.links.clone(), myself.clone());
        self.tasks.spawn(async move {
            call(&links, peer, push).await;
            if !push {
                let _ = myself.cast(GossipMessage::Done(peer));
            }
        });
    }
}

async fn call(links: &Links, peer: SocketAddr, push: bool) {
    let shared = &links.shared;
    let request = PeerRequest::Gossip(Box::new(exchange::request(shared, push)));
    let sent_at = shared.board.now();
    match shared.peers.call(peer, &request, CALL_TIMEOUT).await {
        Ok(PeerReply::Gossip(reply)) => exchange::absorb(links, peer, sent_at, *reply).await,
        Ok(_) => tracing::debug!(%peer, "peer does not gossip yet"),
        Err(error) => {
            tracing::debug!(%error, "gossip failed");
            if error.kind == PeerErrorKind::ConnectionRefused {
                let _ = links
                    .freshness
                    .cast(FreshnessMessage::Refused { peer, sent_at });
            }
        }
    }
}

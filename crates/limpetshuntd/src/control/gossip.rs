//! Calls peers to exchange gossip, which spreads configuration texts, evidence, node records and strikes.

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
    actor_tasks::{
        reap_finished_tasks,
        send_periodically, //
    },
    control_state::ControlHandles,
    freshness::FreshnessMessage,
    gossip_messages,
};

/// Time between two rounds of calls.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of randomly chosen peers called in a round.
const PEERS_PER_ROUND: usize = 2;
/// Number of randomly chosen peers that a new revision is pushed to as soon as it is in force.
const PEERS_PER_PUSH: usize = 3;
/// Number of further peers called in a round while evidence is needed.
///
/// If the configuration service is down for all, the configuration stays fresh only while each live peer
/// has confirmed the outage within the freshness limit. Within a limit of 4 s these calls reach both
/// processes of 160 VMs; in a larger fleet the configuration does not stay fresh in such an outage.
const PROBES_PER_ROUND: usize = 16;
/// Maximum time to wait for the reply to a call; a peer that takes longer gives no evidence.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Messages to the gossip controller.
#[derive(Debug)]
pub(super) enum GossipMessage {
    /// Start a round of calls.
    Tick,
    /// A new revision is in force here: push it.
    ConfigInstalled,
    /// Call this peer now.
    CallPeer(SocketAddr),
    /// A call to this peer that did not push a new revision has ended.
    CallEnded(SocketAddr),
}

/// Exchanges state with random peers in rounds, and pushes new revisions.
#[derive(Debug)]
pub(super) struct GossipController;

/// State of the gossip controller between two messages.
#[derive(Debug)]
pub(super) struct GossipState {
    handles: ControlHandles,
    /// Peers to which a call that is not a push is in flight.
    called_peers: HashSet<SocketAddr>,
    tasks: JoinSet<()>,
}

impl Actor for GossipController {
    type Msg = GossipMessage;
    type State = GossipState;
    type Arguments = ControlHandles;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        handles: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        send_periodically(&mut tasks, myself.clone(), ROUND_INTERVAL, || {
            GossipMessage::Tick
        });
        let mut installed_revision = handles.control_state.installed_revision.subscribe();
        tasks.spawn(async move {
            while installed_revision.changed().await.is_ok() {
                if myself.cast(GossipMessage::ConfigInstalled).is_err() {
                    return;
                }
            }
        });
        Ok(GossipState {
            handles,
            called_peers: HashSet::new(),
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
                reap_finished_tasks(&mut state.tasks);
                let mut peers = state.choose_peers(PEERS_PER_ROUND);
                if state
                    .handles
                    .control_state
                    .freshness_status
                    .load()
                    .needs_evidence
                {
                    peers.extend(state.next_probes().await);
                }
                for peer in peers {
                    state.call_unless_in_flight(&myself, peer);
                }
            }
            GossipMessage::ConfigInstalled => {
                for peer in state.choose_peers(PEERS_PER_PUSH) {
                    state.spawn_call(&myself, peer, true);
                }
            }
            GossipMessage::CallPeer(peer) => state.call_unless_in_flight(&myself, peer),
            GossipMessage::CallEnded(peer) => {
                state.called_peers.remove(&peer);
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
    /// Returns up to `count` random peers, from the members and the VM list.
    fn choose_peers(&self, count: usize) -> Vec<SocketAddr> {
        let control_state = &self.handles.control_state;
        let own_addr = control_state.board.node.addr;
        let members = control_state.board.members.load();
        let member_addrs = members.nodes.iter().map(|member| member.record.node.addr);
        let mut peers: Vec<SocketAddr> = member_addrs.filter(|addr| *addr != own_addr).collect();
        peers.extend(control_state.listed_peers.load().iter());
        peers.sort_unstable();
        peers.dedup();
        let chosen = peers.choose_multiple(&mut rand::rng(), count);
        chosen.copied().collect()
    }

    /// Returns the peers to call next for their evidence; none if the freshness controller has stopped.
    async fn next_probes(&self) -> Vec<SocketAddr> {
        let (reply, reply_receiver) = oneshot::channel();
        let count = PROBES_PER_ROUND;
        let message = FreshnessMessage::NextProbes { count, reply };
        let _ = self.handles.freshness.cast(message);
        reply_receiver.await.unwrap_or_default()
    }

    /// Calls a peer, unless a call to it that is not a push is in flight.
    fn call_unless_in_flight(&mut self, myself: &ActorRef<GossipMessage>, peer: SocketAddr) {
        if self.called_peers.insert(peer) {
            self.spawn_call(myself, peer, false);
        }
    }

    /// Calls a peer in the background; a push may run next to another call to the same peer.
    fn spawn_call(&mut self, myself: &ActorRef<GossipMessage>, peer: SocketAddr, is_push: bool) {
        let (handles, myself) = (self.handles.clone(), myself.clone());
        self.tasks.spawn(async move {
            call_peer(&handles, peer, is_push).await;
            if !is_push {
                let _ = myself.cast(GossipMessage::CallEnded(peer));
            }
        });
    }
}

/// Sends a gossip request to a peer and processes the reply; a refused connection is evidence too, because
/// it shows that no process runs at the peer's address.
async fn call_peer(handles: &ControlHandles, peer: SocketAddr, is_push: bool) {
    let control_state = &handles.control_state;
    let request = PeerRequest::Gossip(Box::new(gossip_messages::build_request(
        control_state,
        is_push,
    )));
    let sent_at = control_state.board.now();
    match control_state
        .peer_client
        .call(peer, &request, CALL_TIMEOUT)
        .await
    {
        Ok(PeerReply::Gossip(reply)) => {
            gossip_messages::handle_reply(handles, peer, sent_at, *reply).await
        }
        Ok(_) => tracing::debug!(%peer, "peer does not support gossip yet"),
        Err(error) => {
            tracing::debug!(%error, "gossip call failed");
            if error.kind == PeerErrorKind::ConnectionRefused {
                let _ = handles
                    .freshness
                    .cast(FreshnessMessage::ConnectionRefused { peer, sent_at });
            }
        }
    }
}

//! Actor that stands for election as coordinator of one lease group and renews the lease.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use limpet_decide::{
    lease::LEASE_RENEW_INTERVAL,
    placement, //
};
use limpet_types::{
    LeaseGroupId, NodeId, Phase, Role,
    message::{
        PeerReply,
        PeerRequest,
        VoteReply,
        VoteRequest, //
    },
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    blackboard::Blackboard,
    daemon::Context,
    lease::{
        handlers,
        lease_state::LeaseState, //
    },
};

/// Timeout of a vote request; shorter than the interval between two renewals.
const VOTE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two checks of a lease group in which this relay neither holds the lease nor stands for
/// election.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// Additional delay of an election for each rank in the order of preference, so that the preferred
/// relay stands for election first.
const DELAY_PER_RANK: Duration = Duration::from_millis(60);
/// Highest rank that adds delay; bounds the delay when the preferred relays have failed.
const RANK_MAX: usize = 8;
/// Upper bound, in milliseconds, of the random delay after an election round without quorum; the random part
/// of the delay before each election is at most a third of it. Keeps two candidates from splitting the votes
/// repeatedly.
const BACKOFF_MAX_MS: u64 = 150;

/// Stands for election as coordinator of one lease group, and renews the lease that an election gave.
pub(super) struct CandidateActor {
    pub(super) group: LeaseGroupId,
}

/// Starts the next step of the candidate.
pub(super) struct Tick;

/// State of the candidate between two steps.
pub(super) struct CandidateState {
    context: Context,
    lease_state: Arc<LeaseState>,
    /// Time since boot of the next election round; `None` unless the lease group seems to have no
    /// coordinator.
    campaign_at: Option<Duration>,
}

impl Actor for CandidateActor {
    type Msg = Tick;
    type State = CandidateState;
    type Arguments = (Context, Arc<LeaseState>);

    async fn pre_start(
        &self,
        myself: ActorRef<Tick>,
        (context, lease_state): Self::Arguments,
    ) -> Result<CandidateState, ActorProcessingErr> {
        myself.send_after(IDLE_INTERVAL, || Tick);
        Ok(CandidateState {
            context,
            lease_state,
            campaign_at: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Tick>,
        _tick: Tick,
        state: &mut CandidateState,
    ) -> Result<(), ActorProcessingErr> {
        let wait = run_step(self.group, state).await;
        myself.send_after(wait, || Tick);
        Ok(())
    }
}

/// Renews the lease or stands for election if that is due, and returns the time until the next step.
async fn run_step(group: LeaseGroupId, state: &mut CandidateState) -> Duration {
    let board = &state.context.board;
    let now = board.now();
    let has_lease = {
        let mut group_state = state.lease_state.lock_group(group);
        group_state.drop_expired_lease(group, now);
        group_state.candidate.lease(now).is_some()
    };
    publish_coordinated_groups(board, &state.lease_state);
    let Some(in_force) = board
        .config_in_force()
        .filter(|_| board.phase() == Phase::Serving)
    else {
        state.campaign_at = None;
        return IDLE_INTERVAL;
    };
    let promised_to = state.lease_state.lock_voter().promised_to(group, now);
    if !has_lease {
        if promised_to.is_some_and(|node| node != board.node) {
            state.campaign_at = None;
            return IDLE_INTERVAL;
        }
        let campaign_at = *state
            .campaign_at
            .get_or_insert_with(|| now + election_delay(board, group));
        if now < campaign_at {
            return (campaign_at - now).min(IDLE_INTERVAL);
        }
    }
    let has_quorum = run_election_round(
        &state.context,
        &state.lease_state,
        group,
        in_force.config.fleet.vms_max,
    )
    .await;
    publish_coordinated_groups(board, &state.lease_state);
    state.campaign_at = None;
    if has_quorum {
        LEASE_RENEW_INTERVAL.saturating_sub(board.now().saturating_sub(now))
    } else {
        Duration::from_millis(rand::random_range(0..BACKOFF_MAX_MS))
    }
}

/// Returns how long this relay waits before it stands for election in a lease group without
/// coordinator.
fn election_delay(board: &Blackboard, group: LeaseGroupId) -> Duration {
    let members = board.members.load();
    let mut relays: Vec<NodeId> = members
        .nodes_with_role(Role::Relay)
        .map(|member| member.record.node)
        .collect();
    relays.push(board.node);
    relays.sort_unstable();
    relays.dedup_by_key(|node| node.addr);
    let ranked = placement::rank_relays(&[b"coordinator", &group.to_le_bytes()], &relays);
    let rank = ranked.iter().position(|node| node.addr == board.node.addr);
    let rank = rank.unwrap_or(RANK_MAX).min(RANK_MAX) as u32;
    DELAY_PER_RANK * rank + Duration::from_millis(rand::random_range(0..BACKOFF_MAX_MS / 3))
}

/// Asks every known relay for its vote once; returns whether a quorum voted for this relay, which wins or
/// renews the lease. Without a quorum, releases the votes, unless this relay still holds the lease.
async fn run_election_round(
    context: &Context,
    lease_state: &LeaseState,
    group: LeaseGroupId,
    vms_max: u32,
) -> bool {
    let board = &context.board;
    let request = lease_state
        .lock_group(group)
        .candidate
        .start_round(vms_max, board.now());
    let Some(request) = request else {
        return false;
    };
    let mut has_quorum = false;
    let own_vote = handlers::vote(context, lease_state, &request);
    has_quorum |= lease_state
        .lock_group(group)
        .on_vote_reply(board.node, &own_vote, board.now());
    let peers = other_relay_addrs(board);
    let mut replies: FuturesUnordered<_> = peers
        .iter()
        .map(|peer| request_vote(context, *peer, &request))
        .collect();
    while let Some(reply) = replies.next().await {
        if let Some(reply) = reply {
            let mut group_state = lease_state.lock_group(group);
            has_quorum |= group_state.on_vote_reply(board.node, &reply, board.now());
        }
    }
    let vote_release = lease_state
        .lock_group(group)
        .candidate
        .abandon_round(board.now());
    if let Some(vote_release) = vote_release {
        tracing::debug!(
            group,
            vms_max,
            asked = peers.len() + 1,
            "no quorum of votes"
        );
        release_votes(context, lease_state, &vote_release).await;
    }
    has_quorum
}

/// Sends a request that releases votes to every known relay, this one included, so that each can vote for
/// another candidate before its vote expires.
pub(super) async fn release_votes(
    context: &Context,
    lease_state: &LeaseState,
    request: &VoteRequest,
) {
    handlers::vote(context, lease_state, request);
    let peers = other_relay_addrs(&context.board);
    let calls: FuturesUnordered<_> = peers
        .iter()
        .map(|peer| request_vote(context, *peer, request))
        .collect();
    calls.for_each(|_| async {}).await;
}

/// Sends a vote request to one relay; returns `None` if the relay did not answer in time.
async fn request_vote(
    context: &Context,
    peer: SocketAddr,
    request: &VoteRequest,
) -> Option<VoteReply> {
    let request = PeerRequest::Vote(request.clone());
    match context.peer_client.call(peer, &request, VOTE_TIMEOUT).await {
        Ok(PeerReply::Vote(reply)) => Some(reply),
        _ => None,
    }
}

/// Returns the addresses of all known relays except this one.
pub(super) fn other_relay_addrs(board: &Blackboard) -> Vec<SocketAddr> {
    let members = board.members.load();
    let relay_addrs = members
        .nodes_with_role(Role::Relay)
        .map(|member| member.record.node.addr);
    let mut relay_addrs: Vec<SocketAddr> = relay_addrs
        .filter(|addr| *addr != board.node.addr)
        .collect();
    relay_addrs.sort_unstable();
    relay_addrs.dedup();
    relay_addrs
}

/// Publishes the lease groups that this process coordinates; peers receive them by gossip in the node record
/// of this process.
pub(super) fn publish_coordinated_groups(board: &Blackboard, lease_state: &LeaseState) {
    let groups = lease_state.coordinated_groups(board.now());
    if **board.coordinated_groups.load() != groups {
        metrics::gauge!("limpet_coordinated_groups").set(groups.len() as f64);
        board.coordinated_groups.store(Arc::new(groups));
    }
}

//! Elections of one group.

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
    GroupId, NodeId, Phase, Role,
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
        service,
        state::LeaseState, //
    },
};

/// Longest wait for votes; shorter than the time between two renewals.
const VOTE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two looks at a group that another relay coordinates.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// Head start of each relay over the next one in the order of preference.
const RANK_DELAY: Duration = Duration::from_millis(60);
/// Ranks that are told apart; bounds the wait when the preferred relays are gone.
const RANKS_MAX: usize = 8;
/// Longest random wait before an attempt, so that two candidates do not split the votes forever.
const BACKOFF_MAX_MS: u64 = 150;

/// Candidate for one group.
pub(super) struct CandidateActor {
    pub(super) group: GroupId,
}

/// Time for the next step.
pub(super) struct Tick;

pub(super) struct CandidateState {
    context: Context,
    lease: Arc<LeaseState>,
    campaign_at: Option<Duration>,
}

impl Actor for CandidateActor {
    type Msg = Tick;
    type State = CandidateState;
    type Arguments = (Context, Arc<LeaseState>);

    async fn pre_start(
        &self,
        myself: ActorRef<Tick>,
        (context, lease): Self::Arguments,
    ) -> Result<CandidateState, ActorProcessingErr> {
        myself.send_after(IDLE_INTERVAL, || Tick);
        Ok(CandidateState {
            context,
            lease,
            campaign_at: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Tick>,
        _message: Tick,
        state: &mut CandidateState,
    ) -> Result<(), ActorProcessingErr> {
        let wait = step(self.group, state).await;
        myself.send_after(wait, || Tick);
        Ok(())
    }
}

async fn step(group: GroupId, state: &mut CandidateState) -> Duration {
    let board = &state.context.board;
    let now = board.now();
    let has_lease = {
        let mut shared = state.lease.group(group);
        shared.drop_expired(group, now);
        shared.candidate.lease(now).is_some()
    };
    publish(board, &state.lease);
    let Some(in_force) = board
        .config_in_force()
        .filter(|_| board.phase() == Phase::Serving)
    else {
        state.campaign_at = None;
        return IDLE_INTERVAL;
    };
    let promised_to = state.lease.voter().promised_to(group, now);
    if !has_lease {
        if promised_to.is_some_and(|node| node != board.node) {
            state.campaign_at = None;
            return IDLE_INTERVAL;
        }
        let at = *state
            .campaign_at
            .get_or_insert_with(|| now + head_start(board, group));
        if now < at {
            return (at - now).min(IDLE_INTERVAL);
        }
    }
    let is_won = run_round(
        &state.context,
        &state.lease,
        group,
        in_force.config.fleet.vms_max,
    )
    .await;
    publish(board, &state.lease);
    state.campaign_at = None;
    if is_won {
        LEASE_RENEW_INTERVAL.saturating_sub(board.now().saturating_sub(now))
    } else {
        Duration::from_millis(rand::random_range(0..BACKOFF_MAX_MS))
    }
}

/// Returns how long this relay waits before it campaigns for a free group.
fn head_start(board: &Blackboard, group: GroupId) -> Duration {
    let members = board.members.load();
    let mut relays: Vec<NodeId> = members
        .iter_role(Role::Relay)
        .map(|m| m.record.node)
        .collect();
    relays.push(board.node);
    relays.sort_unstable();
    relays.dedup_by_key(|node| node.addr);
    let ranked = placement::rank_relays(&[b"coordinator", &group.to_le_bytes()], &relays);
    let rank = ranked.iter().position(|node| node.addr == board.node.addr);
    let rank = rank.unwrap_or(RANKS_MAX).min(RANKS_MAX) as u32;
    RANK_DELAY * rank + Duration::from_millis(rand::random_range(0..BACKOFF_MAX_MS / 3))
}

/// Asks every known relay once; true if the group is held afterwards by this round.
async fn run_round(context: &Context, lease: &LeaseState, group: GroupId, vms_max: u32) -> bool {
    let board = &context.board;
    let request = lease
        .group(group)
        .candidate
        .start_round(vms_max, board.now());
    let Some(request) = request else {
        return false;
    };
    let mut is_won = false;
    let own = service::vote(context, lease, &request);
    is_won |= lease.group(group).on_vote(board.node, &own, board.now());
    let peers = other_relays(board);
    let mut replies: FuturesUnordered<_> =
        peers.iter().map(|p| ask(context, *p, &request)).collect();
    while let Some(reply) = replies.next().await {
        if let Some(reply) = reply {
            let mut shared = lease.group(group);
            is_won |= shared.on_vote(board.node, &reply, board.now());
        }
    }
    let give_back = lease.group(group).candidate.abandon_round(board.now());
    if let Some(give_back) = give_back {
        tracing::debug!(
            group,
            vms_max,
            asked = peers.len() + 1,
            "no quorum of votes"
        );
        send_to_all(context, lease, &give_back).await;
    }
    is_won
}

/// Sends a request that gives votes back to every known relay, this one included.
pub(super) async fn send_to_all(context: &Context, lease: &LeaseState, request: &VoteRequest) {
    service::vote(context, lease, request);
    let peers = other_relays(&context.board);
    let calls: FuturesUnordered<_> = peers.iter().map(|p| ask(context, *p, request)).collect();
    calls.for_each(|_| async {}).await;
}

async fn ask(context: &Context, peer: SocketAddr, request: &VoteRequest) -> Option<VoteReply> {
    let request = PeerRequest::Vote(request.clone());
    match context.peers.call(peer, &request, VOTE_TIMEOUT).await {
        Ok(PeerReply::Vote(reply)) => Some(reply),
        _ => None,
    }
}

/// Returns the addresses of every known relay but this one.
pub(super) fn other_relays(board: &Blackboard) -> Vec<SocketAddr> {
    let members = board.members.load();
    let relays = members.iter_role(Role::Relay).map(|m| m.record.node.addr);
    let mut relays: Vec<SocketAddr> = relays.filter(|addr| *addr != board.node.addr).collect();
    relays.sort_unstable();
    relays.dedup();
    relays
}

/// Writes the coordinated groups for the node record.
pub(super) fn publish(board: &Blackboard, lease: &LeaseState) {
    let groups = lease.coordinated(board.now());
    if **board.coordinated_groups.load() != groups {
        metrics::gauge!("limpet_coordinated_groups").set(groups.len() as f64);
        board.coordinated_groups.store(Arc::new(groups));
    }
}

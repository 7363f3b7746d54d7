//! Nodes, events and clocks of the simulation.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::{
    grant::{
        Coordinator,
        OwnedTargets,
        OwnershipRequest,
        RateLimit, //
    },
    lease::{
        Candidate,
        LEASE_TTL,
        Voter, //
    },
    tokens::{
        PrefetchPolicy,
        TokenPool, //
    },
};
use limpet_types::{
    LeaseGroupId, NodeId, Term,
    message::{
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The only lease group of the simulation.
pub(crate) const GROUP: LeaseGroupId = 0;
pub(crate) const RELAY_COUNT: usize = 5;
pub(crate) const ENTRY_COUNT: usize = 3;
pub(crate) const TEAM: &str = "north";
pub(crate) const TEAM_LIMIT: RateLimit = RateLimit {
    rate_per_s: 160.0,
    burst: 40,
};
/// Largest drift of a node's clock, in thousandths of its rate.
pub(crate) const DRIFT_PERMILLE: i64 = 10;
/// Simulated time since boot at which each simulation starts.
pub(crate) const START_MS: u64 = 100_000;

/// Protocol bug seeded on purpose, which the simulation must detect; `None` runs the protocol without a bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SeededBug {
    None,
    /// A restarted voter does not abstain.
    VotesAtStart,
    /// The lifetime of tokens counts from the arrival of the reply instead of the sending of the
    /// request.
    TokensCountedFromReply,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    VoteRequest(VoteRequest),
    VoteReply(VoteReply),
    GrantRequest(GrantRequest),
    GrantReply(GrantReply),
    /// Timer of the node with this incarnation.
    Timer(u64),
}

/// Grant request whose reply the node awaits.
pub(crate) struct PendingRequest {
    pub(crate) sequence: u64,
    pub(crate) sent_at: Duration,
    pub(crate) ownership_request: OwnershipRequest,
}

pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) drift_permille: i64,
    pub(crate) suspended_until_ms: u64,
    pub(crate) is_relay: bool,
    /// Indices of the relays on the member list of this node.
    pub(crate) known_relays: Vec<usize>,
    pub(crate) voter: Voter,
    pub(crate) candidate: Candidate,
    pub(crate) coordinator: Option<Coordinator>,
    pub(crate) owned_targets: OwnedTargets,
    pub(crate) pool: TokenPool,
    /// Term in the last grant reply.
    pub(crate) term: Option<Term>,
    /// Sequence number of the last grant request.
    pub(crate) sequence: u64,
    pub(crate) pending: Option<PendingRequest>,
    /// Index of the relay to which the last grant request was sent.
    pub(crate) peer_index: usize,
    /// Whether an entry keeps its tokens instead of spending them.
    pub(crate) is_withholding: bool,
}

impl Node {
    pub(crate) fn new(
        rng: &mut ChaCha8Rng,
        seeded_bug: SeededBug,
        now_ms: u64,
        index: usize,
    ) -> Self {
        let id = NodeId::new(addr(index), rng.random());
        let drift_permille = rng.random_range(-DRIFT_PERMILLE..=DRIFT_PERMILLE);
        let started_at = drifted_time(now_ms, drift_permille);
        let voter_started_at = match seeded_bug {
            SeededBug::VotesAtStart => started_at - LEASE_TTL,
            _ => started_at,
        };
        let known_relays = (0..RELAY_COUNT).filter(|_| rng.random_bool(0.9)).collect();
        // Entries request as many tokens as they can get.
        let mut pool = TokenPool::new().with_policy(PrefetchPolicy {
            horizon: Duration::from_secs(60),
            burst_percent: 100,
            stagger: Duration::ZERO,
        });
        pool.set_teams([TEAM].into_iter());
        Self {
            id,
            drift_permille,
            suspended_until_ms: 0,
            is_relay: index < RELAY_COUNT,
            known_relays,
            voter: Voter::new(id, voter_started_at),
            candidate: Candidate::new(id, GROUP),
            coordinator: None,
            owned_targets: OwnedTargets::new(id),
            pool,
            term: None,
            sequence: 0,
            pending: None,
            peer_index: 0,
            is_withholding: false,
        }
    }
}

pub(crate) fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7102))
}

/// Returns the time that a clock with this drift shows at the simulated time `now_ms`.
pub(crate) fn drifted_time(now_ms: u64, drift_permille: i64) -> Duration {
    // Each clock runs at its own rate from the start of the simulation on.
    let elapsed = now_ms - START_MS;
    let drifted = elapsed * (1000 + drift_permille) as u64;
    Duration::from_millis(START_MS) + Duration::from_micros(drifted)
}

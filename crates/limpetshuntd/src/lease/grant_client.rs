//! Holder of rights of one group.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::grant::{
    OWNERSHIP_TTL,
    OwnedTargets,
    OwnershipChange,
    OwnershipClaims,
    RateLimit, //
};
use limpet_types::{
    GroupId, NodeId, Phase, Role, TargetAddr, Term,
    hash::group_of_target,
    message::{
        GrantReply,
        GrantRequest,
        PeerReply,
        PeerRequest,
        TokenDemand, //
    },
};

use crate::{
    blackboard::{
        Blackboard,
        ConfigInForce,
        OwnerDirectory,
        OwnershipDeadlines, //
    },
    daemon::Context,
    lease::{
        candidate_actor::other_relays,
        moves_away::MovesAway,
        service,
        state::LeaseState, //
    },
    relay,
};

/// Time between two looks for requests that found no token; a request waits at most 50 ms.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Least time between two requests for missing tokens; bounds the load that a team far over its rate
/// puts on the coordinator and leaves two tries within the 50 ms.
const SHORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two requests of an entry that tell of spent tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two requests that renew ownership or look for a new directory.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two requests while a target is on its way to this relay.
const MOVE_INTERVAL: Duration = Duration::from_millis(25);
/// Time before another relay is asked who coordinates.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for one reply; a repeat under the same number follows.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Times that one request is sent.
const SENDS_MAX: u32 = 2;

/// Client of the coordinator of one group; has one request in flight at a time.
#[derive(Debug)]
pub(super) struct GrantClient {
    node: NodeId,
    group: GroupId,
    sequence: u64,
    term: Option<Term>,
    term_since: Duration,
    directory_version: u64,
    coordinator: Option<SocketAddr>,
    searched: usize,
    asked_at: Duration,
    is_released: bool,
    is_awaiting_move: bool,
    moves: MovesAway,
    ownership: OwnedTargets,
}

impl GrantClient {
    pub(super) fn new(node: NodeId, group: GroupId) -> Self {
        Self {
            node,
            group,
            sequence: 0,
            term: None,
            term_since: Duration::ZERO,
            directory_version: 0,
            coordinator: None,
            searched: 0,
            asked_at: Duration::ZERO,
            is_released: false,
            is_awaiting_move: false,
            moves: MovesAway::default(),
            ownership: OwnedTargets::new(node),
        }
    }

    /// Asks the coordinator if it is time; returns the time until the next step.
    pub(super) async fn step(&mut self, context: &Context, lease: &LeaseState) -> Duration {
        let board = &context.board;
        let lost = self.ownership.expire(board.now());
        self.moves.note(&lost);
        self.note_changes(board, &lost);
        self.release_idle(context);
        let Some(in_force) = board.config_in_force().filter(|_| !self.is_released) else {
            return RENEW_INTERVAL / 10;
        };
        if !self.is_due(board) {
            return CHECK_INTERVAL;
        }
        let Some(peer) = self.find_coordinator(board) else {
            return SEARCH_INTERVAL;
        };
        // Every right counts from this moment, so it is read before the request is built.
        let sent_at = board.now();
        self.asked_at = sent_at;
        let claims = self.claims(board, lease, &in_force, sent_at);
        let tokens = self.demands(board, &in_force, sent_at);
        let request = self.request(tokens, &claims);
        let reply = self.exchange(context, Some(lease), peer, &request).await;
        let is_done =
            reply.is_some_and(|reply| self.on_reply(board, peer, &claims, &reply, sent_at));
        if is_done {
            CHECK_INTERVAL
        } else {
            SEARCH_INTERVAL
        }
    }

    /// Gives back the targets that are to move and have no attempt left.
    fn release_idle(&mut self, context: &Context) {
        let board = &context.board;
        for target in self.moves.pending() {
            if !relay::is_target_idle(context, target) {
                continue;
            }
            let Some(until) = self.ownership.release(target) else {
                self.moves.forget(target);
                continue;
            };
            // An attempt counts as in flight before it checks the ownership: either it is seen by the
            // second look, or it finds the target no longer owned and is not sent.
            self.write_owned(board);
            if relay::is_target_idle(context, target) {
                self.moves.forget(target);
                self.asked_at = Duration::ZERO;
                tracing::info!(group = self.group, %target, reason = "moved for balance", "released ownership");
            } else {
                self.ownership.undo_release(target, until);
                self.moves.keep_to_its_end(target);
                self.write_owned(board);
            }
        }
    }

    /// Gives back every target; called when nothing is in flight on any of them.
    pub(super) async fn release(&mut self, context: &Context) {
        self.is_released = true;
        self.ownership.release_all();
        self.write_owned(&context.board);
        let claims = OwnershipClaims {
            released: self
                .ownership
                .claims(&[], |_| false, context.board.now())
                .released,
            ..OwnershipClaims::default()
        };
        let peer = self.coordinator.filter(|_| !claims.released.is_empty());
        if let Some(peer) = peer {
            let request = self.request(Vec::new(), &claims);
            let lease = context.module_states.lease.get();
            let _ = self
                .exchange(context, lease.map(Arc::as_ref), peer, &request)
                .await;
            tracing::info!(
                group = self.group,
                targets = claims.released.len(),
                reason = "draining",
                "released ownership"
            );
        }
    }

    fn is_due(&self, board: &Blackboard) -> bool {
        let now = board.now();
        let since = now.saturating_sub(self.asked_at);
        match board.role {
            Role::Relay if self.is_awaiting_move => since >= MOVE_INTERVAL,
            Role::Relay => since >= RENEW_INTERVAL,
            Role::Entry => {
                let is_short = since >= SHORT_INTERVAL
                    && board.token_pool().has_urgent_demand(self.group, now);
                since >= TOKEN_INTERVAL || is_short
            }
        }
    }

    fn find_coordinator(&mut self, board: &Blackboard) -> Option<SocketAddr> {
        if self.coordinator.is_some() {
            return self.coordinator;
        }
        if board.coordinated_groups.load().contains(&self.group) {
            return Some(board.node.addr);
        }
        let members = board.members.load();
        let coordinates = members
            .iter_role(Role::Relay)
            .filter(|member| member.record.coordinated_groups.contains(&self.group));
        let told = coordinates.max_by_key(|member| member.last_seen_at);
        self.searched += 1;
        // A record may name a coordinator that is gone, so every second search asks somebody else.
        if let Some(member) = told.filter(|_| self.searched % 2 == 1) {
            return Some(member.record.node.addr);
        }
        let relays = other_relays(board);
        let place = (self.searched / 2).checked_rem(relays.len())?;
        relays.get(place).copied()
    }

    fn claims(
        &self,
        board: &Blackboard,
        lease: &LeaseState,
        in_force: &ConfigInForce,
        now: Duration,
    ) -> OwnershipClaims {
        if board.role != Role::Relay {
            return OwnershipClaims::default();
        }
        let rules = lease.rules.get(board, self.group);
        let preferred = rules.preferred.iter();
        let mut wanted: Vec<TargetAddr> = preferred
            .filter(|(_, relay)| **relay == self.node)
            .map(|(target, _)| *target)
            .collect();
        wanted.sort_unstable();
        if board.phase() != Phase::Serving || !board.is_config_fresh() {
            wanted.clear();
        }
        let listed: HashSet<TargetAddr> =
            in_force.config.targets().map(|s| s.target.addr).collect();
        self.ownership
            .claims(&wanted, |target| listed.contains(&target), now)
    }

    fn demands(
        &self,
        board: &Blackboard,
        in_force: &ConfigInForce,
        now: Duration,
    ) -> Vec<TokenDemand> {
        if board.role != Role::Entry {
            return Vec::new();
        }
        let config = &in_force.config;
        let limit_of = |name: &str| {
            let limit = config.team(name).map(|team| RateLimit {
                rate_per_s: team.rate_per_s,
                burst: team.burst,
            });
            limit.unwrap_or_default()
        };
        let mut token_pool = board.token_pool();
        token_pool.set_teams(config.teams.iter().map(|team| &*team.name));
        token_pool.build_demands(self.group, self.term, limit_of, now)
    }

    fn request(&mut self, tokens: Vec<TokenDemand>, claims: &OwnershipClaims) -> GrantRequest {
        self.sequence += 1;
        GrantRequest {
            group: self.group,
            holder: self.node,
            sequence: self.sequence,
            tokens,
            term: self.term,
            wanted: claims.wanted.clone(),
            claimed: claims.claimed.clone(),
            released: claims.released.clone(),
            directory_version: self.directory_version,
        }
    }

    async fn exchange(
        &mut self,
        context: &Context,
        lease: Option<&LeaseState>,
        peer: SocketAddr,
        request: &GrantRequest,
    ) -> Option<GrantReply> {
        if peer == self.node.addr {
            return service::grant(context, lease?, request);
        }
        let message = PeerRequest::Grant(request.clone());
        for _ in 0..SENDS_MAX {
            if let Ok(PeerReply::Grant(reply)) =
                context.peers.call(peer, &message, CALL_TIMEOUT).await
            {
                return Some(reply);
            }
        }
        self.coordinator = None;
        None
    }

    /// Applies a reply; false if the group must be asked again soon.
    fn on_reply(
        &mut self,
        board: &Blackboard,
        peer: SocketAddr,
        claims: &OwnershipClaims,
        reply: &GrantReply,
        sent_at: Duration,
    ) -> bool {
        if reply.group != self.group || reply.sequence != self.sequence {
            return false;
        }
        if !reply.is_coordinator {
            let named = reply.coordinator.addr;
            self.coordinator = Some(named).filter(|addr| *addr != peer);
            self.asked_at = Duration::ZERO;
            return false;
        }
        self.coordinator = Some(peer);
        let now = board.now();
        if board.token_pool().apply(reply, sent_at, now) {
            board.tokens_granted.notify_waiters();
        }
        let changes = self.ownership.apply(claims, reply, sent_at, now);
        self.moves.note(&changes);
        self.is_awaiting_move = reply.targets.iter().any(|grant| grant.is_moving);
        self.note_changes(board, &changes);
        if !claims.claimed.is_empty() {
            self.write_owned(board);
        }
        let is_new_term = self.term != Some(reply.term);
        if is_new_term {
            tracing::info!(group = self.group, coordinator = %peer, "new coordinator");
            self.term = Some(reply.term);
            self.term_since = now;
            // Claims quoted the former term and did not count; they are repeated at once.
            self.asked_at = Duration::ZERO;
        }
        if let Some(directory) = &reply.directory {
            self.directory_version = reply.directory_version;
            let is_complete = now >= self.term_since + OWNERSHIP_TTL;
            let owners = directory.iter().map(|entry| (entry.target, entry.owner));
            let owners: Vec<_> = owners.collect();
            let group = self.group;
            board.owner_directory.rcu(|old| {
                let mut next = OwnerDirectory::clone(old);
                // A new coordinator learns of the owners by their claims, so what it does not name
                // yet stays.
                next.owners
                    .retain(|target, _| !is_complete || group_of_target(*target) != group);
                next.owners.extend(owners.iter().copied());
                next
            });
        }
        !is_new_term
    }

    fn note_changes(&self, board: &Blackboard, changes: &[OwnershipChange]) {
        if changes.is_empty() {
            return;
        }
        let group = self.group;
        for change in changes {
            let kind = match change {
                OwnershipChange::Gained(target) => {
                    tracing::info!(group, %target, reason = "granted", "ownership gained");
                    "gained"
                }
                OwnershipChange::Ending(target, owner) => {
                    let next = owner.map(|node| node.to_string());
                    tracing::info!(group, %target, next, reason = "not renewed", "ownership ending");
                    "ending"
                }
                OwnershipChange::Lost(target) => {
                    tracing::info!(group, %target, reason = "expired", "ownership lost");
                    "lost"
                }
            };
            metrics::counter!("limpet_ownership_changes_total", "kind" => kind).increment(1);
        }
        self.write_owned(board);
    }

    fn write_owned(&self, board: &Blackboard) {
        let owned: Vec<_> = self.ownership.owned().collect();
        board.ownership_deadlines.rcu(|old| {
            let mut next = OwnershipDeadlines::clone(old);
            next.ends_by_target
                .retain(|target, _| group_of_target(*target) != self.group);
            next.ends_by_target.extend(owned.iter().copied());
            next
        });
    }
}

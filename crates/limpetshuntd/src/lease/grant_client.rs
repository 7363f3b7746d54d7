//! Client that obtains tokens and target ownership from the coordinator of one lease group.

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
    OwnershipRequest,
    RateLimit, //
};
use limpet_types::{
    LeaseGroupId, NodeId, Phase, Role, TargetAddr, Term,
    hash::lease_group_of_target,
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
        candidate_actor::other_relay_addrs,
        handlers,
        lease_state::LeaseState,
        outgoing_moves::OutgoingMoves, //
    },
    relay,
};

/// Interval between two checks whether a request to the coordinator is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest interval between two requests for missing tokens. Allows two tries in the 50 ms that a
/// caller's request waits, and limits the load that a team far over its rate causes at the coordinator.
const MISSING_TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which an entry reports its spent tokens.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a relay renews its ownerships and gets changes of the directory.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two requests while another relay is asked to give up a target for this relay.
const MOVE_INTERVAL: Duration = Duration::from_millis(25);
/// Delay before the next step if no relay to ask is known, or if the last request got no reply, a reply from
/// a relay that is not the coordinator, or the first reply of a new term.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one call; the request is sent again with the same sequence number.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of times that one request is sent.
const SENDS_MAX: u32 = 2;

/// Client of the coordinator of one lease group; has at most one request in flight.
#[derive(Debug)]
pub(super) struct GrantClient {
    node: NodeId,
    group: LeaseGroupId,
    /// Sequence number of the last request; a reply to an earlier one is ignored.
    sequence: u64,
    /// Term of the coordinator that answered last.
    term: Option<Term>,
    /// Time since boot at which this client learned of `term`.
    term_known_since: Duration,
    /// Version of the owner directory that this client has; the coordinator sends its directory only if that
    /// has another version.
    directory_version: u64,
    coordinator_addr: Option<SocketAddr>,
    /// Number of searches for the coordinator; selects the relay to ask next.
    search_count: usize,
    /// Time since boot of the last request; zero if the next one is due at once.
    last_request_at: Duration,
    /// Whether this process has drained, after which it requests nothing more.
    has_released_all: bool,
    /// Whether the last reply of the coordinator said that another relay is asked to give up a target for
    /// this relay.
    is_awaiting_move: bool,
    outgoing_moves: OutgoingMoves,
    owned_targets: OwnedTargets,
}

impl GrantClient {
    /// Creates a client that owns no targets and knows no coordinator.
    pub(super) fn new(node: NodeId, group: LeaseGroupId) -> Self {
        Self {
            node,
            group,
            sequence: 0,
            term: None,
            term_known_since: Duration::ZERO,
            directory_version: 0,
            coordinator_addr: None,
            search_count: 0,
            last_request_at: Duration::ZERO,
            has_released_all: false,
            is_awaiting_move: false,
            outgoing_moves: OutgoingMoves::default(),
            owned_targets: OwnedTargets::new(node),
        }
    }

    /// Sends a request to the coordinator if one is due, and returns the time until the next step.
    pub(super) async fn run_step(
        &mut self,
        context: &Context,
        lease_state: &LeaseState,
    ) -> Duration {
        let board = &context.board;
        let expirations = self.owned_targets.expire(board.now());
        self.outgoing_moves.apply_changes(&expirations);
        self.record_changes(board, &expirations);
        self.release_idle_targets(context);
        let Some(in_force) = board.config_in_force().filter(|_| !self.has_released_all) else {
            return RENEW_INTERVAL / 10;
        };
        if !self.is_request_due(board) {
            return CHECK_INTERVAL;
        }
        let Some(peer) = self.find_coordinator(board) else {
            return SEARCH_INTERVAL;
        };
        // The lifetime of a grant counts from this time, so it is read before the request is built.
        let sent_at = board.now();
        self.last_request_at = sent_at;
        let ownership_request =
            self.build_ownership_request(board, lease_state, &in_force, sent_at);
        let token_demands = self.build_demands(board, &in_force, sent_at);
        let request = self.build_request(token_demands, &ownership_request);
        let reply = self
            .send_request(context, Some(lease_state), peer, &request)
            .await;
        let is_complete = reply.is_some_and(|reply| {
            self.apply_reply(board, peer, &ownership_request, &reply, sent_at)
        });
        if is_complete {
            CHECK_INTERVAL
        } else {
            SEARCH_INTERVAL
        }
    }

    /// Releases the targets that should move to another relay and have no attempt in flight.
    fn release_idle_targets(&mut self, context: &Context) {
        let board = &context.board;
        for target in self.outgoing_moves.releasable_targets() {
            if !relay::is_target_idle(context, target) {
                continue;
            }
            let Some(expires_at) = self.owned_targets.release(target) else {
                self.outgoing_moves.remove(target);
                continue;
            };
            // An attempt counts as in flight before it checks the ownership. The second check
            // therefore sees it, or else the attempt finds the target no longer owned and is not sent.
            self.publish_owned_targets(board);
            if relay::is_target_idle(context, target) {
                self.outgoing_moves.remove(target);
                self.last_request_at = Duration::ZERO;
                tracing::info!(
                    group = self.group,
                    %target,
                    reason = "moved for balance",
                    "released ownership"
                );
            } else {
                self.owned_targets.undo_release(target, expires_at);
                self.outgoing_moves.hold_until_expiration(target);
                self.publish_owned_targets(board);
            }
        }
    }

    /// Releases every target, reports this to the coordinator if it is known, and lets the client send no
    /// further requests; called when no attempt is in flight on any target.
    pub(super) async fn release_all(&mut self, context: &Context) {
        self.has_released_all = true;
        self.owned_targets.release_all();
        self.publish_owned_targets(&context.board);
        let ownership_request = OwnershipRequest {
            released: self
                .owned_targets
                .build_request(&[], |_| false, context.board.now())
                .released,
            ..OwnershipRequest::default()
        };
        let peer = self
            .coordinator_addr
            .filter(|_| !ownership_request.released.is_empty());
        if let Some(peer) = peer {
            let request = self.build_request(Vec::new(), &ownership_request);
            let lease_state = context.module_states.lease.get();
            let _ = self
                .send_request(context, lease_state.map(Arc::as_ref), peer, &request)
                .await;
            tracing::info!(
                group = self.group,
                targets = ownership_request.released.len(),
                reason = "draining",
                "released ownership"
            );
        }
    }

    /// Returns whether enough time has passed since the last request for what this process needs now.
    fn is_request_due(&self, board: &Blackboard) -> bool {
        let now = board.now();
        let since_last_request = now.saturating_sub(self.last_request_at);
        match board.role {
            Role::Relay if self.is_awaiting_move => since_last_request >= MOVE_INTERVAL,
            Role::Relay => since_last_request >= RENEW_INTERVAL,
            Role::Entry => {
                let is_token_request_due = since_last_request >= MISSING_TOKEN_INTERVAL
                    && board.token_pool().has_urgent_demand(self.group, now);
                since_last_request >= USAGE_REPORT_INTERVAL || is_token_request_due
            }
        }
    }

    /// Returns the address to ask: the coordinator if it is known, otherwise a relay that may know it; `None`
    /// if no other relay is known.
    fn find_coordinator(&mut self, board: &Blackboard) -> Option<SocketAddr> {
        if self.coordinator_addr.is_some() {
            return self.coordinator_addr;
        }
        if board.coordinated_groups.load().contains(&self.group) {
            return Some(board.node.addr);
        }
        let members = board.members.load();
        let coordinators = members
            .nodes_with_role(Role::Relay)
            .filter(|member| member.record.coordinated_groups.contains(&self.group));
        let reported_coordinator = coordinators.max_by_key(|member| member.last_seen_at);
        self.search_count += 1;
        // The node record of a failed coordinator may persist, so every second search asks another
        // relay.
        if let Some(member) = reported_coordinator.filter(|_| self.search_count % 2 == 1) {
            return Some(member.record.node.addr);
        }
        let relay_addrs = other_relay_addrs(board);
        let index = (self.search_count / 2).checked_rem(relay_addrs.len())?;
        relay_addrs.get(index).copied()
    }

    /// Builds the part of a grant request that is about targets; it is empty on an entry.
    fn build_ownership_request(
        &self,
        board: &Blackboard,
        lease_state: &LeaseState,
        in_force: &ConfigInForce,
        now: Duration,
    ) -> OwnershipRequest {
        if board.role != Role::Relay {
            return OwnershipRequest::default();
        }
        let rules = lease_state.rules_cache.get(board, self.group);
        let preferred = rules.preferred.iter();
        let mut wanted: Vec<TargetAddr> = preferred
            .filter(|(_, relay)| **relay == self.node)
            .map(|(target, _)| *target)
            .collect();
        wanted.sort_unstable();
        if board.phase() != Phase::Serving || !board.is_config_fresh() {
            wanted.clear();
        }
        let configured_targets: HashSet<TargetAddr> = in_force
            .config
            .targets()
            .map(|target_ref| target_ref.target.addr)
            .collect();
        self.owned_targets.build_request(
            &wanted,
            |target| configured_targets.contains(&target),
            now,
        )
    }

    /// Updates the teams of the token pool from the configuration, and returns the demands of this process
    /// for tokens; none on a relay.
    fn build_demands(
        &self,
        board: &Blackboard,
        in_force: &ConfigInForce,
        now: Duration,
    ) -> Vec<TokenDemand> {
        if board.role != Role::Entry {
            return Vec::new();
        }
        let config = &in_force.config;
        let team_limit = |name: &str| {
            let limit = config.team(name).map(|team| RateLimit {
                rate_per_s: team.rate_per_s,
                burst: team.burst,
            });
            limit.unwrap_or_default()
        };
        let mut token_pool = board.token_pool();
        token_pool.set_teams(config.teams.iter().map(|team| &*team.name));
        token_pool.build_demands(self.group, self.term, team_limit, now)
    }

    /// Builds a request with the next sequence number.
    fn build_request(
        &mut self,
        token_demands: Vec<TokenDemand>,
        ownership_request: &OwnershipRequest,
    ) -> GrantRequest {
        self.sequence += 1;
        GrantRequest {
            group: self.group,
            holder: self.node,
            sequence: self.sequence,
            tokens: token_demands,
            term: self.term,
            wanted: ownership_request.wanted.clone(),
            claimed: ownership_request.claimed.clone(),
            released: ownership_request.released.clone(),
            directory_version: self.directory_version,
        }
    }

    /// Returns the reply of `peer`, without a call if that is this process. If a peer sends no grant
    /// reply, returns `None`, and the coordinator counts as unknown.
    async fn send_request(
        &mut self,
        context: &Context,
        lease_state: Option<&LeaseState>,
        peer: SocketAddr,
        request: &GrantRequest,
    ) -> Option<GrantReply> {
        if peer == self.node.addr {
            return handlers::grant(context, lease_state?, request);
        }
        let message = PeerRequest::Grant(request.clone());
        for _ in 0..SENDS_MAX {
            if let Ok(PeerReply::Grant(reply)) =
                context.peer_client.call(peer, &message, CALL_TIMEOUT).await
            {
                return Some(reply);
            }
        }
        self.coordinator_addr = None;
        None
    }

    /// Adds granted tokens to the pool, and updates the owned targets, the owner directory and the known
    /// coordinator by a reply. Returns false if a further request is needed soon, because the reply is to an
    /// earlier request, not from the coordinator, or the first of a new term.
    fn apply_reply(
        &mut self,
        board: &Blackboard,
        peer: SocketAddr,
        ownership_request: &OwnershipRequest,
        reply: &GrantReply,
        sent_at: Duration,
    ) -> bool {
        if reply.group != self.group || reply.sequence != self.sequence {
            return false;
        }
        if !reply.is_coordinator {
            let named_coordinator_addr = reply.coordinator.addr;
            self.coordinator_addr = Some(named_coordinator_addr).filter(|addr| *addr != peer);
            self.last_request_at = Duration::ZERO;
            return false;
        }
        self.coordinator_addr = Some(peer);
        let now = board.now();
        if board.token_pool().apply(reply, sent_at, now) {
            board.tokens_granted.notify_waiters();
        }
        let changes = self
            .owned_targets
            .apply(ownership_request, reply, sent_at, now);
        self.outgoing_moves.apply_changes(&changes);
        self.is_awaiting_move = reply.targets.iter().any(|grant| grant.is_moving);
        self.record_changes(board, &changes);
        if !ownership_request.claimed.is_empty() {
            self.publish_owned_targets(board);
        }
        let is_new_term = self.term != Some(reply.term);
        if is_new_term {
            tracing::info!(group = self.group, coordinator = %peer, "new coordinator");
            self.term = Some(reply.term);
            self.term_known_since = now;
            // Claims sent with an earlier term are ignored, so they are repeated at once.
            self.last_request_at = Duration::ZERO;
        }
        if let Some(directory) = &reply.directory {
            self.directory_version = reply.directory_version;
            let is_directory_complete = now >= self.term_known_since + OWNERSHIP_TTL;
            let owners = directory.iter().map(|entry| (entry.target, entry.owner));
            let owners: Vec<_> = owners.collect();
            let group = self.group;
            board.owner_directory.rcu(|current| {
                let mut updated = OwnerDirectory::clone(current);
                // A new coordinator learns of the owners from their claims. Owners that its directory
                // lacks are therefore kept until this client has known the term for `OWNERSHIP_TTL`;
                // by then the grace period of the coordinator is over.
                updated.owners.retain(|target, _| {
                    !is_directory_complete || lease_group_of_target(*target) != group
                });
                updated.owners.extend(owners.iter().copied());
                updated
            });
        }
        !is_new_term
    }

    /// Logs and counts changes of the owned targets, and publishes the targets if there are changes.
    fn record_changes(&self, board: &Blackboard, changes: &[OwnershipChange]) {
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
        self.publish_owned_targets(board);
    }

    /// Replaces the ownership deadlines of this lease group's targets in the blackboard, by which the relay
    /// module checks the ownership before it sends an attempt.
    fn publish_owned_targets(&self, board: &Blackboard) {
        let owned: Vec<_> = self.owned_targets.owned().collect();
        board.ownership_deadlines.rcu(|current| {
            let mut updated = OwnershipDeadlines::clone(current);
            updated
                .deadlines
                .retain(|target, _| lease_group_of_target(*target) != self.group);
            updated.deadlines.extend(owned.iter().copied());
            updated
        });
    }
}

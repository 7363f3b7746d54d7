//! State of a coordinator during one term.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    LeaseGroupId, NodeId, TeamName,
    hash::lease_group_of_target,
    message::{
        GrantReply,
        GrantRequest,
        OwnershipDecision,
        TokenDemand,
        TokenGrant, //
    },
};

use crate::{
    grant::{
        GroupRules,
        OWNERSHIP_TTL,
        OwnershipEvent,
        OwnershipTable,
        TOKEN_TTL,
        TokenBucket, //
    },
    lease::Lease,
};

/// Time for which a reply is kept for a repeated request; longer than a holder retries.
const REPLY_RETENTION: Duration = Duration::from_secs(2);

/// Last request of one holder, and the reply to that request.
#[derive(Clone, Debug)]
struct HolderState {
    /// Sequence number of the request.
    sequence: u64,
    /// When the reply was made, and the reply; `None` once it is no longer kept.
    reply: Option<(Duration, GrantReply)>,
}

/// Token buckets and ownership table of one lease group during one term.
///
/// Each term starts with a new coordinator, whose buckets and table are empty, so that it does not
/// grant again what an earlier coordinator granted. The caller reads the clock after a request has
/// arrived, and the holder counts each lifetime from before it sent the request. A coordinator that
/// is suspended between its check of the lease and its reply therefore extends no grant.
#[derive(Clone, Debug)]
pub struct Coordinator {
    node: NodeId,
    group: LeaseGroupId,
    lease: Lease,
    buckets: HashMap<TeamName, TokenBucket>,
    table: OwnershipTable,
    holders: HashMap<NodeId, HolderState>,
    replies_pruned_at: Duration,
}

impl Coordinator {
    /// Creates the coordinator of a new term.
    pub fn new(node: NodeId, group: LeaseGroupId, lease: Lease) -> Self {
        Self {
            node,
            group,
            lease,
            buckets: HashMap::new(),
            table: OwnershipTable::new(lease.elected_at, lease.term),
            holders: HashMap::new(),
            replies_pruned_at: lease.elected_at,
        }
    }

    /// Returns the lease under which this coordinator grants.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Replaces the lease by its renewal.
    pub fn renew(&mut self, lease: Lease) {
        self.lease = lease;
    }

    /// Removes and returns the ownership events since the last call.
    pub fn take_events(&mut self) -> Vec<OwnershipEvent> {
        self.table.take_events()
    }

    /// Returns the number of granted tokens of all teams that holders may still spend.
    pub fn outstanding_tokens(&mut self, rules: &GroupRules, now: Duration) -> u32 {
        self.advance(rules, now);
        self.buckets
            .values()
            .map(TokenBucket::outstanding_tokens)
            .sum()
    }

    /// Answers a grant request: records the reported use of tokens and the releases, and grants tokens and
    /// ownership.
    ///
    /// A repeated request gets the first reply again while the reply is kept, and after that an empty reply.
    /// A request older than the holder's last one always gets an empty reply. Reports and releases count only
    /// if the request states the term of this coordinator. Refuses the request if the lease has expired.
    ///
    /// With `is_renew_only` the coordinator processes reports and releases and renews ownership, but grants
    /// neither tokens nor further targets.
    pub fn handle(
        &mut self,
        request: &GrantRequest,
        rules: &GroupRules,
        is_renew_only: bool,
        now: Duration,
    ) -> GrantReply {
        if now >= self.lease.expires_at || request.group != self.group {
            return self.build_refusal(request);
        }
        if let Some(holder) = self.holders.get(&request.holder) {
            if request.sequence == holder.sequence
                && let Some((_, reply)) = &holder.reply
            {
                return reply.clone();
            }
            if request.sequence <= holder.sequence {
                return self.build_empty_reply(request, Duration::ZERO);
            }
        }
        self.advance(rules, now);
        let token_ttl = TOKEN_TTL.min(self.lease.expires_at - now);
        let mut reply = self.build_empty_reply(request, token_ttl);
        let is_current_term = request.term == Some(self.lease.term);
        for demand in &request.tokens {
            let grant = self.grant_tokens(request, demand, is_current_term, is_renew_only, now);
            reply.tokens.extend(grant);
        }
        self.grant_ownership(
            request,
            rules,
            is_current_term,
            is_renew_only,
            now,
            &mut reply,
        );
        reply.directory_version = self.table.version();
        if request.directory_version != reply.directory_version {
            reply.directory = Some(self.table.directory());
        }
        let holder = HolderState {
            sequence: request.sequence,
            reply: Some((now, reply.clone())),
        };
        self.holders.insert(request.holder, holder);
        reply
    }

    fn grant_tokens(
        &mut self,
        request: &GrantRequest,
        demand: &TokenDemand,
        is_current_term: bool,
        is_renew_only: bool,
        now: Duration,
    ) -> Option<TokenGrant> {
        let bucket = self.buckets.get_mut(&demand.team)?;
        if is_current_term {
            for report in &demand.reports {
                bucket.record_usage(request.holder, report);
            }
        }
        if is_renew_only {
            return None;
        }
        let expires_at = now + TOKEN_TTL.min(self.lease.expires_at - now);
        let tokens = bucket.grant(request.holder, request.sequence, demand.wanted, expires_at);
        Some(TokenGrant {
            team: demand.team.clone(),
            tokens,
            level_milli: bucket.level_milli(),
        })
    }

    fn grant_ownership(
        &mut self,
        request: &GrantRequest,
        rules: &GroupRules,
        is_current_term: bool,
        is_renew_only: bool,
        now: Duration,
        reply: &mut GrantReply,
    ) {
        let holder = request.holder;
        if is_current_term {
            for target in &request.released {
                self.table.release(*target, holder);
            }
        }
        let is_in_group = |target: &&_| lease_group_of_target(**target) == self.group;
        for target in request.claimed.iter().filter(is_in_group) {
            let owner = self.table.claim(*target, holder, is_current_term, now);
            let target = *target;
            reply.targets.push(OwnershipDecision {
                target,
                owner,
                is_moving: false,
            });
        }
        if is_renew_only {
            return;
        }
        for target in request.wanted.iter().filter(is_in_group) {
            let preferred = rules.preferred.get(target).copied();
            let owner = self.table.request(*target, holder, preferred, now);
            let target = *target;
            let is_moving = self.table.is_moving_to(target, holder);
            reply.targets.push(OwnershipDecision {
                target,
                owner,
                is_moving,
            });
        }
    }

    /// Updates the buckets and the ownership table to `now`, and drops replies that are no longer kept.
    fn advance(&mut self, rules: &GroupRules, now: Duration) {
        let elected_at = self.lease.elected_at;
        for team in rules.limits.keys() {
            if !self.buckets.contains_key(team) {
                self.buckets
                    .insert(team.clone(), TokenBucket::new(now.max(elected_at)));
            }
        }
        self.buckets.retain(|team, bucket| {
            let limit = rules.limits.get(team).copied();
            bucket.advance(limit.unwrap_or_default(), now);
            // A team removed from the configuration keeps its bucket until its tokens have expired.
            // Should it be added again, these tokens still count against its burst.
            limit.is_some() || bucket.outstanding_tokens() > 0
        });
        self.table.advance(now);
        if now >= self.replies_pruned_at + REPLY_RETENTION {
            self.replies_pruned_at = now;
            for holder in self.holders.values_mut() {
                // The sequence number stays, so that a delayed older request is never processed.
                holder.reply.take_if(|(at, _)| *at + REPLY_RETENTION <= now);
            }
        }
    }

    fn build_refusal(&self, request: &GrantRequest) -> GrantReply {
        GrantReply {
            is_coordinator: false,
            ..self.build_empty_reply(request, Duration::ZERO)
        }
    }

    fn build_empty_reply(&self, request: &GrantRequest, token_ttl: Duration) -> GrantReply {
        GrantReply {
            group: request.group,
            coordinator: self.node,
            sequence: request.sequence,
            is_coordinator: true,
            term: self.lease.term,
            token_ttl,
            ownership_ttl: OWNERSHIP_TTL,
            tokens: Vec::new(),
            targets: Vec::new(),
            directory_version: request.directory_version,
            directory: None,
        }
    }
}

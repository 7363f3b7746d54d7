//! Tokens of all teams that one entry holds, by lease group.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    LeaseGroupId, TeamName, Term,
    hash::LEASE_GROUP_COUNT,
    message::{
        GrantReply,
        TokenDemand,
        TokenGrant,
        TokenUsage, //
    },
};

use crate::{
    grant::{
        RateLimit,
        group_limit, //
    },
    lease::usable_ttl,
};

/// Time constant of the moving average of a team's demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Longest time that a request waits for a token before it is refused.
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(50);

/// Shortest interval between two urgent requests for a team's tokens to a group whose bucket was empty.
///
/// It is short enough for a second try while a caller's request waits, and long enough that a team far over
/// its rate causes few additional messages.
const EMPTY_BUCKET_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// Determines how many tokens an entry requests in advance.
#[derive(Clone, Copy, Debug)]
pub struct PrefetchPolicy {
    /// Time for which the expected demand is requested in advance.
    pub horizon: Duration,
    /// Largest part of a lease group's burst that one entry requests in advance, in percent.
    pub burst_percent: u32,
    /// Delay between the requests to one lease group and to the next one while a caller's request waits
    /// for a token.
    pub stagger: Duration,
}

impl Default for PrefetchPolicy {
    fn default() -> Self {
        Self {
            horizon: Duration::from_millis(100),
            burst_percent: 10,
            stagger: Duration::from_millis(8),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    group: LeaseGroupId,
    term: Term,
    sequence: u64,
    /// Number of tokens granted.
    tokens: u32,
    /// Number of tokens spent by this entry.
    spent: u32,
    /// Number of tokens returned to the coordinator unspent.
    returned: u32,
    expires_at: Duration,
}

impl HeldGrant {
    fn remaining(&self, now: Duration) -> u32 {
        if now < self.expires_at {
            self.tokens - self.spent - self.returned
        } else {
            0
        }
    }
}

/// Estimated level of a team's bucket in one group, extrapolated from the last reply.
///
/// The estimate is inexact, because other entries take tokens from the same bucket.
#[derive(Clone, Copy, Debug)]
struct LevelEstimate {
    group_limit: RateLimit,
    level: f64,
    updated_at: Duration,
    /// When the group's last reply arrived, if that reply granted no token although a waiting request needed
    /// one.
    refused_at: Option<Duration>,
}

impl LevelEstimate {
    fn level(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let refilled = self.level + self.group_limit.rate_per_s * elapsed;
        refilled.min(f64::from(self.group_limit.burst))
    }
}

#[derive(Clone, Debug, Default)]
struct TeamTokens {
    grants: Vec<HeldGrant>,
    /// Number of tokens spent since `demand_per_s` was updated.
    spent_since_update: u32,
    /// Number of tokens that waiting requests still need.
    missing_tokens: u32,
    /// When the entry last started to ask the groups in turn for the missing tokens.
    urgent_since: Duration,
    /// Group that is asked first among those with equal estimated levels.
    first_group: LeaseGroupId,
    /// Whether each group was asked for the missing tokens and has not replied yet.
    requested_groups: [bool; LEASE_GROUP_COUNT as usize],
    team_limit: Option<RateLimit>,
    estimates: [Option<LevelEstimate>; LEASE_GROUP_COUNT as usize],
    /// Moving average of the tokens spent per second.
    demand_per_s: f64,
    demand_updated_at: Duration,
}

impl TeamTokens {
    fn record_miss(&mut self, now: Duration) {
        if self.missing_tokens == 0 {
            self.start_urgent_requests(now);
        }
        self.missing_tokens += 1;
    }

    /// Starts asking the groups for the tokens that waiting requests need.
    ///
    /// Each time another group comes first, so that the buckets of the groups drain evenly.
    fn start_urgent_requests(&mut self, now: Duration) {
        self.urgent_since = now;
        self.first_group = (self.first_group + 1) % LEASE_GROUP_COUNT;
        self.requested_groups = [false; LEASE_GROUP_COUNT as usize];
    }

    /// Returns the number of tokens that waiting requests need and the group should be asked for
    /// now.
    ///
    /// The group with the highest estimated level is asked first, each further one a `stagger`
    /// later. A group that reported an empty bucket is asked again when it should have refilled by
    /// a token, and no sooner than [`EMPTY_BUCKET_RETRY_INTERVAL`] after its reply.
    fn urgent_demand(&self, group: LeaseGroupId, stagger: Duration, now: Duration) -> u32 {
        if self.missing_tokens == 0 || self.requested_groups[usize::from(group)] {
            return 0;
        }
        let level = self.level(group, now);
        let refused_at = self.estimates[usize::from(group)].and_then(|e| e.refused_at);
        if level < 1.0 || refused_at.is_some_and(|at| now < at + EMPTY_BUCKET_RETRY_INTERVAL) {
            return 0;
        }
        let request_order = |group: LeaseGroupId| {
            (group + LEASE_GROUP_COUNT - self.first_group) % LEASE_GROUP_COUNT
        };
        let is_before = |other: &LeaseGroupId| {
            let other_level = self.level(*other, now);
            other_level > level
                || (other_level == level && request_order(*other) < request_order(group))
        };
        let rank = (0..LEASE_GROUP_COUNT).filter(is_before).count() as u32;
        if now >= self.urgent_since + stagger * rank {
            self.missing_tokens
        } else {
            0
        }
    }

    /// Estimates the level of the team's bucket in a group.
    fn level(&self, group: LeaseGroupId, now: Duration) -> f64 {
        self.estimates[usize::from(group)].map_or(f64::INFINITY, |estimate| estimate.level(now))
    }

    /// Sets the configured limit; the bucket of a group that has not replied yet counts as full.
    fn set_limit(&mut self, team: &str, team_limit: RateLimit, now: Duration) {
        if self.team_limit == Some(team_limit) {
            return;
        }
        self.team_limit = Some(team_limit);
        for group in 0..LEASE_GROUP_COUNT {
            let group_limit = group_limit(team, team_limit, group);
            let full = LevelEstimate {
                group_limit,
                level: f64::from(group_limit.burst),
                updated_at: now,
                refused_at: None,
            };
            let estimate = &mut self.estimates[usize::from(group)];
            estimate.get_or_insert(full).group_limit = group_limit;
        }
    }

    fn record_level(&mut self, group: LeaseGroupId, grant: &TokenGrant, now: Duration) {
        let index = usize::from(group);
        let was_requested = std::mem::take(&mut self.requested_groups[index]);
        if let Some(estimate) = &mut self.estimates[index] {
            estimate.level = f64::from(grant.level_milli) / 1000.0;
            estimate.updated_at = now;
            estimate.refused_at = (was_requested && grant.tokens == 0).then_some(now);
        }
    }

    fn record_grant(&mut self, tokens: u32, now: Duration) {
        if self.missing_tokens > 0 {
            self.missing_tokens = self.missing_tokens.saturating_sub(tokens);
            self.start_urgent_requests(now);
        }
    }

    /// Drops expired grants, forgets missing tokens for which no request waits any longer, and updates the
    /// moving average of the demand.
    fn update_demand(&mut self, now: Duration) {
        self.grants.retain(|grant| now < grant.expires_at);
        if now >= self.urgent_since + TOKEN_WAIT_MAX {
            self.missing_tokens = 0;
        }
        let elapsed = now.saturating_sub(self.demand_updated_at);
        if elapsed.is_zero() {
            return;
        }
        let weight = (elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).min(1.0);
        let rate = f64::from(self.spent_since_update) / elapsed.as_secs_f64();
        self.demand_per_s += weight * (rate - self.demand_per_s);
        self.spent_since_update = 0;
        self.demand_updated_at = now;
    }
}

/// Tokens that this entry holds, with the estimates by which it requests further ones.
#[derive(Clone, Debug, Default)]
pub struct TokenPool {
    policy: PrefetchPolicy,
    teams: HashMap<TeamName, TeamTokens>,
}

impl TokenPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Uses `policy` instead of the default prefetch policy.
    pub fn with_policy(mut self, policy: PrefetchPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Spends one token of a team; returns false if none is valid at `now`.
    ///
    /// Spends the token that expires first, because it would be lost first. If there is none, the pool
    /// requests a token for the waiting request: [`Self::has_urgent_demand`] tells whether to ask a group
    /// now.
    pub fn try_acquire(&mut self, team: &str, now: Duration) -> bool {
        let Some(team_tokens) = self.teams.get_mut(team) else {
            return false;
        };
        let valid = team_tokens
            .grants
            .iter_mut()
            .filter(|grant| grant.remaining(now) > 0);
        match valid.min_by_key(|grant| grant.expires_at) {
            Some(grant) => {
                grant.spent += 1;
                team_tokens.spent_since_update += 1;
                true
            }
            None => {
                team_tokens.record_miss(now);
                false
            }
        }
    }

    /// Returns the number of tokens of a team that are valid at `now`.
    pub fn available(&self, team: &str, now: Duration) -> u32 {
        let grants = self
            .teams
            .get(team)
            .into_iter()
            .flat_map(|tokens| &tokens.grants);
        grants.map(|grant| grant.remaining(now)).sum()
    }

    /// Returns whether the lease group should be asked for tokens now, because a caller's request found none.
    pub fn has_urgent_demand(&self, group: LeaseGroupId, now: Duration) -> bool {
        let stagger = self.policy.stagger;
        self.teams
            .values()
            .any(|tokens| tokens.urgent_demand(group, stagger, now) > 0)
    }

    /// Adds the configured teams that are missing and removes those no longer configured.
    pub fn set_teams<'a>(&mut self, teams: impl Iterator<Item = &'a str> + Clone) {
        self.teams
            .retain(|name, _| teams.clone().any(|team| team == &**name));
        for team in teams {
            if !self.teams.contains_key(team) {
                self.teams.insert(team.into(), TeamTokens::default());
            }
        }
    }

    /// Returns the demands and reports for the next request to the coordinator of a group.
    ///
    /// Unless a waiting request needs tokens of the group now, the pool gives up the tokens beyond twice the
    /// prefetch count and no longer spends them. The reports return them to the coordinator; they cover only
    /// grants of `term`, because another coordinator does not know earlier grants.
    pub fn build_demands(
        &mut self,
        group: LeaseGroupId,
        term: Option<Term>,
        limit_of: impl Fn(&str) -> RateLimit,
        now: Duration,
    ) -> Vec<TokenDemand> {
        let policy = self.policy;
        let mut demands = Vec::new();
        for (team, team_tokens) in &mut self.teams {
            let team_limit = limit_of(team);
            let group_limit = group_limit(team, team_limit, group);
            team_tokens.update_demand(now);
            team_tokens.set_limit(team, team_limit, now);
            let prefetch_count =
                policy.prefetch_count(team_tokens.demand_per_s, team_limit, group_limit);
            let grants = team_tokens
                .grants
                .iter_mut()
                .filter(|grant| grant.group == group);
            let available: u32 = grants.map(|grant| grant.remaining(now)).sum();
            let mut surplus = available.saturating_sub(2 * prefetch_count);
            let urgent = team_tokens.urgent_demand(group, policy.stagger, now);
            if urgent > 0 {
                team_tokens.requested_groups[usize::from(group)] = true;
                surplus = 0;
            }
            let mut reports = Vec::new();
            for grant in team_tokens
                .grants
                .iter_mut()
                .filter(|grant| grant.group == group)
            {
                let returned = surplus.min(grant.remaining(now));
                grant.returned += returned;
                surplus -= returned;
                if Some(grant.term) == term && grant.spent + grant.returned > 0 {
                    reports.push(TokenUsage {
                        sequence: grant.sequence,
                        spent: grant.spent,
                        returned: grant.returned,
                    });
                }
            }
            let wanted = (prefetch_count + urgent)
                .saturating_sub(available)
                .min(group_limit.burst);
            if wanted > 0 || !reports.is_empty() {
                let team = team.clone();
                demands.push(TokenDemand {
                    team,
                    wanted,
                    reports,
                });
            }
        }
        demands
    }

    /// Adds the tokens that the reply to the request sent at `sent_at` grants; returns whether it granted
    /// any that are still valid.
    ///
    /// The caller must drop replies to any request but its latest.
    pub fn apply(&mut self, reply: &GrantReply, sent_at: Duration, now: Duration) -> bool {
        let expires_at = sent_at + usable_ttl(reply.token_ttl);
        if !reply.is_coordinator || now >= expires_at {
            return false;
        }
        for grant in &reply.tokens {
            let Some(team_tokens) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            team_tokens.record_level(reply.group, grant, now);
            if grant.tokens == 0 {
                continue;
            }
            team_tokens.record_grant(grant.tokens, now);
            team_tokens.grants.push(HeldGrant {
                group: reply.group,
                term: reply.term,
                sequence: reply.sequence,
                tokens: grant.tokens,
                spent: 0,
                returned: 0,
                expires_at,
            });
        }
        reply.tokens.iter().any(|grant| grant.tokens > 0)
    }
}

impl PrefetchPolicy {
    /// Returns the number of tokens of one group to hold in advance for a team that spends `rate_per_s`.
    fn prefetch_count(
        &self,
        rate_per_s: f64,
        team_limit: RateLimit,
        group_limit: RateLimit,
    ) -> u32 {
        if team_limit.rate_per_s <= 0.0 {
            return 0;
        }
        let group_demand = rate_per_s * self.horizon.as_secs_f64() * group_limit.rate_per_s
            / team_limit.rate_per_s;
        // Rounded down: an entry with little demand requests tokens only when it needs one, so that
        // idle entries do not hold the burst.
        let tokens_max = group_limit.burst * self.burst_percent / 100;
        (group_demand as u32).min(tokens_max)
    }
}

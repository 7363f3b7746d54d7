//! Tokens of every team, by lease group.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    GroupId, TeamName, Term,
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
        split_limit, //
    },
    lease::usable_ttl,
};

/// Time over which the demand of a team is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// After this time a request that found no token has been refused.
const WAIT_MAX: Duration = Duration::from_millis(50);

/// Least time before a group that had no token is asked again for the same team. A request that waits
/// gets a second try; a team far over its rate costs few more messages.
const REPEAT_INTERVAL: Duration = Duration::from_millis(30);

/// How many tokens an entry asks for in advance.
#[derive(Clone, Copy, Debug)]
pub struct PrefetchPolicy {
    /// Demand is covered for this long in advance.
    pub horizon: Duration,
    /// Largest part of a group's burst that one entry holds in advance, in percent.
    pub burst_percent: u32,
    /// Time after which the next group is asked as well for a request that found no token.
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
struct Held {
    group: GroupId,
    term: Term,
    sequence: u64,
    tokens: u32,
    spent: u32,
    returned: u32,
    until: Duration,
}

impl Held {
    fn left(&self, now: Duration) -> u32 {
        if now < self.until {
            self.tokens - self.spent - self.returned
        } else {
            0
        }
    }
}

/// Level of a bucket as last heard; a guess, because other entries ask as well.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    part: RateLimit,
    level: f64,
    at: Duration,
    refused_at: Option<Duration>,
}

impl Estimate {
    fn level(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let refilled = self.level + self.part.rate_per_s * elapsed;
        refilled.min(f64::from(self.part.burst))
    }
}

#[derive(Clone, Debug, Default)]
struct TeamShare {
    held: Vec<Held>,
    taken: u32,
    missed: u32,
    missed_at: Duration,
    first_group: GroupId,
    asked: [bool; LEASE_GROUP_COUNT as usize],
    whole: Option<RateLimit>,
    estimates: [Option<Estimate>; LEASE_GROUP_COUNT as usize],
    rate_per_s: f64,
    sampled_at: Duration,
}

impl TeamShare {
    fn miss(&mut self, now: Duration) {
        if self.missed == 0 {
            self.start_asking(now);
        }
        self.missed += 1;
    }

    /// Starts with another group each time, so that the groups' buckets drain evenly.
    fn start_asking(&mut self, now: Duration) {
        self.missed_at = now;
        self.first_group = (self.first_group + 1) % LEASE_GROUP_COUNT;
        self.asked = [false; LEASE_GROUP_COUNT as usize];
    }

    /// Returns the tokens missing that the group should be asked for by now.
    ///
    /// The group with the highest level comes first, each further one a stage later. A group that
    /// was heard to be empty is asked again when it should have a token.
    fn urgent(&self, group: GroupId, stage: Duration, now: Duration) -> u32 {
        if self.missed == 0 || self.asked[usize::from(group)] {
            return 0;
        }
        let level = self.level(group, now);
        let refused_at = self.estimates[usize::from(group)].and_then(|e| e.refused_at);
        if level < 1.0 || refused_at.is_some_and(|at| now < at + REPEAT_INTERVAL) {
            return 0;
        }
        let turn =
            |group: GroupId| (group + LEASE_GROUP_COUNT - self.first_group) % LEASE_GROUP_COUNT;
        let is_before = |other: &GroupId| {
            let of_other = self.level(*other, now);
            of_other > level || (of_other == level && turn(*other) < turn(group))
        };
        let place = (0..LEASE_GROUP_COUNT).filter(is_before).count() as u32;
        if now >= self.missed_at + stage * place {
            self.missed
        } else {
            0
        }
    }

    /// Estimates the level of the team's bucket in a group.
    fn level(&self, group: GroupId, now: Duration) -> f64 {
        self.estimates[usize::from(group)].map_or(f64::INFINITY, |estimate| estimate.level(now))
    }

    /// Notes the limit of the operators' text; a group that was never heard counts as full.
    fn note_limit(&mut self, team: &str, whole: RateLimit, now: Duration) {
        if self.whole == Some(whole) {
            return;
        }
        self.whole = Some(whole);
        for group in 0..LEASE_GROUP_COUNT {
            let part = split_limit(team, whole, group);
            let unheard = Estimate {
                part,
                level: f64::from(part.burst),
                at: now,
                refused_at: None,
            };
            let estimate = &mut self.estimates[usize::from(group)];
            estimate.get_or_insert(unheard).part = part;
        }
    }

    fn note_level(&mut self, group: GroupId, grant: &TokenGrant, now: Duration) {
        let place = usize::from(group);
        let was_asked = std::mem::take(&mut self.asked[place]);
        if let Some(estimate) = &mut self.estimates[place] {
            estimate.level = f64::from(grant.level_milli) / 1000.0;
            estimate.at = now;
            estimate.refused_at = (was_asked && grant.tokens == 0).then_some(now);
        }
    }

    fn note_granted(&mut self, tokens: u32, now: Duration) {
        if self.missed > 0 {
            self.missed = self.missed.saturating_sub(tokens);
            self.start_asking(now);
        }
    }

    fn sample(&mut self, now: Duration) {
        self.held.retain(|held| now < held.until);
        if now >= self.missed_at + WAIT_MAX {
            self.missed = 0;
        }
        let elapsed = now.saturating_sub(self.sampled_at);
        if elapsed.is_zero() {
            return;
        }
        let weight = (elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).min(1.0);
        let rate = f64::from(self.taken) / elapsed.as_secs_f64();
        self.rate_per_s += weight * (rate - self.rate_per_s);
        self.taken = 0;
        self.sampled_at = now;
    }
}

/// Tokens that this entry holds.
#[derive(Clone, Debug, Default)]
pub struct TokenPool {
    policy: PrefetchPolicy,
    teams: HashMap<TeamName, TeamShare>,
}

impl TokenPool {
    /// Creates shares without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the policy.
    pub fn with_policy(mut self, policy: PrefetchPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Spends one token of a team; false if none is valid at `now`.
    ///
    /// The token that ends first is spent first, because it is lost first.
    pub fn try_acquire(&mut self, team: &str, now: Duration) -> bool {
        let Some(share) = self.teams.get_mut(team) else {
            return false;
        };
        let valid = share.held.iter_mut().filter(|held| held.left(now) > 0);
        match valid.min_by_key(|held| held.until) {
            Some(held) => {
                held.spent += 1;
                share.taken += 1;
                true
            }
            None => {
                share.miss(now);
                false
            }
        }
    }

    /// Returns the tokens of a team that are valid at `now`.
    pub fn available(&self, team: &str, now: Duration) -> u32 {
        let held = self.teams.get(team).into_iter().flat_map(|s| &s.held);
        held.map(|held| held.left(now)).sum()
    }

    /// Returns whether a request found no token and the group should be asked now.
    pub fn has_urgent_demand(&self, group: GroupId, now: Duration) -> bool {
        let stage = self.policy.stagger;
        self.teams.values().any(|s| s.urgent(group, stage, now) > 0)
    }

    /// Keeps the teams of the operators' text and creates the missing ones.
    pub fn set_teams<'a>(&mut self, teams: impl Iterator<Item = &'a str> + Clone) {
        self.teams
            .retain(|name, _| teams.clone().any(|team| team == &**name));
        for team in teams {
            if !self.teams.contains_key(team) {
                self.teams.insert(team.into(), TeamShare::default());
            }
        }
    }

    /// Returns what to tell and ask the coordinator of a group.
    ///
    /// Tokens beyond twice the wanted stock are given back: they are not spent after this call.
    pub fn build_demands(
        &mut self,
        group: GroupId,
        term: Option<Term>,
        limit_of: impl Fn(&str) -> RateLimit,
        now: Duration,
    ) -> Vec<TokenDemand> {
        let policy = self.policy;
        let mut demands = Vec::new();
        for (team, share) in &mut self.teams {
            let whole = limit_of(team);
            let limit = split_limit(team, whole, group);
            share.sample(now);
            share.note_limit(team, whole, now);
            let stock = policy.stock(share.rate_per_s, whole, limit);
            let held = share.held.iter_mut().filter(|held| held.group == group);
            let available: u32 = held.map(|held| held.left(now)).sum();
            let mut surplus = available.saturating_sub(2 * stock);
            let urgent = share.urgent(group, policy.stagger, now);
            if urgent > 0 {
                share.asked[usize::from(group)] = true;
                surplus = 0;
            }
            let mut reports = Vec::new();
            for held in share.held.iter_mut().filter(|h| h.group == group) {
                let back = surplus.min(held.left(now));
                held.returned += back;
                surplus -= back;
                if Some(held.term) == term && held.spent + held.returned > 0 {
                    reports.push(TokenUsage {
                        sequence: held.sequence,
                        spent: held.spent,
                        returned: held.returned,
                    });
                }
            }
            let wanted = (stock + urgent).saturating_sub(available).min(limit.burst);
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

    /// Adds the tokens of the reply to the request that was sent at `sent_at`; true if any is valid.
    ///
    /// The caller drops replies that do not answer its latest request.
    pub fn apply(&mut self, reply: &GrantReply, sent_at: Duration, now: Duration) -> bool {
        let until = sent_at + usable_ttl(reply.token_ttl);
        if !reply.is_coordinator || now >= until {
            return false;
        }
        for grant in &reply.tokens {
            let Some(share) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            share.note_level(reply.group, grant, now);
            if grant.tokens == 0 {
                continue;
            }
            share.note_granted(grant.tokens, now);
            share.held.push(Held {
                group: reply.group,
                term: reply.term,
                sequence: reply.sequence,
                tokens: grant.tokens,
                spent: 0,
                returned: 0,
                until,
            });
        }
        reply.tokens.iter().any(|grant| grant.tokens > 0)
    }
}

impl PrefetchPolicy {
    /// Returns the tokens to hold of one group.
    fn stock(&self, rate_per_s: f64, whole: RateLimit, part: RateLimit) -> u32 {
        if whole.rate_per_s <= 0.0 {
            return 0;
        }
        let of_group = rate_per_s * self.horizon.as_secs_f64() * part.rate_per_s / whole.rate_per_s;
        // Rounded down: an entry with little demand asks when a request comes, so that the burst is
        // not spread over idle stocks.
        let most = part.burst * self.burst_percent / 100;
        (of_group as u32).min(most)
    }
}

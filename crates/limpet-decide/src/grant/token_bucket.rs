//! Token bucket of one team in one group.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use limpet_types::{
    NodeId,
    message::TokenUsage, //
};

use crate::grant::RateLimit;

type GrantKey = (NodeId, u64);

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    tokens: u32,
    spent: u32,
    returned: u32,
}

/// Token bucket that keeps `level + outstanding <= burst`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    level: f64,
    refilled_at: Duration,
    outstanding: u32,
    grants: HashMap<GrantKey, Outstanding>,
    // Ends of grants do not decrease, because neither the clock nor the end of the lease does.
    ends: VecDeque<(Duration, GrantKey)>,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Duration) -> Self {
        Self {
            limit: RateLimit::default(),
            level: 0.0,
            refilled_at: now,
            outstanding: 0,
            grants: HashMap::new(),
            ends: VecDeque::new(),
        }
    }

    /// Returns the tokens that may still be spent somewhere.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the level in thousandths of a token.
    pub fn level_milli(&self) -> u32 {
        (self.level * 1000.0) as u32
    }

    /// Drops expired grants and refills at the limit that was in force until now.
    ///
    /// A lowered burst takes tokens from the level only; what is out counts until it expires.
    pub fn advance(&mut self, limit: RateLimit, now: Duration) {
        // Tokens that are out hold back the refill up to their own end and not only up to the last
        // call; dropping them first would add what was refilled while they could still be spent.
        while let Some((end, key)) = self.ends.pop_front_if(|(end, _)| *end <= now) {
            self.refill(limit, end);
            if let Some(grant) = self.grants.remove(&key) {
                self.outstanding -= grant.tokens - grant.spent - grant.returned;
            }
        }
        self.refill(limit, now);
        self.limit = limit;
        self.clamp_level();
    }

    /// Notes what a holder did with one grant; an unknown or expired grant changes nothing.
    pub fn report(&mut self, holder: NodeId, report: &TokenUsage) {
        let Some(grant) = self.grants.get_mut(&(holder, report.sequence)) else {
            return;
        };
        let open = |grant: &Outstanding| grant.tokens - grant.spent - grant.returned;
        let spent = report.spent.saturating_sub(grant.spent).min(open(grant));
        grant.spent += spent;
        let returned = report.returned.saturating_sub(grant.returned);
        let returned = returned.min(open(grant));
        grant.returned += returned;
        self.outstanding -= spent + returned;
        self.level += f64::from(returned);
        self.clamp_level();
    }

    /// Moves up to `wanted` tokens to a holder until `end`; returns how many.
    pub fn grant(&mut self, holder: NodeId, sequence: u64, wanted: u32, end: Duration) -> u32 {
        let tokens = wanted.min(self.level as u32);
        if tokens == 0 {
            return 0;
        }
        self.level -= f64::from(tokens);
        self.outstanding += tokens;
        let grant = Outstanding {
            tokens,
            spent: 0,
            returned: 0,
        };
        self.grants.insert((holder, sequence), grant);
        self.ends.push_back((end, (holder, sequence)));
        tokens
    }

    fn refill(&mut self, limit: RateLimit, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += self.limit.rate_per_s.min(limit.rate_per_s) * elapsed;
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
        let room = self.limit.burst.saturating_sub(self.outstanding);
        self.level = self.level.min(f64::from(room));
    }
}

//! Token bucket of one team in one lease group.

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

/// Holder of a grant and sequence number of the request that the grant answered.
type GrantKey = (NodeId, u64);

#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Number of tokens granted.
    tokens: u32,
    /// Number of tokens that the holder reported as spent.
    spent: u32,
    /// Number of tokens that the holder returned unspent.
    returned: u32,
}

/// Token bucket that maintains `level + outstanding_tokens <= burst`.
///
/// Outstanding are the granted tokens that their holders may still spend.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    /// Number of tokens that can be granted, with the fraction refilled so far.
    level: f64,
    refilled_at: Duration,
    outstanding_tokens: u32,
    grants: HashMap<GrantKey, Grant>,
    // Expirations in ascending order, because neither the clock nor the end of the lease goes back.
    expirations: VecDeque<(Duration, GrantKey)>,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Duration) -> Self {
        Self {
            limit: RateLimit::default(),
            level: 0.0,
            refilled_at: now,
            outstanding_tokens: 0,
            grants: HashMap::new(),
            expirations: VecDeque::new(),
        }
    }

    /// Returns the number of granted tokens that holders may still spend.
    pub fn outstanding_tokens(&self) -> u32 {
        self.outstanding_tokens
    }

    /// Returns the level in thousandths of a token.
    pub fn level_milli(&self) -> u32 {
        (self.level * 1000.0) as u32
    }

    /// Drops expired grants and refills the bucket, at the lower of the previous rate and the new one.
    ///
    /// A lowered burst reduces the level at once; outstanding tokens count until they are reported as spent
    /// or returned, or expire.
    pub fn advance(&mut self, limit: RateLimit, now: Duration) {
        // Refills up to the end of each grant before the grant is dropped: until then its tokens
        // can be spent and limit the level. Dropped first, the grant would let the bucket refill
        // for a time in which that part of the burst was still in use.
        while let Some((expires_at, key)) = self
            .expirations
            .pop_front_if(|(expires_at, _)| *expires_at <= now)
        {
            self.refill(limit, expires_at);
            if let Some(grant) = self.grants.remove(&key) {
                self.outstanding_tokens -= grant.tokens - grant.spent - grant.returned;
            }
        }
        self.refill(limit, now);
        self.limit = limit;
        self.clamp_level();
    }

    /// Records the use of one grant; ignores an unknown or expired grant.
    pub fn record_usage(&mut self, holder: NodeId, report: &TokenUsage) {
        let Some(grant) = self.grants.get_mut(&(holder, report.sequence)) else {
            return;
        };
        let unspent = |grant: &Grant| grant.tokens - grant.spent - grant.returned;
        let spent = report.spent.saturating_sub(grant.spent).min(unspent(grant));
        grant.spent += spent;
        let returned = report.returned.saturating_sub(grant.returned);
        let returned = returned.min(unspent(grant));
        grant.returned += returned;
        self.outstanding_tokens -= spent + returned;
        self.level += f64::from(returned);
        self.clamp_level();
    }

    /// Grants up to `wanted` tokens that expire at `expires_at`, and returns their number.
    pub fn grant(
        &mut self,
        holder: NodeId,
        sequence: u64,
        wanted: u32,
        expires_at: Duration,
    ) -> u32 {
        let tokens = wanted.min(self.level as u32);
        if tokens == 0 {
            return 0;
        }
        self.level -= f64::from(tokens);
        self.outstanding_tokens += tokens;
        let grant = Grant {
            tokens,
            spent: 0,
            returned: 0,
        };
        self.grants.insert((holder, sequence), grant);
        self.expirations.push_back((expires_at, (holder, sequence)));
        tokens
    }

    fn refill(&mut self, limit: RateLimit, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += self.limit.rate_per_s.min(limit.rate_per_s) * elapsed;
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
        let level_max = self.limit.burst.saturating_sub(self.outstanding_tokens);
        self.level = self.level.min(f64::from(level_max));
    }
}

//! Token buckets of all teams, which follow the admissions that other processes report.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::deployment::Team;
use serde::{
    Deserialize,
    Serialize, //
};

use super::TokenBucket;
use crate::members::NodeId;

/// Number of requests of one team that one process has admitted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamAdmissions {
    /// Name of the team.
    pub team: Box<str>,
    /// Number of requests admitted since the start of the process.
    pub admitted: u64,
}

/// Number of tokens in the bucket that one process holds for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// Name of the team.
    pub team: Box<str>,
    /// Number of tokens that are left for requests of the team at any process; negative after other processes
    /// admitted more requests than tokens were left.
    pub tokens: f64,
}

/// Admissions of one process, as it reports them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounts {
    /// Whether a team without an entry has had no admissions since the start of the process; if false, the
    /// report says nothing about such a team.
    pub is_complete: bool,
    /// Admissions by team.
    pub teams: Vec<TeamAdmissions>,
}

/// Numbers of processes that share the rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessCounts {
    /// Number of processes that may admit requests, this one included.
    pub total: usize,
    /// Number of those that are not live: their reports have been missing for too long, or they are only
    /// assumed to run.
    pub silent: usize,
}

impl ProcessCounts {
    /// Returns the share of each rate that the live processes may use.
    pub fn live_share(self) -> f64 {
        let total_count = self.total.max(1);
        let live_count = total_count.saturating_sub(self.silent).max(1);
        live_count as f64 / total_count as f64
    }
}

/// Latest admissions that another process reported.
#[derive(Debug, Default)]
struct PeerAdmissions {
    /// Whether a complete report arrived, so that a team without a count is known to have had no admissions
    /// before.
    has_baseline: bool,
    /// Number of admissions since the start of that process, by team.
    by_team: HashMap<Box<str>, u64>,
}

/// Limits the rates of all teams over all processes.
///
/// Each process counts its admissions per team and reports the totals since its start, so that lost and
/// duplicate reports do no harm. The share of a silent process stays unused until that process is removed.
/// The silent process leaves the shares of the others unused in the same way, so both sides of a network
/// partition together stay within the rate.
#[derive(Debug)]
pub struct RateLimiter {
    buckets: HashMap<Box<str>, TokenBucket>,
    peer_admissions: HashMap<NodeId, PeerAdmissions>,
    process_counts: ProcessCounts,
    /// Whether the whole deployment starts for the first time and no teams have been set yet, so that the
    /// first buckets start full.
    is_first_start: bool,
    /// Tokens received before their teams were known, with the time of receipt.
    pending_tokens: Vec<(TeamTokens, Duration)>,
}

impl RateLimiter {
    /// Creates a rate limiter without teams.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            buckets: HashMap::new(),
            peer_admissions: HashMap::new(),
            process_counts: ProcessCounts {
                total: 1,
                silent: 0,
            },
            is_first_start,
            pending_tokens: Vec::new(),
        }
    }

    /// Replaces the teams; teams that remain keep their tokens, and new ones get the tokens that
    /// [`RateLimiter::adopt_tokens`] received for them before.
    pub fn set_teams<'a>(&mut self, teams: impl Iterator<Item = &'a Team>, now: Duration) {
        let share = self.process_counts.live_share();
        let mut buckets = HashMap::new();
        for team in teams {
            let bucket = self.buckets.remove(&team.name);
            let mut bucket = bucket.unwrap_or_else(|| {
                TokenBucket::new(team.rate_per_s, team.burst, self.is_first_start, now)
            });
            bucket.refill(share, now);
            bucket.set_limits(team.rate_per_s, team.burst);
            buckets.insert(team.name.clone(), bucket);
        }
        self.buckets = buckets;
        self.is_first_start = false;
        for (pending, received_at) in std::mem::take(&mut self.pending_tokens) {
            if let Some(bucket) = self.buckets.get_mut(&pending.team) {
                bucket.set_tokens(pending.tokens, share, received_at);
                bucket.refill(share, now);
            }
        }
    }

    /// Replaces the process counts, after a refill of all buckets at the former share.
    pub fn set_process_counts(&mut self, process_counts: ProcessCounts, now: Duration) {
        if process_counts != self.process_counts {
            let share = self.process_counts.live_share();
            self.buckets
                .values_mut()
                .for_each(|bucket| bucket.refill(share, now));
            self.process_counts = process_counts;
        }
    }

    /// Returns the numbers of processes that share the rates.
    pub const fn process_counts(&self) -> ProcessCounts {
        self.process_counts
    }

    /// Admits one request of a team; `is_late` marks a request that can no longer meet its latency goal.
    ///
    /// # Errors
    ///
    /// Without enough tokens, returns the time from `now` after which the team may have enough again.
    pub fn admit(&mut self, team: &str, is_late: bool, now: Duration) -> Result<(), Duration> {
        let share = self.process_counts.live_share();
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        // The next token may go to any of the live processes.
        let live_process_count = self
            .process_counts
            .total
            .saturating_sub(self.process_counts.silent)
            .max(1) as u32;
        bucket
            .admit(is_late, share, now)
            .map_err(|wait| wait * live_process_count)
    }

    /// Returns the admissions of the teams that had one at or after `since`.
    pub fn admissions_since(&self, since: Duration) -> Vec<TeamAdmissions> {
        self.admissions_where(|bucket| bucket.has_admitted_since(since))
    }

    /// Returns the admissions of the teams near their limit that had one at or after `since`.
    pub fn near_limit_admissions_since(&self, since: Duration) -> Vec<TeamAdmissions> {
        let process_count = self.process_counts.total;
        let is_near_limit = |bucket: &TokenBucket| {
            bucket.is_near_limit(process_count) && bucket.has_admitted_since(since)
        };
        self.admissions_where(is_near_limit)
    }

    /// Returns the admissions of the teams whose bucket meets a condition.
    fn admissions_where(&self, is_included: impl Fn(&TokenBucket) -> bool) -> Vec<TeamAdmissions> {
        let included = self
            .buckets
            .iter()
            .filter(|(_, bucket)| is_included(bucket));
        included
            .map(|(team, bucket)| TeamAdmissions {
                team: team.clone(),
                admitted: bucket.admitted_count(),
            })
            .collect()
    }

    /// Returns the admissions of all teams that had one since the start of this process.
    pub fn admissions(&self) -> Vec<TeamAdmissions> {
        self.admissions_since(Duration::ZERO)
    }

    /// Returns the tokens of each team that has a rate limit.
    pub fn team_tokens(&mut self, now: Duration) -> Vec<TeamTokens> {
        let share = self.process_counts.live_share();
        let limited_buckets = self
            .buckets
            .iter_mut()
            .filter(|(_, bucket)| bucket.has_rate_limit());
        limited_buckets
            .map(|(team, bucket)| TeamTokens {
                team: team.clone(),
                tokens: bucket.tokens(share, now),
            })
            .collect()
    }

    /// Replaces the tokens of each team by those of a process that has been running longer; tokens of a team
    /// that is not known yet are kept until [`RateLimiter::set_teams`] is called.
    pub fn adopt_tokens(&mut self, team_tokens: &[TeamTokens], now: Duration) {
        let share = self.process_counts.live_share();
        for adopted in team_tokens {
            match self.buckets.get_mut(&adopted.team) {
                Some(bucket) => bucket.set_tokens(adopted.tokens, share, now),
                None => self.pending_tokens.push((adopted.clone(), now)),
            }
        }
    }

    /// Deducts from the buckets the requests that another process admitted since its last report.
    ///
    /// `silence` is the time for which that process counted as silent. The live processes left its share of
    /// the rate unused for that time, so the requests that this share allowed are not deducted.
    pub fn apply_admissions(
        &mut self,
        node: NodeId,
        admissions: &AdmissionCounts,
        silence: Duration,
        now: Duration,
    ) {
        let share = self.process_counts.live_share();
        let process_share = 1.0 / self.process_counts.total.max(1) as f64;
        let peer = self.peer_admissions.entry(node).or_default();
        let had_baseline = peer.has_baseline;
        peer.has_baseline |= admissions.is_complete;
        for reported in &admissions.teams {
            let previous = peer
                .by_team
                .insert(reported.team.clone(), reported.admitted);
            let Some(bucket) = self.buckets.get_mut(&reported.team) else {
                continue;
            };
            // Without an earlier complete report, the admissions of a new team may be old: deduct none.
            let baseline = previous.unwrap_or(if had_baseline { 0 } else { reported.admitted });
            let request_count = reported.admitted.saturating_sub(baseline) as f64;
            let unused_tokens = silence.as_secs_f64() * bucket.rate_per_s() * process_share;
            bucket.debit((request_count - unused_tokens).max(0.0), share, now);
        }
    }

    /// Removes the admissions of a process that has stopped, is gone or was replaced.
    pub fn remove_process(&mut self, node: NodeId) {
        self.peer_admissions.remove(&node);
    }
}

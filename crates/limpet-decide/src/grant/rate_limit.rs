//! Rate limit of a team and its division among the lease groups.

use limpet_types::{
    LeaseGroupId,
    hash::{
        LEASE_GROUP_COUNT,
        stable_hash, //
    },
};

/// Smallest part of a team's burst that a lease group gets, in tokens.
///
/// Parts of 2 or 3 tokens are full or empty most of the time and refuse requests within the limit.
/// Larger parts leave a team too few groups when a coordinator fails. Of 4, 5, 6, 8 and 16 this
/// value refused the fewest requests in `examples/rate.rs`.
const GROUP_BURST_MIN: u32 = 6;

/// Rate and burst of one team, for the whole fleet or the part that one lease group grants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Capacity of the bucket, in tokens.
    pub burst: u32,
}

/// Returns the part of a team's rate limit that a lease group grants.
///
/// A burst is divided among as many groups as get at least 6 tokens each, at least one group,
/// starting at a group that depends on the team. The parts add up to the limit exactly. A changed
/// burst may change the groups; [`LimitHistory`](crate::grant::LimitHistory) keeps the sum of the
/// parts within the limit meanwhile.
///
/// # Examples
///
/// ```
/// use limpet_decide::grant::{RateLimit, group_limit};
/// let team_limit = RateLimit { rate_per_s: 6.0, burst: 13 };
/// let bursts: Vec<u32> = (0..4).map(|group| group_limit("team", team_limit, group).burst).collect();
/// assert_eq!(bursts.iter().sum::<u32>(), 13);
/// assert_eq!(bursts.iter().filter(|burst| **burst > 0).count(), 2);
/// ```
pub fn group_limit(team: &str, team_limit: RateLimit, group: LeaseGroupId) -> RateLimit {
    let group_count = u32::from(LEASE_GROUP_COUNT);
    let used_group_count = (team_limit.burst / GROUP_BURST_MIN).clamp(1, group_count);
    let first_group = (stable_hash(team.as_bytes()) % u64::from(group_count)) as u32;
    let offset = (u32::from(group) + group_count - first_group) % group_count;
    if offset >= used_group_count || team_limit.burst == 0 {
        return RateLimit::default();
    }
    RateLimit {
        rate_per_s: team_limit.rate_per_s / f64::from(used_group_count),
        burst: team_limit.burst / used_group_count
            + u32::from(offset < team_limit.burst % used_group_count),
    }
}

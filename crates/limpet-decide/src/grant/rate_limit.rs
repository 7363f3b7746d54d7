//! Split of a team's limit over the groups.

use limpet_types::{
    GroupId,
    hash::{
        LEASE_GROUP_COUNT,
        stable_hash, //
    },
};

/// Smallest part of a burst that a group gets. Parts of 2 or 3 tokens are full or empty most of the
/// time and refuse requests within the limit; larger lots leave a team too few groups when a
/// coordinator is lost. Of 4, 5, 6, 8 and 16 this one did best in `examples/rate.rs`.
const LOT_MIN: u32 = 6;

/// Rate and burst of one team, of the fleet or of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Most tokens at once.
    pub burst: u32,
}

/// Returns the part of a team's limit that a group grants.
///
/// A burst is dealt out to as many groups as get at least 6 tokens each, and to one group at least,
/// starting at a group that depends on the team. The parts add up to the limit exactly. A changed
/// burst may change the groups; [`LimitHistory`](crate::grant::LimitHistory) keeps the sum within
/// the limit meanwhile.
///
/// # Examples
///
/// ```
/// use limpet_decide::grant::{RateLimit, split_limit};
/// let whole = RateLimit { rate_per_s: 6.0, burst: 13 };
/// let bursts: Vec<u32> = (0..4).map(|group| split_limit("team", whole, group).burst).collect();
/// assert_eq!(bursts.iter().sum::<u32>(), 13);
/// assert_eq!(bursts.iter().filter(|burst| **burst > 0).count(), 2);
/// ```
pub fn split_limit(team: &str, whole: RateLimit, group: GroupId) -> RateLimit {
    let groups = u32::from(LEASE_GROUP_COUNT);
    let used = (whole.burst / LOT_MIN).clamp(1, groups);
    let first = (stable_hash(team.as_bytes()) % u64::from(groups)) as u32;
    let place = (u32::from(group) + groups - first) % groups;
    if place >= used || whole.burst == 0 {
        return RateLimit::default();
    }
    RateLimit {
        rate_per_s: whole.rate_per_s / f64::from(used),
        burst: whole.burst / used + u32::from(place < whole.burst % used),
    }
}

//! Split of a team's limit over the groups.

use limpet_types::{
    GroupId,
    hash::{
        LEASE_GROUPS,
        stable_hash, //
    },
};

/// Rate and burst of one team, of the fleet or of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Most tokens at once.
    pub burst: u32,
}

/// Returns the part of a team's limit that a group grants.
///
/// The integer burst is dealt out starting at a group that depends on the team, so the parts add up
/// to it exactly. Only groups with a part of the burst get a part of the rate, because the others
/// could never grant a token.
///
/// # Examples
///
/// ```
/// use limpet_decide::grant::{Limit, split_limit};
/// let whole = Limit { rate_per_s: 6.0, burst: 6 };
/// let bursts: u32 = (0..4).map(|group| split_limit("team", whole, group).burst).sum();
/// assert_eq!(bursts, 6);
/// ```
pub fn split_limit(team: &str, whole: Limit, group: GroupId) -> Limit {
    let groups = u32::from(LEASE_GROUPS);
    let first = (stable_hash(team.as_bytes()) % u64::from(groups)) as u32;
    let place = (u32::from(group) + groups - first) % groups;
    let burst = whole.burst / groups + u32::from(place < whole.burst % groups);
    if burst == 0 {
        return Limit::default();
    }
    Limit {
        rate_per_s: whole.rate_per_s / f64::from(whole.burst.min(groups)),
        burst,
    }
}

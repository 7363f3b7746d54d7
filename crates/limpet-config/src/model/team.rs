//! Teams, the tenants of the fleet, and their limits.

use limpet_types::TeamName;

/// A team with its rate limit and the digests of its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, unique in the configuration.
    pub name: TeamName,
    /// Number of requests per second that the team may send to the whole fleet.
    pub rate_per_s: f64,
    /// Maximum number of requests that the whole fleet admits from the team at once.
    pub burst: u32,
    /// Weight in fair queueing, relative to other teams.
    pub weight: u32,
    /// BLAKE3 digests of the valid API keys of the team.
    pub key_digests: Vec<[u8; 32]>,
}

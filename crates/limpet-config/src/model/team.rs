//! Teams.

use limpet_types::TeamName;

/// One team with its limits and the digests of its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Requests per second over the whole fleet.
    pub rate_per_s: f64,
    /// Requests at once over the whole fleet.
    pub burst: u32,
    /// Share in fair queueing, relative to other teams.
    pub weight: u32,
    /// BLAKE3 digests of the API keys in force.
    pub key_digests: Vec<[u8; 32]>,
}

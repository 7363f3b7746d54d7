//! Assigns targets to preferred relays by rendezvous hashing.

use limpet_types::{
    NodeId,
    hash::stable_hash_parts, //
};

fn score(key: &[&[u8]], relay: &NodeId) -> u64 {
    let addr = relay.addr.to_string();
    let mut parts = key.to_vec();
    parts.push(addr.as_bytes());
    stable_hash_parts(&parts)
}

/// Returns the relays in order of preference for a key, by rendezvous hashing.
///
/// The order depends only on addresses, so a restarted relay gets its targets back.
pub fn rank_relays(key: &[&[u8]], relays: &[NodeId]) -> Vec<NodeId> {
    let mut ranked: Vec<(u64, NodeId)> = relays.iter().map(|r| (score(key, r), *r)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, relay)| relay).collect()
}

/// Returns the preferred relay for a replica of a shard; `None` if there are no relays.
///
/// The replica with index i goes to the relay with rank i, so the replicas of a shard have
/// different owners as long as there are at least as many relays as replicas.
pub fn preferred_relay(
    service: &str,
    shard: &str,
    replica_index: usize,
    relays: &[NodeId],
) -> Option<NodeId> {
    if relays.is_empty() {
        return None;
    }
    let ranked = rank_relays(&[service.as_bytes(), shard.as_bytes()], relays);
    Some(ranked[replica_index % ranked.len()])
}

//! Hashes that are equal on every node and in every release.

use crate::ids::{
    GroupId,
    TargetAddr, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Hashes one byte string.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes a sequence of byte strings; the boundaries count.
pub fn stable_hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(parts.len() as u64, |seed, part| {
        xxh3_64_with_seed(part, seed)
    })
}

/// Number of lease groups.
///
/// A constant, because a number in the operators' text could differ between two nodes for a while
/// and each would find a coordinator of its own for the same target.
pub const LEASE_GROUP_COUNT: GroupId = 4;

/// Returns the lease group of a target.
pub fn group_of_target(target: TargetAddr) -> GroupId {
    let hash = stable_hash(target.to_string().as_bytes());
    (hash % u64::from(LEASE_GROUP_COUNT)) as GroupId
}

//! Hash functions whose results are the same on every node and in every release.

use crate::ids::{
    LeaseGroupId,
    TargetAddr, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Returns the hash of a byte string.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the hash of a sequence of byte strings; it differs between `["ab", "c"]` and `["a", "bc"]`.
pub fn stable_hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(parts.len() as u64, |seed, part| {
        xxh3_64_with_seed(part, seed)
    })
}

/// Number of lease groups.
///
/// It is a constant rather than a setting: while a change of the setting spread, two nodes could
/// assign a target to different groups, and so to different coordinators.
pub const LEASE_GROUP_COUNT: LeaseGroupId = 4;

/// Returns the lease group that a target belongs to.
pub fn lease_group_of_target(target: TargetAddr) -> LeaseGroupId {
    let hash = stable_hash(target.to_string().as_bytes());
    (hash % u64::from(LEASE_GROUP_COUNT)) as LeaseGroupId
}

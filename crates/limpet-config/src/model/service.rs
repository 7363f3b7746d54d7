//! Services, which answer lookups, and the limits of their targets.

use limpet_types::{
    ServiceName,
    ShardName, //
};

use crate::model::Shard;

/// Kind of data that a service holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// An index searched over every shard.
    Search,
    /// Records read by key.
    Ledger,
    /// Accounts on which orders are placed.
    Accounts,
}

/// A service, split into shards whose key ranges cover the key space without overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: ServiceName,
    /// Kind of data that the service holds.
    pub kind: ServiceKind,
    /// Whether callers may use the service without an API key.
    pub is_open: bool,
    /// Whether all parts of an answer must come from the same index version.
    pub is_snapshot_required: bool,
    /// Maximum number of requests that a warm target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that a target accepts from all VMs together.
    pub connections_max: u32,
    /// Maximum number of requests that a cold target runs concurrently.
    pub cold_limit: u32,
    /// Whether a slow attempt may be hedged, that is, followed by another before it ends.
    pub is_hedging_allowed: bool,
    /// Maximum number of attempts at a shard per query, the first included.
    pub attempts_max: u32,
    /// Shards, in the order of their ranges.
    pub shards: Vec<Shard>,
}

impl Service {
    /// Returns the shard whose range contains a key.
    pub fn shard_of_key(&self, key: u64) -> Option<&Shard> {
        let following_index = self
            .shards
            .partition_point(|shard| shard.range.start <= key);
        let shard = self.shards.get(following_index.checked_sub(1)?)?;
        shard.range.contains(key).then_some(shard)
    }

    /// Returns the shard named `name`.
    pub fn shard(&self, name: &str) -> Option<&Shard> {
        let has_name = |shard: &&Shard| -> bool {
            let shard_name: &ShardName = &shard.name;
            &**shard_name == name
        };
        self.shards.iter().find(has_name)
    }
}

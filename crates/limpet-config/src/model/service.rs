//! Services.

use limpet_types::{
    ServiceName,
    ShardName, //
};

use crate::model::Shard;

/// What a service holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// An index searched over every shard.
    Search,
    /// Records read by key.
    Ledger,
    /// Accounts on which orders are placed.
    Accounts,
}

/// One service and its shards; the ranges of the shards cover the key space without overlap.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// What it holds.
    pub kind: ServiceKind,
    /// Whether callers need no API key.
    pub open: bool,
    /// Whether answers must come from one index version.
    pub snapshot: bool,
    /// Requests that one target runs at a time when warm.
    pub slots: u32,
    /// Connections that one target accepts over all VMs.
    pub connections_max: u32,
    /// Requests that one target bears at a time when cold.
    pub cold_limit: u32,
    /// Whether attempts may be hedged.
    pub hedge: bool,
    /// Most attempts at one shard for one query, the first included.
    pub attempts_max: u32,
    /// Shards, in the order of their ranges.
    pub shards: Vec<Shard>,
}

impl Service {
    /// Returns the shard that holds a key.
    pub fn shard_of_key(&self, key: u64) -> Option<&Shard> {
        let after = self
            .shards
            .partition_point(|shard| shard.range.start <= key);
        let shard = self.shards.get(after.checked_sub(1)?)?;
        shard.range.contains(key).then_some(shard)
    }

    /// Returns a shard by name.
    pub fn shard(&self, name: &str) -> Option<&Shard> {
        let is_named = |shard: &&Shard| -> bool {
            let shard_name: &ShardName = &shard.name;
            &**shard_name == name
        };
        self.shards.iter().find(is_named)
    }
}

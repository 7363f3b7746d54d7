//! Shards, the parts of the key space of a service.

use limpet_types::{
    KeyRange,
    ShardName, //
};

use crate::model::Target;

/// A shard of a service: a range of its keys and the targets that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// Name, unique in the service.
    pub name: ShardName,
    /// Keys that the shard holds.
    pub range: KeyRange,
    /// Targets that hold the replicas, in the order of the text.
    pub targets: Vec<Target>,
}

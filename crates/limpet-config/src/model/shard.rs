//! Shards of a service.

use limpet_types::{
    KeyRange,
    ShardName, //
};

use crate::model::Target;

/// A shard of a service and its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// Name, unique in the service.
    pub name: ShardName,
    /// Keys that the shard holds.
    pub range: KeyRange,
    /// Replicas, in the order of the text.
    pub targets: Vec<Target>,
}

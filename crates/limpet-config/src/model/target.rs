//! Targets, the servers that hold the replicas of a shard.

use limpet_types::{
    TargetAddr,
    TargetName,
    ZoneName, //
};

/// Whether a target may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target may receive new requests.
    Live,
    /// The target is being removed and receives no new requests.
    Leaving,
}

/// A server that holds a replica of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, unique in the configuration.
    pub name: TargetName,
    /// Address, unique in the configuration; identifies the target.
    pub addr: TargetAddr,
    /// Availability zone that the target runs in.
    pub zone: ZoneName,
    /// Whether the target may receive new requests.
    pub state: TargetState,
}

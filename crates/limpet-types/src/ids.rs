//! Type aliases for identifiers.

use std::net::SocketAddr;

/// Name of a team, as written in the operators' text.
pub type TeamName = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a shard, unique within its service.
pub type ShardName = Box<str>;
/// Name of a target, unique within the operators' text.
pub type TargetName = Box<str>;
/// Name of an availability zone.
pub type ZoneName = Box<str>;
/// Name of a lookup.
pub type LookupName = Box<str>;
/// Identifies one caller request; random unless the caller sent one.
pub type RequestId = u128;
/// Random number drawn when a process starts.
pub type Incarnation = u64;
/// Revision of the operators' text; only grows.
pub type Revision = u64;
/// Version of a search index.
pub type IndexVersion = u64;
/// Number of a lease group.
pub type GroupId = u16;
/// Address of a target; identifies it even when it is renamed.
pub type TargetAddr = SocketAddr;
/// Random number drawn by a coordinator at its election.
pub type Term = u64;

//! Type aliases of identifiers, versions and addresses.

use std::net::SocketAddr;

/// Name of a team, as in the configuration.
pub type TeamName = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a shard, unique within its service.
pub type ShardName = Box<str>;
/// Name of a target, unique within the configuration.
pub type TargetName = Box<str>;
/// Name of an availability zone.
pub type ZoneName = Box<str>;
/// Name of a lookup, a query that callers can send.
pub type LookupName = Box<str>;
/// Identifier of a caller's request; random unless the caller chose it.
pub type RequestId = u128;
/// Random number that identifies one run of a process.
pub type Incarnation = u64;
/// Revision of the configuration; increases with every change.
pub type Revision = u64;
/// Version of a search index.
pub type IndexVersion = u64;
/// Number of a lease group, which is a share of the targets and of each team's rate limit with a coordinator
/// of its own.
pub type LeaseGroupId = u16;
/// Address of a target; identifies the target even if its name changes.
pub type TargetAddr = SocketAddr;
/// Random number that identifies the time from the election of a coordinator to the loss of its lease.
pub type Term = u64;

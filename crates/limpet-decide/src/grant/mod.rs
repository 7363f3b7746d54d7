//! Rate tokens and target ownership, which the coordinator of a lease group grants for a limited
//! time.

mod coordinator;
mod limit_history;
mod owned_targets;
mod ownership_table;
mod rate_limit;
mod token_bucket;

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    NodeId,
    TargetAddr,
    TeamName, //
};

pub use coordinator::Coordinator;
pub use limit_history::LimitHistory;
pub use owned_targets::{
    OwnedTargets,
    OwnershipChange,
    OwnershipRequest, //
};
pub use ownership_table::{
    OwnershipEvent,
    OwnershipTable, //
};
pub use rate_limit::{
    RateLimit,
    group_limit, //
};
pub use token_bucket::TokenBucket;

/// Lifetime of an ownership. Longer than the time that a lease group is without a coordinator after its
/// coordinator failed, so that owners keep their targets meanwhile.
pub const OWNERSHIP_TTL: Duration = Duration::from_secs(4);
/// Longest lifetime of a token. Shorter than a lease: a coordinator that resigns waits at most this
/// long until none of its tokens is valid.
pub const TOKEN_TTL: Duration = Duration::from_secs(1);
/// Number of targets of one lease group that may be moved to their preferred relays per second.
pub const MOVES_PER_S: u32 = 8;

/// Rate limits and preferred owners of one lease group, derived from the configuration and the membership.
#[derive(Clone, Debug, Default)]
pub struct GroupRules {
    /// Part of each team's rate limit that the lease group grants.
    pub limits: HashMap<TeamName, RateLimit>,
    /// Preferred relay of each target.
    pub preferred: HashMap<TargetAddr, NodeId>,
}

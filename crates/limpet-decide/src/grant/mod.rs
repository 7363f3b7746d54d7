//! Rate tokens and target ownership granted by the coordinator of a lease group.

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
    OwnershipClaims, //
};
pub use ownership_table::{
    OwnershipEvent,
    OwnershipTable, //
};
pub use rate_limit::{
    RateLimit,
    split_limit, //
};
pub use token_bucket::TokenBucket;

/// How long ownership lasts; longer than the gap between two coordinators.
pub const OWNERSHIP_TTL: Duration = Duration::from_secs(4);
/// Longest life of a token. Shorter than a lease, so that a coordinator that resigns has to wait at
/// most this long until none of its tokens is valid.
pub const TOKEN_TTL: Duration = Duration::from_secs(1);
/// Targets that may change their owner for balance, per second and group.
pub const MOVES_PER_S: u32 = 8;

/// What the operators' text and the members mean for one group.
#[derive(Clone, Debug, Default)]
pub struct GroupRules {
    /// Part of each team's limit that the group grants.
    pub limits: HashMap<TeamName, RateLimit>,
    /// Relay preferred for each target.
    pub preferred: HashMap<TargetAddr, NodeId>,
}

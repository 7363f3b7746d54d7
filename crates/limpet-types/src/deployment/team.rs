//! Teams: callers that share keys, a rate and a burst.

use serde::{
    Deserialize,
    Serialize, //
};

/// One team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name, sent to targets.
    pub name: Box<str>,
    /// Keys of its callers.
    pub api_keys: Vec<Box<str>>,
    /// Rank of its requests, before that of their route; `None` leaves the route's.
    pub priority: Option<u32>,
    /// Requests per second over all VMs; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests at once over all VMs.
    pub burst: f64,
}

//! Teams: groups of callers that share API keys and a rate limit.

use serde::{
    Deserialize,
    Serialize, //
};

/// A team with its keys, priority and rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team; targets receive it with each request.
    pub name: Box<str>,
    /// API keys of its callers.
    pub api_keys: Vec<Box<str>>,
    /// Priority of its requests; `None` leaves them the priority of their route.
    pub priority: Option<u32>,
    /// Rate limit over all VMs; 0 means no limit.
    pub rate_per_s: f64,
    /// Capacity of the token bucket over all VMs.
    pub burst: f64,
}

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
    /// API keys by which callers belong to the team.
    pub api_keys: Vec<Box<str>>,
    /// Priority of the team's requests; with `None`, each request has the priority of its route.
    pub priority: Option<u32>,
    /// Maximum number of requests per second over all VMs; 0 means no limit.
    pub rate_per_s: f64,
    /// Capacity, over all VMs, of the token bucket of the rate limit: number of requests that may exceed
    /// the rate in a burst.
    pub burst: f64,
}

//! Routes: which requests go to which services.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request runs at most once.
    Forbidden,
}

/// A service with its share of a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Share relative to the other weights of the route.
    pub weight: f64,
}

/// A query over many shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// One service for each shard.
    pub shards: Vec<Box<str>>,
    /// Records in an answer.
    pub records_max: usize,
    /// Least share of the shards in an answer, from 0 to 1.
    pub coverage_min: f64,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Destination {
    /// To one target of one of these services, by weight.
    Split(Vec<WeightedService>),
    /// To one target of each shard.
    Gather(Gather),
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and statistics.
    pub name: Box<str>,
    /// Value of `Host`.
    pub host: Box<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_goal: Duration,
    /// Most targets to which one caller attempt may be sent (for each shard).
    pub attempts_max: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Whether the route needs no API key.
    pub is_open: bool,
    /// Where the requests go.
    pub destination: Destination,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Allowed
    }
}

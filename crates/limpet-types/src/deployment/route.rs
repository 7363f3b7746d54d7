//! Routes, which assign requests to services.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The request may be retried and hedged.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// A service with its weight in a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: f64,
}

/// A query that is sent to every shard and whose answers are merged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScatterGather {
    /// Name of the service of each shard.
    pub shards: Vec<Box<str>>,
    /// Maximum number of records in the merged answer.
    pub records_max: usize,
    /// Minimum share of the shards that an answer must cover, from 0 to 1.
    pub coverage_min: f64,
}

/// Where the requests of a route are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Destination {
    /// To one target of one of these services, by weight.
    Split(Vec<WeightedService>),
    /// To one target of each shard.
    ScatterGather(ScatterGather),
}

/// A rule that assigns the requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Box<str>,
    /// Value of the `Host` header of the requests that the route is for.
    pub host: Box<str>,
    /// Prefix of the path of the requests that the route is for; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Maximum time until the caller gets an answer; a caller may set a shorter one for a request.
    pub timeout: Duration,
    /// Latency objective: an answer within this time is worth as much to the caller as an earlier one.
    pub latency_goal: Duration,
    /// Maximum number of attempts for one request, or for each shard of a scatter-gather query. Retries
    /// and hedges count; attempts that reached no target don't.
    pub attempts_max: u32,
    /// Priority of the requests, unless their team has one of its own; 0 is the highest.
    pub priority: u32,
    /// Whether the route needs no API key.
    pub is_public: bool,
    /// Where the requests are sent.
    pub destination: Destination,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }
}

//! Services: groups of targets that serve the same requests.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// A service and the limits of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Maximum number of connections to one target, over all processes.
    pub connections_max: u32,
    /// Time that a target needs to warm up after its start; the target is cold until then.
    pub warmup_time: Duration,
    /// Maximum rate of requests to a cold target, over all processes; 0 means no limit.
    pub cold_rate_per_s: f64,
}

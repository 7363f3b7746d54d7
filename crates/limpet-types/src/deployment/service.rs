//! Services: groups of targets that answer equally well.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Box<str>,
    /// Connections that one target accepts from all processes together.
    pub connections_max: u32,
    /// Time for which a started target stays cold.
    pub cold_time: Duration,
    /// Requests per second that a cold target bears; 0 means that no limit is stated.
    pub cold_rate_per_s: f64,
}

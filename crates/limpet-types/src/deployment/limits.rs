//! What a caller may send, and how long it may take.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Bounds of one caller connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

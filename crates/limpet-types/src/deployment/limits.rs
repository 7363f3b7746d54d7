//! Size limits and timeouts of caller connections.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Limits of one caller connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_max_bytes: usize,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// Maximum time to receive the head of a request. The gateway applies it to the body of a request whose
    /// caller states no timeout, and limits the head by `idle_timeout`.
    pub head_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

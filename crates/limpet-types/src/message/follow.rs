//! Spread of the deployment's state from the process that reads it.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision that the asker has; 0 if it has none.
    pub after: u64,
    /// Longest time to wait for a change.
    pub wait: Duration,
}

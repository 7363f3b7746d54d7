//! Replication of the deployment's state from the process that reads its source.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision of the requester's state; 0 if it has none.
    pub after_revision: u64,
    /// Maximum time to wait for a change.
    pub wait_max: Duration,
}

//! Replication of the deployment's state: one process reads its source, and the others follow that process.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Requests the changes of the deployment's state after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision of the requester's state; 0 if it has none.
    pub after_revision: u64,
    /// Maximum time to wait for a change.
    pub wait_max: Duration,
}

//! Targets that this relay owns, and for how long.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TargetAddr;

/// Time since boot at which the ownership of each target of this relay ends.
#[derive(Clone, Debug, Default)]
pub struct OwnershipDeadlines {
    /// Deadline of each target, as time since boot; may have passed, so readers compare it with the clock.
    pub(crate) deadlines: HashMap<TargetAddr, Duration>,
}

impl OwnershipDeadlines {
    /// Sets the time since boot until which a target is owned.
    pub fn with_target(mut self, target: TargetAddr, deadline: Duration) -> Self {
        self.deadlines.insert(target, deadline);
        self
    }

    /// Returns the time since boot until which a target is owned, or `None` if it is not owned at `now`.
    pub fn owned_until(&self, target: TargetAddr, now: Duration) -> Option<Duration> {
        self.deadlines
            .get(&target)
            .copied()
            .filter(|deadline| now < *deadline)
    }
}

//! Targets that this relay owns, and for how long.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TargetAddr;

/// Boot time at which the ownership of each target of this relay ends.
#[derive(Clone, Debug, Default)]
pub struct OwnershipDeadlines {
    /// Deadline of each target, as boot time; may have passed, so readers compare it with the clock.
    pub(crate) deadlines: HashMap<TargetAddr, Duration>,
}

impl OwnershipDeadlines {
    /// Sets the boot time until which a target is owned.
    pub fn with_target(mut self, target: TargetAddr, deadline: Duration) -> Self {
        self.deadlines.insert(target, deadline);
        self
    }

    /// Returns the boot time until which a target is owned, or `None` if it is not owned at `now`.
    pub fn owned_until(&self, target: TargetAddr, now: Duration) -> Option<Duration> {
        self.deadlines
            .get(&target)
            .copied()
            .filter(|deadline| now < *deadline)
    }
}

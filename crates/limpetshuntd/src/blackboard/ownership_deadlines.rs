//! Targets that this relay owns.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TargetAddr;

/// Targets with the boot time at which ownership ends.
#[derive(Clone, Debug, Default)]
pub struct OwnershipDeadlines {
    pub(crate) ends_by_target: HashMap<TargetAddr, Duration>,
}

impl OwnershipDeadlines {
    /// Adds a target that is owned until a boot time.
    pub fn with_target(mut self, target: TargetAddr, until: Duration) -> Self {
        self.ends_by_target.insert(target, until);
        self
    }

    /// Returns until when the target is owned, if it is owned at `now`.
    pub fn owned_until(&self, target: TargetAddr, now: Duration) -> Option<Duration> {
        self.ends_by_target
            .get(&target)
            .copied()
            .filter(|until| now < *until)
    }
}

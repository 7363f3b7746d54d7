//! Limits of the age of a state.

use std::time::Duration;

/// Limits of the age of a state, all derived from the greatest age that it may have.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::refresh::RefreshLimits;
///
/// let limits = RefreshLimits::new(Duration::from_secs(4));
/// assert_eq!(limits.current_age_max(), Duration::from_millis(2500));
/// assert_eq!(limits.source_reserve(), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefreshLimits {
    age_max: Duration,
}

impl RefreshLimits {
    /// Creates the limits from the greatest age that the state of a process in contact with the source may have.
    pub const fn new(age_max: Duration) -> Self {
        Self { age_max }
    }

    /// Returns the greatest age that a state may have.
    pub const fn age_max(&self) -> Duration {
        self.age_max
    }

    /// Returns the age beyond which a process is not current, so that others do not follow it.
    pub fn current_age_max(&self) -> Duration {
        self.age_max * 5 / 8
    }

    /// Returns the part of the greatest age that is kept for two calls to the source.
    pub fn source_reserve(&self) -> Duration {
        self.age_max / 4
    }

    /// Returns how long a process with a state of this age may wait for others before it asks the source.
    pub fn peer_time(&self, age: Duration) -> Duration {
        let left = self.age_max.saturating_sub(age);
        left.saturating_sub(self.source_reserve())
    }
}

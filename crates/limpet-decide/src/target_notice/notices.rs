//! The latest notices of one target.

use std::time::Duration;

/// Notices that one incarnation of a target has given in its replies.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::target_notice::TargetNotices;
///
/// let now = Duration::from_secs(9);
/// let mut notices = TargetNotices::new();
/// notices.record_pause(Duration::from_secs(2), now);
/// assert_eq!(notices.pause_left(now), Duration::from_secs(2));
/// assert!(!notices.allows_request(now));
/// assert!(notices.allows_request(now + Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetNotices {
    is_leaving: bool,
    paused_until: Duration,
}

impl TargetNotices {
    /// Creates the notices of a target that has not replied yet.
    pub const fn new() -> Self {
        Self {
            is_leaving: false,
            paused_until: Duration::ZERO,
        }
    }

    /// Records that the target leaves; an incarnation that leaves does not come back.
    pub fn record_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records that the target wants no request for a while. A reply that was sent earlier and arrives later does not
    /// shorten the pause.
    pub fn record_pause(&mut self, pause: Duration, now: Duration) {
        self.paused_until = self.paused_until.max(now.saturating_add(pause));
    }

    /// Returns whether the target leaves.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns how much longer the target wants no request; zero if it wants some.
    pub fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Returns whether a request may be sent to the target.
    pub fn allows_request(&self, now: Duration) -> bool {
        !self.is_leaving && self.pause_left(now).is_zero()
    }

    /// Returns whether a notice is in force, so that it must not be forgotten.
    pub fn is_in_force(&self, now: Duration) -> bool {
        !self.allows_request(now)
    }
}

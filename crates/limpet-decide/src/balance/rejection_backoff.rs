//! Memory of the rejections of one target.

use std::time::Duration;

/// Time for which a target isn't asked after its first rejection; doubled by each further one in a row.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest time for which a target isn't asked after a rejection.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Largest change of the time, as a fraction of it, so that processes don't return to a full target together.
const JITTER: f64 = 0.25;

/// Time for which a target that rejected requests as full isn't asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionBackoff {
    /// Number of rejections since the last accepted request.
    rejection_count: u32,
    until: Duration,
}

impl RejectionBackoff {
    /// Creates the memory of a target that has rejected nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a rejection; `draw` is a random number from 0 to 1.
    ///
    /// Rejections of requests that were sent together count once: those that arrive during the backoff don't
    /// lengthen it.
    pub fn record_rejection(&mut self, draw: f64, now: Duration) {
        if self.is_active(now) {
            return;
        }
        let doubling_count = self.rejection_count.min(8);
        self.rejection_count = self.rejection_count.saturating_add(1);
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << doubling_count)
            .min(BACKOFF_MAX);
        self.until = now + backoff.mul_f64(1.0 + JITTER * (2.0 * draw.clamp(0.0, 1.0) - 1.0));
    }

    /// Records that the target ran a request: the next backoff is short again. One in force stays, since the reply
    /// may be to an earlier request.
    pub const fn record_accepted(&mut self) {
        self.rejection_count = 0;
    }

    /// Returns whether the target isn't to be asked.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns how much longer the target isn't to be asked; zero if it may be asked.
    pub const fn time_left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }
}

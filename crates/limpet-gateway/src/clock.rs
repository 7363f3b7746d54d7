//! Time since the start of the process.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock of the process; it does not advance while the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

//! Time since the start of the process.

use std::time::Duration;

use limpet_types::BootClock;
use tokio::time::Instant;

/// Monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    boot_time_at_start: Duration,
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
            boot_time_at_start: BootClock::new().now(),
        }
    }

    /// Returns the time since the start of the clock, without the time for which the VM was suspended.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the time since the start of the clock, including the time for which the VM was suspended.
    pub fn suspend_aware_now(&self) -> Duration {
        BootClock::new()
            .now()
            .saturating_sub(self.boot_time_at_start)
    }
}

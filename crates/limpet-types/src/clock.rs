//! Monotonic clock that keeps running while the machine is suspended.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Clock that reads `CLOCK_BOOTTIME`.
///
/// `std::time::Instant` stops while the machine is suspended. A lease checked against it would seem
/// valid after a resume, although it may have expired and been granted to another node by then.
///
/// # Examples
///
/// ```
/// let clock = limpet_types::BootClock::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Creates a clock.
    pub const fn new() -> Self {
        Self
    }

    /// Returns the time since boot, including time spent suspended.
    pub fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        )
    }
}

//! Time after which a refused caller should retry.

use std::time::Duration;

/// Shortest time: an earlier retry finds the same queue.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Largest part of the time left that a caller spends waiting; callers ignore longer values.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Returns the time after which a caller should retry.
///
/// `expected_wait` is the time until capacity is expected, and `draw` a random number from 0 to 1, which spreads
/// the retries of callers that were refused together.
pub fn retry_after(expected_wait: Duration, time_left: Duration, draw: f64) -> Duration {
    let base = expected_wait.max(RETRY_AFTER_MIN);
    base.mul_f64(1.0 + draw.clamp(0.0, 1.0))
        .min(time_left / TIME_LEFT_DIVISOR)
}

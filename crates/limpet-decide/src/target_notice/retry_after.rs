//! Value of `Retry-After`.

use std::time::Duration;

/// Longest time that is taken from a `Retry-After` header.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Parses the value of a `Retry-After` header in seconds, which may have a fraction.
///
/// Returns `None` for anything else, a date included: a date depends on the clock of the target.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::target_notice::parse_retry_after;
///
/// assert_eq!(parse_retry_after(" 1.5"), Some(Duration::from_millis(1500)));
/// assert_eq!(parse_retry_after("soon"), None);
/// ```
pub fn parse_retry_after(value: &str) -> Option<Duration> {
    let value = value.trim();
    let is_number = value
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = value.parse().ok().filter(|_| is_number)?;
    Some(
        Duration::try_from_secs_f64(seconds).map_or(RETRY_AFTER_MAX, |time| {
            time.min(RETRY_AFTER_MAX) //
        }),
    )
}

//! The team and the limit of its requests that the tests of the rate limits share.

use std::time::Duration;

use limpet_types::deployment::Team;

pub(crate) const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 40.0;
/// Time step of the simulations.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Length, in ticks, of the window in which the number of admitted requests is limited.
const WINDOW_TICKS: usize = 100;
/// Fraction by which the admitted requests in a window may exceed rate and burst.
const EXCESS_FRACTION: f64 = 0.25;
/// Number of requests that may be admitted in a window beyond rate, burst and `EXCESS_FRACTION`.
const EXCESS_REQUESTS: f64 = 20.0;

pub(crate) fn team(rate_per_s: f64) -> Team {
    Team {
        name: "team".into(),
        api_keys: Vec::new(),
        priority: None,
        rate_per_s,
        burst: BURST,
    }
}

/// Returns whether some window has more admitted requests than rate, burst and allowed excess.
pub(crate) fn exceeds_limit(admitted_counts: &[usize]) -> bool {
    let window_s = TICK.as_secs_f64() * WINDOW_TICKS as f64;
    let limit = (RATE_PER_S * window_s + BURST) * (1.0 + EXCESS_FRACTION) + EXCESS_REQUESTS;
    admitted_counts
        .windows(WINDOW_TICKS)
        .any(|window| window.iter().sum::<usize>() as f64 > limit)
}

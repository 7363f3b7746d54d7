//! The rate of requests to a cold target from many processes that do not coordinate.

use std::time::Duration;

use limpet_gateway::target::ColdRateLimiter;
use proptest::prelude::*;

/// Factor on the stated rate that the requirement allows in any second.
const RATE_FACTOR_MAX: f64 = 1.5;
/// Requests that the requirement allows in addition in any second.
const EXTRA_REQUESTS_MAX: f64 = 5.0;
const TICK: Duration = Duration::from_millis(20);
/// Ticks in the window of the requirement, one second.
const WINDOW_TICKS: usize = 50;

/// Load on a cold target.
#[derive(Clone, Debug)]
struct Scenario {
    /// Phase of each process within its send interval.
    phases: Vec<f64>,
    /// Rate limit of the target.
    rate_per_s: f64,
    /// Ticks in which no process has a request for the target.
    idle_ticks: std::ops::Range<usize>,
}

/// Simulates eight seconds in which every process sends what its limiter allows; returns the number of
/// requests in each tick.
fn simulate(scenario: &Scenario) -> Vec<usize> {
    let share_per_s = scenario.rate_per_s / scenario.phases.len() as f64;
    let mut limiters: Vec<ColdRateLimiter> = scenario
        .phases
        .iter()
        .copied()
        .map(ColdRateLimiter::new)
        .collect();
    for limiter in &mut limiters {
        limiter.set_cold(Duration::from_secs(60), Duration::ZERO);
    }
    let mut sent = Vec::new();
    for tick in 0..400 {
        let now = TICK * tick as u32;
        let mut sum = 0;
        for limiter in &mut limiters {
            if !scenario.idle_ticks.contains(&tick) && limiter.allows_request(share_per_s, now) {
                limiter.record_request(share_per_s, now);
                sum += 1;
            }
        }
        sent.push(sum);
    }
    sent
}

/// Returns the number of requests in the busiest window of one second.
fn busiest_second(sent: &[usize]) -> usize {
    let sums = sent.windows(WINDOW_TICKS).map(|w| w.iter().sum());
    sums.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against overloading a cold target by the sum of all processes' requests, also right after an
    /// idle period.
    #[test]
    fn processes_together_stay_within_the_rate_of_a_cold_target(
        phases in prop::collection::vec(0.0_f64..1.0, 1..300),
        rate_per_s in 4.0_f64..60.0,
        idle_from in 0_usize..200,
        idle_for in 0_usize..200,
    ) {
        let idle_ticks = idle_from..idle_from + idle_for;
        let sent = simulate(&Scenario { phases, rate_per_s, idle_ticks });
        let bound = rate_per_s * RATE_FACTOR_MAX + EXTRA_REQUESTS_MAX;
        prop_assert!(busiest_second(&sent) as f64 <= bound, "{} of {bound}", busiest_second(&sent));
    }
}

/// Guards against a burst after an idle period from processes that keep unused send times. This is the
/// smallest case that exceeded the bound when each process kept its token.
#[test]
fn processes_do_not_send_all_at_once_after_an_idle_period() {
    let sent = simulate(&Scenario {
        phases: (0..42).map(|index| f64::from(index) / 42.0).collect(),
        rate_per_s: 4.0,
        idle_ticks: 58..251,
    });
    assert!(
        busiest_second(&sent) <= 11,
        "{} in a second",
        busiest_second(&sent)
    );
}

/// Guards against a limit that starves a cold target.
#[test]
fn cold_target_gets_a_third_of_its_rate() {
    let scenario = Scenario {
        phases: (0..67).map(|index| f64::from(index) / 67.0).collect(),
        rate_per_s: 20.0,
        idle_ticks: 0..0,
    };
    let sent: usize = simulate(&scenario).iter().sum();
    assert!(sent as f64 >= 20.0 * 8.0 / 3.0, "{sent} requests in 8 s");
}

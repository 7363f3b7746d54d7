//! Repeated sends within a sliding window.

use std::time::Duration;

use limpet_gateway::retry_budget::{
    RetryBudget,
    RetryLimits, //
};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;

fn limits() -> RetryLimits {
    RetryLimits {
        ratio: RATIO,
        slack: SLACK,
        window: WINDOW,
    }
}

/// Sends of one process: time and whether the send repeats a request.
type Sends = Vec<(Duration, bool)>;

/// Returns whether some window has more repeats than the users allow for the whole fleet.
fn breaks_the_bound(fleet: &[Sends]) -> bool {
    let all: Vec<(Duration, bool)> = fleet.iter().flatten().copied().collect();
    all.iter().any(|(end, _)| {
        let start = end.saturating_sub(WINDOW);
        let within = |from: Duration| {
            let inside = all.iter().filter(move |(at, _)| *at > from && *at <= *end);
            inside.copied().collect::<Vec<_>>()
        };
        let repeats = within(start)
            .iter()
            .filter(|(_, is_repeat)| *is_repeat)
            .count();
        let firsts = within(start.saturating_sub(WINDOW))
            .iter()
            .filter(|(_, r)| !r)
            .count();
        repeats as f64 > RATIO * firsts as f64 + SLACK
    })
}

/// Plays processes that repeat whatever they may; `wants` are the gaps between requests.
fn play(wants: &[Vec<u64>], processes: usize) -> Vec<Sends> {
    let run = |gaps: &Vec<u64>| {
        let mut budget = RetryBudget::new(limits());
        let mut now = Duration::ZERO;
        let mut sends = Vec::new();
        for gap_ms in gaps {
            now += Duration::from_millis(*gap_ms);
            budget.record_request(now);
            sends.push((now, false));
            while budget.try_spend(processes, now) {
                sends.push((now, true));
            }
        }
        sends
    };
    wants.iter().map(run).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more repeats than the fleet may send, in any window.
    #[test]
    fn fleet_stays_within_the_bound(
        wants in proptest::collection::vec(proptest::collection::vec(0_u64..400, 1..150), 1..8)
    ) {
        let processes = wants.len();
        prop_assert!(!breaks_the_bound(&play(&wants, processes)));
    }
}

/// Shows that the check can fail: processes that each take the whole slack pass the bound.
#[test]
fn slack_that_is_not_shared_breaks_the_bound() {
    let wants = vec![vec![20; 20]; 8];
    assert!(breaks_the_bound(&play(&wants, 1)));
    assert!(!breaks_the_bound(&play(&wants, 8)));
}

/// Guards against a service that can never repeat because it gets few requests.
#[test]
fn small_service_may_use_its_part_of_the_slack() {
    let mut budget = RetryBudget::new(limits());
    budget.record_request(Duration::ZERO);
    assert!(budget.try_spend(8, Duration::ZERO));
}

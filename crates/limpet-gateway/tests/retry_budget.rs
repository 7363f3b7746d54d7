//! Retries of all processes together within a sliding window.

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

/// Attempts of one process: time, and whether the attempt is a retry.
type Attempts = Vec<(Duration, bool)>;

/// Returns whether some window has more retries than all processes together may send, based on the requests
/// of that window and the one before it.
fn exceeds_limit(processes: &[Attempts]) -> bool {
    let all_attempts: Vec<(Duration, bool)> = processes.iter().flatten().copied().collect();
    all_attempts.iter().any(|(end, _)| {
        let start = end.saturating_sub(WINDOW);
        let attempts_since = |from: Duration| {
            let inside = all_attempts
                .iter()
                .filter(move |(at, _)| *at > from && *at <= *end);
            inside.copied().collect::<Vec<_>>()
        };
        let retry_count = attempts_since(start)
            .iter()
            .filter(|(_, is_retry)| *is_retry)
            .count();
        let request_count = attempts_since(start.saturating_sub(WINDOW))
            .iter()
            .filter(|(_, is_retry)| !is_retry)
            .count();
        retry_count as f64 > RATIO * request_count as f64 + SLACK
    })
}

/// Simulates processes that retry as often as they may, where each divides the slack among `process_count`
/// processes; `gaps_ms` holds the times between the requests of each process.
fn simulate(gaps_ms: &[Vec<u64>], process_count: usize) -> Vec<Attempts> {
    let run_process = |gaps_ms: &Vec<u64>| {
        let mut budget = RetryBudget::new(limits());
        let mut now = Duration::ZERO;
        let mut attempts = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(*gap_ms);
            budget.record_request(now);
            attempts.push((now, false));
            while budget.try_spend(process_count, now) {
                attempts.push((now, true));
            }
        }
        attempts
    };
    gaps_ms.iter().map(run_process).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more retries than all processes together may send in any window.
    #[test]
    fn processes_together_stay_within_the_limit(
        gaps_ms in proptest::collection::vec(proptest::collection::vec(0_u64..400, 1..150), 1..8)
    ) {
        let process_count = gaps_ms.len();
        prop_assert!(!exceeds_limit(&simulate(&gaps_ms, process_count)));
    }
}

/// Shows that the check can fail: processes that each use the whole slack exceed the limit.
#[test]
fn undivided_slack_exceeds_the_limit() {
    let gaps_ms = vec![vec![20; 20]; 8];
    assert!(exceeds_limit(&simulate(&gaps_ms, 1)));
    assert!(!exceeds_limit(&simulate(&gaps_ms, 8)));
}

/// Guards against a service that may never retry because it gets few requests.
#[test]
fn service_with_few_requests_may_use_its_share_of_the_slack() {
    let mut budget = RetryBudget::new(limits());
    budget.record_request(Duration::ZERO);
    assert!(budget.try_spend(8, Duration::ZERO));
}

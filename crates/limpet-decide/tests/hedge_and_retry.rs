//! Guards against hedges and retries that multiply the load, and against executing an order twice.

use std::time::Duration;

use limpet_decide::{
    hedge::{
        HedgePolicy,
        SAMPLES_MIN, //
    },
    retry::{
        FailedAttempt,
        RetryBudget, //
    },
};

#[test]
fn no_hedge_before_enough_latency_samples() {
    let mut hedge = HedgePolicy::new();
    for _ in 0..SAMPLES_MIN - 1 {
        hedge.record_first_attempt();
        hedge.record_latency(Duration::from_millis(5));
        assert_eq!(hedge.delay(), None);
        assert!(!hedge.try_spend());
    }
    hedge.record_latency(Duration::from_millis(5));
    assert!(hedge.delay().is_some());
}

#[test]
fn hedges_stay_within_four_percent_if_every_attempt_asks_for_one() {
    let mut hedge = HedgePolicy::new();
    (0..SAMPLES_MIN).for_each(|_| hedge.record_latency(Duration::from_millis(5)));
    let mut hedge_count = 0;
    for _ in 0..10_000 {
        hedge.record_first_attempt();
        hedge_count += u32::from(hedge.try_spend());
    }
    assert!((390..=400).contains(&hedge_count), "{hedge_count} hedges");
}

#[test]
fn the_hedge_delay_follows_the_latency_up_and_down() {
    let mut hedge = HedgePolicy::new();
    (0..10_000).for_each(|_| hedge.record_latency(Duration::from_millis(5)));
    (0..10_000).for_each(|_| hedge.record_latency(Duration::from_millis(50)));
    (0..100).for_each(|_| hedge.record_latency(Duration::from_millis(50)));
    assert!(hedge.delay().unwrap() >= Duration::from_millis(49));
    (0..200_000).for_each(|_| hedge.record_latency(Duration::from_millis(5)));
    assert!(hedge.delay().unwrap() <= Duration::from_millis(6));
}

const FAILED_SEARCH: FailedAttempt = FailedAttempt {
    is_idempotent: true,
    is_not_run: false,
    has_failed_before_target: false,
    attempt_count: 1,
    attempts_max: 3,
};

fn retry_decision((failure, is_retried): (FailedAttempt, bool)) {
    assert_eq!(RetryBudget::new().try_spend(failure), is_retried);
}

limpet_testkit::cases! {
    retry_decision:
    failed_search_is_retried => (FAILED_SEARCH, true),
    order_that_may_have_run_is_not_retried =>
        (FailedAttempt { is_idempotent: false, ..FAILED_SEARCH }, false),
    order_that_did_not_run_is_retried =>
        (FailedAttempt { is_idempotent: false, is_not_run: true, ..FAILED_SEARCH }, true),
    last_attempt_is_not_retried => (FailedAttempt { attempt_count: 3, ..FAILED_SEARCH }, false),
}

#[test]
fn retries_stay_within_ten_percent_except_for_attempts_that_failed_before_the_target() {
    let mut budget = RetryBudget::new();
    while budget.try_spend(FAILED_SEARCH) {}
    let mut retry_count = 0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        retry_count += u32::from(budget.try_spend(FAILED_SEARCH));
    }
    assert!((98..=101).contains(&retry_count), "{retry_count} retries");
    while budget.try_spend(FAILED_SEARCH) {}
    let failed_before_target = FailedAttempt {
        is_not_run: true,
        has_failed_before_target: true,
        ..FAILED_SEARCH
    };
    assert!(budget.try_spend(failed_before_target));
}

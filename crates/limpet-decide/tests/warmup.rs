//! Guards against treating a cold target as warm and against a limit that grows faster than one
//! doubling per ramp window.

use std::time::Duration;

use limpet_decide::warmup::{
    RAMP_WINDOW,
    WarmupEvidence,
    WarmupState,
    WarmupTransition, //
};
use proptest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn warm_report(incarnation: u64, sent_at: Duration) -> WarmupEvidence {
    WarmupEvidence::ReportedWarm {
        incarnation,
        sent_at,
    }
}

fn becomes_cold((evidence, transition): (WarmupEvidence, WarmupTransition)) {
    let mut state = WarmupState::new(1, 8);
    assert_eq!(
        state.observe(warm_report(1, ms(0)), ms(0)),
        Some(WarmupTransition::Warmed)
    );
    assert_eq!(state.observe(evidence, ms(10)), Some(transition));
    assert!(state.is_cold());
    assert_eq!(state.concurrency_limit(ms(10)), 1);
}

limpet_testkit::cases! {
    becomes_cold:
    cold_report => (WarmupEvidence::ReportedCold { incarnation: 1 }, WarmupTransition::ReportsCold),
    cold_report_of_a_new_incarnation =>
        (WarmupEvidence::ReportedCold { incarnation: 2 }, WarmupTransition::NewIncarnation),
    warm_report_of_a_new_incarnation => (warm_report(2, ms(10)), WarmupTransition::NewIncarnation),
    lost_connection => (WarmupEvidence::ConnectionLost, WarmupTransition::LostConnection),
    zone_back_in_service => (WarmupEvidence::ZoneReturned, WarmupTransition::ReturnedZone),
}

#[test]
fn a_warm_report_sent_before_the_target_turned_cold_is_ignored() {
    let mut state = WarmupState::new(1, 8);
    state.observe(warm_report(1, ms(0)), ms(0));
    state.observe(WarmupEvidence::ConnectionLost, ms(10));
    assert_eq!(state.observe(warm_report(1, ms(9)), ms(11)), None);
    assert!(state.is_cold());
    assert_eq!(
        state.observe(warm_report(1, ms(12)), ms(13)),
        Some(WarmupTransition::Warmed)
    );
}

#[test]
fn the_limit_doubles_only_after_windows_with_success_and_no_failure() {
    let mut state = WarmupState::new(1, 8);
    state.observe(warm_report(1, ms(0)), ms(0));
    assert_eq!(state.concurrency_limit(ms(999)), 1);
    assert_eq!(state.concurrency_limit(ms(1_000)), 2);
    assert_eq!(
        state.concurrency_limit(ms(2_000)),
        2,
        "no success in the window"
    );
    state.observe(warm_report(1, ms(2_100)), ms(2_200));
    state.observe(WarmupEvidence::Failure, ms(2_300));
    assert_eq!(
        state.concurrency_limit(ms(3_000)),
        2,
        "a failure in the window"
    );
    state.observe(warm_report(1, ms(3_100)), ms(3_200));
    assert_eq!(state.concurrency_limit(ms(4_000)), 4);
}

fn evidence() -> impl Strategy<Value = WarmupEvidence> {
    prop_oneof![
        4 => (1..3u64, 0..60_000u64).prop_map(|(i, at)| warm_report(i, ms(at))),
        2 => (1..3u64).prop_map(|incarnation| WarmupEvidence::ReportedCold { incarnation }),
        1 => Just(WarmupEvidence::ConnectionLost),
        1 => Just(WarmupEvidence::Failure),
        1 => Just(WarmupEvidence::ZoneReturned),
    ]
}

proptest! {
    #[test]
    fn limits_hold_for_any_sequence_of_evidence(
        cold_limit in 1..4u32,
        slots in 1..16u32,
        events in prop::collection::vec((evidence(), 0..1_500u64), 1..80),
    ) {
        let mut state = WarmupState::new(cold_limit, slots);
        let mut now = Duration::ZERO;
        let mut turned_cold_at = Duration::ZERO;
        let mut increased_at: Option<Duration> = None;
        let mut limit_before = state.concurrency_limit(now);
        for (evidence, wait_ms) in events {
            now += ms(wait_ms);
            // A response cannot have been sent after it arrived.
            let evidence = match evidence {
                WarmupEvidence::ReportedWarm { incarnation, sent_at } =>
                    warm_report(incarnation, sent_at.min(now)),
                other => other,
            };
            let was_cold = state.is_cold();
            let limit_after_wait = state.concurrency_limit(now);
            if limit_after_wait > limit_before {
                prop_assert!(limit_after_wait <= limit_before * 2);
                prop_assert!(increased_at.is_none_or(|at| now >= at + RAMP_WINDOW));
                increased_at = Some(now);
            }
            state.observe(evidence, now);
            if state.is_cold() {
                prop_assert!(state.concurrency_limit(now) <= cold_limit.min(slots));
                increased_at = None;
            } else if was_cold {
                let WarmupEvidence::ReportedWarm { sent_at, .. } = evidence else {
                    return Err(TestCaseError::fail("became warm without a warm report"));
                };
                prop_assert!(
                    sent_at >= turned_cold_at,
                    "the report was sent before the target turned cold"
                );
                prop_assert_eq!(state.concurrency_limit(now), cold_limit.min(slots));
            }
            let must_be_cold = matches!(
                evidence,
                WarmupEvidence::ReportedCold { .. }
                    | WarmupEvidence::ConnectionLost
                    | WarmupEvidence::ZoneReturned
            );
            if must_be_cold {
                prop_assert!(state.is_cold());
            }
            if must_be_cold || (!was_cold && state.is_cold()) {
                turned_cold_at = now;
            }
            limit_before = state.concurrency_limit(now);
            prop_assert!((1..=slots).contains(&limit_before));
        }
    }
}

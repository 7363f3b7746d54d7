//! Timing of hedges, and when an answer is sent although parts are missing.

use std::time::Duration;

use limpet_decide::gather::{
    HedgeTiming,
    MissingPart,
    Parts, //
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const STRAGGLER_DELAY: Duration = ms(20);

/// Returns the state of a query over 36 shards of which the given numbers arrived and failed.
fn parts(arrived_count: usize, failed_count: usize) -> Parts {
    Parts {
        arrived_count,
        failed_count,
        ..Parts::new(36, 0.85)
    }
}

const fn missing(waited_ms: u64, may_try_again: bool) -> MissingPart {
    MissingPart {
        waited: Some(ms(waited_ms)),
        may_try_again,
    }
}

/// Checks after which time an answer is sent that has to be sent within 60 ms.
fn send_delay_is_within((parts, missing, min_ms, max_ms): (Parts, &[MissingPart], u64, u64), //
) {
    let delay = parts.send_delay(missing, STRAGGLER_DELAY, ms(60));
    assert!((ms(min_ms)..=ms(max_ms)).contains(&delay), "{delay:?}");
}

// Guards against an answer that is sent without a part that is about to arrive, and against one that is held for a part
// that can hardly be expected.
limpet_testkit::cases! {
    send_delay_is_within:
    part_in_its_usual_time_is_awaited => (parts(35, 0), &[missing(5, true)], 30, 60),
    part_that_can_be_hedged_is_awaited => (parts(35, 0), &[missing(40, true)], 30, 60),
    part_that_is_long_overdue_is_not_awaited => (parts(35, 0), &[missing(600, false)], 0, 0),
    part_that_is_overdue_is_awaited_for_a_while => (parts(35, 0), &[missing(60, false)], 20, 58),
    many_overdue_parts_are_awaited => (parts(31, 0), &[missing(600, false); 5], 1, 60),
    part_without_an_attempt_is_not_awaited =>
        (parts(35, 0), &[MissingPart { waited: None, may_try_again: false }], 0, 0),
    answer_below_its_coverage_is_not_sent => (parts(30, 0), &[missing(600, false); 6], 60, 60),
}

/// Checks whether a query is covered, out of reach and complete.
fn state_is((parts, expected): (Parts, (bool, bool, bool))) {
    let state = (
        parts.is_covered(),
        parts.is_out_of_reach(),
        parts.is_complete(),
    );
    assert_eq!(state, expected);
}

// Guards against waiting for a coverage that is out of reach, and against giving up one that is not. 31 of 36 parts are
// needed.
limpet_testkit::cases! {
    state_is:
    fifth_failure_leaves_the_coverage_in_reach => (parts(0, 5), (false, false, false)),
    sixth_failure_ends_the_query => (parts(30, 6), (false, true, true)),
    coverage_with_parts_missing => (parts(31, 0), (true, false, false)),
    all_parts => (parts(36, 0), (true, false, true)),
}

/// Guards against a rounding error that raises the number of parts that are needed.
#[test]
fn coverage_of_whole_parts_needs_no_further_part() {
    assert_eq!(Parts::new(10, 0.7).needed_count, 7);
    assert_eq!(Parts::new(10, 0.0).needed_count, 1);
}

const TIMING: HedgeTiming = HedgeTiming {
    mean_latency: Some(ms(10)),
    straggler_delay: Some(ms(30)),
    goal: ms(100),
};

/// Checks the delay of a hedge for one of many missing parts and for one of the last ones.
fn hedge_delay_is((timing, usual_ms, last_ms): (HedgeTiming, u64, u64)) {
    let delays = (timing.delay(false), timing.delay(true));
    assert_eq!(delays, (ms(usual_ms), ms(last_ms)));
}

// Guards against hedges that come too late for the goal, and against hedges of requests that are not late.
limpet_testkit::cases! {
    hedge_delay_is:
    last_parts_are_hedged_earlier => (TIMING, 30, 18),
    delay_is_limited_by_the_goal => (HedgeTiming { straggler_delay: Some(ms(400)), ..TIMING }, 40, 22),
    unknown_latency => (HedgeTiming { mean_latency: None, straggler_delay: None, ..TIMING }, 40, 40),
    fast_targets => (
        HedgeTiming { mean_latency: Some(ms(1)), straggler_delay: Some(ms(2)), ..TIMING }, 8, 8),
}

/// Guards against hedging a request to a single service earlier, which would add load without a gain.
#[test]
fn only_a_gather_has_last_parts() {
    assert_eq!(HedgeTiming::last_parts_max(1), 0);
    assert_eq!(HedgeTiming::last_parts_max(8), 1);
    assert_eq!(HedgeTiming::last_parts_max(36), 3);
}

//! Load balancing with information of other processes that is late, partly lost or missing, in virtual time.

mod balance_support;

use std::time::Duration;

use balance_support::{
    Measured,
    Policy,
    Scenario,
    measure, //
};

/// First deployment, single lookups: 30 requests per second over 29 targets.
const FIRST: Scenario = Scenario {
    process_zones: &[34, 26, 17, 9],
    target_zones: &[12, 10, 7],
    slots: 3,
    requests_per_s: 30.0,
    service_time: Duration::from_millis(220),
    speed_factors: (1.0, 1.0),
    report_loss: 0.0,
    pauses: None,
    report_delay: Duration::ZERO,
    reports_stop: false,
    false_reports: None,
    rejecting_targets: 0,
    observes_latency: false,
    time_variation: 0.2,
    queue_max: usize::MAX,
    slow_targets: None,
    busy_senders: None,
    policy: Policy::Chosen,
};
/// Second deployment, single lookups: 26 requests per second over 34 targets.
const SECOND: Scenario = Scenario {
    process_zones: &[30, 27, 20],
    target_zones: &[13, 11, 10],
    slots: 2,
    requests_per_s: 26.0,
    service_time: Duration::from_millis(160),
    ..FIRST
};

/// Ratio of the busiest target to the mean that the page requires.
const SPREAD_MAX: f64 = 1.25;
/// Number of runs of which the mean is compared.
const RUNS: u64 = 3;
/// Number of runs where the mean of three varies by more than the difference that is required.
const MORE_RUNS: u64 = 8;

/// Returns the mean of the measurements over the first seeds.
fn mean(scenario: &Scenario, runs: u64) -> Measured {
    let runs: Vec<Measured> = (1..=runs).map(|seed| measure(scenario, seed)).collect();
    let mean = Measured::mean(&runs);
    println!("{scenario:?}\n    {mean:?}");
    mean
}

/// Guards against targets that get far more requests than others of their service.
fn is_even(scenario: Scenario) {
    for seed in 1..=5 {
        let measured = measure(&scenario, seed);
        println!("seed {seed}: {measured:?}");
        assert!(measured.spread < SPREAD_MAX, "seed {seed}: {measured:?}");
    }
}

limpet_testkit::cases! {
    is_even:
    over_29_targets => FIRST,
    over_29_targets_with_lost_reports => Scenario { report_loss: 0.3, ..FIRST },
    over_29_targets_with_late_reports =>
        Scenario { report_delay: Duration::from_millis(400), ..FIRST },
    over_34_targets_with_late_reports =>
        Scenario { report_delay: Duration::from_millis(400), ..SECOND },
    over_17_targets_with_late_reports =>
        Scenario { report_delay: Duration::from_millis(400), target_zones: &[7, 6, 4], ..SECOND },
    over_29_targets_with_late_and_lost_reports =>
        Scenario { report_delay: Duration::from_millis(400), report_loss: 0.3, ..FIRST },
    over_34_targets => SECOND,
    over_17_targets => Scenario { target_zones: &[7, 6, 4], ..SECOND },
    over_14_targets => Scenario { target_zones: &[6, 5, 3], ..FIRST },
}

/// Guards against targets that are busy for longer than others of their service, where they differ in speed.
fn is_even_by_time(scenario: Scenario) {
    for seed in 1..=5 {
        let measured = measure(&scenario, seed);
        println!("seed {seed}: {measured:?}");
        assert!(
            measured.use_spread < SPREAD_MAX,
            "seed {seed}: {measured:?}"
        );
    }
}

limpet_testkit::cases! {
    is_even_by_time:
    over_29_targets_of_different_speed => Scenario { speed_factors: (0.8, 1.3), ..FIRST },
    over_34_targets_of_different_speed => Scenario { speed_factors: (0.8, 1.3), ..SECOND },
    over_29_targets_of_different_speed_with_late_reports => Scenario {
        speed_factors: (0.8, 1.3),
        report_delay: Duration::from_millis(400),
        requests_per_s: 120.0,
        ..FIRST
    },
}

/// Guards against a choice that is no better than one without reports, or that follows late reports like current ones.
#[test]
fn choice_is_more_even_than_the_alternatives() {
    let late = Scenario {
        report_delay: Duration::from_millis(400),
        ..FIRST
    };
    let chosen = mean(&late, MORE_RUNS);
    let others = [
        Policy::OwnObservations,
        Policy::WithoutReports,
        Policy::LateAsCurrent,
    ];
    for policy in others {
        let other = mean(&Scenario { policy, ..late }, MORE_RUNS);
        assert!(chosen.spread + 0.1 < other.spread, "{policy:?}: {other:?}");
    }
}

/// Guards against requests that queue at some targets while others are idle, where the targets are well used.
#[test]
fn requests_wait_less_than_with_late_reports_taken_as_current() {
    let busy = Scenario {
        requests_per_s: 260.0,
        ..FIRST
    };
    let chosen = mean(&busy, RUNS);
    let other = mean(
        &Scenario {
            policy: Policy::LateAsCurrent,
            ..busy
        },
        RUNS,
    );
    assert!(chosen.wait * 2 < other.wait, "{other:?}");
    assert!(chosen.idle_slots_while_queued < other.idle_slots_while_queued);
}

/// Guards against a choice that depends on reports: without them it is no worse than by own observations.
#[test]
fn choice_without_any_report_is_as_even_as_by_own_observations() {
    let stopped = mean(
        &Scenario {
            reports_stop: true,
            ..FIRST
        },
        RUNS,
    );
    let own = mean(
        &Scenario {
            policy: Policy::OwnObservations,
            ..FIRST
        },
        RUNS,
    );
    assert!(stopped.spread < own.spread + 0.1, "{stopped:?}, {own:?}");
}

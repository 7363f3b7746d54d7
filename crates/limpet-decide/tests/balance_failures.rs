//! Load balancing with targets that reject, pause or return, and with processes that report falsely.

mod balance_support;

use std::time::Duration;

use balance_support::{
    FalseReports,
    Measured,
    Policy,
    Scenario,
    measure, //
};
use limpet_decide::{
    balance::{
        Availability,
        Candidate,
        RejectionBackoff,
        TargetLoad,
        View,
        choose, //
    },
    peer_load::ReportedTargetLoad,
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const SCENARIO: Scenario = Scenario {
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
const MEAN_LATENCY: Duration = Duration::from_millis(30);
const SEED: u64 = 7;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn mean(scenario: &Scenario) -> Measured {
    let runs: Vec<Measured> = (1..=3).map(|seed| measure(scenario, seed)).collect();
    let mean = Measured::mean(&runs);
    println!("{scenario:?}\n    {mean:?}");
    mean
}

/// Guards against processes that each find out for themselves which targets reject.
#[test]
fn targets_that_reject_at_other_processes_are_avoided() {
    let rejecting = Scenario {
        rejecting_targets: 9,
        ..SCENARIO
    };
    let chosen = mean(&rejecting);
    let without_reports = mean(&Scenario {
        policy: Policy::WithoutReports,
        ..rejecting
    });
    assert!(chosen.rejected_share < 0.1, "{chosen:?}");
    assert!(chosen.rejected_share * 2.0 < without_reports.rejected_share);
}

/// Guards against reports that are worse than none where requests are much shorter than the time between reports:
/// aggregators that send the parts of their queries to the three targets of a shard, which pause.
fn short_requests_to_pausing_targets((requests_per_s, speed_factors): (f64, (f64, f64))) {
    let scenario = Scenario {
        process_zones: &[3, 3, 3],
        target_zones: &[1, 1, 1],
        slots: 6,
        requests_per_s,
        service_time: Duration::from_millis(28),
        pauses: Some((Duration::from_secs(6), Duration::from_millis(250))),
        speed_factors,
        ..SCENARIO
    };
    let chosen = mean(&scenario);
    let without_reports = mean(&Scenario {
        policy: Policy::WithoutReports,
        ..scenario
    });
    let before = mean(&Scenario {
        policy: Policy::OwnObservations,
        ..scenario
    });
    assert!(
        chosen.latency < before.latency.mul_f64(1.05),
        "{chosen:?}, {before:?}"
    );
    assert!(
        chosen.late_share < before.late_share * 1.1,
        "{chosen:?}, {before:?}"
    );
    assert!(
        chosen.latency < without_reports.latency.mul_f64(1.1),
        "{without_reports:?}"
    );
}

limpet_testkit::cases! {
    short_requests_to_pausing_targets:
    usual_load_of_a_shard => (120.0, (1.0, 1.0)),
    high_load_of_a_shard => (440.0, (1.0, 1.0)),
    high_load_of_a_shard_of_different_speed => (420.0, (0.8, 1.3)),
}

/// Guards against late reports that make the choice worse than one without reports. Single runs of 30 s may exceed the
/// mean of several by a tenth.
#[test]
fn reports_that_are_very_late_still_help() {
    let late = mean(&Scenario {
        report_delay: Duration::from_millis(600),
        ..SCENARIO
    });
    let without_reports = mean(&Scenario {
        policy: Policy::WithoutReports,
        ..SCENARIO
    });
    assert!(late.spread < 1.25, "{late:?}");
    assert!(
        late.spread + 0.05 < without_reports.spread,
        "{late:?}, {without_reports:?}"
    );
}

/// Guards against a process whose false reports empty a target, flood one or make the load uneven.
fn bounds_false_reports((kind, first_target_min, spread_max): (FalseReports, f64, f64)) {
    let measured = mean(&Scenario {
        false_reports: Some(kind),
        ..SCENARIO
    });
    assert!(measured.first_target > first_target_min, "{measured:?}");
    assert!(measured.spread < spread_max, "{measured:?}");
}

limpet_testkit::cases! {
    bounds_false_reports:
    process_that_reports_no_load => (FalseReports::NoLoad, 0.75, 1.25),
    process_that_reports_full_load_of_one_target => (FalseReports::FullLoad, 0.05, 1.25),
    process_that_reports_full_load_of_all_targets => (FalseReports::FullLoadEverywhere, 0.6, 1.4),
    process_that_reports_a_slow_target => (FalseReports::SlowTarget, 0.5, 1.25),
    process_that_reports_that_all_targets_are_slow => (FalseReports::SlowEverywhere, 0.75, 1.25),
    process_that_reports_a_fast_target => (FalseReports::FastTarget, 0.0, 2.0),
}

/// Returns how often each candidate is chosen, relative to all choices.
fn shares(candidates: &[Candidate], view: View) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut counts = vec![0.0; candidates.len()];
    for _ in 0..4000 {
        if let Some(index) = choose(candidates, view, || rng.random_range(0.0..1.0)) {
            counts[index] += 1.0 / 4000.0;
        }
    }
    counts
}

/// Returns equal candidates of a service of which other processes send most requests.
fn candidates(count: usize) -> Vec<Candidate> {
    let mut load = TargetLoad::new();
    let reported = ReportedTargetLoad {
        recent_requests: 10.0,
        ..ReportedTargetLoad::default()
    };
    load.set_reported(reported, at(0));
    vec![Candidate::new(&load, 3, at(0)); count]
}

/// A change of the first of six candidates, and the bounds of its share; an equal share is 1/6.
type ShareCase = (View, fn(&mut Candidate), std::ops::Range<f64>);

fn share_of_the_first((view, change, expected): ShareCase) {
    let mut candidates = candidates(6);
    change(&mut candidates[0]);
    let share = shares(&candidates, view)[0];
    assert!(expected.contains(&share), "{share}");
}

limpet_testkit::cases! {
    share_of_the_first:
    equal_target_gets_its_share => (View::Part, |_| {}, 0.14..0.19),
    equal_target_gets_its_share_in_a_small_fleet => (View::Whole, |_| {}, 0.14..0.19),
    target_with_twice_the_slots_gets_more => (View::Part, |one| one.slots = 6.0, 0.25..0.6),
    busy_target_gets_less => (View::Part, |one| one.reported_requests = 13.0, 0.0..0.07),
    idle_target_is_not_flooded => (View::Part, |one| one.reported_requests = 0.0, 0.25..0.5),
    target_that_others_reject_at_is_rare => (View::Part, |one| one.health_cost = 11.0, 0.0..0.02),
    target_that_returned_gets_a_small_share => (View::Part, |one| one.start_share = 0.1, 0.0..0.05),
    silent_target_is_avoided => (View::Part, |one| one.silence = 1.5, 0.0..0.06),
    silence_does_not_count_in_a_small_fleet => (View::Whole, |one| one.silence = 1.5, 0.14..0.19),
    other_zone_is_used_less => (View::Part, |one| one.is_own_zone = false, 0.08..0.15),
    ejected_target_is_not_used => (View::Part, |one| one.is_ejected = true, 0.0..1e-9),
    backed_off_target_is_not_used => (View::Part, |one| one.is_backed_off = true, 0.0..1e-9),
    backed_off_target_is_not_used_in_a_small_fleet =>
        (View::Whole, |one| one.is_backed_off = true, 0.0..1e-9),
    busy_candidate_is_not_used => (View::Part, |one| one.availability = Availability::Busy, 0.0..1e-9),
}

/// Guards against a preference of the own zone that overloads its targets.
#[test]
fn own_zone_is_not_preferred_while_it_is_busier_than_the_mean() {
    let mut candidates = candidates(6);
    for candidate in &mut candidates[3..] {
        candidate.is_own_zone = false;
    }
    let own = |candidates: &[Candidate]| shares(candidates, View::Part)[..3].iter().sum::<f64>();
    assert!(own(&candidates) > 0.54);
    for candidate in &mut candidates[..3] {
        candidate.reported_requests = 13.5;
    }
    assert!(own(&candidates) < 0.4);
}

/// Guards against requests to a target that just rejected, only because it is the one with a free connection.
#[test]
fn rejecting_target_is_asked_only_if_no_other_accepts() {
    for view in [View::Whole, View::Part] {
        let mut candidates = candidates(2);
        candidates[0].is_backed_off = true;
        candidates[1].availability = Availability::Busy;
        assert_eq!(choose(&candidates, view, || 0.5), None);
        candidates[1].availability = Availability::Excluded;
        assert_eq!(choose(&candidates, view, || 0.5), Some(0));
        candidates[1].availability = Availability::Busy;
        candidates[1].is_backed_off = true;
        assert_eq!(choose(&candidates, view, || 0.5), Some(0));
    }
}

/// Guards against a backoff that doesn't grow, grows by requests that were sent together, or has no end.
#[test]
fn backoff_doubles_up_to_a_second_and_is_short_again_after_a_reply() {
    let mut backoff = RejectionBackoff::new();
    let mut now = at(0);
    let mut lengths_ms = Vec::new();
    for _ in 0..7 {
        backoff.record_rejection(0.5, now);
        backoff.record_rejection(0.5, now);
        lengths_ms.push(backoff.time_left(now).as_millis());
        now += backoff.time_left(now);
        assert!(!backoff.is_active(now));
    }
    assert_eq!(lengths_ms, [50, 100, 200, 400, 800, 1000, 1000]);
    backoff.record_accepted();
    backoff.record_rejection(0.0, now);
    assert_eq!(backoff.time_left(now), Duration::from_micros(37_500));
}

/// Guards against a paused target that looks idle, and against one that stays avoided after it replied.
#[test]
fn target_counts_as_silent_until_it_replies() {
    let mut load = TargetLoad::new();
    load.record_send(Some(MEAN_LATENCY), at(0));
    assert!(load.silence(at(119)) == 0.0);
    assert!((load.silence(at(240)) - 2.0).abs() < 1e-9);
    load.record_send(Some(MEAN_LATENCY), at(240));
    load.record_reply(at(250));
    load.record_end(at(250));
    assert!(load.silence(at(300)) == 0.0);
    assert!(load.silence(at(380)) > 1.0);
    load.record_end(at(1000));
    assert!(load.silence(at(1000)) == 0.0, "nothing is in flight");
}

/// Guards against an unknown latency that makes every target look silent or panics.
#[test]
fn target_is_not_silent_while_the_latency_is_unknown() {
    let mut load = TargetLoad::new();
    load.record_send(None, at(0));
    assert!(load.silence(Duration::from_secs(100)) == 0.0);
}

/// Guards against reported load that stays after the reports stopped or the exchange of reports ended.
#[test]
fn reported_load_fades_without_further_reports() {
    let mut load = TargetLoad::new();
    let reported = ReportedTargetLoad {
        in_flight: 4.0,
        requests_per_s: 1.0,
        recent_requests: 10.0,
        rejected_share: 0.8,
        ..ReportedTargetLoad::default()
    };
    load.set_reported(reported, at(0));
    assert!((load.reported_rejected_share(at(1000)) - 0.4).abs() < 1e-9);
    assert!((load.reported_in_flight(at(2000)) - 1.0).abs() < 1e-9);
    assert!(load.reported_requests(at(10_000)) < 4.0);
}

/// Guards against a returned target that gets its whole share at once from all processes.
#[test]
fn share_of_a_returned_target_grows_over_two_seconds() {
    let mut load = TargetLoad::new();
    assert!(load.start_share(at(0)) >= 1.0);
    load.record_return(at(1000));
    assert!(load.start_share(at(1000)) <= 0.1);
    assert!((load.start_share(at(2000)) - 0.5).abs() < 1e-9);
    assert!(load.start_share(at(3000)) >= 1.0);
}

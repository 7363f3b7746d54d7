//! Limit of single lookups in small processes: it holds in an overload and rises again after it.

#[path = "admission/lookups.rs"]
mod lookups;

use std::time::Duration;

use lookups::{
    LookupResult,
    Phase,
    Scene,
    run, //
};

/// Time at which the last phase of a recovery begins.
const RECOVERY_FROM: Duration = Duration::from_secs(15);
/// Time until the lookups of the overload have ended and the limits have adapted; earlier ones are not counted.
const COUNTED_FROM: Duration = Duration::from_secs(20);
/// End of a run.
const END: Duration = Duration::from_secs(45);
/// Lookups per second that the slots of a target serve with none to spare.
const TARGET_PER_S: f64 = 3.0 / 0.22;

const fn phase(from_s: u64, per_s: f64, slow_fraction: f64, slow_factor: f64) -> Phase {
    Phase {
        from: Duration::from_secs(from_s),
        per_s,
        slow_fraction,
        slow_factor,
    }
}

/// An overload of 10 s after which all targets are three times as slow.
const THEN_SLOW: [Phase; 3] = [
    phase(0, 30.0, 0.0, 1.0),
    phase(5, 1200.0, 0.0, 1.0),
    phase(15, 90.0, 1.0, 3.0),
];
/// The same on a small site, where slow targets cause the overload.
const SMALL_THEN_SLOW: [Phase; 3] = [
    phase(0, 10.0, 0.0, 1.0),
    phase(5, 200.0, 1.0, 6.0),
    phase(15, 40.0, 1.0, 3.0),
];
/// An overload of a small site after which 30% of the targets are four times as slow.
const SMALL_THEN_PARTLY_SLOW: [Phase; 3] = [
    phase(0, 10.0, 0.0, 1.0),
    phase(5, 200.0, 1.0, 6.0),
    phase(15, 40.0, 0.3, 4.0),
];

/// Returns the processes of the first deployment.
fn first_deployment() -> Vec<f64> {
    let cores = |index| match index < 8 {
        true => 0.5,
        false => 0.12,
    };
    (0..86).map(cores).collect()
}

fn scene(capacities_cores: Vec<f64>, phases: &[Phase], seed: u64) -> Scene {
    Scene {
        capacities_cores,
        target_count: 29,
        knows_slot_use: true,
        // About what the weights of the reports by their age leave.
        reported_weight: 0.6,
        phases: phases.to_vec(),
        counted_from: COUNTED_FROM,
        end: END,
        seed,
    }
}

/// Returns what is wrong with lookups that the slots could all serve.
fn recovery_fault(result: &LookupResult) -> Option<&'static str> {
    let count = f64::from(result.lookup_count);
    if f64::from(result.wrongly_refused_count) > 0.02 * count {
        return Some("lookups are refused that could be served");
    }
    if f64::from(result.late_count) > 0.02 * count {
        return Some("admitted lookups are late");
    }
    let lowest_count = result.final_limits.iter().filter(|limit| **limit == 2);
    (lowest_count.count() * 20 > result.final_limits.len())
        .then_some("limits stay at their minimum")
}

fn recovers((capacities_cores, phases, counted_from): (Vec<f64>, &[Phase], Duration)) {
    for seed in 1..=3 {
        let scene = Scene {
            counted_from,
            ..scene(capacities_cores.clone(), phases, seed)
        };
        let result = run(&scene);
        assert_eq!(recovery_fault(&result), None, "seed {seed}: {result:?}");
        // Without the rule the same scene fails, so it tests the rule.
        let without = run(&Scene {
            knows_slot_use: false,
            ..scene
        });
        assert!(
            recovery_fault(&without).is_some(),
            "seed {seed}: {without:?}"
        );
    }
}

// Guards against limits that fell in an overload and stay low, because the run times of slow targets allow no rise and
// the baseline is not learned while lookups wait.
limpet_testkit::cases! {
    recovers:
    first_deployment_then_slow_targets => (first_deployment(), &THEN_SLOW, COUNTED_FROM),
    small_site_then_slow_targets => (vec![0.12; 7], &SMALL_THEN_SLOW, RECOVERY_FROM),
    small_site_then_some_slow_targets => (vec![0.12; 7], &SMALL_THEN_PARTLY_SLOW, RECOVERY_FROM),
}

/// Checks an overload of all slots with `reported_weight` of the load in the reports.
fn overload_is_bounded((capacities_cores, target_count, reported_weight): (Vec<f64>, usize, f64)) {
    let capacity_per_s = TARGET_PER_S * target_count as f64;
    for seed in 1..=2 {
        let phases = [
            phase(0, 30.0, 0.0, 1.0),
            phase(5, 3.0 * capacity_per_s, 0.0, 1.0),
        ];
        let scene = Scene {
            target_count,
            reported_weight,
            ..scene(capacities_cores.clone(), &phases, seed)
        };
        let result = run(&scene);
        let counted_s = (END - COUNTED_FROM).as_secs_f64();
        let is_share_below = |part: u32, share: f64, whole: u32| {
            let whole = f64::from(whole);
            assert!(
                f64::from(part) < share * whole,
                "seed {seed}, {part} of {whole}: {result:?}"
            );
        };
        let goodput = f64::from(result.in_time_count) / counted_s;
        assert!(
            goodput > 0.9 * capacity_per_s,
            "seed {seed}, {goodput}: {result:?}"
        );
        is_share_below(result.late_count, 0.05, result.in_time_count);
        is_share_below(result.wrongly_refused_count, 0.01, result.refused_count);
    }
}

// Guards against limits that rise in an overload because reports are old, lost or stop, and against both errors of the
// admission.
limpet_testkit::cases! {
    overload_is_bounded:
    reports_are_old => (first_deployment(), 29, 0.6),
    half_of_the_reports_are_lost => (first_deployment(), 29, 0.3),
    most_reports_are_lost => (first_deployment(), 29, 0.1),
    reports_stop => (first_deployment(), 29, 0.0),
    reports_show_twice_the_load => (first_deployment(), 29, 2.0),
    small_site => (vec![0.12; 7], 10, 0.0),
}

/// Returns the part of the lookups that are answered in time with targets that stay slow.
fn in_time_share(scene: &Scene) -> f64 {
    let results = (1..=4).map(|seed| {
        run(&Scene {
            seed,
            ..scene.clone()
        })
    });
    let (in_time, all) = results.fold((0, 0), |(in_time, all), result| {
        (in_time + result.in_time_count, all + result.lookup_count)
    });
    f64::from(in_time) / f64::from(all)
}

/// Checks that the rule costs no answers in time when `slow_fraction` of the targets take `slow_factor` times as long.
fn slow_targets_cost_no_answers(
    (capacities_cores, per_s, slow_fraction, slow_factor, reported_weight): (
        Vec<f64>,
        f64,
        f64,
        f64,
        f64,
    ),
) {
    let phases = [
        phase(0, 30.0, 0.0, 1.0),
        phase(5, per_s, slow_fraction, slow_factor),
    ];
    let with = Scene {
        reported_weight,
        ..scene(capacities_cores, &phases, 0)
    };
    let without = Scene {
        knows_slot_use: false,
        ..with.clone()
    };
    let shares = [&with, &without].map(in_time_share);
    assert!(shares[0] > shares[1] - 0.02, "{shares:?}");
}

// Guards against slots that count as free, so that more lookups are admitted than can be in time: those of slow targets are
// nearly all in use, or only those of other targets are free.
limpet_testkit::cases! {
    slow_targets_cost_no_answers:
    all_slots_nearly_in_use => (first_deployment(), 75.0, 1.0, 5.0, 0.6),
    all_slots_nearly_in_use_with_new_reports => (first_deployment(), 75.0, 1.0, 5.0, 0.85),
    answers_hardly_in_time => (first_deployment(), 60.0, 1.0, 6.0, 0.7),
    some_targets_full => (first_deployment(), 240.0, 0.3, 4.0, 0.7),
    half_of_the_targets_full => (first_deployment(), 120.0, 0.5, 6.0, 0.7),
    some_targets_full_on_a_small_site => (vec![0.12; 7], 240.0, 0.3, 4.0, 0.0),
}

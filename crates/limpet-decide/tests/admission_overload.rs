//! Steady overload of one service group: what is answered in time, and how soon the rest is refused.

#[path = "admission/model.rs"]
mod model;

use std::time::Duration;

use model::{
    Kind,
    KindResult,
    Scene,
    run, //
};

/// Load that the slots of one target serve with none to spare, as a multiple of the rates in [`kinds`].
const TARGET_LOAD: f64 = 2.15;
/// Loads without admission control among which the best is sought, as fractions of the capacity.
const MODERATE_LOADS: [f64; 3] = [0.7, 0.8, 0.9];

/// Returns the urgent and the less urgent kind at a multiple of the capacity.
fn kinds(load: f64, scene: Scene) -> Vec<Kind> {
    let ms = Duration::from_millis;
    let kind = |priority, goal_ms, timeout_ms, service_ms, per_s| Kind {
        priority,
        goal: ms(goal_ms),
        timeout: ms(timeout_ms),
        service_time: ms(service_ms),
        per_s: per_s * TARGET_LOAD * load * scene.target_count as f64,
    };
    vec![kind(0, 80, 800, 9, 30.0), kind(1, 300, 2000, 28, 90.0)]
}

fn in_time_count(results: &[KindResult]) -> u32 {
    results.iter().map(|result| result.in_time_count).sum()
}

/// Returns the goodput at the best load without admission control, as a number of requests in a run.
fn best_goodput(scene: Scene) -> u32 {
    let scene = Scene {
        is_admission_on: false,
        ..scene
    };
    let results = MODERATE_LOADS.map(|load| in_time_count(&run(&kinds(load, scene), scene)));
    results.into_iter().max().unwrap()
}

/// Returns which requirement a run misses.
fn check(load: f64, scene: Scene) -> Result<(), String> {
    let results = run(&kinds(load, scene), scene);
    let fail = |text: &str| Err(format!("{text}, load {load}, {scene:?}: {results:#?}"));
    let best = f64::from(best_goodput(scene));
    if f64::from(in_time_count(&results)) < 0.9 * best {
        return fail(&format!("goodput below 0.9 of {best}"));
    }
    let served =
        |result: &KindResult| f64::from(result.in_time_count) / f64::from(result.request_count);
    if served(&results[0]) < 0.9 {
        return fail("urgent requests lose more than a tenth");
    }
    let unserved: u32 = results.iter().map(|result| result.unserved_count).sum();
    let at_once: u32 = results
        .iter()
        .map(|result| result.refused_at_once_count)
        .sum();
    if f64::from(at_once) < 0.9 * f64::from(unserved) {
        return fail("too few unserved requests are refused at once");
    }
    let mean = (served(&results[0]) + served(&results[1])) / 2.0;
    if results.iter().any(|result| served(result) < mean / 4.0) {
        return fail("a kind starves");
    }
    let admitted: u32 = results.iter().map(|result| result.admitted_count).sum();
    let late: u32 = results
        .iter()
        .map(|result| result.admitted_late_count)
        .sum();
    if f64::from(late) > 0.05 * f64::from(admitted) {
        return fail("too many admitted requests are late");
    }
    let refused: u32 = results.iter().map(|result| result.refused_count).sum();
    let wrong: u32 = results
        .iter()
        .map(|result| result.wrongly_refused_count)
        .sum();
    if f64::from(wrong) > 0.1 * f64::from(refused) {
        return fail("too many requests are refused that could be served");
    }
    Ok(())
}

/// One process and one target.
const SINGLE: Scene = Scene {
    process_count: 1,
    target_count: 1,
    is_admission_on: true,
    seed: 1,
};
/// Several processes that share the targets without knowing of each other.
const SHARED: Scene = Scene {
    process_count: 8,
    target_count: 3,
    is_admission_on: true,
    seed: 2,
};

fn meets_requirements((load, scene): (f64, Scene)) {
    check(load, scene).unwrap();
}

// Guards against goodput that collapses under overload, urgent requests that fail with the others, requests that
// wait for a refusal, a kind that starves, and both errors of the admission.
limpet_testkit::cases! {
    meets_requirements:
    one_process_at_1_5_times_the_capacity => (1.5, SINGLE),
    one_process_at_2_times_the_capacity => (2.0, SINGLE),
    one_process_at_3_times_the_capacity => (3.0, SINGLE),
    one_process_at_4_times_the_capacity => (4.0, SINGLE),
    eight_processes_at_1_5_times_the_capacity => (1.5, SHARED),
    eight_processes_at_2_times_the_capacity => (2.0, SHARED),
    eight_processes_at_3_times_the_capacity => (3.0, SHARED),
    eight_processes_at_4_times_the_capacity => (4.0, SHARED),
}

fn fails_without_admission_control(load: f64) {
    let scene = Scene {
        is_admission_on: false,
        ..SINGLE
    };
    assert!(check(load, scene).is_err());
}

// Guards against checks that a run without admission control would pass too.
limpet_testkit::cases! {
    fails_without_admission_control:
    no_admission_control_at_1_5_times_the_capacity => 1.5,
    no_admission_control_at_2_times_the_capacity => 2.0,
    no_admission_control_at_3_times_the_capacity => 3.0,
    no_admission_control_at_4_times_the_capacity => 4.0,
}

fn refuses_nothing((load, scene): (f64, Scene)) {
    let results = run(&kinds(load, scene), scene);
    let refused_count: u32 = results.iter().map(|result| result.refused_count).sum();
    assert_eq!(refused_count, 0, "load {load}, {scene:?}: {results:#?}");
    let without = run(
        &kinds(load, scene),
        Scene {
            is_admission_on: false,
            ..scene
        },
    );
    let lost_count = in_time_count(&without).saturating_sub(in_time_count(&results));
    assert!(lost_count * 100 < in_time_count(&without), "{lost_count}");
}

// Guards against an admission control that refuses or delays queries without overload.
limpet_testkit::cases! {
    refuses_nothing:
    one_process_at_a_fifth_of_the_capacity => (0.2, SINGLE),
    one_process_at_half_of_the_capacity => (0.5, SINGLE),
    eight_processes_at_a_fifth_of_the_capacity => (0.2, SHARED),
    eight_processes_at_half_of_the_capacity => (0.5, SHARED),
}

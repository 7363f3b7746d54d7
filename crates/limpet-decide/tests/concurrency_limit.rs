//! The adaptive limit of concurrent queries: when it falls, rises and stays.

#[path = "admission/limits.rs"]
mod limits;

use std::time::Duration;

use limits::{
    GOAL,
    LIMITS,
    answered,
    ms, //
};
use limpet_decide::admission::{
    CompletedRun,
    ConcurrencyLimit,
    RunReport,
    ServicePressure, //
};

/// A series of equal queries, and whether they lower the limit.
#[derive(Clone, Copy)]
struct Series {
    run_time: Duration,
    /// Run time of the queries before, which ran alone.
    idle_run_time: Duration,
    report: RunReport,
    is_decrease: bool,
}

/// Returns the report of a gather over 36 shards.
const fn gather_report(failed_part_count: u32, rejected_attempt_count: u32) -> RunReport {
    RunReport {
        has_free_slots: false,
        part_count: 36,
        failed_part_count,
        attempt_count: 36 + rejected_attempt_count,
        rejected_attempt_count,
        ..answered()
    }
}

fn changes_limit(series: Series) {
    let mut limit = ConcurrencyLimit::new(LIMITS, 1.0);
    let mut run = CompletedRun {
        route: 1,
        goal: GOAL,
        run_time: series.idle_run_time,
        running_count: 1,
        report: answered(),
        ..CompletedRun::default()
    };
    let mut now = ms(1000);
    for _ in 0..50 {
        now += ms(200);
        limit.record(&run, now);
    }
    assert_eq!(limit.permit_count(), 16);
    run = CompletedRun {
        run_time: series.run_time,
        running_count: 16,
        is_pressed: true,
        report: series.report,
        ..run
    };
    for _ in 0..50 {
        now += ms(200);
        limit.record(&run, now);
    }
    let is_decrease = limit.permit_count() < 16;
    assert_eq!(is_decrease, series.is_decrease, "{}", limit.permit_count());
}

/// A query that takes as long as on an idle site, with all its parts.
const USUAL: Series = Series {
    run_time: ms(30),
    idle_run_time: ms(30),
    report: gather_report(0, 0),
    is_decrease: false,
};

// Guards against a limit that collapses without overload, and against one that does not fall in an overload.
limpet_testkit::cases! {
    changes_limit:
    usual_run_time => USUAL,
    run_time_near_the_goal_is_usual_on_an_idle_site => Series {
        run_time: ms(93),
        idle_run_time: ms(93),
        ..USUAL
    },
    run_time_well_within_the_goal_may_grow => Series { run_time: ms(60), ..USUAL },
    run_time_near_the_goal_by_load => Series {
        run_time: ms(93),
        is_decrease: true,
        ..USUAL
    },
    // 35% of the targets reject half of their requests: 17% of the attempts. Others answered the parts.
    faulty_targets_reject_what_others_answer => Series {
        report: gather_report(0, 8),
        ..USUAL
    },
    single_parts_fail_for_good => Series {
        report: gather_report(2, 8),
        ..USUAL
    },
    many_parts_fail_for_good => Series {
        report: gather_report(8, 16),
        is_decrease: true,
        ..USUAL
    },
    most_attempts_are_rejected => Series {
        report: gather_report(0, 60),
        is_decrease: true,
        ..USUAL
    },
}

/// Guards against a limit beyond its bounds, and against one that rises without use.
#[test]
fn limit_stays_within_its_bounds() {
    let limits = LIMITS;
    let run = |run_ms, is_limit_used| CompletedRun {
        goal: GOAL,
        run_time: ms(run_ms),
        running_count: 16,
        is_limit_used,
        is_pressed: is_limit_used,
        report: answered(),
        ..CompletedRun::default()
    };
    let cases = [
        (10, true, 128),
        (10, false, 16),
        (95, true, 2),
        (95, false, 16),
    ];
    for (run_ms, is_limit_used, expected) in cases {
        let mut limit = ConcurrencyLimit::new(limits, 1.0);
        for index in 0..20_000 {
            limit.record(&run(run_ms, is_limit_used), ms(index * 100));
        }
        assert_eq!(limit.permit_count(), expected);
    }
    let small = ConcurrencyLimit::new(limits, 0.01);
    assert_eq!(small.permit_count(), 2);
}

/// Returns the limit that begins with 16 queries after 50 slow ones, which reached it, with this report.
fn limit_after_slow_queries(report: RunReport) -> usize {
    let mut limit = ConcurrencyLimit::new(LIMITS, 1.0);
    for index in 0..50 {
        let run = CompletedRun {
            goal: GOAL,
            run_time: ms(95),
            running_count: 16,
            is_limit_used: true,
            is_pressed: true,
            report,
            ..CompletedRun::default()
        };
        limit.record(&run, ms(index * 200));
    }
    limit.permit_count()
}

/// Guards against a limit that stays low, or falls, although the services could run more queries, and against one
/// that rises by queries that failed or were rejected.
#[test]
fn limit_rises_while_the_services_have_free_slots() {
    let with_free_slots = |report| RunReport {
        has_free_slots: true,
        ..report
    };
    assert!(limit_after_slow_queries(gather_report(0, 0)) < 16);
    assert!(limit_after_slow_queries(with_free_slots(gather_report(0, 0))) > 20);
    assert!(limit_after_slow_queries(with_free_slots(gather_report(8, 16))) < 16);
    let failed = RunReport {
        has_run_time: false,
        is_in_time: false,
        ..gather_report(0, 0)
    };
    assert_eq!(limit_after_slow_queries(with_free_slots(failed)), 16);
}

/// Guards against a service without usable slots that counts as free, or as full for good.
#[test]
fn service_without_usable_slots_is_full_until_it_has_some() {
    let mut pressure = ServicePressure::default();
    assert_eq!(pressure.of_needed(1), None);
    pressure.record(&[f64::INFINITY, f64::NAN, 0.1], ms(0));
    assert_eq!(pressure.of_needed(1), Some(0.1));
    assert!(pressure.of_needed(2).is_some_and(|pressure| pressure > 1.0));
    for second in 1..=10 {
        pressure.record(&[0.1, 0.1, 0.1], ms(second * 1000));
    }
    assert!(pressure.of_needed(3).is_some_and(|pressure| pressure < 0.8));
}

//! Choice of aggregators by load, over fleets of many sizes in virtual time.
//!
//! The variants that are wrong on purpose must do worse than the decided one: all queries to the least loaded
//! aggregator, and reports that count as current whatever their age.

#[path = "aggregator_load/fleet.rs"]
mod fleet;
#[path = "aggregator_load/process.rs"]
mod process;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use fleet::{
    Fleet,
    ZONES,
    addr,
    shares, //
};
use limpet_decide::{
    aggregator::{
        AggregatorChoice,
        AggregatorChooser,
        AggregatorDirectory,
        AggregatorLoad,
        AggregatorNode,
        AggregatorUse,
        OwnObservation,
        Place,
        Urgency, //
    },
    peer_load::ReportedGatherLoad,
};
use limpet_types::message::GatherLoad;
use process::{
    Counts,
    FleetSettings,
    Reports,
    Variant, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const SETTINGS: FleetSettings = FleetSettings {
    size: 86,
    run_ms: 60,
    goal_ms: 300,
    report_period_ms: 400,
    report_delay_ms: 20,
    report_loss: 0.05,
    variant: Variant::Decided,
    seed: 7,
};

/// Creates a fleet that has run for some seconds at the usual rate.
fn usual_fleet(settings: FleetSettings) -> Fleet {
    let mut fleet = Fleet::new(settings);
    fleet.run(2000);
    fleet
}

/// Returns what is counted in the next milliseconds.
fn counts_of(fleet: &mut Fleet, duration_ms: u64) -> Counts {
    fleet.reset_counts();
    fleet.run(duration_ms);
    println!(
        "seed {} runners {} {}",
        fleet.settings.seed,
        fleet.runner_count(),
        fleet.counts
    );
    fleet.counts.clone()
}

/// Returns the ratio of the busiest aggregator to the mean of those that ran queries.
fn busiest_to_mean(fleet: &Fleet) -> f64 {
    let loads = fleet.mean_loads();
    let used = loads.iter().zip(&fleet.counts.run_by);
    let used: Vec<f64> = used
        .filter(|(_, run_count)| **run_count > 0)
        .map(|(load, _)| *load)
        .collect();
    let mean = used.iter().sum::<f64>() / used.len() as f64;
    used.iter().copied().fold(0.0, f64::max) / mean
}

limpet_testkit::cases! {
    surge_of_all_zones_is_shared:
    by_60_processes => FleetSettings { size: 60, ..SETTINGS },
    by_86_processes => SETTINGS,
    by_300_processes => FleetSettings { size: 300, ..SETTINGS },
    by_1000_processes => FleetSettings { size: 1000, ..SETTINGS },
    by_6400_processes => FleetSettings { size: 6400, run_ms: 300, goal_ms: 1500, ..SETTINGS },
    with_late_and_lost_reports => FleetSettings { report_delay_ms: 300, report_loss: 0.3, ..SETTINGS },
    with_reports_as_rare_as_in_the_first_deployment =>
        FleetSettings { report_period_ms: 900, ..SETTINGS },
    with_reports_as_rare_as_in_the_largest_site =>
        FleetSettings { size: 295, report_period_ms: 2850, ..SETTINGS },
    with_other_draws => FleetSettings { seed: 8, ..SETTINGS },
}

/// Guards against a surge that a few aggregators refuse while others are idle, against warm connections that are
/// given up at the usual rate, and against more aggregators than needed long after the surge.
fn surge_of_all_zones_is_shared(settings: FleetSettings) {
    let mut fleet = usual_fleet(settings);
    let usual = counts_of(&mut fleet, 1000);
    let usual_runners = fleet.runner_count();
    assert!(
        usual_runners <= settings.size / 25 + 3,
        "{usual_runners} aggregators at the usual rate"
    );
    assert_eq!(usual.left_zone, [0; ZONES.len()]);
    fleet.surge = [3.0; ZONES.len()];
    let first = counts_of(&mut fleet, 1200);
    assert_eq!((first.refused, first.cold), (0, 0));
    let surge = counts_of(&mut fleet, 2000);
    assert_eq!((surge.refused, surge.cold), (0, 0));
    assert!(surge.late * 50 <= surge.queries, "{} late", surge.late);
    let ratio = busiest_to_mean(&fleet);
    assert!(ratio < 2.5, "busiest to mean {ratio:.2}");
    if settings.size <= 300 {
        fleet.surge = [1.0; ZONES.len()];
        fleet.run(10_000);
        let after = counts_of(&mut fleet, 1000);
        let runners = fleet.runner_count();
        assert!(
            runners <= usual_runners * 5 / 4 + 1,
            "{runners} after the surge"
        );
        assert_eq!(after.left_zone, [0; ZONES.len()]);
    }
}

/// Runs a surge with a variant; returns the numbers of refusals and of late answers.
fn surge_with(variant: Variant, reports: Reports) -> (usize, usize) {
    let mut fleet = usual_fleet(FleetSettings {
        variant,
        ..SETTINGS
    });
    for process in &mut fleet.processes {
        process.reports = reports;
    }
    fleet.run(4000);
    fleet.surge = [4.0; ZONES.len()];
    let counts = counts_of(&mut fleet, 6000);
    (counts.busy.iter().sum(), counts.late)
}

/// Shows that the queries of all processes herd if each sends them to the aggregator with the least reported load.
#[test]
fn least_loaded_aggregator_for_all_is_worse() {
    let decided = surge_with(Variant::Decided, Reports::True);
    let herding = surge_with(Variant::LeastLoaded, Reports::True);
    assert!(
        herding.0 > decided.0 * 3 + 20 && herding.1 > decided.1 * 3 + 20,
        "{decided:?} {herding:?}"
    );
}

/// Shows that reports that count as current whatever their age hide a surge that begins after they stopped.
#[test]
fn ignoring_the_age_is_worse() {
    let decided = surge_with(Variant::Decided, Reports::Missing);
    let ignoring = surge_with(Variant::AgeIgnored, Reports::Missing);
    assert!(
        ignoring.0 > decided.0 * 3 + 20 && ignoring.1 > decided.1 * 3 / 2,
        "{decided:?} {ignoring:?}"
    );
}

/// Guards against callers of a zone that wait there while other zones are idle, and against queries that stay in
/// other zones after the surge.
#[test]
fn surge_of_one_zone_uses_the_others_and_returns() {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.surge = [8.0, 1.0, 1.0, 1.0];
    let first = counts_of(&mut fleet, 1000);
    assert_eq!(first.refused, 0);
    let surge = counts_of(&mut fleet, 5000);
    assert!(surge.left_zone[0] * 10 > surge.queries);
    assert_eq!((surge.refused, surge.cold), (0, 0));
    assert!(surge.late * 50 <= surge.queries, "{} late", surge.late);
    fleet.surge = [1.0; ZONES.len()];
    fleet.run(8000);
    let after = counts_of(&mut fleet, 2000);
    assert_eq!(after.left_zone, [0; ZONES.len()]);
    assert_eq!(fleet.runner_count(), 3);
}

/// Guards against queries that move to other zones which are as busy.
#[test]
fn zones_that_are_all_full_keep_their_queries() {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.surge = [12.0; ZONES.len()];
    fleet.run(3000);
    let counts = counts_of(&mut fleet, 3000);
    let left: usize = counts.left_zone.iter().sum();
    assert!(left * 3 < counts.queries, "{left} of {}", counts.queries);
}

limpet_testkit::cases! {
    surge_is_served_while_half_of_the_processes_are_replaced:
    which_stop_as_planned => false,
    which_crash => true,
}

/// Guards against queries that follow the processes that are gone, and against new ones that get none.
fn surge_is_served_while_half_of_the_processes_are_replaced(is_crash: bool) {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.surge = [3.0; ZONES.len()];
    fleet.run(3000);
    let gone: Vec<usize> = (0..SETTINGS.size)
        .filter(|index| index / 4 % 2 == 0)
        .collect();
    for index in &gone {
        let (zone, cores) = (fleet.processes[*index].zone, fleet.processes[*index].cores);
        match is_crash {
            true => fleet.crash(*index),
            false => fleet.stop(*index),
        }
        fleet.add(zone, cores);
    }
    let first = counts_of(&mut fleet, 1000);
    // Queries that were in flight at the processes that went.
    assert!(first.lost <= 40, "{} lost", first.lost);
    assert!(first.cold * 8 <= first.queries, "{} cold", first.cold);
    gone.iter().for_each(|index| fleet.forget(*index));
    fleet.run(1000);
    let then = counts_of(&mut fleet, 4000);
    assert_eq!((then.lost, then.refused, then.not_accepted), (0, 0, 0));
    assert!(then.late * 50 <= then.queries, "{} late", then.late);
    assert!(then.cold * 50 <= then.queries, "{} cold", then.cold);
    let new_count: usize = then.run_by[SETTINGS.size..].iter().sum();
    assert!(new_count * 5 > then.queries, "{new_count} at new processes");
}

limpet_testkit::cases! {
    reports_that_stop_or_lie_cost_little:
    no_process_reports => (Reports::Missing, SETTINGS.size),
    one_aggregator_does_not_report => (Reports::Missing, 1),
    one_aggregator_reports_no_load => (Reports::NoLoad, 1),
    one_aggregator_reports_full_load => (Reports::FullLoad, 1),
    all_report_no_load => (Reports::NoLoad, SETTINGS.size),
    all_report_full_load => (Reports::FullLoad, SETTINGS.size),
}

/// Guards against an aggregator that gets all queries, or all aggregators that get none, by what is reported.
fn reports_that_stop_or_lie_cost_little((reports, count): (Reports, usize)) {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.surge = [3.0; ZONES.len()];
    fleet.run(3000);
    for process in &mut fleet.processes[..count] {
        process.reports = reports;
    }
    let counts = counts_of(&mut fleet, 10_000);
    assert!(
        counts.refused * 200 <= counts.queries,
        "{} refused",
        counts.refused
    );
    assert!(counts.late * 33 <= counts.queries, "{} late", counts.late);
    assert_eq!(counts.cold, 0);
    // One refusal in 200 ms for each process would be 4,300.
    let busy: usize = counts.busy.iter().sum();
    assert!(busy * 50 <= counts.queries, "{busy} refusals");
}

/// Guards against urgent queries that find no aggregator because less urgent ones were refused, and against asking an
/// aggregator again for a query that it would refuse as well.
#[test]
fn refusal_covers_less_urgent_queries_only() {
    let urgency = |priority, goal_left_ms| Urgency {
        priority,
        goal_left: Duration::from_millis(goal_left_ms),
    };
    let now = Duration::from_secs(10);
    let mut aggregator_use = AggregatorUse::new();
    aggregator_use.record_busy(addr(1), urgency(1, 200), now);
    for (other, is_busy) in [
        (urgency(1, 200), true),
        (urgency(1, 100), true),
        (urgency(2, 200), true),
        (urgency(1, 240), true),
        (urgency(1, 260), false),
        (urgency(0, 80), false),
    ] {
        assert_eq!(aggregator_use.is_busy(addr(1), other, now), is_busy);
        assert!(!aggregator_use.is_busy(addr(2), other, now));
        let later = now + Duration::from_millis(200);
        assert!(!aggregator_use.is_busy(addr(1), other, later));
    }
}

/// Guards against one process that asks a busy aggregator again and again because it reports no load.
#[test]
fn false_report_costs_a_process_one_refusal_in_200_ms() {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.processes[0].reports = Reports::NoLoad;
    fleet.processes[0].refuses_all = true;
    fleet.surge = [8.0, 0.0, 0.0, 0.0];
    let counts = counts_of(&mut fleet, 4000);
    let zone_size = fleet
        .processes
        .iter()
        .filter(|process| process.zone == 0)
        .count();
    assert!(
        counts.busy[0] <= zone_size * 20,
        "{} refusals",
        counts.busy[0]
    );
    assert!(
        counts.refused * 50 <= counts.queries,
        "{} refused",
        counts.refused
    );
}

limpet_testkit::cases! {
    frozen_aggregators_are_left:
    at_the_usual_rate => 1.0,
    in_a_surge => 3.0,
}

/// Guards against queries that wait for frozen aggregators again and again, and against a fleet that gathers on cold
/// connections because the aggregators of one zone froze.
fn frozen_aggregators_are_left(surge: f64) {
    let mut fleet = usual_fleet(SETTINGS);
    fleet.surge = [surge; ZONES.len()];
    fleet.run(3000);
    for index in [0, 4] {
        fleet.processes[index].frozen_until_ms = fleet.now_ms + 3000;
    }
    let frozen = counts_of(&mut fleet, 3000);
    // Each process finds out itself, once for each of the two in the first half second and with the ejection time
    // doubled from then on.
    assert!(frozen.not_accepted <= SETTINGS.size * 2 * 3);
    assert!(frozen.cold * 20 <= frozen.queries, "{} cold", frozen.cold);
    assert_eq!((frozen.refused, frozen.lost), (0, 0));
    fleet.run(4000);
    let after = counts_of(&mut fleet, 3000);
    assert_eq!((after.not_accepted, after.cold, after.lost), (0, 0, 0));
}

/// Returns how often each aggregator of a zone is chosen when they run these numbers of
/// queries, of 16 that they may run.
fn parts_of(running: &[u16], age_ms: u64) -> BTreeMap<SocketAddr, f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut directory = AggregatorDirectory::new();
    for index in 0..running.len() + 700 {
        let capacity_cores = if index < running.len() { 0.5 } else { 0.02 };
        let zone = "a".into();
        directory.insert(
            addr(index),
            AggregatorNode {
                zone,
                capacity_cores,
            },
        );
    }
    let load_of = |peer: SocketAddr, cores: f64| {
        let index = (0..running.len()).find(|index| addr(*index) == peer);
        let reported = index.map(|index| ReportedGatherLoad {
            load: GatherLoad {
                running: running[index],
                waiting: 0,
                limit: 16,
                expected_wait_ms: 0,
            },
            age: Duration::from_millis(age_ms),
        });
        AggregatorLoad::estimate(reported, OwnObservation::default(), cores)
    };
    let mut chooser = AggregatorChooser::new();
    let mut parts = BTreeMap::new();
    const CHOICES: usize = 4000;
    for _ in 0..CHOICES {
        let choice = AggregatorChoice {
            own_addr: addr(running.len() + 50),
            own_zone: "a",
            shard_shares: &shares()[..1],
            goal: Duration::from_millis(300),
            is_usable: &|_| true,
            is_busy: &|_| false,
            load_of: &load_of,
            refused_by: &[],
            now: Duration::ZERO,
        };
        let place = chooser.choose(&mut directory, &choice, &mut || rng.random_range(0.0..1.0));
        if let Place::At(addr) = place {
            *parts.entry(addr).or_default() += 1.0 / CHOICES as f64;
        }
    }
    parts
}

/// Guards against many queries that move, and so cold connections and herding, when reports change.
#[test]
fn changed_report_moves_few_queries() {
    for (before, after, moved_max) in [
        ([8_u16, 8, 8, 8], [7_u16, 8, 8, 8], 0.10),
        ([8, 8, 8, 8], [0, 8, 8, 8], 0.30),
        ([9, 7, 8, 8], [7, 9, 8, 8], 0.20),
    ] {
        let (before_parts, after_parts) = (parts_of(&before, 200), parts_of(&after, 200));
        for index in 0..4 {
            let part = |parts: &BTreeMap<SocketAddr, f64>| {
                parts.get(&addr(index)).copied().unwrap_or_default()
            };
            let moved = (part(&after_parts) - part(&before_parts)).abs();
            assert!(
                moved < moved_max,
                "{before:?} {after:?} {index}: {moved:.2}"
            );
        }
    }
}

/// Guards against old reports that steer queries as much as fresh ones.
#[test]
fn old_reports_move_fewer_queries() {
    let part = |age_ms| parts_of(&[2, 8, 8, 8], age_ms)[&addr(0)];
    let (fresh, old) = (part(0), part(2000));
    // The difference of 6/16 gives the idle one three quarters of the pairs that it is drawn for second: 0.44.
    assert!(fresh > 0.40 && old < 0.32, "{fresh:.2} {old:.2}");
}

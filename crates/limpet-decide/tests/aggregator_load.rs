//! Choice of aggregators by load, over fleets of many sizes in virtual time.

#[path = "aggregator_load/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    FleetSettings,
    Reports,
    Variant,
    ZONES, //
};

const SETTINGS: FleetSettings = FleetSettings {
    size: 86,
    run_ms: 60,
    goal_ms: 300,
    report_delay_ms: 20,
    report_loss: 0.05,
    variant: Variant::Decided,
    seed: 7,
};

fn describe(fleet: &mut Fleet, name: &str) {
    let loads = fleet.mean_loads();
    let members: Vec<usize> = (0..fleet.processes.len())
        .filter(|index| fleet.is_extended(*index))
        .collect();
    let used: Vec<f64> = members.iter().map(|index| loads[*index]).collect();
    let mean = used.iter().sum::<f64>() / used.len() as f64;
    let max = used.iter().copied().fold(0.0, f64::max);
    let counts = &fleet.counts;
    println!(
        "{name}: queries {} runners {} members {} mean {mean:.2} max {max:.2} busy {} cold {} refused {} notacc {} lost {} late {} left {:?}",
        counts.queries,
        fleet.runner_count(),
        members.len(),
        counts.busy.iter().sum::<usize>(),
        counts.cold,
        counts.refused,
        counts.not_accepted,
        counts.lost,
        counts.late,
        counts.left_zone
    );
}

#[test]
fn explore() {
    for size in [60, 86, 300, 1000, 6400] {
        let mut fleet = Fleet::new(FleetSettings {
            size,
            run_ms: if size > 1000 { 300 } else { 60 },
            goal_ms: if size > 1000 { 1500 } else { 300 },
            ..SETTINGS
        });
        let t = std::time::Instant::now();
        fleet.run(3000);
        describe(&mut fleet, &format!("{size} usual"));
        fleet.surge = [4.0; 4];
        fleet.reset_counts();
        fleet.run(1000);
        describe(&mut fleet, "first s");
        fleet.reset_counts();
        fleet.run(2000);
        describe(&mut fleet, "surge");
        println!("{:?}", t.elapsed());
    }
    for variant in [Variant::Decided, Variant::LeastLoaded, Variant::AgeIgnored] {
        for (delay, loss) in [(20, 0.05), (600, 0.3)] {
            println!("== {variant:?} delay {delay} loss {loss}");
            let mut fleet = Fleet::new(FleetSettings {
                variant,
                report_delay_ms: delay,
                report_loss: loss,
                ..SETTINGS
            });
            fleet.run(3000);
            describe(&mut fleet, "usual");
            for surge in [4.0, 7.0] {
                fleet.surge = [surge; 4];
                fleet.reset_counts();
                fleet.run(1000);
                describe(&mut fleet, "surge first s");
                fleet.reset_counts();
                fleet.run(5000);
                describe(&mut fleet, "surge 5s");
            }
            fleet.surge = [1.0; 4];
            fleet.run(10_000);
            fleet.reset_counts();
            fleet.run(2000);
            describe(&mut fleet, "after");
            fleet.surge = [8.0, 1.0, 1.0, 1.0];
            fleet.reset_counts();
            fleet.run(1000);
            describe(&mut fleet, "zone first s");
            fleet.reset_counts();
            fleet.run(5000);
            describe(&mut fleet, "zone 5s");
            fleet.surge = [1.0; 4];
            fleet.run(8_000);
            fleet.reset_counts();
            fleet.run(2000);
            describe(&mut fleet, "after");
        }
    }
    let _ = (Reports::NoLoad, ZONES);
}

//! Guards against fitted lines with a wrong slope, and against lines through points that differ in more
//! than one variable.

use limpet_bench::slopes::{
    ClassFigures,
    MeasuredProcess,
    Point,
    fit_line,
    fit_lines, //
};

limpet_testkit::cases! {
    the_fit_recovers_a_known_line:
    rising => (2.0, 0.5, &[2.0, 4.0, 8.0, 16.0, 32.0]),
    falling => (100.0, -3.0, &[0.0, 1.0, 7.0]),
    flat => (4.5, 0.0, &[1.0, 2.0]),
    far_from_the_origin => (-7.0, 0.25, &[1e9, 1e9 + 8.0, 1e9 + 64.0]),
}

fn the_fit_recovers_a_known_line((intercept, slope, xs): (f64, f64, &[f64])) {
    let points: Vec<_> = xs.iter().map(|x| (*x, intercept + slope * x)).collect();
    let line = fit_line(&points).unwrap();
    let scale = 1.0 + xs.iter().copied().fold(0.0, f64::max);
    assert!((line.slope - slope).abs() < 1e-6, "{line:?}");
    assert!(
        (line.intercept - intercept).abs() < 1e-6 * scale,
        "{line:?}"
    );
    assert!(line.residual_rms < 1e-6 * scale, "{line:?}");
    assert_eq!(line.points, xs.len());
}

limpet_testkit::cases! {
    one_distinct_x_determines_no_line:
    no_points => &[],
    one_point => &[(1.0, 1.0)],
    one_distinct_x => &[(3.0, 1.0), (3.0, 2.0)],
}

fn one_distinct_x_determines_no_line(points: &[(f64, f64)]) {
    assert_eq!(fit_line(points), None);
}

#[test]
fn the_residual_is_the_rms_distance_of_the_points() {
    // The least-squares line is y = 1; each point is 1 away from it.
    let line = fit_line(&[(0.0, 0.0), (1.0, 2.0), (2.0, 2.0), (3.0, 0.0)]).unwrap();
    assert!(line.slope.abs() < 1e-12);
    assert!((line.intercept - 1.0).abs() < 1e-12);
    assert!((line.residual_rms - 1.0).abs() < 1e-12);
}

/// Returns a point whose only figure is the CPU time of the relays.
fn point(vms: usize, targets: usize, load_per_s: f64, cpu_cores: f64) -> Point {
    let mut point = Point {
        vms,
        targets,
        load_per_s,
        ..Point::default()
    };
    let figures = ClassFigures::from([("cpu_cores".into(), cpu_cores)]);
    point.classes.insert("relay".into(), figures);
    point
}

#[test]
fn a_line_uses_points_that_differ_in_one_variable() {
    let points = [
        point(2, 105, 0.0, 0.2),
        point(4, 105, 0.0, 0.4),
        point(8, 105, 0.0, 0.8),
        point(8, 5_000, 0.0, 9.0),
        point(8, 105, 20.0, 7.0),
        point(2, 105, 20.0, 6.0),
        point(4, 105, 20.0, 6.5),
    ];
    let lines = fit_lines(&points);
    let line_over = |over: &str| lines.iter().find(|line| line.over == over).unwrap();
    assert_eq!(
        line_over("vms").points,
        [(2.0, 0.2), (4.0, 0.4), (8.0, 0.8)]
    );
    assert!((line_over("vms").fit.slope - 0.1).abs() < 1e-9);
    assert_eq!(line_over("targets").points, [(105.0, 0.8), (5_000.0, 9.0)]);
    assert_eq!(line_over("load_per_s").points, [(0.0, 0.2), (20.0, 6.0)]);
}

limpet_testkit::cases! {
    malformed_processes_are_rejected:
    unknown_role => "client:1:127.0.0.1:1",
    no_pid => "entry::127.0.0.1:1",
    no_address => "relay:17",
    no_port => "relay:17:127.0.0.1",
}

fn malformed_processes_are_rejected(text: &str) {
    assert!(text.parse::<MeasuredProcess>().is_err());
}

#[test]
fn the_mean_of_a_role_is_weighted_by_processes() {
    let mut point = Point::default();
    for (class, processes, cpu_cores) in [("relay", 3.0, 0.1), ("coordinator", 1.0, 0.5)] {
        let figures = [("processes", processes), ("cpu_cores", cpu_cores)];
        let figures = figures.map(|(name, value)| (name.into(), value));
        point.classes.insert(class.into(), figures.into());
    }
    let point = point.with_role_means();
    let mean = point.figure("relays", "cpu_cores").unwrap();
    assert!((mean - 0.2).abs() < 1e-12, "{mean}");
    assert_eq!(point.figure("relays", "processes"), Some(4.0));
    assert_eq!(point.figure("entries", "cpu_cores"), None);
}

//! Lines fitted to each measured figure, over the number of VMs, the number of targets, the rate of
//! configuration changes and the load.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::slopes::{
    FitArguments,
    LineFit,
    Point,
    fit_line, //
};

/// A line fitted to one figure as a function of one variable.
#[derive(Clone, Debug, Serialize)]
pub struct FittedLine {
    /// Name of the variable.
    pub over: &'static str,
    /// Class of processes, or `fleet` for a figure of the fleet as a whole.
    pub class: Box<str>,
    /// Name of the figure.
    pub figure: Box<str>,
    /// Coordinates of the points: value of the variable and of the figure.
    pub points: Vec<(f64, f64)>,
    /// Line fitted through the points.
    pub fit: LineFit,
}

/// The points and the lines fitted through them, written as JSON.
#[derive(Debug, Serialize)]
struct FitReport<'a> {
    points: &'a [Point],
    lines: Vec<FittedLine>,
}

/// Returns the value of a variable at a point.
type VariableValue = fn(&Point) -> f64;

/// Names and values of the variables over which lines are fitted.
const VARIABLES: [(&str, VariableValue); 4] = [
    ("vms", |point| point.vms as f64),
    ("targets", |point| point.targets as f64),
    ("changes_per_s", |point| point.changes_per_s),
    ("load_per_s", |point| point.load_per_s),
];

/// Fits a line for each variable, class and figure that has enough points.
///
/// A line uses the largest set of points that agree in every other variable, so that the cost of one
/// variable is not attributed to another. Of sets of equal length, it uses the one with the smallest
/// values of the other variables.
pub fn fit_lines(points: &[Point]) -> Vec<FittedLine> {
    let mut lines = Vec::new();
    for (varied_index, (over, value)) in VARIABLES.into_iter().enumerate() {
        let other_values = |point: &Point| -> Vec<u64> {
            let other_variables = VARIABLES
                .iter()
                .enumerate()
                .filter(|(i, _)| *i != varied_index);
            other_variables
                .map(|(_, (_, value))| value(point).to_bits())
                .collect()
        };
        let value_combinations: BTreeSet<Vec<u64>> = points.iter().map(other_values).collect();
        let largest_point_set = value_combinations
            .iter()
            .map(|combination| -> Vec<&Point> {
                points
                    .iter()
                    .filter(|p| other_values(p) == *combination)
                    .collect()
            })
            .rev()
            .max_by_key(Vec::len);
        let Some(point_set) = largest_point_set else {
            continue;
        };
        let figure_names: BTreeSet<(Box<str>, Box<str>)> = point_set
            .iter()
            .flat_map(|point| point.figure_names())
            .collect();
        for (class, figure) in figure_names {
            let coordinates: Vec<(f64, f64)> = point_set
                .iter()
                .filter_map(|point| Some((value(point), point.figure(&class, &figure)?)))
                .collect();
            if let Some(fit) = fit_line(&coordinates) {
                lines.push(FittedLine {
                    over,
                    class,
                    figure,
                    points: coordinates,
                    fit,
                });
            }
        }
    }
    lines
}

/// Reads points, fits lines through them, writes both and returns true.
pub(crate) fn run(arguments: &FitArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let mut points = Vec::with_capacity(arguments.points.len());
    for path in &arguments.points {
        let point: Point = serde_json::from_slice(&std::fs::read(path)?)?;
        points.push(point.with_role_means());
    }
    let report = FitReport {
        lines: fit_lines(&points),
        points: &points,
    };
    let json = serde_json::to_string_pretty(&report)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    for line in &report.lines {
        eprintln!(
            "{:13} {:13} {:28} {:12.4} + {:12.6} x, residual {:.4}, {} points",
            line.over,
            line.class,
            line.figure,
            line.fit.intercept,
            line.fit.slope,
            line.fit.residual_rms,
            line.fit.points
        );
    }
    Ok(true)
}

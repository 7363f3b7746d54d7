//! Lines through points, over the size of the fleet, the targets, the changes and the load.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::slopes::{
    Fit,
    FitArguments,
    Point,
    fit, //
};

/// A line of one figure over one size.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// What grows.
    pub over: &'static str,
    /// Class of processes, or `fleet`.
    pub class: Box<str>,
    /// Figure.
    pub figure: Box<str>,
    /// Points (size, figure).
    pub points: Vec<(f64, f64)>,
    /// Line through them.
    pub fit: Fit,
}

/// Points and lines.
#[derive(Debug, Serialize)]
struct Document<'a> {
    points: &'a [Point],
    lines: Vec<Line>,
}

type Size = fn(&Point) -> f64;

/// Sizes over which lines are fitted.
const SIZES: [(&str, Size); 4] = [
    ("vms", |point| point.vms as f64),
    ("targets", |point| point.targets as f64),
    ("changes_per_s", |point| point.changes_per_s),
    ("load_per_s", |point| point.load_per_s),
];

/// Fits a line for each size, class and figure.
///
/// A line takes the largest set of points that are equal in every other size, so that one cost is not
/// taken for another; of sets of one length, the one with the smaller sizes.
pub fn lines(points: &[Point]) -> Vec<Line> {
    let mut lines = Vec::new();
    for (varied, (over, size)) in SIZES.into_iter().enumerate() {
        let others = |point: &Point| -> Vec<u64> {
            let others = SIZES.iter().enumerate().filter(|(i, _)| *i != varied);
            others.map(|(_, (_, size))| size(point).to_bits()).collect()
        };
        let settings: BTreeSet<Vec<u64>> = points.iter().map(others).collect();
        let group = settings
            .iter()
            .map(|setting| -> Vec<&Point> {
                points.iter().filter(|p| others(p) == *setting).collect()
            })
            .rev()
            .max_by_key(Vec::len);
        let Some(group) = group else { continue };
        let names: BTreeSet<(Box<str>, Box<str>)> = group
            .iter()
            .flat_map(|point| point.figure_names())
            .collect();
        for (class, figure) in names {
            let pairs: Vec<(f64, f64)> = group
                .iter()
                .filter_map(|point| Some((size(point), point.figure(&class, &figure)?)))
                .collect();
            if let Some(fit) = fit(&pairs) {
                lines.push(Line {
                    over,
                    class,
                    figure,
                    points: pairs,
                    fit,
                });
            }
        }
    }
    lines
}

/// Reads points, fits lines and writes both.
pub(crate) fn run(arguments: &FitArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let mut points = Vec::with_capacity(arguments.points.len());
    for path in &arguments.points {
        let point: Point = serde_json::from_slice(&std::fs::read(path)?)?;
        points.push(point.with_role_means());
    }
    let document = Document {
        lines: lines(&points),
        points: &points,
    };
    let json = serde_json::to_string_pretty(&document)?;
    match &arguments.output {
        Some(path) => std::fs::write(path, &json)?,
        None => println!("{json}"),
    }
    for line in &document.lines {
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

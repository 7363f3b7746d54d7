//! Least-squares lines.

use serde::Serialize;

/// A line through points, with its worst and its usual distance from them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at 0.
    pub intercept: f64,
    /// Change of the value for each unit.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual_rms: f64,
    /// Number of points.
    pub points: usize,
}

/// Fits a line through points (x, y).
///
/// Returns `None` for fewer than two points or a single x, which determine no slope.
///
/// # Examples
///
/// ```
/// let fit = limpet_bench::slopes::fit(&[(1.0, 5.0), (2.0, 7.0)]).unwrap();
/// assert_eq!((fit.intercept, fit.slope), (3.0, 2.0));
/// ```
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    if points.len() < 2 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    // Sums about the means keep their digits when x is large and close together.
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return None;
    }
    let product: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = product / spread;
    let intercept = mean_y - slope * mean_x;
    let squares: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    Some(Fit {
        intercept,
        slope,
        residual_rms: (squares / count).sqrt(),
        points: points.len(),
    })
}

//! Least-squares fit of a line.

use serde::Serialize;

/// Least-squares line through points, and its residual.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at x = 0.
    pub intercept: f64,
    /// Change of the value per unit of x.
    pub slope: f64,
    /// Root mean square of the vertical distances of the points from the line.
    pub residual_rms: f64,
    /// Number of points.
    pub points: usize,
}

/// Fits a least-squares line through points (x, y).
///
/// Returns `None` for fewer than two distinct x, which determine no slope.
///
/// # Examples
///
/// ```
/// let fit = limpet_bench::slopes::fit_line(&[(1.0, 5.0), (2.0, 7.0)]).unwrap();
/// assert_eq!((fit.intercept, fit.slope), (3.0, 2.0));
/// ```
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let point_count = points.len() as f64;
    if points.len() < 2 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / point_count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / point_count;
    // Sums about the means keep their precision when the x are large and close together.
    let sum_of_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if sum_of_squares_x == 0.0 {
        return None;
    }
    let sum_of_products: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = sum_of_products / sum_of_squares_x;
    let intercept = mean_y - slope * mean_x;
    let sum_of_squared_residuals: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    Some(LineFit {
        intercept,
        slope,
        residual_rms: (sum_of_squared_residuals / point_count).sqrt(),
        points: points.len(),
    })
}

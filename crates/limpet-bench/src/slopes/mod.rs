//! Cost of the control plane by size of the fleet, rate of changes and load: measured points, and lines
//! fitted through them whose slopes are the costs.

mod arguments;
mod fitted_lines;
mod line_fit;
mod point;
mod scrape;

pub use arguments::{
    FitArguments,
    MeasuredProcess,
    MeasuredProcessError,
    PointArguments,
    SlopesArguments,
    SlopesCommand, //
};
pub use fitted_lines::{
    FittedLine,
    fit_lines, //
};
pub use line_fit::{
    LineFit,
    fit_line, //
};
pub use point::{
    ClassFigures,
    Point, //
};

/// Measures a point or fits lines, and returns true.
///
/// # Errors
///
/// Fails when a process cannot be read, the fake platform cannot be reached, a timed change is not in force
/// in every process in time, or a file cannot be read or written.
pub async fn run(arguments: SlopesArguments) -> Result<bool, Box<dyn std::error::Error>> {
    match arguments.command {
        SlopesCommand::Point(arguments) => point::run(&arguments).await,
        SlopesCommand::Fit(arguments) => fitted_lines::run(&arguments),
    }
}

//! Cost of the control plane by size of the fleet: measured points and lines fitted through them.

mod arguments;
mod fit;
mod lines;
mod point;
mod scrape;

pub use arguments::{
    FitArguments,
    MeasuredProcess,
    MeasuredProcessError,
    PointArguments,
    SlopesArguments,
    SlopesStep, //
};
pub use fit::{
    Fit,
    fit_line, //
};
pub use lines::{
    FittedLine,
    fit_lines, //
};
pub use point::{
    ClassFigures,
    Point, //
};

/// Measures a point or fits lines.
///
/// # Errors
///
/// Fails when a process cannot be read or a file cannot be read or written.
pub async fn run(arguments: SlopesArguments) -> Result<bool, Box<dyn std::error::Error>> {
    match arguments.step {
        SlopesStep::Point(arguments) => point::run(&arguments).await,
        SlopesStep::Fit(arguments) => lines::run(&arguments),
    }
}

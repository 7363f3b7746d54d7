//! Plot of a load over time, as SVG.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder,
    Color,
    IntoDrawingArea,
    LineSeries,
    RGBColor,
    SVGBackend, //
};

use crate::load::timeline::SecondStats;

/// Width and height of the image, in pixels.
const SIZE_PX: (u32, u32) = (960, 640);
/// Font size of the captions, in pixels.
const CAPTION_FONT_PX: u32 = 16;

const WHITE: RGBColor = RGBColor(255, 255, 255);
const BLUE: RGBColor = RGBColor(30, 90, 200);
const GREEN: RGBColor = RGBColor(30, 140, 60);
const ORANGE: RGBColor = RGBColor(220, 130, 20);
const RED: RGBColor = RGBColor(200, 30, 30);

/// One line of a chart.
struct Series {
    name: &'static str,
    color: RGBColor,
    /// Returns the value of the line in a second.
    value: fn(&SecondStats) -> f64,
}

impl Series {
    fn new(name: &'static str, color: RGBColor, value: fn(&SecondStats) -> f64) -> Self {
        Self { name, color, value }
    }
}

/// Writes two charts, one above the other: requests by outcome and latency of the answers, by second.
pub(crate) fn write(
    path: &Path,
    seconds: &[SecondStats],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let charts = root.split_evenly((2, 1));
    let counts = [
        Series::new("complete (green)", GREEN, |s| s.complete as f64),
        Series::new("partial (orange)", ORANGE, |s| s.partial as f64),
        Series::new("refused (blue)", BLUE, |s| s.refused as f64),
        Series::new("failed (red)", RED, |s| s.failed as f64),
    ];
    let latencies = [
        Series::new("p50 (green)", GREEN, |s| s.latency.p50_us as f64 / 1e3),
        Series::new("p99 (orange)", ORANGE, |s| s.latency.p99_us as f64 / 1e3),
        Series::new("max (red)", RED, |s| s.latency.max_us as f64 / 1e3),
    ];
    draw_chart(&charts[0], "requests a second", &counts, seconds)?;
    draw_chart(&charts[1], "latency in ms", &latencies, seconds)?;
    root.present()?;
    Ok(())
}

/// Draws one chart with a line for each series.
fn draw_chart(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    series: &[Series],
    seconds: &[SecondStats],
) -> Result<(), Box<dyn std::error::Error>> {
    let values = || {
        let series = series.iter();
        series.flat_map(|line| seconds.iter().map(|second| (line.value)(second)))
    };
    let y_max = values().fold(1.0, f64::max) * 1.05;
    let names: Vec<&str> = series.iter().map(|line| line.name).collect();
    let caption = format!("{title} by second: {}", names.join(", "));
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", CAPTION_FONT_PX))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..y_max)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for line in series {
        let points = seconds.iter().enumerate();
        let points = points.map(|(index, second)| (index as f64, (line.value)(second)));
        chart.draw_series(LineSeries::new(points, line.color.stroke_width(2)))?;
    }
    Ok(())
}

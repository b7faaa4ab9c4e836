//! Plots latency by quantile, for both sides at each rate.

use super::figures::{BlockResult, merged};
use super::plan::Side;
use super::report::OverheadReport;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::path::Path;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

const SIZE_PX: (u32, u32) = (1100, 480);
/// The x axis shows quantiles by number of nines: 50% at 0.3, 90% at 1, 99% at 2, 99.9% at 3.
const MAX_NINES: f64 = 3.0;
const STEPS: usize = 300;

/// Draws the plot to a file.
///
/// # Errors
/// Errors of the drawing library or of the file.
pub fn draw(path: &Path, report: &OverheadReport, results: &[BlockResult]) -> DrawResult {
    let lines: Vec<Line> = report
        .rates
        .iter()
        .flat_map(|rate| [Side::Direct, Side::Through].map(|side| Line::new(rate.rate, side, results)))
        .collect();
    let top = lines.iter().flat_map(|line| &line.points).map(|(_, us)| *us).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("latency from the due time, direct and through {} proxies", report.depth);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..MAX_NINES, (1.0..top).log_scale())?;
    let percent = |nines: &f64| format!("{:.1}%", 100.0 * quantile_of(*nines));
    chart.configure_mesh().y_desc("us").x_label_formatter(&percent).draw()?;
    for (number, line) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number / 2).to_rgba();
        let width = if line.side == Side::Direct { 1 } else { 3 };
        chart
            .draw_series(LineSeries::new(line.points, color.stroke_width(width)))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(width)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

/// One side at one rate.
struct Line {
    name: String,
    side: Side,
    points: Vec<(f64, f64)>,
}

impl Line {
    fn new(rate: f64, side: Side, results: &[BlockResult]) -> Self {
        let line_results = results.iter().filter(|r| r.block.rate == rate && r.block.side == side);
        let latency = merged(line_results.map(|result| &result.outcome.latency));
        let side_name = if side == Side::Direct { "direct" } else { "through" };
        Self { name: format!("{rate}/s {side_name}"), side, points: points(&latency) }
    }
}

fn points(latency: &Histogram<u64>) -> Vec<(f64, f64)> {
    let point = |step: usize| {
        let nines = MAX_NINES * step as f64 / STEPS as f64;
        (nines, (latency.value_at_quantile(quantile_of(nines)) as f64 / 1e3).max(1.0))
    };
    (0..=STEPS).map(point).collect()
}

fn quantile_of(nines: f64) -> f64 {
    1.0 - 10f64.powf(-nines)
}

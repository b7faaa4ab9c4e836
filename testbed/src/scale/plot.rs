//! Plots the most important figures over the size, each with its fitted line.

use super::report::{FittedFigure, ScaleReport};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

const SIZE_PX: (u32, u32) = (1200, 900);
/// Number of rows and columns of panels.
const PANELS: (usize, usize) = (3, 3);
/// Names of the plotted figures.
const PLOTTED_FIGURES: [&str; 9] = [
    "rest.node.busiest.cores",
    "rest.node.busiest.peak_memory",
    "rest.node.busiest.disk",
    "rest.proxy.hollow.cores",
    "proxy.hollow.memory",
    "rest.proxy.bytes",
    "rest.heartbeats.p99",
    "list_changes.p99",
    "settings_changes.p99",
];

/// Draws the plot to a file.
///
/// # Errors
/// Errors of the drawing library or of the file.
pub fn draw(path: &Path, report: &ScaleReport) -> DrawResult {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, name) in area.split_evenly(PANELS).iter().zip(PLOTTED_FIGURES) {
        if let Some(figure) = report.figures.iter().find(|figure| figure.name == name) {
            draw_figure(panel, figure)?;
        }
    }
    area.present()?;
    Ok(())
}

fn draw_figure(panel: &DrawingArea<SVGBackend<'_>, Shift>, figure: &FittedFigure) -> DrawResult {
    let sizes = figure.points.iter().map(|point| point.size);
    let values = figure.points.iter().map(|point| point.value);
    let right = 1.1 * sizes.fold(1.0, f64::max);
    let top = 1.15 * values.fold(f64::MIN_POSITIVE, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{} ({})", figure.name, figure.unit), ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_labels(6).y_labels(6).draw()?;
    if let Some(line) = &figure.fit {
        let [min, max] = line.size_range;
        let ends = [min, max].map(|size| (size, line.predict(size).value));
        chart.draw_series(LineSeries::new(ends, BLUE.mix(0.6)))?;
    }
    chart.draw_series(
        figure.points.iter().map(|point| Circle::new((point.size, point.value), 4, RED.filled())),
    )?;
    Ok(())
}

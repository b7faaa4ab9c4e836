//! The plots of a run, as SVG files: requests over time with the faults marked, latency percentiles, the load of each
//! backend over time as a heat map, and the list revision of each proxy over time.

use crate::record::{BIN_S, End, Outcome, Record};
use crate::report::Report;
use crate::stage::Machine;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::path::Path;

type DrawResult = Result<(), Box<dyn std::error::Error>>;
/// The name, points and color of a line.
type Line = (&'static str, Vec<(f64, f64)>, RGBColor);
const SIZE_PX: (u32, u32) = (1100, 480);
/// Maximum number of proxies that are drawn.
const MAX_LINES: usize = 60;

/// Draws all plots into `dir`.
///
/// # Errors
/// If drawing or writing a file fails.
pub fn draw(dir: &Path, report: &Report, ends: &[End], machines: &[Machine], record: &Record) -> DrawResult {
    let end_s = report.total.span[1].max(1.0);
    requests(&dir.join("requests.svg"), report, ends, end_s)?;
    latency(&dir.join("latency.svg"), ends)?;
    loads(&dir.join("load.svg"), machines, end_s)?;
    revisions(&dir.join("revisions.svg"), record, report.proxies, end_s)
}

fn requests(path: &Path, report: &Report, ends: &[End], end_s: f64) -> DrawResult {
    let seconds = end_s.ceil() as usize;
    let count = |keep: &dyn Fn(&End) -> bool| -> Vec<(f64, f64)> {
        let mut bins = vec![0.0; seconds + 1];
        for end in ends.iter().filter(|e| keep(e)) {
            bins[(end.at.max(0.0) as usize).min(seconds)] += 1.0;
        }
        bins.iter().take(seconds).enumerate().map(|(s, n)| (s as f64 + 0.5, *n)).collect()
    };
    let ended_as = |outcome: Outcome| move |e: &End| e.outcome == outcome;
    let lines: [Line; 6] = [
        ("offered", count(&|_| true), BLACK),
        ("served", count(&ended_as(Outcome::Served)), RGBColor(0, 130, 60)),
        ("refused", count(&ended_as(Outcome::Refused)), RGBColor(220, 140, 0)),
        ("failed", count(&ended_as(Outcome::Failed)), RED),
        ("died", count(&ended_as(Outcome::Died)), RGBColor(120, 120, 120)),
        ("lost", count(&ended_as(Outcome::Lost)), MAGENTA),
    ];
    let top = lines[0].1.iter().map(|(_, n)| *n).fold(1.0, f64::max) * 1.15;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{} (seed {}): requests per second by outcome", report.name, report.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s, 0.0..top)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (name, points, color) in lines {
        let line = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    for (n, (at, text)) in report.faults.iter().filter(|(at, _)| *at <= end_s).take(30).enumerate() {
        chart.draw_series(LineSeries::new([(*at, 0.0), (*at, top)], BLUE.mix(0.4)))?;
        let height = top * (0.98 - 0.05 * (n % 4) as f64);
        chart.draw_series([Text::new(text.clone(), (*at, height), ("sans-serif", 11).into_font())])?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

fn latency(path: &Path, ends: &[End]) -> DrawResult {
    let mut all = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)?;
    for end in ends.iter().filter(|e| e.outcome == Outcome::Served) {
        all.saturating_record(((end.latency * 1e6) as u64).max(1));
    }
    // The x axis counts the nines of a percentile: 50% is at 0.3, 90% at 1, 99% at 2, 99.9% at 3.
    let points: Vec<(f64, f64)> = (0..=300)
        .map(|n| f64::from(n) / 100.0)
        .map(|nines| (nines, all.value_at_quantile(1.0 - 10f64.powf(-nines)) as f64 / 1e3))
        .collect();
    let top = points.iter().map(|(_, ms)| *ms).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("latency of served requests, from their due time", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.0, 0.0..top)?;
    let label = |nines: &f64| format!("{:.1}%", 100.0 * (1.0 - 10f64.powf(-nines)));
    chart.configure_mesh().y_desc("ms").x_label_formatter(&label).draw()?;
    chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    area.present()?;
    Ok(())
}

fn loads(path: &Path, machines: &[Machine], end_s: f64) -> DrawResult {
    let step = (0.5 / BIN_S) as usize;
    let columns = (end_s / BIN_S) as usize / step;
    let rows: Vec<Vec<f64>> = machines
        .iter()
        .filter(|m| m.tier == 0)
        .map(|m| {
            let sum = |c: usize| {
                let bins = &m.sent.requests;
                let (a, b) = ((c * step).min(bins.len()), ((c + 1) * step).min(bins.len()));
                bins[a..b].iter().map(|n| f64::from(*n)).sum::<f64>() / (m.weight * m.speed)
            };
            (0..columns).map(sum).collect()
        })
        .collect();
    let count = rows.iter().flatten().filter(|v| **v > 0.0).count().max(1);
    let mean = rows.iter().flatten().sum::<f64>() / count as f64;
    let area = SVGBackend::new(path, (1100, 200 + 6 * rows.len().min(150) as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "load by backend, relative to weight and speed (white: none, black: 3 times the mean)",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end_s, 0.0..rows.len().max(1) as f64)?;
    chart.configure_mesh().disable_mesh().x_desc("s").draw()?;
    chart.draw_series(rows.iter().enumerate().flat_map(|(row, values)| {
        values.iter().enumerate().filter(|(_, v)| **v > 0.0).map(move |(column, value)| {
            let shade = (255.0 * (1.0 - (value / (3.0 * mean)).min(1.0))) as u8;
            let (x, y) = (column as f64 * 0.5, row as f64);
            Rectangle::new(
                [(x, y), (x + 0.5, y + 1.0)],
                RGBColor(shade, shade, 255 - (255 - shade) / 2).filled(),
            )
        })
    }))?;
    area.present()?;
    Ok(())
}

fn revisions(path: &Path, record: &Record, proxies: usize, end_s: f64) -> DrawResult {
    let revisions = record.revisions();
    let all = revisions.iter().take(proxies.min(MAX_LINES));
    let (mut low, mut high) = (f64::INFINITY, 1.0f64);
    for (revision, _) in all.clone().flatten() {
        (low, high) = (low.min(*revision as f64), high.max(*revision as f64));
    }
    if !low.is_finite() || low >= high {
        (low, high) = (high - 1.0, high + 1.0);
    }
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("list revision by proxy (the first 60)", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, low..high + 1.0)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (n, steps) in all.enumerate() {
        let mut points: Vec<(f64, f64)> = Vec::new();
        for (revision, at) in steps {
            if let Some((_, previous)) = points.last().copied() {
                points.push((at.max(0.0), previous));
            }
            points.push((at.max(0.0), *revision as f64));
        }
        if let Some((_, last)) = points.last().copied() {
            points.push((end_s, last));
        }
        chart.draw_series(LineSeries::new(points, Palette99::pick(n).mix(0.6)))?;
    }
    area.present()?;
    Ok(())
}

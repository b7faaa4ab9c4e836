//! The report over all sizes, as text and as JSON.

use super::experiment::ScaleExperiment;
use super::figures::{self, Figure};
use super::fit::{Fit, Point, Prediction, fit};
use super::result::{Changes, Phase, SizeResult};
use serde::Serialize;
use std::fmt::Write;

/// A size's figures are not trusted if the testbed's own lateness exceeds this at p99, in milliseconds.
pub const MAX_LATENESS_MS: f64 = 50.0;
/// A testbed thread that uses more than this, in cores, is too busy to be on time.
pub const MAX_CORES_PER_THREAD: f64 = 0.9;

/// One figure over all sizes.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// Its name.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// Its value at each size that was run completely.
    pub points: Vec<Point>,
    /// Its line; none for fewer than two different sizes.
    pub fit: Option<Fit>,
    /// The values that the line predicts for the requested sizes.
    pub predictions: Vec<Prediction>,
}

/// The result of a size, and whether it can be trusted.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    /// Whether the testbed was on time and not too busy.
    pub trusted: bool,
    /// The result.
    pub result: SizeResult,
}

/// All sizes of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// The experiment's name.
    pub name: String,
    /// Whether every size was run completely.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The sizes.
    pub sizes: Vec<SizeReport>,
    /// The figures over the sizes.
    pub figures: Vec<FittedFigure>,
}

impl ScaleReport {
    /// Builds the report of these results.
    pub fn new(experiment: &ScaleExperiment, results: Vec<SizeResult>) -> Self {
        let is_complete = |result: &&SizeResult| result.partial.is_none();
        let complete_results: Vec<&SizeResult> = results.iter().filter(is_complete).collect();
        Self {
            name: experiment.name.clone(),
            complete: complete_results.len() == experiment.sizes.len(),
            figures: fit_figures(&complete_results, &experiment.predict),
            sizes: results
                .into_iter()
                .map(|result| SizeReport { trusted: is_trusted(&result, experiment), result })
                .collect(),
        }
    }

    /// The report as JSON.
    pub fn json(&self) -> String {
        // Cannot fail: the report consists of plain numbers and strings.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}{}\n",
            self.name,
            if self.complete { "" } else { " (incomplete: not every size was run completely)" }
        );
        for size in &self.sizes {
            write_size(&mut text, size);
        }
        let _ = writeln!(
            text,
            "\nfigures over the size n: value = fixed + slope * n, residual, R2; (x): extrapolated"
        );
        for figure in &self.figures {
            write_fitted(&mut text, figure);
        }
        text
    }
}

/// Whether the testbed was on time and not too busy at a size.
fn is_trusted(result: &SizeResult, experiment: &ScaleExperiment) -> bool {
    let threads = [experiment.proxies.threads, experiment.backends.threads, 1];
    let settings = result.settings_changes.as_ref().map(|changes| &changes.phase);
    let phases = [Some(&result.rest), Some(&result.list_changes.phase), settings];
    phases.into_iter().flatten().all(|phase| {
        let busiest =
            phase.testbed_cores.iter().zip(threads).map(|(cores, n)| cores / n as f64).fold(0.0, f64::max);
        busiest <= MAX_CORES_PER_THREAD && phase.heartbeats.lateness_p99_ms <= MAX_LATENESS_MS
    })
}

/// Fits each figure over the sizes.
fn fit_figures(results: &[&SizeResult], predict: &[usize]) -> Vec<FittedFigure> {
    let all: Vec<(f64, Vec<Figure>)> =
        results.iter().map(|result| (result.size as f64, figures::of_size(result))).collect();
    let Some((_, first)) = all.first() else { return Vec::new() };
    first.iter().map(|figure| fit_figure(figure, &all, predict)).collect()
}

fn fit_figure(figure: &Figure, all: &[(f64, Vec<Figure>)], predict: &[usize]) -> FittedFigure {
    let point = |(size, figures): &(f64, Vec<Figure>)| {
        let value = figures.iter().find(|other| other.name == figure.name)?.value;
        Some(Point { size: *size, value })
    };
    let points: Vec<Point> = all.iter().filter_map(point).collect();
    let line = fit(&points);
    let predictions = line.iter().flat_map(|line| predict.iter().map(|size| line.predict(*size as f64)));
    let predictions = predictions.collect();
    FittedFigure { name: figure.name.clone(), unit: figure.unit, points, fit: line, predictions }
}

fn write_size(text: &mut String, size: &SizeReport) {
    let result = &size.result;
    let partial = result.partial.as_ref().map_or(String::new(), |why| format!(" (partial: {why})"));
    let trusted = if size.trusted { "" } else { " (untrusted: the testbed was late or too busy)" };
    let _ = writeln!(
        text,
        "\n{} hollow proxies and backends{partial}{trusted}\n  start: registered in {:.1} s, ready in {:.1} s; \
         {} of {} proxies have the list ({} bytes), {} attached; {:.0} bytes per proxy",
        result.size,
        result.registered_s,
        result.ready_s,
        result.listed,
        result.proxies,
        result.list_bytes,
        result.attached,
        result.start_bytes_per_proxy
    );
    let real = result.real_proxy_mb.map_or("-".into(), |memory| format!("{memory:.1}"));
    let _ = writeln!(
        text,
        "  memory: {:.2} MB per hollow proxy, {real} MB per real proxy at rest; disk write of 4 KiB before the run: \
         p50 {:.1}, p99 {:.1} ms",
        result.hollow_proxy_mb, result.disk.p50_ms, result.disk.p99_ms
    );
    write_phase(text, &result.rest);
    write_changes(text, "list", &result.list_changes);
    if let Some(changes) = &result.settings_changes {
        write_changes(text, "settings", changes);
    }
}

fn write_changes(text: &mut String, name: &str, changes: &Changes) {
    let _ = writeln!(
        text,
        "  {} changes of the {name}: delivery p50 {:.1}, p99 {:.1}, max {:.1} ms, mean to the last proxy {:.1} ms; \
         missed {}, not acknowledged {}",
        changes.requested,
        changes.p50_ms,
        changes.p99_ms,
        changes.max_ms,
        changes.mean_to_all_ms,
        changes.missed,
        changes.unacknowledged
    );
    write_phase(text, &changes.phase);
}

fn write_phase(text: &mut String, phase: &Phase) {
    let heartbeats = &phase.heartbeats;
    let _ = writeln!(
        text,
        "  {} ({:.1} s): heartbeats {:.0}/s answered, failed {} (404 {}, 503 {}, no answer {}), over 1 s {}, \
         skipped {}; p50 {:.1}, p99 {:.1}, max {:.0} ms; leader changes {}, min entries {}",
        phase.name,
        phase.seconds,
        heartbeats.answered as f64 / phase.seconds.max(f64::MIN_POSITIVE),
        heartbeats.failed(),
        heartbeats.not_listed,
        heartbeats.rejected,
        heartbeats.unanswered,
        heartbeats.over_1_s,
        heartbeats.skipped,
        heartbeats.p50_ms,
        heartbeats.p99_ms,
        heartbeats.max_ms,
        phase.leader_changes,
        phase.min_entries.map_or("-".into(), |entries| entries.to_string())
    );
    for (number, node) in phase.nodes.iter().enumerate() {
        let _ = writeln!(
            text,
            "    node {}{}: {:.3} cores, peak {:.1} MB, disk {:.0} B/s",
            number + 1,
            if node.is_leader { " (leader)" } else { "" },
            node.cores,
            node.memory_mb,
            node.disk_bytes_per_s
        );
    }
    let _ = writeln!(
        text,
        "    per hollow proxy {:.5} cores, {:.0} B/s, {:.2} requests/s; per real proxy {} cores; per backend {:.0} \
         B/s; between nodes {:.0} B/s; testbed: lateness p99 {:.2}, max {:.0} ms, cores {:.2} proxies, {:.2} backends, \
         {:.2} relays; whole machine {:.1} cores",
        phase.hollow_proxy_cores,
        phase.proxy_traffic.bytes_per_s,
        phase.proxy_traffic.requests_per_s,
        phase.real_proxy_cores.map_or("-".into(), |cores| format!("{cores:.4}")),
        phase.backend_traffic.bytes_per_s,
        phase.between_nodes.bytes_per_s,
        heartbeats.lateness_p99_ms,
        heartbeats.lateness_max_ms,
        phase.testbed_cores[0],
        phase.testbed_cores[1],
        phase.testbed_cores[2],
        phase.machine_cores
    );
}

fn write_fitted(text: &mut String, figure: &FittedFigure) {
    let Some(line) = &figure.fit else {
        let _ = writeln!(text, "  {:<46} no line: fewer than two different sizes", figure.name);
        return;
    };
    let format_optional = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3e}"));
    let r_squared = line.r_squared.map_or("-".into(), |part| format!("{part:.3}"));
    let predictions: Vec<String> = figure.predictions.iter().map(format_prediction).collect();
    let _ = writeln!(
        text,
        "  {:<46} {:>11.4e} + {:>11.4e} n {:<5} residual {}, R2 {r_squared}; {}",
        figure.name,
        line.fixed,
        line.slope,
        figure.unit,
        format_optional(line.residual),
        predictions.join(", ")
    );
}

/// Formats a prediction, marked if it is extrapolated.
fn format_prediction(prediction: &Prediction) -> String {
    let mark = if prediction.extrapolated { " (x)" } else { "" };
    format!("{}: {:.4}{mark}", prediction.size, prediction.value)
}

//! Compares the reports of two builds of the program that ran on the same seeds.

use crate::report::Report;
use std::fmt::Write;

/// The paths of the figures that are compared.
const FIGURES: [&str; 13] = [
    "worth.share",
    "requests.served",
    "requests.refused",
    "requests.failed",
    "requests.lost",
    "latency_ms.p50",
    "latency_ms.p99",
    "spread.cv",
    "spread.cv_random",
    "spread.peak_over_mean",
    "spread.idle_5s",
    "spread.worst_200ms_over_share",
    "connections_per_s",
];

/// Two-sided 95% points of Student's t by degrees of freedom, from 1; above 20, the normal distribution's is used.
const T95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];

/// The mean of paired differences and half the width of its 95% confidence interval (infinite for a single pair).
pub fn paired(differences: &[f64]) -> (f64, f64) {
    let n = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / n;
    if differences.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T95.get(differences.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

/// A table of A, B and B - A with its interval, for the whole run and each window.
pub fn table(a: &[Report], b: &[Report]) -> String {
    let mut text = String::new();
    let windows: Vec<String> = a.first().map(|r| r.windows.keys().cloned().collect()).unwrap_or_default();
    let prefixes = std::iter::once(String::new()).chain(windows.iter().map(|w| format!("{w}.")));
    let _ = writeln!(text, "{:<40} {:>12} {:>12} {:>12}   95% of B - A", "figure", "A", "B", "B - A");
    for path in prefixes.flat_map(|p| FIGURES.map(move |f| format!("{p}{f}"))) {
        let values =
            |reports: &[Report]| -> Option<Vec<f64>> { reports.iter().map(|r| r.figure(&path)).collect() };
        let (Some(a), Some(b)) = (values(a), values(b)) else { continue };
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let (difference, half) = paired(&differences);
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
        let mark = if difference.abs() > half { "  *" } else { "" };
        let _ = writeln!(
            text,
            "{path:<40} {:>12.4} {:>12.4} {difference:>12.4}   {:.4} to {:.4}{mark}",
            mean(&a),
            mean(&b),
            difference - half,
            difference + half
        );
    }
    text
}

#[cfg(test)]
mod tests;

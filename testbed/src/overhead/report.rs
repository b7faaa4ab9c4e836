//! The report of a measurement, as text and as JSON.

use super::Options;
use super::figures::{self, Added, BlockResult, RateFigures, SideFigures};
use serde::Serialize;
use std::fmt::Write;

/// A rate's figures are not trusted if the testbed's own lateness exceeds this at p99, in microseconds.
pub const MAX_LATENESS_US: f64 = 1_000.0;

/// The report of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Number of proxies in the chain that a call passes through.
    pub depth: usize,
    /// Requested seconds of load on each side at each rate.
    pub seconds: f64,
    /// Seconds of one block.
    pub block_seconds: f64,
    /// The seed of the due times.
    pub seed: u64,
    /// Whether the measurement ended early.
    pub partial: bool,
    /// Whether the testbed was on time at every rate.
    pub trusted: bool,
    /// The figures of each rate.
    pub rates: Vec<RateFigures>,
}

impl OverheadReport {
    /// Builds the report of these blocks.
    pub fn new(options: &Options, results: &[BlockResult]) -> Self {
        let rate_figures = |rate: &f64| figures::rate_figures(*rate, results);
        let rates: Vec<RateFigures> = options.rates.iter().filter_map(rate_figures).collect();
        let on_time = |side: &SideFigures| side.lateness_us.p99 <= MAX_LATENESS_US;
        Self {
            depth: options.depth,
            seconds: options.seconds,
            block_seconds: options.block_seconds,
            seed: options.seed,
            partial: results.len() < 2 * options.pairs() * options.rates.len(),
            trusted: rates.iter().all(|rate| on_time(&rate.direct) && on_time(&rate.through)),
            rates,
        }
    }

    /// Number of calls through the proxies that were not served.
    pub fn not_served(&self) -> u64 {
        self.rates.iter().map(|rate| rate.through.calls - rate.through.served).sum()
    }

    /// The report as JSON.
    pub fn json(&self) -> String {
        // Cannot fail: the report consists of plain numbers and strings.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let proxies =
            if self.depth == 1 { "one proxy".into() } else { format!("{} proxies in a chain", self.depth) };
        let marks = [(self.partial, " (partial)"), (!self.trusted, " (untrusted: the testbed was late)")];
        let marks: String = marks.iter().filter(|(applies, _)| *applies).map(|(_, mark)| *mark).collect();
        let _ = writeln!(
            text,
            "overhead of {proxies}, {} s per side and rate in blocks of {} s, seed {}{marks}",
            self.seconds, self.block_seconds, self.seed
        );
        for rate in &self.rates {
            write_rate(&mut text, rate);
        }
        text
    }
}

fn write_rate(text: &mut String, figures: &RateFigures) {
    let _ = writeln!(text, "{} calls per second", figures.rate);
    write_side(text, "direct", &figures.direct);
    write_side(text, "through", &figures.through);
    write_added(text, "added p50", &figures.added_p50_us);
    write_added(text, "added p99", &figures.added_p99_us);
    write_added(text, "added p99 from the write", &figures.added_p99_from_write_us);
    let _ = writeln!(
        text,
        "  processor: {:.0} us per call, {:.2}% of a core under load, {:.2}% at rest; whole machine {:.1} cores",
        figures.processor_us_per_call,
        100.0 * figures.cores_under_load,
        100.0 * figures.cores_at_rest,
        figures.machine_cores
    );
}

fn write_side(text: &mut String, name: &str, side: &SideFigures) {
    let (latency, lateness) = (&side.latency_us, &side.lateness_us);
    let _ = writeln!(
        text,
        "  {name:<8} {} calls: {} served, {} rejected, {} failed, {} not sent; us from the due time: p50 {:.0}, \
         p90 {:.0}, p99 {:.0}, p99.9 {:.0}, max {:.0}; testbed lateness: p50 {:.0}, p99 {:.0}, max {:.0}",
        side.calls,
        side.served,
        side.rejected,
        side.failed,
        side.unsent,
        latency.p50,
        latency.p90,
        latency.p99,
        latency.p999,
        latency.max,
        lateness.p50,
        lateness.p99,
        lateness.max
    );
}

fn write_added(text: &mut String, name: &str, added: &Added) {
    let format_optional = |value: Option<f64>| value.map_or("-".to_string(), |value| format!("{value:.0}"));
    let _ = writeln!(
        text,
        "  {name}: {:.0} us (by pair of blocks {:.0} +- {}, 95%); noise, direct against direct: {}",
        added.merged,
        added.mean_of_pairs,
        format_optional(added.half_width_95),
        format_optional(added.direct_against_direct)
    );
}

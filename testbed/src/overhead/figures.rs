//! Computes the figures from the blocks: histograms merged by side, differences by pair of blocks. No I/O.

use super::load::{Outcome, empty_histogram};
use super::plan::{Block, Side};
use crate::compare::paired;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// The result of one block.
#[derive(Clone, Debug)]
pub struct BlockResult {
    /// The planned block.
    pub block: Block,
    /// Outcomes of its calls.
    pub outcome: Outcome,
    /// Processor time that all proxies used meanwhile.
    pub processor: Duration,
    /// Processor time that the whole machine used meanwhile.
    pub machine: Duration,
}

/// Quantiles of durations, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// Figures of all blocks of one side at one rate.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SideFigures {
    /// Calls that were due.
    pub calls: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answered with another status, or not at all.
    pub failed: u64,
    /// Not sent, because too many were in flight.
    pub unsent: u64,
    /// Latency of the served calls, from the due time to the complete answer.
    pub latency_us: Quantiles,
    /// Latency of the served calls, from the write to the complete answer.
    pub from_write_us: Quantiles,
    /// From the due time to the write: the testbed's own part of the latency.
    pub lateness_us: Quantiles,
}

/// Latency that the proxies add at one quantile, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Added {
    /// The difference between the merged histograms of both sides.
    pub merged: f64,
    /// The mean of the differences between the two blocks of each pair.
    pub mean_of_pairs: f64,
    /// Half the width of that mean's 95% confidence interval; none for a single pair.
    pub half_width_95: Option<f64>,
    /// The noise: the mean absolute difference between consecutive direct blocks; none for a single block.
    pub direct_against_direct: Option<f64>,
}

/// Figures of one rate.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RateFigures {
    /// Calls per second.
    pub rate: f64,
    /// Calls without a proxy.
    pub direct: SideFigures,
    /// Calls through the proxies.
    pub through: SideFigures,
    /// Added latency at the median.
    pub added_p50_us: Added,
    /// Added latency at the 99th percentile.
    pub added_p99_us: Added,
    /// Added latency at the 99th percentile, from the write, without the testbed's lateness.
    pub added_p99_from_write_us: Added,
    /// Processor time of all proxies per call, less their use at rest, in microseconds.
    pub processor_us_per_call: f64,
    /// Cores that all proxies use under this load.
    pub cores_under_load: f64,
    /// Cores that all proxies use during the direct blocks.
    pub cores_at_rest: f64,
    /// Cores that the whole machine used, including the testbed and unrelated programs.
    pub machine_cores: f64,
}

/// A quantile in microseconds.
fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// The quantiles of a histogram of nanoseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50: quantile(histogram, 0.5),
        p90: quantile(histogram, 0.9),
        p99: quantile(histogram, 0.99),
        p999: quantile(histogram, 0.999),
        max: histogram.max() as f64 / 1e3,
    }
}

/// Merges several histograms into one.
pub fn merged<'a>(histograms: impl IntoIterator<Item = &'a Histogram<u64>>) -> Histogram<u64> {
    let mut all = empty_histogram();
    for histogram in histograms {
        all.add(histogram).expect("all have the same bounds");
    }
    all
}

/// Computes the figures of one rate from its blocks; `None` if a side has no blocks.
pub fn rate_figures(rate: f64, results: &[BlockResult]) -> Option<RateFigures> {
    let direct = blocks_of_side(results, rate, Side::Direct);
    let through = blocks_of_side(results, rate, Side::Through);
    if direct.is_empty() || through.is_empty() {
        return None;
    }
    let served: u64 = through.iter().map(|result| result.outcome.served).sum();
    let (cores_under_load, cores_at_rest) =
        (cores(&through, |result| result.processor), cores(&direct, |result| result.processor));
    let all = [direct.as_slice(), through.as_slice()].concat();
    let seconds: f64 = through.iter().map(|result| result.block.seconds).sum();
    let processor_s = (cores_under_load - cores_at_rest) * seconds;
    Some(RateFigures {
        rate,
        direct: side_figures(&direct),
        through: side_figures(&through),
        added_p50_us: added(&direct, &through, 0.5, |outcome| &outcome.latency),
        added_p99_us: added(&direct, &through, 0.99, |outcome| &outcome.latency),
        added_p99_from_write_us: added(&direct, &through, 0.99, |outcome| &outcome.from_write),
        processor_us_per_call: 1e6 * processor_s / served.max(1) as f64,
        cores_under_load,
        cores_at_rest,
        machine_cores: cores(&all, |result| result.machine),
    })
}

fn blocks_of_side(results: &[BlockResult], rate: f64, side: Side) -> Vec<&BlockResult> {
    results.iter().filter(|result| result.block.rate == rate && result.block.side == side).collect()
}

fn side_figures(results: &[&BlockResult]) -> SideFigures {
    let sum = |field: fn(&Outcome) -> u64| results.iter().map(|result| field(&result.outcome)).sum::<u64>();
    let (served, rejected) = (sum(|o| o.served), sum(|o| o.rejected));
    let (failed, unsent) = (sum(|o| o.failed), sum(|o| o.unsent));
    SideFigures {
        calls: served + rejected + failed + unsent,
        served,
        rejected,
        failed,
        unsent,
        latency_us: quantiles(&merged(results.iter().map(|result| &result.outcome.latency))),
        from_write_us: quantiles(&merged(results.iter().map(|result| &result.outcome.from_write))),
        lateness_us: quantiles(&merged(results.iter().map(|result| &result.outcome.lateness))),
    }
}

/// The mean number of cores that a processor time amounts to over these blocks.
fn cores(results: &[&BlockResult], field: fn(&BlockResult) -> Duration) -> f64 {
    let used: f64 = results.iter().map(|result| field(result).as_secs_f64()).sum();
    let seconds: f64 = results.iter().map(|result| result.block.seconds).sum();
    used / seconds.max(f64::MIN_POSITIVE)
}

fn added(
    direct: &[&BlockResult],
    through: &[&BlockResult],
    rank: f64,
    histogram_of: fn(&Outcome) -> &Histogram<u64>,
) -> Added {
    let of_block = |result: &BlockResult| quantile(histogram_of(&result.outcome), rank);
    let of_side =
        |side: &[&BlockResult]| quantile(&merged(side.iter().map(|r| histogram_of(&r.outcome))), rank);
    let differences: Vec<f64> = direct
        .iter()
        .filter_map(|d| Some((d, through.iter().find(|t| t.block.pair == d.block.pair)?)))
        .map(|(d, t)| of_block(t) - of_block(d))
        .collect();
    let (mean_of_pairs, half_width) = paired(&differences);
    let steps: Vec<f64> =
        direct.windows(2).map(|pair| (of_block(pair[1]) - of_block(pair[0])).abs()).collect();
    let noise = steps.iter().sum::<f64>() / steps.len() as f64;
    Added {
        merged: of_side(through) - of_side(direct),
        mean_of_pairs,
        half_width_95: Some(half_width).filter(|half_width| half_width.is_finite()),
        direct_against_direct: Some(noise).filter(|noise| noise.is_finite()),
    }
}

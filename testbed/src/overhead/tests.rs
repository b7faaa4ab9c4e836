//! Tests of the parts without I/O: the plan, merging, the differences, the report and the options.

use super::backend::next_request;
use super::figures::{merged, quantiles, rate_figures};
use super::load::{Outcome, empty_histogram};
use super::plan::{Block, Side, blocks, due_times};
use super::{BlockResult, Options, OverheadReport};
use crate::http::Message;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RATE: f64 = 100.0;

fn block(side: Side, pair: usize) -> Block {
    Block { rate: RATE, side, pair, seconds: 10.0 }
}

/// A block whose calls all had a latency of `latency_us`, of which `lateness_us` is the testbed's lateness.
fn result(side: Side, pair: usize, latency_us: u64, lateness_us: u64, processor_ms: u64) -> BlockResult {
    let mut outcome = Outcome { served: 1_000, ..Outcome::default() };
    outcome.latency.record_n(latency_us * 1_000, 1_000).expect("within bounds");
    outcome.from_write.record_n((latency_us - lateness_us) * 1_000, 1_000).expect("within bounds");
    outcome.lateness.record_n(lateness_us * 1_000, 1_000).expect("within bounds");
    let processor = Duration::from_millis(processor_ms);
    BlockResult { block: block(side, pair), outcome, processor, machine: Duration::from_secs(20) }
}

fn options(pairs: f64) -> Options {
    Options {
        program: PathBuf::new(),
        depth: 1,
        rates: vec![RATE],
        seconds: 10.0 * pairs,
        block_seconds: 10.0,
        seed: 1,
        out: None,
        stop: Arc::default(),
    }
}

fn close(value: f64, expected: f64) -> bool {
    // Histograms have three significant digits.
    (value - expected).abs() <= 0.002 * expected.abs().max(1.0)
}

#[test]
fn pairs_alternate_the_side_that_goes_first() {
    let sides: Vec<(f64, Side)> = blocks(&[1.0, 2.0], 2, 5.0).iter().map(|b| (b.rate, b.side)).collect();
    let expected = |rate| [Side::Direct, Side::Through, Side::Through, Side::Direct].map(|side| (rate, side));
    assert_eq!(sides, [expected(1.0), expected(2.0)].concat());
}

#[test]
fn due_times_are_the_same_within_a_pair_and_differ_between_pairs() {
    let due = |side, pair| due_times(&block(side, pair), 7);
    assert_eq!(due(Side::Direct, 0), due(Side::Through, 0));
    assert_ne!(due(Side::Direct, 0), due(Side::Direct, 1));
    let times = due(Side::Direct, 0);
    assert!(times.is_sorted() && times.last().is_some_and(|last| *last < Duration::from_secs(10)));
    // 1,000 expected, with a standard deviation of 32.
    assert!((850..1_150).contains(&times.len()), "{} calls", times.len());
}

#[test]
fn a_merged_histogram_contains_every_block() {
    let (mut fast, mut slow) = (empty_histogram(), empty_histogram());
    fast.record_n(100_000, 98).expect("within bounds");
    slow.record_n(900_000, 2).expect("within bounds");
    let all = merged([&fast, &slow]);
    assert_eq!(all.len(), 100);
    let quantiles = quantiles(&all);
    assert!(close(quantiles.p50, 100.0) && close(quantiles.p99, 900.0) && close(quantiles.max, 900.0));
}

#[test]
fn added_latency_is_the_mean_difference_of_the_pairs_with_its_interval() {
    let results = [
        result(Side::Direct, 0, 100, 20, 10),
        result(Side::Through, 0, 400, 20, 400),
        result(Side::Through, 1, 500, 40, 400),
        result(Side::Direct, 1, 120, 20, 10),
    ];
    let figures = rate_figures(RATE, &results).expect("both sides have blocks");
    // The differences are 300 and 380: mean 340, standard deviation 56.6, t(1) = 12.706.
    assert!(close(figures.added_p50_us.mean_of_pairs, 340.0), "{figures:?}");
    // The calls of the second block through the proxies were sent 20 us later than the others.
    assert!(close(figures.added_p99_from_write_us.mean_of_pairs, 330.0), "{figures:?}");
    let half_width = figures.added_p50_us.half_width_95.expect("two pairs");
    assert!((half_width - 12.706 * 40.0).abs() < 10.0, "{half_width}");
    assert!(close(figures.added_p50_us.direct_against_direct.expect("two direct blocks"), 20.0));
    // 390 ms more than at rest, for 1,000 calls in each block.
    assert!(close(figures.processor_us_per_call, 390.0));
    assert!(close(figures.cores_under_load, 0.04) && close(figures.cores_at_rest, 0.001));
    assert!(close(figures.machine_cores, 2.0));
}

#[test]
fn a_single_pair_has_no_interval_and_no_noise() {
    let results = [result(Side::Direct, 0, 100, 20, 0), result(Side::Through, 0, 400, 20, 0)];
    let added = rate_figures(RATE, &results).expect("both sides have blocks").added_p99_us;
    assert_eq!((added.half_width_95, added.direct_against_direct), (None, None));
    assert!(rate_figures(RATE, &results[..1]).is_none(), "one side has no blocks");
}

#[test]
fn unserved_calls_are_counted_by_outcome() {
    let mut through = result(Side::Through, 0, 400, 20, 0);
    (through.outcome.rejected, through.outcome.failed, through.outcome.unsent) = (3, 2, 1);
    let report = OverheadReport::new(&options(1.0), &[result(Side::Direct, 0, 100, 20, 0), through]);
    assert_eq!(report.not_served(), 6);
    assert_eq!(report.rates[0].through.calls, 1_006);
    assert!(report.trusted && !report.partial);
}

#[test]
fn a_late_testbed_and_missing_blocks_are_marked() {
    let late = [result(Side::Direct, 0, 2_100, 2_000, 0), result(Side::Through, 0, 400, 20, 0)];
    let report = OverheadReport::new(&options(2.0), &late);
    assert!(!report.trusted && report.partial);
    assert!(report.text().contains("(partial) (untrusted: the testbed was late)"));
}

#[test]
fn options_out_of_range_are_rejected() {
    assert!(options(1.0).check().is_ok());
    assert!(Options { depth: 0, ..options(1.0) }.check().is_err());
    assert!(Options { rates: vec![0.0], ..options(1.0) }.check().is_err());
    assert!(Options { rates: Vec::new(), ..options(1.0) }.check().is_err());
    assert!(Options { block_seconds: f64::NAN, ..options(1.0) }.check().is_err());
    assert!(Options { seconds: 1.0, ..options(1.0) }.check().is_err());
}

#[test]
fn each_call_of_a_backend_has_its_own_id_and_stays_on_the_same_side() {
    let headers = [("x-txn", "000000000000002a"), ("x-lane", "status-check"), ("x-side", "through")];
    let request = Message {
        first: "GET /v1/messages/42 HTTP/1.1".into(),
        headers: headers.map(|(name, value)| (name.to_string(), value.to_string())).to_vec(),
        body: Vec::new(),
        started_at: Instant::now(),
    };
    let text = |request| String::from_utf8(next_request(request)).expect("a head of ASCII");
    let (first, second) = (text(&request), text(&request));
    let id = |text: &str| text.lines().find_map(|line| line.strip_prefix("X-Txn: ")).map(str::to_string);
    assert!(id(&first).is_some_and(|id| id.len() == 16) && id(&first) != id(&second), "{first}{second}");
    assert!(!first.contains("000000000000002a"), "a repeat of the client's id would be rejected");
    assert!(first.starts_with("GET /v1/messages/42 HTTP/1.1\r\n") && first.contains("x-side: through\r\n"));
}

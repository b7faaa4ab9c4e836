//! Tests of the parts without I/O: the line and its residual, marks of extrapolation, deliveries; and of reading the
//! experiment file.

use super::experiment::ScaleExperiment;
use super::fit::{Point, fit};
use super::ledger::{Delivery, DeliveryLog};
use super::report::ScaleReport;
use super::result::{Changes, Heartbeats, NodeUsage, Phase, SizeResult};
use std::time::{Duration, Instant};

const EXPERIMENT_FILE: &str = include_str!("../../experiments/scale.toml");

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

fn close(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 1e-9 * expected.abs().max(1.0)
}

fn experiment(sizes: &[usize]) -> ScaleExperiment {
    let mut experiment: ScaleExperiment =
        toml::from_str(EXPERIMENT_FILE).expect("the repository's experiment is valid");
    experiment.sizes = sizes.to_vec();
    experiment.predict = vec![200, 5_000];
    experiment
}

/// A size whose busiest node uses `cores`.
fn result(size: usize, cores: f64) -> SizeResult {
    let node = |cores| NodeUsage { cores, ..NodeUsage::default() };
    let nodes = vec![node(cores / 2.0), node(cores), node(0.0)];
    let rest = Phase { name: "rest".into(), seconds: 30.0, nodes, ..Phase::default() };
    SizeResult { size, rest, ..SizeResult::default() }
}

#[test]
fn points_on_a_line_are_fitted_without_residual() {
    let line = fit(&points(&[(100.0, 7.0), (200.0, 9.0), (400.0, 13.0)])).expect("three sizes");
    assert!(close(line.fixed, 5.0) && close(line.slope, 0.02), "{line:?}");
    assert!(line.residual.is_some_and(|residual| residual < 1e-9));
    assert!(line.r_squared.is_some_and(|part| close(part, 1.0)));
    assert_eq!(line.size_range, [100.0, 400.0]);
}

#[test]
fn points_off_the_line_give_a_residual_and_r_squared() {
    // By hand: means 2 and 3; slope 1, fixed 1; residuals -1/3, 2/3, -1/3 of the values 5/3, 11/3, 11/3 from 2, 3, 4.
    let values = [(1.0, 5.0 / 3.0), (2.0, 11.0 / 3.0), (3.0, 11.0 / 3.0)];
    let line = fit(&points(&values)).expect("three sizes");
    assert!(close(line.slope, 1.0) && close(line.fixed, 1.0), "{line:?}");
    // The residual square sum is 6/9, with one degree of freedom; the explained fraction is 1 - (2/3) / (8/3).
    assert!(line.residual.is_some_and(|residual| close(residual, (2.0f64 / 3.0).sqrt())));
    assert!(line.r_squared.is_some_and(|part| close(part, 0.75)));
}

#[test]
fn two_sizes_have_no_residual_and_one_has_no_line() {
    let line = fit(&points(&[(100.0, 1.0), (300.0, 2.0)])).expect("two sizes");
    assert_eq!((line.residual, line.r_squared), (None, None));
    assert!(fit(&points(&[(100.0, 1.0)])).is_none());
    assert!(fit(&points(&[(100.0, 1.0), (100.0, 2.0)])).is_none(), "the same size twice");
    assert!(fit(&[]).is_none());
}

#[test]
fn a_constant_figure_has_no_r_squared() {
    let line = fit(&points(&[(1.0, 4.0), (2.0, 4.0), (3.0, 4.0)])).expect("three sizes");
    assert_eq!((line.slope, line.fixed, line.r_squared), (0.0, 4.0, None));
}

#[test]
fn a_size_outside_the_fitted_range_is_marked_as_extrapolated() {
    let line = fit(&points(&[(100.0, 1.0), (2_600.0, 26.0)])).expect("two sizes");
    let marked = [99.0, 100.0, 1_300.0, 2_600.0, 2_601.0].map(|size| line.predict(size).extrapolated);
    assert_eq!(marked, [true, false, false, false, true]);
    assert!(close(line.predict(1_300.0).value, 13.0));
}

#[test]
fn the_report_fits_the_busiest_node_and_marks_extrapolated_predictions() {
    let results = vec![result(100, 0.1), result(300, 0.3), result(500, 0.5)];
    let report = ScaleReport::new(&experiment(&[100, 300, 500]), results);
    assert!(report.complete);
    let figure = report.figures.iter().find(|figure| figure.name == "rest.node.busiest.cores");
    let figure = figure.expect("the busiest node's cores are a figure");
    let line = figure.fit.expect("three sizes");
    assert!(close(line.slope, 0.001) && line.fixed.abs() < 1e-9, "{line:?}");
    let marks: Vec<bool> = figure.predictions.iter().map(|prediction| prediction.extrapolated).collect();
    assert_eq!(marks, [false, true]);
    assert!(report.text().contains("200: 0.2000, 5000: 5.0000 (x)"), "{}", report.text());
}

#[test]
fn a_partial_size_is_reported_but_not_fitted() {
    let mut partial = result(500, 9.0);
    partial.mark_partial("late");
    partial.mark_partial("interrupted");
    let report =
        ScaleReport::new(&experiment(&[100, 300, 500]), vec![result(100, 0.1), result(300, 0.3), partial]);
    assert!(!report.complete && report.sizes.len() == 3);
    let figure = report.figures.iter().find(|figure| figure.name == "rest.node.busiest.cores");
    assert_eq!(figure.map(|figure| figure.points.len()), Some(2));
    assert!(report.text().contains("(partial: late; interrupted)"));
}

#[test]
fn a_size_with_a_late_or_busy_testbed_is_not_trusted() {
    let trusted = |result: SizeResult| ScaleReport::new(&experiment(&[100]), vec![result]).sizes[0].trusted;
    assert!(trusted(result(100, 0.1)));
    let mut late = result(100, 0.1);
    late.rest.heartbeats = Heartbeats { lateness_p99_ms: 80.0, ..Heartbeats::default() };
    assert!(!trusted(late));
    let mut busy = result(100, 0.1);
    busy.list_changes.phase.testbed_cores = [0.0, 0.0, 0.95];
    assert!(!trusted(busy));
}

#[test]
fn a_delivery_counts_each_reached_proxy_once_and_the_others_as_missed() {
    let log = DeliveryLog::new(3);
    log.record(0, 4);
    let sent = Instant::now();
    log.record(0, 5);
    log.record(0, 6);
    log.record(1, 7);
    log.record(1, 7);
    log.record(2, 4);
    assert_eq!((log.count_reached(5), log.count_reached(7)), (2, 1));
    let delivery = log.delivery(5, sent);
    assert_eq!((delivery.delays.len(), delivery.missed), (2, 1));
    log.clear_arrivals();
    assert_eq!(log.delivery(5, sent).missed, 3, "arrivals before the clearing do not count");
}

#[test]
fn deliveries_are_summarized_over_all_changes() {
    let ms = Duration::from_millis;
    let first = Delivery { delays: (1..=50).map(ms).collect(), missed: 0 };
    let second = Delivery { delays: (51..=99).map(ms).chain([ms(500)]).collect(), missed: 2 };
    let changes = Changes::new(3, &[first, second], Phase::default());
    assert_eq!((changes.requested, changes.unacknowledged, changes.missed), (3, 1, 2));
    assert_eq!([changes.p50_ms, changes.p99_ms, changes.max_ms], [50.0, 99.0, 500.0]);
    assert!(close(changes.mean_to_all_ms, 275.0));
    let none = Changes::new(1, &[], Phase::default());
    assert_eq!((none.unacknowledged, none.p99_ms, none.mean_to_all_ms), (1, 0.0, 0.0));
}

#[test]
fn an_experiment_is_read_with_overrides_and_invalid_overrides_are_rejected() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments/scale.toml");
    let set = |key: &str, value: i64| vec![(key.to_string(), toml::Value::Integer(value))];
    assert!(ScaleExperiment::read(path, &[]).is_ok());
    let changed = ScaleExperiment::read(path, &set("phases.list_changes", 3)).expect("an override");
    assert_eq!(changed.phases.list_changes, 3);
    assert!(ScaleExperiment::read(path, &set("phases.unknown", 3)).is_err());
    assert!(ScaleExperiment::read(path, &set("list.nodes", 4)).is_err());
    assert!(ScaleExperiment::read(path, &set("name.inner", 4)).is_err());
}

//! Tests of `client`.

use super::*;

#[test]
fn the_same_seed_gives_the_same_arrivals_and_bursts_follow_the_experiment() {
    let text = include_str!("../../experiments/ci.toml");
    let experiment: Experiment = toml::from_str(text).expect("an experiment");
    let (first, second) = (arrivals(&experiment, 7), arrivals(&experiment, 7));
    assert!(!first.is_empty() && first == second && first != arrivals(&experiment, 8));
    // 60 per second, and 90 per second in the burst from 8 s to 10 s; tolerance: 5 standard deviations.
    let count = |from: f64, to: f64| first.iter().filter(|a| (from..to).contains(&a.at)).count() as f64;
    assert!((count(0.0, 8.0) - 480.0).abs() < 5.0 * 480f64.sqrt(), "{}", count(0.0, 8.0));
    assert!((count(8.0, 10.0) - 180.0).abs() < 5.0 * 180f64.sqrt(), "{}", count(8.0, 10.0));
}

#[test]
fn shares_are_uneven_as_configured_and_add_up() {
    let even = shares(10, 1.0, 1);
    assert!(even.iter().all(|s| *s == 1.0));
    let uneven = shares(100, 4.0, 1);
    assert_eq!(uneven.iter().filter(|s| **s == 4.0).count(), 10);
    assert!((uneven.iter().sum::<f64>() - 100.0).abs() < 1e-9);
}

//! Tests of the retry arithmetic and the timer tokens.

use super::*;
use slotmap::SlotMap;

#[test]
fn timer_tokens_identify_the_timer_and_the_request() {
    let mut requests: SlotMap<RequestSlot, ()> = SlotMap::new();
    let first = requests.insert(());
    requests.remove(first);
    let second = requests.insert(());
    for timer in [RequestTimer::Retry, RequestTimer::Deadline, RequestTimer::QuietPeriodOver] {
        assert!(timer.token(second) > 0, "0 is the token of the discovery timer");
        assert_eq!(RequestTimer::from_token(timer.token(second)), Some((timer, second)));
        assert_ne!(timer.token(first), timer.token(second), "the position in the table is reused");
    }
}

#[test]
fn the_probability_falls_between_the_thresholds() {
    // Ten requests per second and a T1 of 0.4 s: the thresholds are 4 and 6 requests.
    let probability = |unanswered, overload| super::probability(unanswered, 10.0, 0.4, overload);
    assert_eq!(probability(4, 0.0), 1.0);
    assert!((probability(5, 0.0) - 0.55).abs() < 1e-9);
    assert!((probability(6, 0.0) - MIN_PROBABILITY).abs() < 1e-9);
    assert_eq!(probability(1, 0.5), 0.5, "overload reduces the probability");
    assert_eq!(probability(100, 1.0), MIN_PROBABILITY);
    assert_eq!(super::probability(1, 0.001, 0.4, 0.0), 1.0, "a single request at a quiet proxy");
}

#[test]
fn t1_leaves_time_for_a_retry() {
    let settings = Settings::default();
    let unknown = MeanDeviation::default();
    assert_eq!(t1(&unknown, 1.0, 1.0, &settings), T1_MAX_FRACTION);
    let baseline = MeanDeviation { samples: 100.0, mean: 0.05, deviation: 0.01 };
    assert!((t1(&baseline, 1.0, 1.0, &settings) - 0.09).abs() < 1e-9);
    assert!((t1(&baseline, 2.0, 1.0, &settings) - 0.18).abs() < 1e-9);
    assert!((t1(&baseline, 1.0, 0.1, &settings) - 0.04).abs() < 1e-9);
    assert_eq!(t1(&baseline, 1.0, 0.0, &settings), settings.min_time_step);
}

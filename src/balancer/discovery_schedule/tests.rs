//! Tests of the poll schedule.

use super::*;
use rand::SeedableRng;

fn schedule(polls_discovery: bool) -> DiscoverySchedule {
    let settings = Settings { polls_discovery, poll_timeout: 10.0, ..Settings::default() };
    DiscoverySchedule::new(0.0, &settings)
}

#[test]
fn the_first_poll_is_scheduled_once_where_discovery_is_polled() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut polled = schedule(true);
    let delay = polled.first_delay(&mut rng).expect("a first poll");
    assert!((0.0..MAX_FIRST_DELAY).contains(&delay), "{delay}");
    assert_eq!(polled.first_delay(&mut rng), None);
    assert_eq!(schedule(false).first_delay(&mut rng), None);
}

#[test]
fn the_outage_duration_counts_from_the_last_contact_while_polls_fail() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut polled = schedule(true);
    assert_eq!(polled.outage_duration(2.0), 2.0, "no poll was answered yet");
    polled.poll_answered(3.0);
    assert_eq!(polled.outage_duration(9.0), 0.0);
    polled.poll_failed(10.0, 1, &mut rng);
    assert_eq!(polled.outage_duration(11.0), 8.0);
    assert_eq!(schedule(false).outage_duration(11.0), 0.0);
}

#[test]
fn the_polls_of_a_large_fleet_are_spaced() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut polled = schedule(true);
    polled.poll_failed(0.0, 1000, &mut rng);
    polled.poll_started(1.0);
    let backoff = polled.poll_failed(2.0, 1000, &mut rng);
    let since_start = 1.0 + backoff;
    let spacing = MAX_SPACING * (1.0 - SPACING_JITTER)..=MAX_SPACING * (1.0 + SPACING_JITTER);
    assert!(spacing.contains(&since_start), "{since_start}");
    assert_eq!(response_timeout(1), MIN_RESPONSE_TIMEOUT);
    assert_eq!(response_timeout(1000), MAX_RESPONSE_TIMEOUT);
}

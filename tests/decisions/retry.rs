//! When requests are retried, how often and at which backends.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn a_single_request_is_always_retried() {
    // Guards against this fault: at a proxy with little traffic, where the send rate times T1 is far below
    // one, a request was not retried.
    for seed in 0..300 {
        let mut balancer = TestBalancer::seeded(seed, idempotent_settings(), &backends(4));
        balancer.run_to(0.5);
        balancer.request(1);
        assert_eq!(attempts_sent(&without_times(balancer.run_to(0.96))).len(), 1, "seed {seed}");
    }
}

#[test]
fn many_unanswered_requests_lower_the_retry_probability() {
    // The requests are one short burst, so by Little's law they wait for a long time.
    let mut retries = 0;
    let mut fired = 0;
    for seed in 0..200 {
        let mut balancer = TestBalancer::seeded(seed, idempotent_settings(), &backends(4));
        for id in 0..40 {
            balancer.request_for(id, 100.0);
            balancer.now += 0.1;
        }
        // When the timers fire, 40 requests wait where 10 per second are sent: far more than T1.
        balancer.timers.retain(|(at, _)| *at > 3.9);
        fired += balancer.timers.iter().filter(|(at, _)| *at < 4.4).count();
        let later_actions = balancer.run_to(4.4);
        retries += later_actions.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
    }
    let share = retries as f64 / fired as f64;
    assert!(share < 0.5, "{share}");
    assert!(share > 0.0, "p does not fall to 0");
}

#[test]
fn retry_timers_double() {
    // For an idempotent request with an objective of one second and no latency baseline T1 is 0.4 s, with a
    // jitter of a tenth.
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(8));
    balancer.request(1);
    let later_actions = balancer.run_to(2.0);
    let times: Vec<Time> =
        later_actions.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).map(|(t, _)| *t).collect();
    assert_eq!(times.len(), 1, "3 T1 is after the objective: {times:?}");
    assert!((0.36..=0.44).contains(&times[0]));
    // With a latency baseline T1 is short, and the next timer fires 2 T1 after the first.
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(8));
    for id in 0..50 {
        balancer.serve(100 + id, 0.05);
    }
    balancer.run_to(60.0);
    let start = balancer.now;
    balancer.request(1);
    let later_actions = balancer.run_to(start + 1.0);
    let times: Vec<Time> = later_actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Send { .. }))
        .map(|(t, _)| *t - start)
        .collect();
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(times[0] > 0.05 && times[0] < 0.1, "just above the baseline: {times:?}");
    assert!((2.2..4.0).contains(&(times[1] / times[0])), "{times:?}");
    assert!((1.8..2.9).contains(&(times[2] / times[1])), "{times:?}");
}

#[test]
fn a_retry_goes_to_another_backend() {
    for seed in 0..20 {
        let mut balancer = TestBalancer::seeded(seed, idempotent_settings(), &backends(6));
        let first = attempts_sent(&balancer.request(1))[0].1;
        let second = attempts_sent(&without_times(balancer.run_to(0.5)))[0].1;
        assert_ne!(first, second);
    }
}

#[test]
fn no_retry_while_the_backend_responds_to_others() {
    // Guards against this fault: retries doubled the work of requests that merely took long.
    let mut balancer = TestBalancer::new(idempotent_settings(), &[endpoint(1)]);
    balancer.request(1);
    balancer.now = 0.1;
    balancer.request(2);
    balancer.now = 0.2;
    balancer.end_attempt(2, 0, 1, Outcome::Served, 0.1);
    balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.5))), []);
    // Without that response the retry is sent.
    let mut balancer = TestBalancer::new(idempotent_settings(), &[endpoint(1)]);
    balancer.request(1);
    balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[endpoint(2)])));
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.5))), [(1, 2)]);
}

#[test]
fn attempts_are_limited_and_hedging_can_be_disabled() {
    let mut settings = idempotent_settings();
    settings.max_attempts = 1;
    let mut balancer = TestBalancer::new(settings, &backends(4));
    balancer.request(1);
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.9))), []);
    let mut settings = idempotent_settings();
    settings.hedged_requests = false;
    let mut balancer = TestBalancer::new(settings.clone(), &backends(4));
    let backend = attempts_sent(&balancer.request(1))[0].1;
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.2))), []);
    balancer.end_attempt(1, 0, backend, Outcome::Error, 0.2);
    assert_eq!(
        attempts_sent(&without_times(balancer.run_to(0.5))).len(),
        1,
        "a failed attempt is retried when the timer fires"
    );
    settings.max_attempts = 0;
    let mut balancer = TestBalancer::new(settings, &backends(4));
    assert!(is_rejected(&balancer.request(1), 1));
}

#[test]
fn retries_of_a_request_do_not_lower_its_retry_probability() {
    // Guards against this fault: at a quiet proxy a request's own attempts lowered the probability of its
    // further retries.
    let mut third = 0;
    for seed in 0..100 {
        let mut balancer = TestBalancer::seeded(seed, idempotent_settings(), &backends(8));
        for id in 0..50 {
            balancer.serve(100 + id, 0.05);
        }
        balancer.run_to(60.0);
        balancer.request(1);
        third += usize::from(attempts_sent(&without_times(balancer.run_to(60.5))).len() == 3);
    }
    assert!(third > 90, "{third}");
}

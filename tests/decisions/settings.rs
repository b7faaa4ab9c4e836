//! Extreme settings, and determinism.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn settings_of_zero_are_valid() {
    let zero = Settings {
        classes: vec![Class {
            latency_objective: 0.0,
            deadline: 0.0,
            priority_weight: 0.0,
            ..class(Idempotency::Idempotent)
        }],
        quotas: vec![0.0],
        proxy_count: 0,
        tier: 0,
        slow_start_duration: 0.0,
        slow_start_min_capacity: 0.0,
        overload_factor: 0.0,
        overload_duration: 0.0,
        poll_timeout: 0.0,
        min_time_step: 0.0,
        polls_discovery: true,
        ..Settings::default()
    };
    let mut list = backends(3);
    list[0].weight = 0.0;
    list[1].started_at = Some(0.0);
    let mut balancer = TestBalancer::new(zero, &list);
    for id in 0..20 {
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: Some(0),
            key: None,
            timeout: 1.0,
            work_estimate: None,
        };
        let actions = balancer.event(Event::Request(request));
        assert!(is_rejected(&actions, id), "no latency objective and no weight: no retry is allowed");
    }
    balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
    assert_eq!(balancer.inner.open_requests(), 0);
    assert!(balancer.timers.iter().all(|(at, _)| at.is_finite()));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |seed| {
        let mut balancer = TestBalancer::seeded(seed, idempotent_settings(), &backends(9));
        let mut log = Vec::new();
        for id in 0..200 {
            log.extend(balancer.request(id));
            log.extend(without_times(balancer.run_to(balancer.now + 0.03)));
        }
        log
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn a_class_without_a_latency_objective_is_served() {
    // Guards against this fault: with an averaging window of 0 every rate was NaN.
    let mut settings = idempotent_settings();
    settings.min_time_step = 0.0;
    settings.classes[0].latency_objective = 0.0;
    settings.classes[0].late_weight = 0.5;
    let mut balancer = TestBalancer::new(settings, &backends(3));
    for id in 0..20 {
        balancer.serve(id, 0.1);
    }
    assert_eq!(attempts_sent(&balancer.request(100)).len(), 1);
}

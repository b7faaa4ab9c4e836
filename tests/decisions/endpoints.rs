//! The endpoint list: polls, draining and removed backends.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn draining_and_removed_backends_get_no_attempts() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut balancer = TestBalancer::new(idempotent_settings(), &[endpoint(1)]);
        balancer.request(1);
        balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[EndpointEntry { status, ..endpoint(1) }])));
        // A rejected request is not sent to it either, although there is no other backend.
        let backend_id = BackendId(1);
        let ended = AttemptEnded {
            id: RequestId(1),
            backend: backend_id,
            attempt: 0,
            outcome: Outcome::Rejected,
            elapsed: 0.1,
            request_done: false,
        };
        balancer.event(Event::AttemptEnded(ended));
        assert_eq!(attempts_sent(&without_times(balancer.run_to(0.9))), []);
        let actions = balancer.request(2);
        assert_eq!(attempts_sent(&actions), []);
    }
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(2));
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&[endpoint(2)])));
    for id in 0..20 {
        assert_eq!(
            attempts_sent(&balancer.request(id)),
            [(id, 2)],
            "a backend that is missing in a snapshot is removed"
        );
    }
}

#[test]
fn discovery_is_polled_again_after_failures() {
    let mut settings = idempotent_settings();
    settings.polls_discovery = true;
    let mut balancer = TestBalancer::new(settings.clone(), &backends(3));
    let polls = balancer.run_to(settings.poll_timeout);
    assert_eq!(polls.len(), 1);
    assert_eq!(polls[0].1, Action::PollDiscovery);
    let mut last = 0.0;
    for round in 0..6 {
        let start = balancer.now;
        balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
        let mut next_polls = balancer.run_to(start + 2.0 * settings.poll_timeout);
        next_polls.retain(|(_, a)| matches!(a, Action::PollDiscovery));
        assert_eq!(next_polls.len(), 1, "one poll after each failure");
        let wait = next_polls[0].0 - start;
        assert!(wait > 0.0 && wait < 1.5 * settings.poll_timeout, "{wait}");
        if round > 3 {
            assert!(wait > last * 0.3, "the backoff grows");
        }
        last = wait;
        assert!(attempts_sent(&balancer.request(round))[0].1 <= 3, "the previous list is retained");
    }
    // Proxies that start together do not poll together.
    let mut times: Vec<Time> = (0..20)
        .map(|seed| TestBalancer::seeded(seed, settings.clone(), &backends(3)).run_to(10.0)[0].0)
        .collect();
    times.sort_by(f64::total_cmp);
    assert!(times[19] - times[0] > 2.0);
}

#[test]
fn polls_after_failures_come_within_the_notification_time() {
    // Discovery recovers right after a poll was lost, and does not answer the next poll either.
    let [poll_timeout, response_time, notification_time] = [1.5, 0.3, 6.0];
    for seed in 0..200 {
        let mut settings = idempotent_settings();
        settings.polls_discovery = true;
        let mut balancer = TestBalancer::seeded(seed, settings.clone(), &backends(3));
        let poll_times = |later_actions: Vec<(Time, Action)>| -> Vec<Time> {
            later_actions.into_iter().filter(|(_, a)| *a == Action::PollDiscovery).map(|(at, _)| at).collect()
        };
        let mut waits = vec![poll_times(balancer.run_to(20.0))[0]];
        for _ in 0..8 {
            let start = balancer.now;
            balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
            waits.push(poll_times(balancer.run_to(start + 20.0))[0] - start);
        }
        let first = waits[0] + poll_timeout + waits[1] + response_time;
        assert!(first < notification_time, "seed {seed}: {first} after the start");
        for pair in waits[1..].windows(2) {
            let notified_after = poll_timeout + pair[0] + poll_timeout + pair[1] + response_time;
            assert!(notified_after < notification_time, "seed {seed}: {notified_after}, {waits:?}");
        }
        // An established watch becomes unresponsive: its poll times out later.
        let unresponsive = 2.6 + waits[1] + poll_timeout + waits[2] + response_time;
        assert!(unresponsive < notification_time, "seed {seed}: {unresponsive}");
        assert!(waits[1..].iter().all(|wait| *wait > 0.1), "no unnecessary polls: {waits:?}");
    }
}

#[test]
fn removed_backends_are_forgotten_unless_attempts_are_outstanding() {
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(4));
    for round in 0..200 {
        // A snapshot or a list of changes removes four backends and adds four.
        let ids = |round: u32| 10 + 4 * round..14 + 4 * round;
        match round % 2 {
            0 => {
                let list: Vec<EndpointEntry> = ids(round).map(endpoint).collect();
                balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
            }
            _ => {
                let removed = ids(round - 1)
                    .map(|id| EndpointEntry { status: EndpointStatus::Removed, ..endpoint(id) });
                let list: Vec<EndpointEntry> = removed.chain(ids(round).map(endpoint)).collect();
                balancer.event(Event::Endpoints(EndpointUpdate::Changes(&list)));
            }
        }
        let backend = balancer.serve(u64::from(round), 0.01);
        assert!(ids(round).contains(&backend), "round {round}: to {backend}");
        balancer.run_to(balancer.now + 1.0);
    }
    // With a latency objective of one second the averaging window is eight seconds.
    assert!(balancer.inner.known_backends() <= 4 * 12, "{} are known", balancer.inner.known_backends());
    // A backend with an outstanding attempt is not forgotten.
    let list = [endpoint(5000)];
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    let request = attempts_sent(&balancer.request_for(9000, 100.0));
    assert_eq!(request, [(9000, 5000)]);
    for round in 0..20 {
        balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&[endpoint(6000 + round)])));
        balancer.run_to(balancer.now + 1.0);
    }
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    balancer.end_attempt(9000, 0, 5000, Outcome::Served, 20.0);
    assert_eq!(attempts_sent(&balancer.request(9001)), [(9001, 5000)]);
}

#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut settings = idempotent_settings();
    settings.idle_release_timeout = Some(0.5);
    let mut balancer = TestBalancer::new(settings, &backends(1));
    balancer.request(1);
    let draining = EndpointEntry { status: EndpointStatus::Draining, ..endpoint(1) };
    let close = Action::CloseIdleConnections(BackendId(1));
    assert!(
        balancer
            .event(Event::Endpoints(EndpointUpdate::Changes(std::slice::from_ref(&draining))))
            .contains(&close)
    );
    balancer.run_to(0.1);
    assert!(balancer.end_attempt(1, 0, 1, Outcome::Served, 0.1).contains(&close), "also after an outcome");
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(1));
    assert_eq!(
        balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[draining]))),
        [],
        "only where a timeout is set"
    );
}

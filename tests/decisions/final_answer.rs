//! Each request gets exactly one final answer, in time.

use super::backends;
use super::common::*;
use linkhatch_proxy::telemetry::reason::Rejection;
use linkhatch_proxy::*;

#[test]
fn the_final_answer_precedes_the_client_timeout() {
    let mut settings = idempotent_settings();
    settings.classes[0].late_weight = 0.5;
    let mut balancer = TestBalancer::new(settings, &backends(3));
    balancer.request_for(1, 1.5);
    let later_actions = balancer.run_to(3.0);
    let answers: Vec<Time> = later_actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
        .map(|(t, _)| *t)
        .collect();
    assert_eq!(answers.len(), 1);
    assert!(answers[0] < 1.5 && answers[0] > 1.4);
    assert_eq!(balancer.inner.open_requests(), 0);
    // A late outcome of an answered request causes no action.
    assert_eq!(balancer.end_attempt(1, 0, 1, Outcome::Timeout, 1.5), []);
}

#[test]
fn a_request_without_late_weight_ends_at_its_objective() {
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(3));
    balancer.request_for(1, 1.9);
    let later_actions = balancer.run_to(3.0);
    assert!(
        later_actions.iter().any(|(t, a)| is_rejected(std::slice::from_ref(a), 1) && (*t - 1.0).abs() < 0.01)
    );
}

#[test]
fn a_rejection_after_a_failed_attempt_has_retry_after() {
    let mut settings = idempotent_settings();
    (settings.max_attempts, settings.max_retry_after) = (1, 0.3);
    let mut balancer = TestBalancer::new(settings, &backends(4));
    let (_, backend) = attempts_sent(&balancer.request(1))[0];
    let actions = balancer.end_attempt(1, 0, backend, Outcome::Error, 0.1);
    assert_eq!(
        actions,
        [Action::Reject { id: RequestId(1), retry_after: Some(0.3), reason: Rejection::NoResponse }]
    );
}

#[test]
fn requests_without_time_or_backends_are_rejected() {
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(3));
    assert!(is_rejected(&balancer.request_for(1, 0.0), 1));
    assert!(is_rejected(&balancer.request_for(2, -1.0), 2));
    let mut balancer = TestBalancer::new(idempotent_settings(), &[]);
    let mut actions = balancer.request(3);
    actions.extend(without_times(balancer.run_to(3.0)));
    assert!(is_rejected(&actions, 3));
    assert_eq!(attempts_sent(&actions), []);
}

#[test]
fn unneeded_attempts_are_cancelled_where_allowed() {
    for cancel in [true, false] {
        let mut settings = idempotent_settings();
        settings.can_cancel = cancel;
        let mut balancer = TestBalancer::new(settings, &backends(4));
        balancer.request(1);
        let second = attempts_sent(&without_times(balancer.run_to(0.5)))[0].1;
        let actions = balancer.end_attempt(1, 1, second, Outcome::Served, 0.1);
        assert_eq!(actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }), cancel);
        assert_eq!(actions.len(), usize::from(cancel));
    }
}

#[test]
fn unneeded_attempts_continue_where_connections_are_costly() {
    // Guards against this fault: each hedged attempt cost a handshake, at every proxy of a large fleet.
    let mut balancer =
        TestBalancer::new(Settings { costly_connections: true, ..idempotent_settings() }, &backends(4));
    let first = attempts_sent(&balancer.request(1))[0].1;
    let second = attempts_sent(&without_times(balancer.run_to(0.5)))[0].1;
    assert_eq!(balancer.end_attempt(1, 1, second, Outcome::Served, 0.1), [], "nothing is cancelled");
    assert_eq!(balancer.inner.open_requests(), 0);
    // Its backend counts as busy until the attempt ends.
    assert_ne!(attempts_sent(&balancer.request(2))[0].1, first);
    let ended = AttemptEnded {
        id: RequestId(1),
        backend: BackendId(first),
        attempt: 0,
        outcome: Outcome::Served,
        elapsed: 0.9,
        request_done: true,
    };
    assert_eq!(balancer.event(Event::AttemptEnded(ended)), []);
}

#[test]
fn a_started_response_ends_the_request() {
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(4));
    balancer.request(1);
    let actions = balancer.event(Event::ResponseStarted { id: RequestId(1), attempt: 0 });
    assert_eq!(actions, []);
    assert_eq!(balancer.run_to(5.0), []);
}

#[test]
fn a_disconnected_client_gets_no_answer() {
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(4));
    balancer.request(1);
    let actions = balancer.event(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert_eq!(balancer.event(Event::ClientDisconnected(RequestId(1))), []);
    assert_eq!(balancer.run_to(5.0), []);
}

#[test]
fn requests_with_too_little_time_are_rejected() {
    // Guards against this fault: backends worked on requests whose clients timed out before the response.
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(4));
    for id in 0..30 {
        balancer.serve(id, 0.1);
    }
    assert!(is_rejected(&balancer.request_for(100, 0.05), 100));
    assert!(!is_rejected(&balancer.request_for(101, 0.09), 101));
}

/// The deadline of a request can be later than that of the shutdown.
#[test]
fn shutdown_answers_all_requests_by_its_deadline() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut balancer = TestBalancer::new(settings_for(idempotency), &[endpoint(1), endpoint(2)]);
        balancer.request_for(1, 20.0);
        balancer.now = 0.2;
        balancer.request_for(2, 0.3);
        balancer.event(Event::Shutdown { deadline: 0.9 });
        let answers: Vec<(Time, Action)> = balancer
            .run_to(2.0)
            .into_iter()
            .filter(|(_, action)| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
            .collect();
        let answer_times = |id| {
            let is_answer = |action: &Action| {
                is_rejected(std::slice::from_ref(action), id) || is_failed(std::slice::from_ref(action), id)
            };
            answers
                .iter()
                .filter(|(_, action)| is_answer(action))
                .map(|(time, _)| *time)
                .collect::<Vec<Time>>()
        };
        assert_eq!(answer_times(1), [0.9], "{idempotency:?}");
        assert!(
            answer_times(2)[0] <= 0.5 && answer_times(2).len() == 1,
            "{idempotency:?}: {:?}",
            answer_times(2)
        );
        assert_eq!(balancer.inner.open_requests(), 0);
    }
}

//! Which requests may be retried, by idempotency and outcome.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn the_final_answer_depends_on_idempotency_and_outcome() {
    use Outcome::*;
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 5.0 };
    // Whether a request whose only attempt failed is rejected rather than failed.
    let cases = [
        (Idempotency::Idempotent, [true; 6]),
        (keyed(DeduplicationScope::All), [true; 6]),
        (keyed(DeduplicationScope::Zone), [false, true, false, true, false, true]),
        (keyed(DeduplicationScope::FailureDomain), [false, true, false, true, false, true]),
        (Idempotency::NonIdempotent, [false, true, false, true, false, true]),
    ];
    for (idempotency, rejected) in cases {
        for (outcome, rejected) in
            [Error, Rejected, Timeout, ConnectFailed, Reset, NotSent].into_iter().zip(rejected)
        {
            let mut settings = settings_for(idempotency);
            settings.max_attempts = 1;
            let mut balancer = TestBalancer::new(settings, &backends(3));
            let backend = attempts_sent(&balancer.request(1))[0].1;
            balancer.now = 0.1;
            let actions = balancer.end_attempt(1, 0, backend, outcome, 0.1);
            assert_eq!(is_rejected(&actions, 1), rejected, "{idempotency:?} {outcome:?}");
            assert_eq!(is_failed(&actions, 1), !rejected, "{idempotency:?} {outcome:?}");
            assert_eq!(balancer.run_to(5.0), [], "no action after the final answer");
        }
    }
}

#[test]
fn a_bad_request_fails_at_once_without_effect_on_backend_health() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: 5.0 },
    ] {
        let mut balancer = TestBalancer::new(settings_for(idempotency), &backends(2));
        for id in 0..40 {
            let (_, backend) = attempts_sent(&balancer.request(id))[0];
            let actions = balancer.end_attempt(id, 0, backend, Outcome::BadRequest, 0.01);
            assert!(is_failed(&actions, id), "{idempotency:?}: {actions:?}");
            assert_eq!(
                attempts_sent(&without_times(balancer.run_to(balancer.now + 0.1))),
                [],
                "{idempotency:?}: retried"
            );
        }
        // Both backends are still used.
        let used: std::collections::BTreeSet<u32> = (100..140).map(|id| balancer.serve(id, 0.05)).collect();
        assert_eq!(used.len(), 2, "{idempotency:?}");
    }
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_not_executed() {
    for (outcome, retries) in
        [(Outcome::Rejected, 1), (Outcome::ConnectFailed, 1), (Outcome::Error, 0), (Outcome::Reset, 0)]
    {
        let mut balancer = TestBalancer::new(settings_for(Idempotency::NonIdempotent), &backends(4));
        let backend = attempts_sent(&balancer.request(1))[0].1;
        balancer.now = 0.1;
        let actions = balancer.end_attempt(1, 0, backend, outcome, 0.1);
        assert_eq!(is_failed(&actions, 1), retries == 0, "no retry is allowed");
        assert_eq!(attempts_sent(&without_times(balancer.run_to(0.5))).len(), retries, "{outcome:?}");
    }
    let mut balancer = TestBalancer::new(settings_for(Idempotency::NonIdempotent), &backends(4));
    balancer.request(1);
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.9))), [], "the request may be executing");
}

#[test]
fn a_keyed_request_is_retried_within_its_scope_and_window_only() {
    let list: Vec<EndpointEntry> =
        (0..8).map(|i| EndpointEntry { failure_domain: i % 4, zone: i % 2, ..endpoint(i + 1) }).collect();
    for seed in 0..30 {
        let idempotency =
            Idempotency::IdempotencyKey { scope: DeduplicationScope::FailureDomain, window: 5.0 };
        let mut balancer = TestBalancer::seeded(seed, settings_for(idempotency), &list);
        let first = attempts_sent(&balancer.request(1))[0].1;
        let retries = attempts_sent(&without_times(balancer.run_to(0.5)));
        assert_eq!(retries.len(), 1, "the other backend of the failure domain, in the subset or not");
        assert_eq!(retries[0].1 % 4, first % 4);
        let idempotency =
            Idempotency::IdempotencyKey { scope: DeduplicationScope::FailureDomain, window: 0.2 };
        let mut balancer = TestBalancer::seeded(seed, settings_for(idempotency), &list);
        balancer.request(1);
        assert_eq!(attempts_sent(&without_times(balancer.run_to(0.9))), [], "the idempotency window is over");
        let idempotency = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 5.0 };
        let mut balancer = TestBalancer::seeded(seed, settings_for(idempotency), &list);
        let first = attempts_sent(&balancer.request(1))[0].1;
        assert!(
            attempts_sent(&without_times(balancer.run_to(0.5)))
                .iter()
                .all(|(_, backend)| backend % 2 == first % 2)
        );
    }
}

#[test]
fn attempts_of_a_keyed_request_share_the_send_deadline_of_the_first_executed() {
    let send_deadlines = |actions: &[Action]| -> Vec<Option<Time>> {
        let send_deadline = |a: &Action| match a {
            Action::Send { send_deadline, .. } => Some(*send_deadline),
            _ => None,
        };
        actions.iter().filter_map(send_deadline).collect()
    };
    let keyed = |window| settings_for(Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window });
    let mut balancer = TestBalancer::new(keyed(0.9), &backends(4));
    balancer.run_to(1.0);
    // The first attempt has it too: a retry may be executed before the first connection is established.
    assert_eq!(send_deadlines(&balancer.request(1)), [Some(1.9)]);
    assert_eq!(
        send_deadlines(&without_times(balancer.run_to(1.6))),
        [Some(1.9)],
        "the window starts at the first attempt"
    );
    // An attempt that was not executed does not start the idempotency window.
    let backend = attempts_sent(&balancer.request(2))[0].1;
    balancer.end_attempt(2, 0, backend, Outcome::ConnectFailed, 0.1);
    let start = balancer.now;
    let actions = balancer.run_to(start + 0.8);
    let (at, _) = actions.iter().find(|(_, a)| matches!(a, Action::Send { id, .. } if id.0 == 2)).unwrap();
    let deadlines = send_deadlines(&without_times(
        actions.iter().filter(|(_, a)| matches!(a, Action::Send { id, .. } if id.0 == 2)).cloned().collect(),
    ));
    assert!((deadlines[0].unwrap() - at - 0.9).abs() < 1e-9, "{deadlines:?} at {at}");
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        assert_eq!(
            send_deadlines(&TestBalancer::new(settings_for(idempotency), &backends(4)).request(1)),
            [None]
        );
    }
}

//! Requests with an ordering key.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

fn ordered(idempotency: Idempotency) -> Settings {
    let mut settings = settings_for(idempotency);
    settings.classes[0].ordered = true;
    settings.classes[0].late_weight = 0.5;
    settings.ordering_quiet_period = 0.2;
    settings
}

fn keyed_request(balancer: &mut TestBalancer, id: u64, key: u64) -> Vec<Action> {
    let request = Request { id: RequestId(id), key: Some(key), timeout: 2.0, ..Request::default() };
    balancer.event(Event::Request(request))
}

#[test]
fn requests_of_an_ordering_key_run_one_at_a_time() {
    let mut balancer = TestBalancer::new(ordered(Idempotency::NonIdempotent), &backends(4));
    let backend = attempts_sent(&keyed_request(&mut balancer, 1, 7))[0].1;
    assert_eq!(attempts_sent(&keyed_request(&mut balancer, 2, 7)), []);
    assert_eq!(attempts_sent(&keyed_request(&mut balancer, 3, 7)), []);
    assert_eq!(attempts_sent(&keyed_request(&mut balancer, 4, 8)).len(), 1, "another key is not blocked");
    balancer.run_to(0.1);
    let next = attempts_sent(&balancer.end_attempt(1, 0, backend, Outcome::Served, 0.1));
    assert_eq!(next.iter().map(|s| s.0).collect::<Vec<_>>(), [2], "in the order of arrival");
    // The client of the second request disconnects: its cancelled attempt blocks the key until it ends, and
    // then the quiet period begins.
    assert!(
        balancer
            .event(Event::ClientDisconnected(RequestId(2)))
            .contains(&Action::Cancel { id: RequestId(2), attempt: 0 })
    );
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.4))), []);
    assert_eq!(attempts_sent(&balancer.end_attempt(2, 0, next[0].1, Outcome::Cancelled, 0.3)), []);
    assert_eq!(attempts_sent(&without_times(balancer.run_to(0.59))), [], "the quiet period");
    assert_eq!(
        attempts_sent(&without_times(balancer.run_to(0.62))).iter().map(|s| s.0).collect::<Vec<_>>(),
        [3]
    );
}

#[test]
fn a_queued_request_is_answered_in_time_or_rejected_at_once() {
    let mut balancer = TestBalancer::new(ordered(Idempotency::NonIdempotent), &backends(4));
    keyed_request(&mut balancer, 1, 7);
    assert_eq!(attempts_sent(&keyed_request(&mut balancer, 2, 7)), []);
    let later_actions = without_times(balancer.run_to(3.0));
    assert!(is_failed(&later_actions, 1), "the request may have been executed");
    assert!(is_rejected(&later_actions, 2), "the request was never sent");
    assert_eq!(attempts_sent(&later_actions), []);
    // Behind many requests that take 0.4 s each, a request with 2 s left cannot be answered in time.
    let mut balancer = TestBalancer::new(ordered(Idempotency::NonIdempotent), &backends(4));
    for id in 0..60 {
        balancer.serve(id, 0.2);
    }
    let rejections = (100..140).filter(|id| is_rejected(&keyed_request(&mut balancer, *id, 7), *id)).count();
    assert!((15..39).contains(&rejections), "{rejections}");
}

//! The limits of calls in flight, and the timeouts that follow from the latency of a service.

use linkhatch_proxy::calls_in_flight::{
    CallTiming, CallsInFlight, MAX_RESPONSE_TIMEOUT, MIN_CALL_WAIT, RESPONSE_TIMEOUT, max_calls,
};
use linkhatch_proxy::response_latency::{AdaptiveTimeout, ResponseLatency};
use proptest::prelude::*;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, advance};

const WAIT: Duration = Duration::from_millis(100);
const ONE_MS: Duration = Duration::from_millis(1);

fn node() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// A response that never comes, and what shows whether its call is still in flight.
fn silent() -> (impl Future<Output = u32> + 'static, Weak<()>) {
    let alive = Rc::new(());
    let is_alive = Rc::downgrade(&alive);
    let response = async move {
        let _alive = alive;
        pending().await
    };
    (response, is_alive)
}

/// Guards against a slow call that is ended for newer ones before the service may have answered it.
#[tokio::test(start_paused = true)]
async fn the_oldest_call_stays_and_the_others_for_as_long_as_a_service_may_take() {
    let max_calls = max_calls(1);
    let mut calls = CallsInFlight::default();
    let oldest = calls.send(node(), WAIT, async {
        tokio::time::sleep(Duration::from_secs(9)).await;
        1
    });
    advance(ONE_MS).await;
    let second_at = Instant::now();
    for _ in 1..max_calls {
        assert!(calls.room_at(max_calls) <= Instant::now());
        calls.send(node(), WAIT, silent().0);
    }
    assert_eq!(calls.room_at(max_calls), second_at + WAIT + MAX_RESPONSE_TIMEOUT);
    for _ in 0..10 {
        calls.make_room(max_calls);
        calls.send(node(), WAIT, silent().0);
    }
    let (sent, response) = calls.next().await;
    assert_eq!((sent.id, response), (oldest.id, 1), "the oldest call was not replaced");
}

/// Guards against superseded calls that stay, and against newer ones that are ended with them.
#[tokio::test(start_paused = true)]
async fn superseded_calls_end_once_a_service_has_had_its_time() {
    let mut calls = CallsInFlight::default();
    let ((old, is_old_alive), (new, is_new_alive)) = (silent(), silent());
    let superseded = calls.send(node(), WAIT, old);
    calls.send(node(), WAIT, new);
    advance(WAIT + MAX_RESPONSE_TIMEOUT - ONE_MS).await;
    calls.end_replaceable(superseded.id);
    assert!(is_old_alive.upgrade().is_some(), "it may still be answered");
    advance(ONE_MS).await;
    calls.end_replaceable(superseded.id);
    assert!(is_old_alive.upgrade().is_none() && is_new_alive.upgrade().is_some());
    calls.clear();
    assert!(is_new_alive.upgrade().is_none());
}

fn millis(range: std::ops::RangeInclusive<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

proptest! {
    /// Guards against timeouts at which a response that takes the same time each time never arrives, and against timeouts
    /// that stay long behind a service that has become fast again.
    #[test]
    fn a_response_that_takes_up_to_the_longest_timeout_arrives(
        min in millis(20..=1_000),
        factor in 1..=100_u32,
        part in 0.0..=1.0_f64,
    ) {
        let max = min * factor;
        let latency = max.mul_f64(part);
        let mut timeout = AdaptiveTimeout::new(min, max);
        prop_assert_eq!(timeout.current(), min);
        let mut calls = 0;
        while timeout.current() < latency {
            prop_assert!(timeout.current() >= min && timeout.current() <= max);
            timeout.timed_out();
            calls += 1;
        }
        // It doubles up to a hundred times the shortest.
        prop_assert!(calls <= 7, "{} calls were given up", calls);
        for _ in 0..3 {
            timeout.answered(latency);
            prop_assert!(timeout.current() >= latency, "the next call would be given up");
        }
        for _ in 0..20 {
            timeout.answered(Duration::ZERO);
        }
        prop_assert_eq!(timeout.current(), min);
    }

    /// Guards against a lease or a session that is lost at a service whose answers take less than half of the holder's
    /// validity: their renewals have to be given the time.
    #[test]
    fn renewals_are_given_half_of_the_validity(ttl in millis(500..=20_000)) {
        let validity = linkhatch_proxy::lease::holder_validity(ttl);
        let mut timeout = AdaptiveTimeout::for_renewals(ttl, ttl / 3);
        for _ in 0..10 {
            timeout.timed_out();
        }
        prop_assert!(timeout.current() >= validity / 2);
    }

    /// Guards against a lost poll that is noticed later at a slow service than at a fast one, and against polls that come
    /// noticeably more often there.
    #[test]
    fn a_long_poll_waits_shorter_by_what_its_response_may_take_longer(latency in millis(0..=10_000)) {
        let max_wait = Duration::from_secs(2);
        let mut observed = ResponseLatency::default();
        observed.observe(max_wait + latency, max_wait);
        let CallTiming { wait, response_timeout } = CallTiming::long_poll(&observed, max_wait);
        prop_assert!(wait + response_timeout <= max_wait + RESPONSE_TIMEOUT);
        prop_assert!(wait >= MIN_CALL_WAIT && response_timeout >= latency.min(MAX_RESPONSE_TIMEOUT));
        // A fast service is polled each 2 s, a slow one each 1.86 s at the most: the factor of the timeout takes the rest.
        prop_assert!(wait + latency >= Duration::from_millis(1_860), "a poll each {:?}", wait + latency);
    }
}

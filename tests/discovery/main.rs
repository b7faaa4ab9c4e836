//! How soon the proxy is notified of changes of the endpoint list when polls fail. The tests use loopback sockets and
//! paused time: waits take no real time, and their simulated duration is exact.

mod nodes;
mod slow;

use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::settings::ProxySettings;
use linkhatch_proxy::proxy::watch_event::{ListedEndpoint, WatchEvent};
use linkhatch_proxy::{BackendId, Class, EndpointEntry, EndpointStatus, Settings};
use nodes::{Nodes, PollBehavior, run_local, start_client, wait_for};
use std::time::Duration;

/// The proxy must be notified of a change within this time after discovery can be reached.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(6);
/// The time limit after a SIGHUP if discovery has moved.
const MOVE_TIMEOUT: Duration = Duration::from_secs(4);

/// The poll that is in flight during a change, and the polls after it, fail.
#[tokio::test(start_paused = true)]
async fn pushed_changes_arrive_in_time_although_polls_fail() {
    use PollBehavior::*;
    for failures in [
        vec![],
        vec![Hang],
        vec![Hang, Hang, Hang],
        vec![Hang, Truncate, Hang],
        vec![Truncate, Truncate, Truncate],
        vec![Hang, Close, Close, Reject, Hang, Close],
    ] {
        let elapsed = run_local(async {
            let nodes = Nodes::start(1).await;
            let (_discovery, notified) = start_client(&nodes.addresses, false, 1);
            wait_for(&notified, 1).await;
            // The poll in flight waits for changes; the next ones use `failures`.
            let poll_count = nodes.poll_count.get();
            *nodes.next_behaviors.borrow_mut() = failures.iter().rev().copied().collect();
            nodes.wait_for_poll_after(poll_count).await;
            wait_for(&notified, nodes.change()).await
        })
        .await;
        assert!(elapsed < NOTIFY_TIMEOUT, "{failures:?}: {elapsed:?}");
    }
}

/// All nodes hang except the one that is tried last.
#[tokio::test(start_paused = true)]
async fn the_only_node_that_answers_is_found_in_time() {
    for polls_discovery in [false, true] {
        for count in [3, 7] {
            let elapsed = run_local(async {
                let nodes = Nodes::start(count).await;
                let (_discovery, notified) = start_client(&nodes.addresses, polls_discovery, 1);
                wait_for(&notified, 1).await;
                tokio::time::sleep(Duration::from_millis(100)).await; // the next poll is in flight, and will hang
                nodes.behaviors.iter().for_each(|behavior| behavior.set(PollBehavior::Hang));
                let last_tried = (nodes.last_polled.get() + count - 1) % count;
                nodes.behaviors[last_tried].set(PollBehavior::Answer);
                let generation = nodes.generation.get() + 1;
                // The poll in flight is no longer answered.
                nodes.next_behaviors.borrow_mut().clear();
                tokio::time::sleep(Duration::from_secs(2)).await;
                nodes.generation.set(generation);
                wait_for(&notified, generation).await
            })
            .await;
            assert!(
                elapsed < NOTIFY_TIMEOUT,
                "{count} nodes, polls_discovery {polls_discovery}: {elapsed:?}"
            );
        }
    }
}

/// Discovery recovers after a long outage, then one more poll fails.
#[tokio::test(start_paused = true)]
async fn polled_changes_arrive_in_time_once_discovery_is_back() {
    for outage in [PollBehavior::Reject, PollBehavior::Close, PollBehavior::Hang] {
        for next in [PollBehavior::Answer, PollBehavior::Reject, PollBehavior::Hang] {
            for seed in 0..5 {
                let elapsed = run_local(async {
                    let nodes = Nodes::start(1).await;
                    let (_discovery, notified) = start_client(&nodes.addresses, true, seed);
                    wait_for(&notified, 1).await;
                    nodes.behaviors[0].set(outage);
                    tokio::time::sleep(Duration::from_millis(30_000 + 137 * seed)).await;
                    // Discovery recovers: a poll in flight is lost, and the next one may fail as well.
                    nodes.behaviors[0].set(PollBehavior::Answer);
                    if next != PollBehavior::Answer {
                        nodes.next_behaviors.borrow_mut().push(next);
                    }
                    wait_for(&notified, nodes.change()).await
                })
                .await;
                assert!(elapsed < NOTIFY_TIMEOUT, "{outage:?}, then {next:?}, seed {seed}: {elapsed:?}");
            }
        }
    }
}

/// A process whose first poll fails also gets the list in time.
#[tokio::test(start_paused = true)]
async fn a_new_process_gets_the_list_in_time_although_its_first_poll_fails() {
    for polls_discovery in [false, true] {
        for first in [
            PollBehavior::Answer,
            PollBehavior::Reject,
            PollBehavior::Close,
            PollBehavior::Truncate,
            PollBehavior::Hang,
        ] {
            for seed in 0..10 {
                let elapsed = run_local(async {
                    let nodes = Nodes::start(1).await;
                    nodes.next_behaviors.borrow_mut().push(first);
                    let (_discovery, notified) = start_client(&nodes.addresses, polls_discovery, seed);
                    wait_for(&notified, 1).await
                })
                .await;
                assert!(
                    elapsed < NOTIFY_TIMEOUT,
                    "polls_discovery {polls_discovery}, {first:?} first, seed {seed}: {elapsed:?}"
                );
            }
        }
    }
}

/// The SIGHUP comes with a poll in flight or between two polls, and the first poll at the new address may hang.
#[tokio::test(start_paused = true)]
async fn moved_discovery_is_polled_in_time_and_its_old_address_no_longer() {
    for polls_discovery in [false, true] {
        for old_behavior in [PollBehavior::Answer, PollBehavior::Hang, PollBehavior::Reject] {
            for first in [PollBehavior::Answer, PollBehavior::Hang] {
                let (elapsed, late_polls) = run_local(async {
                    let (old, new) = (Nodes::start(1).await, Nodes::start(1).await);
                    let (discovery, notified) = start_client(&old.addresses, polls_discovery, 3);
                    wait_for(&notified, 1).await;
                    old.behaviors[0].set(old_behavior);
                    tokio::time::sleep(Duration::from_millis(11_300)).await;
                    new.next_behaviors.borrow_mut().push(first);
                    new.generation.set(9);
                    discovery.move_to(new.addresses.clone());
                    let elapsed = wait_for(&notified, 9).await;
                    let poll_count = old.poll_count.get();
                    // The old address must not be polled any more.
                    old.behaviors[0].set(PollBehavior::Answer);
                    old.generation.set(50);
                    tokio::time::sleep(Duration::from_secs(10)).await;
                    assert_eq!(notified.get(), 9);
                    (elapsed, old.poll_count.get() - poll_count)
                })
                .await;
                assert!(
                    elapsed < MOVE_TIMEOUT,
                    "polls_discovery {polls_discovery}, {old_behavior:?}, {first:?}: {elapsed:?}"
                );
                assert_eq!(late_polls, 0, "the old address is not polled any more");
            }
        }
    }
}

/// Backends are added and removed for as long as the proxy runs, so the state of removed ones must be released.
#[tokio::test(start_paused = true)]
async fn state_of_removed_backends_is_released() {
    let known = run_local(async {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let engine = Engine::start(settings, &ProxySettings::default(), 1, 8);
        let address = "127.0.0.1:9".parse().unwrap();
        for round in 0..500 {
            let listed = |id, status| ListedEndpoint {
                entry: EndpointEntry { id: BackendId(id), status, ..EndpointEntry::default() },
                address,
            };
            engine.apply_watch_event(match round % 2 {
                0 => WatchEvent::Snapshot(vec![listed(round, EndpointStatus::InService)]),
                _ => WatchEvent::Changes(vec![
                    listed(round - 1, EndpointStatus::Removed),
                    listed(round, EndpointStatus::InService),
                ]),
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        engine.known_backends()
    });
    let [in_endpoint_table, in_balancer] = known.await;
    assert!(in_endpoint_table <= 2 && in_balancer <= 20, "{in_endpoint_table} and {in_balancer} of 500");
}

/// A response from discovery counts as a list even if none of its backends is in service: the proxy becomes ready and
/// rejects requests.
#[tokio::test(start_paused = true)]
async fn a_list_without_a_backend_in_service_makes_the_proxy_ready() {
    let ready = run_local(async {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let engine = Engine::start(settings, &ProxySettings::default(), 1, 8);
        let draining = EndpointEntry { status: EndpointStatus::Draining, ..EndpointEntry::default() };
        let listed = || ListedEndpoint { entry: draining.clone(), address: "127.0.0.1:9".parse().unwrap() };
        engine.apply_watch_event(WatchEvent::Cached(vec![listed()]));
        let before = engine.has_list();
        engine.apply_watch_event(WatchEvent::Snapshot(vec![listed()]));
        [before, engine.has_list()]
    });
    assert_eq!(ready.await, [false, true]);
}

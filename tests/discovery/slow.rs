//! Discovery that is slow: each of its answers is late, but none is lost. A slow service is not a silent one, so a proxy
//! has to be notified of each change in time.

use super::nodes::{Nodes, PollBehavior, run_local, start_client, wait_for};
use super::{MOVE_TIMEOUT, NOTIFY_TIMEOUT};
use linkhatch_proxy::proxy::discovery::Discovery;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The longest that an answer may be late: 2 s after the wait of its poll.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A poll that hangs is ended within this time after another one was answered: 2 s for a late answer, and two further
/// polls.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(6);

/// The part of each answer that is late.
#[derive(Clone, Copy, Debug)]
enum SlowPart {
    Head,
    Body,
}

impl SlowPart {
    fn delay(self, nodes: &Nodes, delay: Duration) {
        match self {
            Self::Head => nodes.head_delay.set(delay),
            Self::Body => nodes.body_delay.set(delay),
        }
    }
}

/// How discovery is reached: `node_count` addresses, and whether the balancer decides when to poll.
#[derive(Clone, Copy, Debug)]
struct Setup {
    node_count: usize,
    polls_discovery: bool,
}

const SETUPS: [Setup; 6] = [
    Setup { node_count: 1, polls_discovery: false },
    Setup { node_count: 1, polls_discovery: true },
    Setup { node_count: 2, polls_discovery: false },
    Setup { node_count: 3, polls_discovery: false },
    Setup { node_count: 3, polls_discovery: true },
    Setup { node_count: 7, polls_discovery: false },
];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts nodes and a client that knows the first list.
async fn start(setup: Setup, seed: u64) -> (Rc<Nodes>, Rc<Discovery>, Rc<Cell<u64>>) {
    let nodes = Nodes::start(setup.node_count).await;
    let (discovery, notified) = start_client(&nodes.addresses, setup.polls_discovery, seed);
    wait_for(&notified, 1).await;
    (nodes, discovery, notified)
}

/// Guards against a proxy that gives up every call before its answer comes, and so never learns of a drain.
#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_although_each_answer_is_late() {
    for setup in SETUPS {
        for part in [SlowPart::Head, SlowPart::Body] {
            for delay in [millis(500), millis(800), millis(1_000), millis(1_500), MAX_DELAY] {
                // The change comes at each moment of a poll and of the failures that it may cause.
                for quiet in (0..24).map(|step| millis(250 * step)) {
                    let told = run_local(async {
                        let (nodes, _discovery, notified) = start(setup, 5).await;
                        part.delay(&nodes, delay);
                        tokio::time::sleep(quiet).await;
                        wait_for(&notified, nodes.change()).await
                    })
                    .await;
                    assert!(
                        told < NOTIFY_TIMEOUT,
                        "{setup:?}, {part:?}, {delay:?} after {quiet:?}: {told:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a new proxy that never gets its first list from a slow service.
#[tokio::test(start_paused = true)]
async fn a_new_process_gets_its_first_list_in_time_although_answers_are_late() {
    for setup in SETUPS {
        for part in [SlowPart::Head, SlowPart::Body] {
            for seed in 0..5 {
                let told = run_local(async {
                    let nodes = Nodes::start(setup.node_count).await;
                    part.delay(&nodes, MAX_DELAY);
                    let (_discovery, notified) = start_client(&nodes.addresses, setup.polls_discovery, seed);
                    wait_for(&notified, 1).await
                })
                .await;
                assert!(told < NOTIFY_TIMEOUT, "{setup:?}, {part:?}, seed {seed}: {told:?}");
            }
        }
    }
}

/// Guards against timeouts that follow the latest answer alone, so that an answer of another delay is given up.
#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_although_answers_are_late_by_varying_times() {
    for setup in SETUPS {
        for seed in 0..5 {
            let slowest = run_local(async {
                let mut rng = SmallRng::seed_from_u64(seed);
                let (nodes, _discovery, notified) = start(setup, seed).await;
                let delayed = nodes.clone();
                tokio::task::spawn_local(async move {
                    loop {
                        delayed.head_delay.set(MAX_DELAY.mul_f64(rng.random()));
                        tokio::time::sleep(millis(300)).await;
                    }
                });
                let mut pauses = SmallRng::seed_from_u64(seed);
                let mut slowest = Duration::ZERO;
                for _ in 0..30 {
                    tokio::time::sleep(Duration::from_secs(8).mul_f64(pauses.random())).await;
                    slowest = slowest.max(wait_for(&notified, nodes.change()).await);
                }
                slowest
            })
            .await;
            assert!(slowest < NOTIFY_TIMEOUT, "{setup:?}, seed {seed}: {slowest:?}");
        }
    }
}

/// Guards against a slow service that hides a lost poll: the next one has to come soon enough for a late answer to it.
#[tokio::test(start_paused = true)]
async fn a_lost_poll_is_repeated_in_time_although_discovery_is_slow() {
    for setup in SETUPS {
        for delay in [millis(1_000), MAX_DELAY] {
            for seed in 0..5 {
                let told = run_local(async {
                    let (nodes, _discovery, notified) = start(setup, seed).await;
                    nodes.head_delay.set(delay);
                    tokio::time::sleep(Duration::from_secs(20)).await;
                    let polls = nodes.poll_count.get();
                    nodes.next_behaviors.borrow_mut().push(PollBehavior::Hang);
                    nodes.wait_for_poll_after(polls).await;
                    wait_for(&notified, nodes.change()).await
                })
                .await;
                assert!(told < NOTIFY_TIMEOUT, "{setup:?}, {delay:?}, seed {seed}: {told:?}");
            }
        }
    }
}

/// Guards against a node that has died and hides behind the slowness of the others: failing over has to leave the time
/// for a late answer. The dead one is the one in use, or the one that is tried next.
#[tokio::test(start_paused = true)]
async fn a_dead_node_is_left_in_time_although_the_others_are_slow() {
    for setup in SETUPS.into_iter().filter(|setup| setup.node_count > 2) {
        for delay in [millis(800), MAX_DELAY] {
            for tried_next in [0, 1] {
                for slow_for in [0, 20_000] {
                    let told = run_local(async {
                        let (nodes, _discovery, notified) = start(setup, 11).await;
                        nodes.head_delay.set(delay);
                        tokio::time::sleep(millis(slow_for)).await;
                        // The next poll at the node in use falls silent with it.
                        let dead = (nodes.last_polled.get() + tried_next) % setup.node_count;
                        nodes.behaviors[dead].set(PollBehavior::Hang);
                        let polls = nodes.poll_count.get();
                        nodes.wait_for_poll_after(polls).await;
                        wait_for(&notified, nodes.change()).await
                    })
                    .await;
                    assert!(
                        told < NOTIFY_TIMEOUT,
                        "{setup:?}, {delay:?}, next {tried_next}, slow for {slow_for} ms: {told:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a SIGHUP to a slow address: its answers have to arrive within the time limit of a reload.
#[tokio::test(start_paused = true)]
async fn a_slow_address_is_followed_in_time_after_a_move() {
    for setup in SETUPS {
        for part in [SlowPart::Head, SlowPart::Body] {
            for waited in [0, 1_300, 2_900] {
                let told = run_local(async {
                    let (_old, discovery, notified) = start(setup, 3).await;
                    let new = Nodes::start(setup.node_count).await;
                    part.delay(&new, MAX_DELAY);
                    new.generation.set(9);
                    tokio::time::sleep(millis(waited)).await;
                    discovery.move_to(new.addresses.clone());
                    wait_for(&notified, 9).await
                })
                .await;
                assert!(told < MOVE_TIMEOUT, "{setup:?}, {part:?} after {waited} ms: {told:?}");
            }
        }
    }
}

/// Guards against a crowd at a slow node: once the latency is known, each proxy has one poll in flight, and polls no more
/// often than a node that answers at once.
#[tokio::test(start_paused = true)]
async fn a_slow_node_gets_no_more_polls_than_a_fast_one() {
    for setup in SETUPS {
        for delay in [millis(700), millis(1_000), MAX_DELAY] {
            let (polls, connections) = run_local(async {
                let (nodes, _discovery, _notified) = start(setup, 2).await;
                nodes.head_delay.set(delay);
                tokio::time::sleep(Duration::from_secs(10)).await;
                let before = nodes.poll_count.get();
                let mut connections = 0;
                for _ in 0..400 {
                    tokio::time::sleep(millis(50)).await;
                    connections = connections.max(nodes.open_connections.get());
                }
                (nodes.poll_count.get() - before, connections)
            })
            .await;
            // 20 s with one poll each 2 s, and the one that was in flight.
            assert!(polls <= 11, "{setup:?}, {delay:?}: {polls} polls in 20 s");
            assert_eq!(connections, 1, "{setup:?}, {delay:?}");
        }
    }
}

/// Guards against calls left behind: polls that hang hold a bounded number of connections, and none for long once
/// another one is answered.
#[tokio::test(start_paused = true)]
async fn polls_that_hang_hold_few_connections_and_release_them() {
    for setup in SETUPS {
        let (most, released) = run_local(async {
            let (nodes, _discovery, notified) = start(setup, 4).await;
            nodes.behaviors.iter().for_each(|behavior| behavior.set(PollBehavior::Hang));
            let mut most = 0;
            for _ in 0..1_200 {
                tokio::time::sleep(millis(50)).await;
                most = most.max(nodes.open_connections.get());
            }
            nodes.behaviors.iter().for_each(|behavior| behavior.set(PollBehavior::Answer));
            wait_for(&notified, nodes.change()).await;
            tokio::time::sleep(RELEASE_TIMEOUT).await;
            (most, nodes.open_connections.get())
        })
        .await;
        assert!(most <= setup.node_count + 3, "{setup:?}: {most} connections");
        assert_eq!(released, 1, "{setup:?}");
    }
}

/// Guards against an answer that never arrives because it is even later than a service may be.
#[tokio::test(start_paused = true)]
async fn answers_that_are_later_than_allowed_arrive_too() {
    for setup in SETUPS {
        for delay in [Duration::from_secs(4), Duration::from_secs(8)] {
            let told = run_local(async {
                let (nodes, _discovery, notified) = start(setup, 6).await;
                nodes.head_delay.set(delay);
                tokio::time::sleep(Duration::from_secs(3)).await;
                wait_for(&notified, nodes.change()).await
            })
            .await;
            assert!(told < 3 * delay, "{setup:?}, {delay:?}: {told:?}");
        }
    }
}

/// Guards against a watch that is moved on to the next node again and again, before any of the slow nodes can answer.
#[tokio::test(start_paused = true)]
async fn requests_for_the_next_node_leave_slow_nodes_the_time_to_answer() {
    for every in [millis(100), millis(400), millis(1_000)] {
        let told = run_local(async {
            let setup = Setup { node_count: 3, polls_discovery: false };
            let (nodes, discovery, notified) = start(setup, 7).await;
            nodes.head_delay.set(MAX_DELAY);
            tokio::time::sleep(Duration::from_secs(10)).await;
            let generation = nodes.change();
            tokio::task::spawn_local(async move {
                loop {
                    discovery.use_next_node();
                    tokio::time::sleep(every).await;
                }
            });
            wait_for(&notified, generation).await
        })
        .await;
        assert!(told < NOTIFY_TIMEOUT, "every {every:?}: {told:?}");
    }
}

/// Guards against a response that is dropped because an older one without news came first: the change in it was written
/// to the proxy, so it counts as told.
#[tokio::test(start_paused = true)]
async fn a_change_that_was_written_to_the_proxy_is_applied_at_once() {
    for setup in SETUPS {
        for delay in [millis(800), millis(1_500), MAX_DELAY] {
            for quiet in (0..40).map(|step| millis(100 * step)) {
                let late = run_local(async {
                    let (nodes, _discovery, notified) = start(setup, 8).await;
                    nodes.head_delay.set(delay);
                    tokio::time::sleep(quiet).await;
                    let generation = nodes.change();
                    while nodes.written_generation.get() < generation {
                        tokio::time::sleep(millis(1)).await;
                    }
                    wait_for(&notified, generation).await
                })
                .await;
                assert!(
                    late < millis(20),
                    "{setup:?}, {delay:?} after {quiet:?}: {late:?} after it was told"
                );
            }
        }
    }
}

/// Guards against a late response that is applied after a newer one, and takes the proxy back to an old list.
#[tokio::test(start_paused = true)]
async fn a_late_response_does_not_bring_back_an_old_list() {
    for setup in SETUPS {
        let applied = run_local(async {
            let (nodes, discovery, _notified) = start(setup, 9).await;
            let applied: Rc<RefCell<Vec<u64>>> = Rc::default();
            let record = applied.clone();
            discovery.on_list(move |generation| record.borrow_mut().push(generation));
            // The poll in flight is answered at the end of its wait, 2.1 s late, with the old list.
            nodes.head_delay.set(millis(2_100));
            tokio::time::sleep(millis(2_300)).await;
            nodes.head_delay.set(Duration::ZERO);
            nodes.change();
            tokio::time::sleep(Duration::from_secs(6)).await;
            applied.take()
        })
        .await;
        assert!(applied.is_sorted() && applied.ends_with(&[2]), "{setup:?}: {applied:?}");
    }
}

/// Guards against a silent service that is asked less often because it might be slow: once it returns, a pushed list is
/// asked for again as soon as the wait, the timeout and the longest backoff of a retry are over.
#[tokio::test(start_paused = true)]
async fn discovery_that_returns_from_silence_is_asked_within_a_second() {
    for silent_for in (0..20).map(|step| millis(30_000 + 70 * step)) {
        let told = run_local(async {
            let setup = Setup { node_count: 1, polls_discovery: false };
            let (nodes, _discovery, notified) = start(setup, 12).await;
            nodes.behaviors[0].set(PollBehavior::Hang);
            tokio::time::sleep(silent_for).await;
            nodes.behaviors[0].set(PollBehavior::Answer);
            wait_for(&notified, nodes.change()).await
        })
        .await;
        assert!(told < Duration::from_secs(1), "silent for {silent_for:?}: {told:?}");
    }
}

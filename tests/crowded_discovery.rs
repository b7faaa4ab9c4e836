//! A fleet polls a discovery service with little capacity after an outage: the polls of all proxies together
//! must not overload it so that it answers none of them.
//!
//! The modelled service answers polls in order of arrival: a poll that has been queued for too long fails, one
//! that arrives when the queue is full is rejected immediately, and one that its proxy has cancelled is still
//! processed.

mod common;

use common::{TestBalancer, attempts_sent, endpoint, idempotent_settings};
use linkhatch_proxy::balancer::discovery_schedule::response_timeout;
use linkhatch_proxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};

/// The number of proxies in all tiers.
const PROXIES: usize = 300;
/// The number of proxies in each tier.
const PROXIES_PER_TIER: usize = 100;
/// The number of polls that the service answers per second.
const POLLS_PER_SECOND: f64 = 50.0;
/// The maximum number of queued polls.
const QUEUE_CAPACITY: usize = 100;
/// The longest time that a poll can be queued, in seconds.
const MAX_QUEUE_TIME_S: Time = 2.0;
/// The network delay, in seconds.
const NETWORK_DELAY_S: Time = 0.03;
/// The duration of the outage, in seconds.
const OUTAGE_S: Time = 8.0;
/// All proxies must be notified within this time after the outage, in seconds: twice the time that a service
/// without a queue needs.
const MAX_NOTIFICATION_TIME_S: Time = 2.0 * PROXIES as f64 / POLLS_PER_SECOND;
/// How long a poll waits for changes, in seconds. Its proxy cancels it after that time plus
/// `response_timeout`.
const POLL_WAIT_S: Time = 0.1;

/// An event at a proxy or in the service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Timer { proxy: usize, token: u64 },
    PollRejected { proxy: usize, poll: usize },
    Served { poll: usize },
}

/// When a step is due, in microseconds, and its number, which orders steps with the same time.
type Due = Reverse<(u64, usize)>;

fn micros(at: Time) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

struct Fleet {
    now: Time,
    balancers: Vec<Balancer>,
    due: BinaryHeap<Due>,
    steps: Vec<Step>,
    /// The proxy of each poll, and whether it still waits for the response.
    polls: Vec<(usize, bool)>,
    /// The queued polls, and the time when each was queued.
    queue: VecDeque<(usize, Time)>,
    busy_until: Time,
    notified: HashSet<usize>,
}

impl Fleet {
    fn start() -> Self {
        let settings =
            Settings { polls_discovery: true, proxy_count: PROXIES_PER_TIER, ..idempotent_settings() };
        let balancer = |n| Balancer::new(0.0, n as u64, settings.clone());
        let mut fleet = Self {
            now: 0.0,
            balancers: (0..PROXIES).map(balancer).collect(),
            due: BinaryHeap::new(),
            steps: Vec::new(),
            polls: Vec::new(),
            queue: VecDeque::new(),
            busy_until: OUTAGE_S,
            notified: HashSet::new(),
        };
        let list = [endpoint(1), endpoint(2), endpoint(3)];
        for proxy in 0..PROXIES {
            fleet.handle_event(proxy, Event::Endpoints(EndpointUpdate::Cached(&list)));
        }
        fleet
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.due.push(Reverse((micros(at), self.steps.len())));
        self.steps.push(step);
    }

    fn handle_event(&mut self, proxy: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[proxy].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at, token } => self.schedule(at, Step::Timer { proxy, token }),
                Action::PollDiscovery => self.poll(proxy),
                _ => {}
            }
        }
    }

    /// Sends a poll from a proxy to the service.
    fn poll(&mut self, proxy: usize) {
        let poll = self.polls.len();
        self.polls.push((proxy, true));
        if self.queue.len() >= QUEUE_CAPACITY {
            return self.schedule(self.now + NETWORK_DELAY_S, Step::PollRejected { proxy, poll });
        }
        self.queue.push_back((poll, self.now));
        let timeout = POLL_WAIT_S + response_timeout(PROXIES_PER_TIER);
        self.schedule(self.now + timeout.min(MAX_QUEUE_TIME_S), Step::PollRejected { proxy, poll });
        if self.queue.len() == 1 {
            self.process_next();
        }
    }

    /// Starts processing the first poll of the queue.
    fn process_next(&mut self) {
        if let Some(&(poll, _)) = self.queue.front() {
            self.busy_until = self.busy_until.max(self.now) + 1.0 / POLLS_PER_SECOND;
            self.schedule(self.busy_until, Step::Served { poll });
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Timer { proxy, token } => self.handle_event(proxy, Event::Timer(token)),
            Step::PollRejected { proxy, poll } => {
                if std::mem::take(&mut self.polls[poll].1) {
                    self.handle_event(proxy, Event::Endpoints(EndpointUpdate::PollFailed));
                }
            }
            Step::Served { poll } => {
                let queued_at = self.queue.pop_front().map_or(self.now, |(_, queued_at)| queued_at);
                let (proxy, is_waiting) = self.polls[poll];
                if is_waiting && self.now - queued_at <= MAX_QUEUE_TIME_S {
                    self.polls[poll].1 = false;
                    // From now on the proxy is notified of changes without further polls.
                    self.notified.insert(proxy);
                    self.handle_event(proxy, Event::Endpoints(EndpointUpdate::Changes(&[])));
                }
                self.process_next();
            }
        }
    }

    fn run_to(&mut self, until: Time) {
        while let Some(&Reverse((at, number))) = self.due.peek()
            && at <= micros(until)
        {
            self.due.pop();
            self.now = self.now.max(at as f64 / 1e6);
            self.step(self.steps[number]);
        }
        self.now = until;
    }
}

#[test]
fn discovery_recovers_from_an_outage_under_the_polls_of_the_fleet() {
    let mut fleet = Fleet::start();
    fleet.run_to(OUTAGE_S + MAX_NOTIFICATION_TIME_S);
    let (notified, polls) = (fleet.notified.len(), fleet.polls.len());
    assert_eq!(notified, PROXIES, "{notified} of {PROXIES} proxies were notified, with {polls} polls");
}

/// The number of concurrent requests. With several in flight, the rejecting backend has the fewest attempts in
/// flight.
const CONCURRENT_REQUESTS: u64 = 8;

/// Sends requests; backend 1 rejects all attempts, backend 2 serves them. Returns the number sent to each.
fn send_with_rejecting_backend(balancer: &mut TestBalancer, last_id: &mut u64) -> [usize; 2] {
    let mut sent = [0, 0];
    for _ in 0..10 {
        let first = *last_id + 1;
        *last_id += CONCURRENT_REQUESTS;
        let attempts: Vec<(u64, u32)> =
            (first..=*last_id).flat_map(|id| attempts_sent(&balancer.request(id))).collect();
        for (id, backend) in attempts {
            sent[backend as usize - 1] += 1;
            let outcome = if backend == 1 { Outcome::Rejected } else { Outcome::Served };
            balancer.end_attempt(id, 0, backend, outcome, 0.001);
        }
        // The clients of rejected requests disconnect.
        for id in first..=*last_id {
            balancer.event(Event::ClientDisconnected(RequestId(id)));
        }
        balancer.run_to(balancer.now + 0.05);
    }
    sent
}

#[test]
fn a_rejecting_backend_counts_as_draining_without_a_current_list() {
    let list = [endpoint(1), endpoint(2)];
    let mut balancer = TestBalancer::new(Settings { polls_discovery: true, ..idempotent_settings() }, &list);
    let mut last_id = 0;
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    let [rejected, _] = send_with_rejecting_backend(&mut balancer, &mut last_id);
    assert!(
        rejected > 2,
        "with a current list, a rejecting backend counts as full and is tried again: {rejected}"
    );
    balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
    balancer.run_to(balancer.now + 4.1);
    balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
    let [rejected, served] = send_with_rejecting_backend(&mut balancer, &mut last_id);
    assert!(served > 0, "{rejected} attempts to the rejecting backend, {served} to the other");
    let [rejected, _] = send_with_rejecting_backend(&mut balancer, &mut last_id);
    assert_eq!(rejected, 0, "the backend has rejected twice in a row");
    balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[])));
    let [rejected, _] = send_with_rejecting_backend(&mut balancer, &mut last_id);
    assert!(rejected > 0, "the current list has the backend in service");
}

/// Sends a series of requests that are served immediately; returns the backends used.
fn backends_used(balancer: &mut TestBalancer, first: u64) -> std::collections::BTreeSet<u32> {
    (first..first + 40)
        .map(|id| {
            balancer.run_to(balancer.now + 0.02);
            balancer.serve(id, 0.001)
        })
        .collect()
}

#[test]
fn requests_go_to_responding_backends_without_a_current_list() {
    let list: Vec<EndpointEntry> = (1..=6).map(endpoint).collect();
    let mut balancer = TestBalancer::new(Settings { polls_discovery: true, ..idempotent_settings() }, &list);
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    assert!(backends_used(&mut balancer, 100).len() > 2, "with a current list, several backends are used");
    balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
    balancer.run_to(balancer.now + 5.0);
    balancer.event(Event::Endpoints(EndpointUpdate::PollFailed));
    // No backend has responded recently: after the first response, only that backend is used.
    assert_eq!(backends_used(&mut balancer, 200).len(), 1);
    balancer.event(Event::Endpoints(EndpointUpdate::Changes(&[])));
    assert!(
        backends_used(&mut balancer, 300).len() > 2,
        "with a current list again, several backends are used"
    );
}

#[test]
fn requests_go_to_responding_backends_before_the_first_list() {
    let list: Vec<EndpointEntry> = (1..=6).map(endpoint).collect();
    let mut balancer = TestBalancer::new(Settings { polls_discovery: true, ..idempotent_settings() }, &list);
    balancer.run_to(balancer.now + 5.0);
    assert_eq!(backends_used(&mut balancer, 100).len(), 1, "the initial list may be old");
}

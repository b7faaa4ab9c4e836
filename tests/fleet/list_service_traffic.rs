//! Proxies that watch the list service: a backend whose heartbeats stop leaves every proxy's list after its TTL, and
//! proxies serve from their last list while the list service is down.

use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::client::{self, Kind, Load, LoadBalancer, Outcome};
use crate::harness::process::Process;
use crate::harness::registry::{self, Heartbeats};
use crate::harness::relay::{Fault, Relay};
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::HashSet;
use std::time::{Duration, Instant};

#[test]
fn proxies_drop_expired_backends_and_survive_a_list_service_outage() {
    const PROXIES: usize = 3;
    const BACKENDS: usize = 4;
    const EXPIRED: usize = 0;
    const TTL_MS: u64 = 1000;
    /// The longest time from the removal of an entry by the list service to the last request that reaches the backend:
    /// the watch event and half the drain grace of the settings (0.4 s).
    const EXPIRY_BOUND: Duration = Duration::from_millis(300);
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let mut list =
        fleet.registry("listen = \"127.0.0.1:0\"\nexpire_every_ms = 50\n").expect("the list service starts");
    let node_address = list.address();

    let backends: Vec<Backend> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(10)).expect("a backend starts"))
        .collect();
    let heartbeats: Vec<Heartbeats> = backends
        .iter()
        .map(|b| Heartbeats::start(node_address, b.name(), b.address(), TTL_MS, Duration::from_millis(200)))
        .collect();
    // Each proxy starts with an empty list: every entry comes from the list service.
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let proxies: Vec<Process> = (0..PROXIES)
        .map(|proxy_index| {
            let config = harness::config(
                &harness::settings(proxy_index, PROXIES, 0.4),
                &empty,
                0x11a7 + proxy_index as u64,
            );
            fleet.proxy(&config, node_address).expect("a proxy starts")
        })
        .collect();
    let load_balancer = LoadBalancer::new(proxies.iter().map(Process::address).collect());
    // Waits until every proxy has served a request, and therefore has its list.
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut listed = HashSet::new();
    while listed.len() < PROXIES {
        assert!(Instant::now() < deadline, "proxies {listed:?} of {PROXIES} have a list");
        let probe = Load {
            clients: PROXIES,
            max_requests: PROXIES * 3,
            send_until: deadline,
            remaining_ms: 1000,
            pause: Duration::from_millis(20),
        };
        let served =
            client::run(&load_balancer, probe).into_iter().filter(|r| r.outcome == Outcome::Answered(200));
        listed.extend(served.filter_map(|r| r.attempts.last().map(|(p, _)| *p)));
    }

    let start = Instant::now();
    let load = Load {
        clients: 6,
        max_requests: 3000,
        send_until: start + Duration::from_millis(4000),
        remaining_ms: 1500,
        pause: Duration::from_millis(2),
    };
    let traffic = {
        let load_balancer = load_balancer.clone();
        std::thread::spawn(move || client::run(&load_balancer, load))
    };
    std::thread::sleep(Duration::from_millis(500));
    heartbeats[EXPIRED].stop();
    // The removal as observed by polling: an upper bound on when the list service removed the entry.
    let deadline = Instant::now() + Duration::from_secs(5);
    while registry::lists(node_address, backends[EXPIRED].name()) != Some(false) {
        assert!(Instant::now() < deadline, "the expired backend is not removed in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    let removed_at = Instant::now();
    let expired_after = removed_at.duration_since(start);
    // The list service is killed; traffic continues for at least 2 s on the lists that the proxies have.
    list.signal(Signal::SIGKILL);
    let down_at = Instant::now();
    let records = traffic.join().expect("the clients end");
    fleet.check_deadline();

    let served = records.iter().filter(|r| r.outcome == Outcome::Answered(200)).count();
    let after_down =
        records.iter().filter(|r| r.ended_at > down_at && r.outcome == Outcome::Answered(200)).count();
    let late: Vec<Duration> = backends[EXPIRED]
        .seen()
        .iter()
        .filter(|s| s.at > removed_at + EXPIRY_BOUND)
        .map(|s| s.at - removed_at)
        .collect();
    let mut sms = HashSet::new();
    let twice = backends
        .iter()
        .flat_map(Backend::seen)
        .filter(|s| s.lane == Kind::Sms.lane())
        .filter(|s| !sms.insert(s.txn.clone()))
        .count();
    eprintln!(
        "listing: {} requests, {served} served, {after_down} served with the list service down; expired entry \
         removed {expired_after:?} into traffic (TTL {TTL_MS} ms)",
        records.len()
    );
    assert!(records.iter().all(|r| matches!(r.outcome, Outcome::Answered(_))), "every request answered");
    assert!(served * 100 >= records.len() * 98, "{served} of {} served", records.len());
    assert!(after_down > 300, "too little traffic served with the list service down: {after_down}");
    assert!(
        late.is_empty(),
        "sends to the expired backend more than {EXPIRY_BOUND:?} after its removal: {late:?}"
    );
    assert_eq!(twice, 0, "send-sms requests that reached a backend twice");
    assert_eq!(list.wait_exit(Duration::from_secs(5)), Some(false), "the list service was killed");
}

/// Two proxies have two discovery addresses. One address is cut during traffic; a drain after that reaches both proxies
/// through the other.
#[test]
fn drains_reach_proxies_after_a_failover() {
    const PROXIES: usize = 2;
    const DRAINED: usize = 1;
    /// The longest time from the acknowledgement of the drain to the last request that reaches the backend: a failed
    /// watch (the cut is a reset, so it needs no timeout), the backoff of at most 1 s, the watch event, and half the
    /// drain grace (0.4 s).
    const DRAIN_BOUND: Duration = Duration::from_millis(1500);
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let list = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("the list service starts");
    let relays = [(); 2].map(|()| Relay::start(list.address()).expect("a relay starts"));
    let backends: Vec<Backend> = (0..3)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(5)).expect("a backend starts"))
        .collect();
    let _heartbeats: Vec<Heartbeats> = backends
        .iter()
        .map(|b| Heartbeats::start(list.address(), b.name(), b.address(), 5000, Duration::from_millis(500)))
        .collect();
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let proxies: Vec<Process> = (0..PROXIES)
        .map(|proxy_index| {
            let config = harness::config(
                &harness::settings(proxy_index, PROXIES, 0.4),
                &empty,
                0x5a1 + proxy_index as u64,
            );
            fleet.proxy_of(&config, &[relays[0].address(), relays[1].address()]).expect("a proxy starts")
        })
        .collect();
    let load_balancer = LoadBalancer::new(proxies.iter().map(Process::address).collect());
    let start = Instant::now();
    let load = Load {
        clients: 4,
        max_requests: 3000,
        send_until: start + Duration::from_millis(3500),
        remaining_ms: 1500,
        pause: Duration::from_millis(2),
    };
    let traffic = {
        let load_balancer = load_balancer.clone();
        std::thread::spawn(move || client::run(&load_balancer, load))
    };
    std::thread::sleep(Duration::from_millis(600));
    // Each proxy starts at a random address: the one with more connections is cut.
    let accepted = |relay: &Relay| relay.counts().accepted.load(std::sync::atomic::Ordering::Relaxed);
    let cut = if accepted(&relays[0]) >= accepted(&relays[1]) { &relays[0] } else { &relays[1] };
    cut.set(Fault::Cut);
    std::thread::sleep(Duration::from_millis(300));
    let drain =
        registry::call(list.address(), "POST", "/v1/drain", &json!({"instanceId": backends[DRAINED].name()}));
    assert_eq!(drain.map(|(status, _)| status), Some(200));
    let drained_at = Instant::now();
    let records = traffic.join().expect("the clients end");
    fleet.check_deadline();

    let served = records.iter().filter(|r| r.outcome == Outcome::Answered(200)).count();
    let late: Vec<Duration> = backends[DRAINED]
        .seen()
        .iter()
        .filter(|s| s.at > drained_at + DRAIN_BOUND)
        .map(|s| s.at - drained_at)
        .collect();
    let latest = backends[DRAINED]
        .seen()
        .iter()
        .map(|s| s.at)
        .max()
        .map(|at| at.saturating_duration_since(drained_at));
    eprintln!(
        "failover: {} requests, {served} served; last send to the drained backend {latest:?} after the drain",
        records.len()
    );
    assert!(
        cut.counts().reset.load(std::sync::atomic::Ordering::Relaxed) > 0,
        "the cut relay reset connections"
    );
    assert!(records.iter().all(|r| matches!(r.outcome, Outcome::Answered(_))), "every request answered");
    assert!(served * 100 >= records.len() * 98, "{served} of {} served", records.len());
    assert!(
        late.is_empty(),
        "sends to the drained backend more than {DRAIN_BOUND:?} after the drain: {late:?}"
    );
}

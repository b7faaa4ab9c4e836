//! A list-service node behind a slow link: each of its answers is late, but none is lost.

use super::harness;
use super::harness::backend::Backend;
use super::harness::client::{self, Load, LoadBalancer, Outcome};
use super::harness::process::Process;
use super::harness::registry;
use super::harness::relay::{Fault, Relay};
use super::wait_until_ready;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the link takes in each direction: an answer is late by twice this.
const LINK_DELAY: Duration = Duration::from_millis(800);
/// A proxy counts as notified of a change after this time.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// The grace period of a drain in the proxies' settings, with the tolerance of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(450);
/// How long clients send requests after the drain.
const TRAFFIC_AFTER_DRAIN: Duration = Duration::from_secs(9);

/// Guards against proxies that never learn of a drain from a list-service node whose answers are late, which have the
/// changes alone, over one address and over two.
#[test]
fn drains_reach_proxies_over_slow_links() {
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let list = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("the list service starts");
    let relays = [(); 2].map(|()| Relay::start(list.address()).expect("a relay starts"));
    let backends: Vec<Backend> = (0..3)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(5)).expect("a backend starts"))
        .collect();
    for backend in &backends {
        let body = registry::registration(backend.name(), backend.address(), 60_000);
        let answer = registry::call(list.address(), "POST", "/v1/register", &body);
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let addresses: Vec<SocketAddr> = relays.iter().map(Relay::address).collect();
    let proxies: Vec<Process> = [&addresses[..1], &addresses[..]]
        .into_iter()
        .enumerate()
        .map(|(proxy_index, addresses)| {
            let settings = harness::settings(proxy_index, 2, 0.4);
            let config = harness::config(&settings, &empty, 0x510 + proxy_index as u64);
            fleet.proxy_of(&config, addresses).expect("a proxy starts")
        })
        .collect();
    proxies.iter().for_each(wait_until_ready);
    relays.iter().for_each(|relay| relay.set(Fault::Delay(LINK_DELAY)));
    // The first polls that are late are behind the proxies at the time of the drain.
    std::thread::sleep(Duration::from_secs(3));
    let drained = &backends[1];
    let answer = registry::call(list.address(), "POST", "/v1/drain", &json!({"instanceId": drained.name()}));
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let drained_at = Instant::now();
    let load = Load {
        clients: 4,
        max_requests: 4000,
        send_until: drained_at + TRAFFIC_AFTER_DRAIN,
        remaining_ms: 1500,
        pause: Duration::from_millis(15),
    };
    let load_balancer = LoadBalancer::new(proxies.iter().map(Process::address).collect());
    let records = client::run(&load_balancer, load);
    fleet.check_deadline();
    let served = records.iter().filter(|r| r.outcome == Outcome::Answered(200)).count();
    let sent: Vec<Duration> =
        drained.seen().iter().filter_map(|s| s.at.checked_duration_since(drained_at)).collect();
    let latest = sent.iter().max();
    eprintln!(
        "{} requests, {served} served; last one to the drained backend {latest:?} after the drain",
        records.len()
    );
    assert!(
        records.len() > 500 && served * 100 >= records.len() * 98,
        "{served} of {} served",
        records.len()
    );
    let late = sent.iter().filter(|after| **after > NOTIFICATION_TIMEOUT + DRAIN_GRACE).count();
    assert_eq!(late, 0, "requests to the drained backend after the proxies count as notified");
}

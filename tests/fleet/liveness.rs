//! Renewals, which the list service's leader keeps in memory, on three real nodes with faults between them: live
//! backends stay listed across the leader's faults, dead ones are removed within the stated bound, and an idle fleet
//! writes nothing. `LIVENESS_ROUNDS` and `LIVENESS_ENTRIES` set the rounds of faults and the number of backends.

use crate::harness;
use crate::harness::cluster::Cluster;
use crate::harness::registry::{self, registration};
use crate::harness::relay::Fault;
use fleet_testbed::calls::call_async;
use fleet_testbed::rt::Loop;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const TTL: Duration = Duration::from_millis(2_000);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// The time after which a machine calls the next node: calls to all three together take well under the TTL.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest election timeout of the harness's nodes.
const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Two election timeouts, and as much again for a split vote.
const MAX_TIME_WITHOUT_LEADER: Duration = Duration::from_millis(2_000);
/// The interval at which the leader removes expired entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time allowed for calls, even on a busy machine.
const CALL_ALLOWANCE: Duration = Duration::from_millis(500);
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of backends renewed in one call.
const BATCH_SIZE: usize = 100;
/// The number of concurrent writers: on a slow disk, a single one would take longer than the TTL to register a batch.
const WRITERS: usize = 8;

fn from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn id(n: usize) -> String {
    format!("s-{n}")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

/// A node's complete list and its revision.
fn revision_and_list(node_address: SocketAddr) -> Option<(u64, BTreeSet<String>)> {
    let (status, list) = registry::call(node_address, "GET", "/api/targets", &Value::Null)?;
    let name = |instance: &Value| instance["instanceId"].as_str().unwrap_or_default().to_string();
    let names = list["instances"].as_array()?.iter().map(name).collect();
    (status == 200).then_some((list["generation"].as_u64()?, names))
}

fn listed(node_address: SocketAddr) -> Option<BTreeSet<String>> {
    revision_and_list(node_address).map(|(_, list)| list)
}

/// Renews everything on a machine with one call; returns `None` if it is not answered in time.
fn keep_alive(node_address: SocketAddr, body: Value) -> Option<(u16, Value)> {
    let called = Loop::shared().wait(move || async move {
        let call = call_async(node_address, "POST", "/v1/keepalive", &body);
        tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
    });
    called.flatten()
}

/// The renewals of machines' backends: every `RENEWAL_INTERVAL` one call per `BATCH_SIZE` backends, to one node and,
/// after a failure, to the next.
struct Machines {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<usize>>,
    answered: Arc<AtomicUsize>,
}

impl Machines {
    fn start(addresses: &[SocketAddr], backends: std::ops::Range<usize>) -> Self {
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let ids: Vec<String> = backends.map(id).collect();
        let threads = ids.chunks(BATCH_SIZE).enumerate().map(|(number, ids)| {
            let body = json!({"instances": ids});
            let (stop, answered, addresses) = (stop.clone(), answered.clone(), addresses.to_vec());
            std::thread::spawn(move || {
                let (mut node, mut lost) = (number, 0);
                while !stop.load(Ordering::SeqCst) {
                    let call_started_at = Instant::now();
                    match keep_alive(addresses[node % addresses.len()], body.clone()) {
                        Some((200, answer)) => {
                            lost += answer["lost"]["instances"].as_array().map_or(0, Vec::len);
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        _ => node += 1,
                    }
                    std::thread::sleep(RENEWAL_INTERVAL.saturating_sub(call_started_at.elapsed()));
                }
                lost
            })
        });
        let threads = threads.collect();
        Self { stop, threads, answered }
    }

    /// Stops the renewals; returns how many backends the answers reported as lost.
    fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().expect("a renewal thread panicked")).sum()
    }
}

/// Polls the lists of all nodes; returns the backends that were missing from one. Lists older than the latest are
/// ignored, as by proxies: a node that has just started has not applied all of its log yet.
fn watch(
    addresses: Vec<SocketAddr>,
    all: BTreeSet<String>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<BTreeSet<String>> {
    std::thread::spawn(move || {
        let (mut missing, mut latest) = (BTreeSet::new(), 0);
        while !stop.load(Ordering::SeqCst) {
            for (revision, list) in
                addresses.iter().filter_map(|node_address| revision_and_list(*node_address))
            {
                if revision >= latest {
                    latest = revision;
                    missing.extend(all.difference(&list).cloned());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        missing
    })
}

/// The faults of the leader; each is lifted after a while.
#[derive(Clone, Copy, Debug)]
enum LeaderFault {
    Killed,
    Paused,
    CannotSend,
    CannotReceive,
}

impl LeaderFault {
    fn inject(self, cluster: &mut Cluster, leader: usize) {
        let others = (0..cluster.size()).filter(|n| *n != leader);
        match self {
            Self::Killed => cluster.kill(leader),
            Self::Paused => cluster.node(leader).expect("the node runs").signal(Signal::SIGSTOP),
            Self::CannotSend => others.for_each(|n| cluster.link(leader, n, Fault::BlackHole)),
            Self::CannotReceive => others.for_each(|n| cluster.link(n, leader, Fault::BlackHole)),
        }
    }

    fn lift(self, fleet: &mut harness::process::Fleet, cluster: &mut Cluster, leader: usize) {
        match self {
            Self::Killed => cluster.start_node(fleet, leader, "").expect("the node starts again"),
            Self::Paused => cluster.node(leader).expect("the node runs").signal(Signal::SIGCONT),
            Self::CannotSend | Self::CannotReceive => cluster.isolate(leader, Fault::Pass),
        }
    }
}

fn register_all(cluster: &Cluster, backends: std::ops::Range<usize>) {
    let addresses = &cluster.fronts();
    let register = |n: usize| {
        let body = registration(&id(n), address(n), TTL.as_millis() as u64);
        let answer = registry::call(addresses[n % addresses.len()], "POST", "/v1/register", &body);
        assert_eq!(answer.map(|(status, _)| status), Some(200), "{}", id(n));
    };
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let own = backends.clone().skip(writer).step_by(WRITERS);
            scope.spawn(move || own.for_each(register));
        }
    });
}

/// Registers backends in chunks, and renews each chunk from its registration on: on a slow disk all registrations
/// together may take longer than the TTL.
fn register_and_renew(cluster: &Cluster, backends: std::ops::Range<usize>) -> Vec<Machines> {
    let starts = backends.clone().step_by(BATCH_SIZE);
    let chunks = starts.map(|start| start..(start + BATCH_SIZE).min(backends.end));
    chunks
        .map(|chunk| {
            register_all(cluster, chunk.clone());
            Machines::start(&cluster.fronts(), chunk)
        })
        .collect()
}

#[test]
fn live_backends_stay_listed_and_dead_ones_expire_across_leader_faults() {
    let (rounds, entries) = (from_env("LIVENESS_ROUNDS", 1), from_env("LIVENESS_ENTRIES", 300));
    let mut fleet = harness::fleet(Duration::from_secs(60 + 60 * rounds as u64));
    let mut cluster = Cluster::start(&mut fleet, 3, "");
    cluster.leader();
    let mut machines = register_and_renew(&cluster, 0..entries);
    cluster.agreed(1, AGREEMENT_TIMEOUT);
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch(cluster.fronts(), (0..entries).map(id).collect(), stop.clone());

    let faults =
        [LeaderFault::Killed, LeaderFault::Paused, LeaderFault::CannotSend, LeaderFault::CannotReceive];
    for fault in (0..rounds).flat_map(|_| faults) {
        let leader = cluster.leader();
        fault.inject(&mut cluster, leader);
        // Lasts longer than the longest election timeout, so that the next leader is in place for a while.
        std::thread::sleep(MAX_ELECTION_TIMEOUT + Duration::from_millis(1_000));
        fault.lift(&mut fleet, &mut cluster, leader);
        cluster.leader();
        let before: usize = machines.iter().map(|m| m.answered.load(Ordering::SeqCst)).sum();
        std::thread::sleep(TTL);
        let after: usize = machines.iter().map(|m| m.answered.load(Ordering::SeqCst)).sum();
        assert!(after > before, "{fault:?}: no renewal is answered after the fault");
    }
    stop.store(true, Ordering::SeqCst);
    assert_eq!(
        watcher.join().expect("the watcher panicked"),
        BTreeSet::new(),
        "live backends were not listed"
    );

    // The last machine and the leader die together: only that machine's backends are removed, within the bound.
    let dead = machines.pop().expect("a machine").end();
    let leader = cluster.leader();
    cluster.kill(leader);
    let killed_at = Instant::now();
    let bound = TTL + MAX_TIME_WITHOUT_LEADER + TTL + EXPIRY_INTERVAL + CALL_ALLOWANCE;
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let alive: BTreeSet<String> = (0..(entries - 1) / BATCH_SIZE * BATCH_SIZE).map(id).collect();
    while others.iter().any(|n| listed(cluster.front(*n)).is_none_or(|list| list != alive)) {
        assert!(killed_at.elapsed() < bound, "dead backends are still listed after {bound:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    let lost: usize = dead + machines.into_iter().map(Machines::end).sum::<usize>();
    eprintln!(
        "{entries} backends, {rounds} rounds of faults: dead ones removed after {:?}",
        killed_at.elapsed()
    );
    assert_eq!(lost, 0, "backends were reported as lost");
    fleet.check_deadline();
}

/// The size in bytes of a node's data directory, and the bytes that its process has written to disk.
fn bytes_on_disk_and_written(cluster: &mut Cluster, n: usize) -> (u64, u64) {
    let dir: PathBuf = cluster.data_dir(n);
    let files = std::fs::read_dir(dir).expect("the data directory").flatten();
    let bytes = files.filter_map(|file| file.metadata().ok()).map(|meta| meta.len()).sum();
    let pid = cluster.node(n).and_then(|node| node.id()).expect("the node runs");
    let io = std::fs::read_to_string(format!("/proc/{pid}/io")).expect("the process's I/O counters");
    let count = io.lines().find_map(|line| line.strip_prefix("write_bytes: ")).expect("a write_bytes line");
    (bytes, count.parse().expect("a number"))
}

#[test]
fn an_idle_fleet_writes_nothing() {
    const ENTRIES: usize = 200;
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let mut cluster = Cluster::start(&mut fleet, 3, "");
    cluster.leader();
    let machines = register_and_renew(&cluster, 0..ENTRIES);
    cluster.agreed(1, AGREEMENT_TIMEOUT);
    std::thread::sleep(TTL);
    let before: Vec<_> = (0..3).map(|n| bytes_on_disk_and_written(&mut cluster, n)).collect();
    std::thread::sleep(2 * TTL);
    let after: Vec<_> = (0..3).map(|n| bytes_on_disk_and_written(&mut cluster, n)).collect();
    assert_eq!(before, after, "each node's bytes on disk and written");
    assert_eq!(listed(cluster.front(0)).map(|list| list.len()), Some(ENTRIES));
    assert_eq!(machines.into_iter().map(Machines::end).sum::<usize>(), 0);
    fleet.check_deadline();
}

/// Sends each kind of renewal to every node: followers forward them to the leader.
#[test]
fn every_node_accepts_renewals_and_reports_losses() {
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let cluster = Cluster::start(&mut fleet, 3, "");
    cluster.leader();
    register_all(&cluster, 0..1);
    let post = |n: usize, path: &str, body: Value| {
        registry::call(cluster.front(n), "POST", path, &body).expect("the node answers")
    };
    let (_, grant) = post(0, "/v1/lease/acquire", json!({"name": "d", "holder": "h", "ttlMs": 20_000}));
    let token = grant["token"].as_u64().expect("a token");
    let (_, session) = post(1, "/v1/session/open", json!({"name": "p", "ttlMs": 20_000}));
    let session = session["session"].as_u64().expect("a session");
    cluster.agreed(session, AGREEMENT_TIMEOUT);
    for n in 0..3 {
        assert_eq!(post(n, "/v1/heartbeat", json!({"instanceId": id(0)})).0, 200);
        assert_eq!(post(n, "/v1/heartbeat", json!({"instanceId": "nobody"})).0, 404);
        assert_eq!(post(n, "/v1/lease/keepalive", json!({"name": "d", "token": token})).0, 200);
        assert_eq!(post(n, "/v1/lease/keepalive", json!({"name": "d", "token": token + 1})).0, 409);
        let (status, answer) = post(n, "/v1/session/renew", json!({"session": session, "list": n}));
        assert!(status == 200 && answer["agreed"].is_u64() && answer["list"].is_u64(), "{answer}");
        assert_eq!(post(n, "/v1/session/renew", json!({"session": session + 1})).0, 409);
        let combined = json!({"instances": [id(0), "nobody"], "grants": [{"name": "d", "token": token + 1}],
                              "sessions": [{"session": session}, {"session": session + 1}]});
        let (status, answer) = post(n, "/v1/keepalive", combined);
        assert_eq!((status, &answer["lost"]["instances"]), (200, &json!(["nobody"])), "{answer}");
        assert_eq!(answer["lost"]["grants"], json!([{"name": "d", "token": token + 1}]));
        let lost = answer["lost"]["sessions"].as_object().expect("lost sessions");
        assert!(lost.len() == 1 && lost.contains_key(&(session + 1).to_string()), "{answer}");
        let (_, fleet) = registry::call(cluster.front(n), "GET", "/v1/fleet", &Value::Null).expect("answers");
        assert_eq!(fleet["sessions"][0]["said"]["list"], json!(n), "every node shows the latest renewal");
    }
    assert_eq!(post(0, "/v1/keepalive", json!({"instances": vec![id(0); 257]})).0, 400);
    assert_eq!(post(0, "/v1/keepalive", json!({"unknown": 1})).0, 400);
    fleet.check_deadline();
}

//! A list service whose disks are slow: writers share syncs, the nodes sync at the same time, and a leader whose disk
//! stalls is replaced. Nothing that was acknowledged is lost.

use crate::harness;
use crate::harness::cluster::Cluster;
use crate::harness::process::Fleet;
use crate::harness::registry::{call, registration};
use crate::replicated::{Writers, listed, register};
use fleet_testbed::syscall_faults::SyscallFaults;
use nix::time::{ClockId, clock_gettime};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const FLEET_DEADLINE: Duration = Duration::from_secs(60);
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The environment variables with which each sync takes `sync`.
fn slow_syncs(sync: Duration) -> Vec<(String, String)> {
    let ms = sync.as_millis();
    let rules = vec![format!("sync={ms}..{ms}ms@1:0-600000")];
    SyscallFaults { rules, seed: 1, ..SyscallFaults::default() }.environment()
}

/// The monotonic clock in nanoseconds; the times of the rules can count from such a value.
fn monotonic_ns() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("the monotonic clock");
    now.tv_sec() as u64 * 1_000_000_000 + now.tv_nsec() as u64
}

/// Registers at the leader for `duration` by `writers` writers at once; returns the acknowledged ids with revisions.
fn write_for(cluster: &Cluster, writers: usize, duration: Duration) -> BTreeMap<String, u64> {
    let leader = cluster.front(cluster.leader());
    let running = Writers::start(&[leader], writers, Duration::ZERO);
    std::thread::sleep(duration);
    running.end().0
}

/// Asserts that every node lists each acknowledged id.
fn assert_listed(cluster: &Cluster, acknowledged: &BTreeMap<String, u64>) {
    cluster.agreed(acknowledged.values().copied().max().unwrap_or(1), AGREEMENT_TIMEOUT);
    for n in 0..cluster.size() {
        let list = listed(cluster.front(n)).1;
        let lost: Vec<_> = acknowledged.keys().filter(|id| !list.contains(*id)).collect();
        assert!(lost.is_empty(), "acknowledged and not listed by node {n}: {lost:?}");
    }
}

/// Guards against sequential syncs: a write that waits for the leader's sync and then for a follower's.
#[test]
fn a_write_takes_little_more_than_one_sync() {
    const SYNC: Duration = Duration::from_millis(50);
    const WRITES: usize = 30;
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    fleet.set_environment(slow_syncs(SYNC));
    let cluster = Cluster::start(&mut fleet, 3, "");
    let leader = cluster.front(cluster.leader());
    register(leader, "first", 0).expect("acknowledged");
    let mut latencies = Vec::new();
    for n in 0..WRITES {
        let started_at = Instant::now();
        register(leader, &format!("w-{n}"), n).expect("acknowledged");
        latencies.push(started_at.elapsed());
    }
    latencies.sort();
    let median = latencies[WRITES / 2];
    eprintln!("writes with syncs of {SYNC:?}: median latency {median:?}");
    assert!(median >= SYNC, "acknowledged before it was durable: {median:?}");
    assert!(median < SYNC.mul_f64(1.3), "{median:?}");
    fleet.check_deadline();
}

/// Guards against a sync for each write: writers that wait at the same time share one.
#[test]
fn writers_that_wait_together_share_a_sync() {
    const SYNC: Duration = Duration::from_millis(50);
    const WRITERS: usize = 64;
    const DURATION: Duration = Duration::from_secs(3);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    fleet.set_environment(slow_syncs(SYNC));
    let cluster = Cluster::start(&mut fleet, 3, "");
    let acknowledged = write_for(&cluster, WRITERS, DURATION);
    let syncs = DURATION.div_duration_f64(SYNC);
    let per_sync = acknowledged.len() as f64 / syncs;
    eprintln!("{WRITERS} writers with syncs of {SYNC:?}: {per_sync:.1} writes per sync");
    assert!(per_sync > WRITERS as f64 / 4.0, "{per_sync} writes per sync");
    assert_listed(&cluster, &acknowledged);
    fleet.check_deadline();
}

/// Guards against elections that each start before the votes of the last one have arrived, when votes take longer than
/// an election timeout.
#[test]
fn a_leader_is_elected_and_replaced_while_votes_take_longer_than_an_election_timeout() {
    // Two syncs, one at the candidate and one at the voter, exceed the shortest election timeout of 250 ms.
    const SYNC: Duration = Duration::from_millis(200);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    fleet.set_environment(slow_syncs(SYNC));
    let started_at = Instant::now();
    let mut cluster = Cluster::start(&mut fleet, 3, "");
    let first = cluster.leader();
    let elected_after = started_at.elapsed();
    let revision = register(cluster.front(first), "before", 1).expect("acknowledged");
    cluster.agreed(revision, AGREEMENT_TIMEOUT);
    let killed_at = Instant::now();
    cluster.kill(first);
    let others: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    let next = cluster.leader_of(&others, AGREEMENT_TIMEOUT);
    let replaced_after = killed_at.elapsed();
    eprintln!(
        "syncs of {SYNC:?}: first leader after {elected_after:?}, next leader after {replaced_after:?}"
    );
    register(cluster.front(next), "after", 2).expect("acknowledged by the next leader");
    assert!(listed(cluster.front(next)).1.contains("before"));
    fleet.check_deadline();
}

/// Guards against a TTL that starts before the registration is answered.
#[test]
fn a_registration_expires_one_ttl_after_its_answer_however_slow_the_disk_is() {
    const SYNC_MS: u64 = 400;
    const SLOW_FROM_MS: u64 = 1_500;
    const SLOW_TO_MS: u64 = 1_900;
    const TTL: Duration = Duration::from_millis(800);
    /// The bounds of `replicated::clocks_that_jump_by_an_hour_neither_expire_nor_extend_registrations`.
    const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
    const LATE_TOLERANCE: Duration = Duration::from_millis(400);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let rules = vec![format!("sync={SYNC_MS}..{SYNC_MS}ms@1:{SLOW_FROM_MS}-{SLOW_TO_MS}")];
    let (epoch_ns, epoch) = (Some(monotonic_ns()), Instant::now());
    fleet.set_environment(SyscallFaults { rules, seed: 1, epoch_ns, counts: None }.environment());
    let dir = fleet.scratch("slow-registration");
    let config =
        format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\nexpire_every_ms = 50\n", dir.display());
    let node = fleet.registry(&config).expect("the node starts");
    std::thread::sleep((epoch + Duration::from_millis(SLOW_FROM_MS + 50)).duration_since(Instant::now()));
    let called_at = Instant::now();
    let body = registration("brief", SocketAddr::from(([127, 0, 0, 1], 1)), TTL.as_millis() as u64);
    let (status, _) = call(node.address(), "POST", "/v1/register", &body).expect("answered");
    let answered_at = Instant::now();
    assert_eq!(status, 200);
    assert!(answered_at - called_at >= Duration::from_millis(SYNC_MS), "the disk was slow");
    while listed(node.address()).1.contains("brief") {
        assert!(answered_at.elapsed() < AGREEMENT_TIMEOUT, "it never expires");
        std::thread::sleep(Duration::from_millis(10));
    }
    let expired_after = answered_at.elapsed();
    let _ = std::fs::remove_dir_all(&dir);
    eprintln!("answered after {:?}, expired {expired_after:?} later (TTL {TTL:?})", answered_at - called_at);
    assert!(expired_after >= TTL - EARLY_TOLERANCE, "expired early: {expired_after:?}");
    assert!(expired_after < TTL + LATE_TOLERANCE, "expired late: {expired_after:?}");
    fleet.check_deadline();
}

/// Starts three nodes whose disks stall once each, `interval` apart; returns the cluster and the time of the first
/// stall.
fn cluster_with_stalls(fleet: &mut Fleet, stall: Duration, interval: Duration) -> (Cluster, Instant) {
    /// A sync that starts within this time stalls.
    const WINDOW: Duration = Duration::from_millis(100);
    const FIRST_STALL: Duration = Duration::from_secs(5);
    let mut cluster = Cluster::start(fleet, 3, "");
    let (epoch_ns, epoch) = (Some(monotonic_ns()), Instant::now());
    for n in 0..3 {
        let from = (FIRST_STALL + interval * n as u32).as_millis();
        let (to, ms) = (from + WINDOW.as_millis(), stall.as_millis());
        let rules = vec![format!("sync={ms}..{ms}ms@1:{from}-{to}")];
        cluster.kill(n);
        fleet.set_environment(SyscallFaults { rules, seed: 1, epoch_ns, counts: None }.environment());
        cluster.start_node(fleet, n, "").expect("the node starts again");
        cluster.leader();
    }
    (cluster, epoch + FIRST_STALL)
}

/// Guards against a leader that stays leader while its disk stalls, so that no write is acknowledged.
#[test]
fn a_leader_whose_disk_stalls_is_replaced_and_loses_nothing() {
    const STALL: Duration = Duration::from_secs(3);
    const INTERVAL: Duration = Duration::from_secs(6);
    /// Half an election timeout until the stall counts, two election timeouts and one call that timed out.
    const MAX_GAP: Duration = Duration::from_millis(2_500);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let (cluster, first_stall) = cluster_with_stalls(&mut fleet, STALL, INTERVAL);
    let leader = cluster.leader();
    let stalls_at = first_stall + INTERVAL * leader as u32;
    std::thread::sleep(stalls_at.saturating_duration_since(Instant::now() + Duration::from_millis(500)));
    assert_eq!(cluster.leader(), leader, "the node no longer leads when its disk stalls");
    let writers = Writers::start(&cluster.fronts(), 3, Duration::from_millis(5));
    // One more writer, at the other nodes, measures the time until another node leads.
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let (mut longest_gap, mut last_answer, mut n) = (Duration::ZERO, Instant::now(), 0);
    while Instant::now() < stalls_at + STALL {
        if register(cluster.front(others[n % 2]), &format!("probe-{n}"), n).is_some() {
            longest_gap = longest_gap.max(last_answer.elapsed());
            last_answer = Instant::now();
        }
        n += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    let next = cluster.leader_of(&others, AGREEMENT_TIMEOUT);
    std::thread::sleep(Duration::from_millis(500));
    let (acknowledged, unacknowledged) = writers.end();
    eprintln!(
        "the disk of leader {leader} stalled for {STALL:?}: {next} leads, longest gap {longest_gap:?}; {} writes \
         acknowledged, {unacknowledged} calls not",
        acknowledged.len()
    );
    assert!(longest_gap > Duration::from_millis(100), "the leader's disk did not stall");
    assert!(longest_gap < MAX_GAP, "no write was acknowledged for {longest_gap:?}");
    assert_listed(&cluster, &acknowledged);
    fleet.check_deadline();
}

/// The measured figures of one cluster.
struct Measurement {
    /// The number of writers, writes per second, median and 99th percentile latency.
    by_writers: Vec<(usize, f64, Duration, Duration)>,
    /// Failed renewals and all renewals.
    renewals: (usize, usize),
    /// How often a renewed lease was lost.
    leases_lost: usize,
    /// Time from the leader's kill to the next leader.
    next_leader: Duration,
}

/// Writes for `duration` by `writers` writers at once; returns the sorted latencies of the acknowledged writes.
fn write_latencies(node_address: SocketAddr, writers: usize, duration: Duration) -> Vec<Duration> {
    let end = Instant::now() + duration;
    let threads: Vec<_> = (0..writers)
        .map(|writer| {
            std::thread::spawn(move || {
                let mut latencies = Vec::new();
                for n in 0.. {
                    let started_at = Instant::now();
                    if started_at >= end {
                        break;
                    }
                    if register(node_address, &format!("m{writer}-{}", n % 20), n).is_some() {
                        latencies.push(started_at.elapsed());
                    }
                }
                latencies
            })
        })
        .collect();
    let mut all: Vec<Duration> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a writer ends")).collect();
    all.sort();
    all
}

/// Renews a backend and a lease until `stop` is set; returns the numbers of failed renewals, of all renewals and of
/// lost leases.
fn renew_until(stop: &AtomicBool, node_address: SocketAddr) -> (usize, usize, usize) {
    const INTERVAL: Duration = Duration::from_millis(100);
    let request = json!({"holder": "h", "name": "duty", "ttlMs": 1_000});
    let acquire_token = || {
        call(node_address, "POST", "/v1/lease/acquire", &request).and_then(|(_, body)| body["token"].as_u64())
    };
    let (mut token, mut failed, mut total, mut lost) = (acquire_token(), 0, 0, 0);
    while !stop.load(Ordering::SeqCst) {
        let grant = json!({"name": "duty", "token": token});
        for (path, body) in
            [("/v1/heartbeat", &json!({"instanceId": "renewed"})), ("/v1/lease/keepalive", &grant)]
        {
            let status = call(node_address, "POST", path, body).map(|(status, _)| status);
            total += 1;
            failed += usize::from(status != Some(200));
            if status == Some(409) {
                lost += 1;
                token = acquire_token();
            }
        }
        std::thread::sleep(INTERVAL);
    }
    (failed, total, lost)
}

/// Measures three nodes, `slow_nodes` of which have disks whose syncs take `sync`.
fn measure(sync: Duration, slow_nodes: usize) -> Measurement {
    const DURATION: Duration = Duration::from_secs(2);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let mut cluster = Cluster::start(&mut fleet, 3, "");
    cluster.leader();
    fleet.set_environment(slow_syncs(sync));
    for n in 0..slow_nodes {
        cluster.kill(n);
        cluster.start_node(&mut fleet, n, "").expect("the node starts again");
        cluster.leader();
    }
    let leader = cluster.leader();
    let node_address = cluster.front(leader);
    register(node_address, "renewed", 0).expect("acknowledged");
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let renewal_thread = std::thread::spawn(move || renew_until(&stopped, node_address));
    let by_writers = [1, 3, 64].map(|writers| {
        let latencies = write_latencies(node_address, writers, DURATION);
        let percentile =
            |part: usize| latencies.get(latencies.len() * part / 100).copied().unwrap_or(Duration::MAX);
        (writers, latencies.len() as f64 / DURATION.as_secs_f64(), percentile(50), percentile(99))
    });
    stop.store(true, Ordering::SeqCst);
    let (failed, all, leases_lost) = renewal_thread.join().expect("the thread ends");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let killed_at = Instant::now();
    cluster.kill(leader);
    cluster.leader_of(&others, AGREEMENT_TIMEOUT);
    let next_leader = killed_at.elapsed();
    Measurement { by_writers: by_writers.to_vec(), renewals: (failed, all), leases_lost, next_leader }
}

/// Not a test: prints the table of `docs/CAPACITY.md`.
#[test]
#[ignore = "a measurement"]
fn measures_what_callers_get_from_slow_disks() {
    for ms in [1, 5, 20, 50, 200] {
        for slow in 1..=3 {
            let Measurement { by_writers, renewals: (failed, all), leases_lost, next_leader } =
                measure(Duration::from_millis(ms), slow);
            let cells: Vec<String> = by_writers
                .iter()
                .map(|(_, rate, p50, p99)| {
                    format!("{rate:.0}, {:.1}, {:.1}", p50.as_secs_f64() * 1e3, p99.as_secs_f64() * 1e3)
                })
                .collect();
            eprintln!(
                "| {ms} ms | {slow} | {} | {} ms | {failed} of {all} | {leases_lost} |",
                cells.join(" | "),
                next_leader.as_millis()
            );
        }
    }
}

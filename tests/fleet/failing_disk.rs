//! A list-service node whose disk fails writes and syncs for a while: no acknowledged write is lost, and the node continues
//! by itself once the disk works again.

use crate::harness;
use crate::harness::registry::{call, registration};
use fleet_testbed::syscall_faults::{SyscallFaults, read_counts};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const FLEET_DEADLINE: Duration = Duration::from_secs(60);
/// When the disk starts and stops failing, in milliseconds after the node's start.
const FAILURE_PERIOD_MS: [u64; 2] = [1_000, 3_000];
/// For how long the test registers backends.
const DURATION: Duration = Duration::from_millis(4_500);

fn listed(node_address: SocketAddr) -> BTreeSet<String> {
    let (status, list) =
        call(node_address, "GET", "/api/targets", &Value::Null).expect("the list is answered");
    assert_eq!(status, 200);
    let entries = list["instances"].as_array().expect("entries");
    entries.iter().filter_map(|entry| entry["instanceId"].as_str().map(str::to_string)).collect()
}

fn assert_recovers_from(name: &str, rules: &[&str]) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("failing-{name}-{}", std::process::id()));
    let counts = dir.with_extension("counts");
    let _ = std::fs::remove_dir_all(&dir);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let [from, to] = FAILURE_PERIOD_MS;
    let rules = rules.iter().map(|rule| format!("{rule}:{from}-{to}")).collect();
    let faults = SyscallFaults { rules, seed: 3, epoch_ns: None, counts: Some(counts.clone()) };
    fleet.set_environment(faults.environment());
    let config = format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\n", dir.display());
    let mut node = fleet.registry(&config).expect("the list service starts");
    let (node_address, start) = (node.address(), Instant::now());
    let (mut acknowledged, mut rejected, mut after_failure) = (BTreeSet::new(), 0, Vec::new());
    for n in 0.. {
        if start.elapsed() > DURATION {
            break;
        }
        let id = format!("s-{n}");
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16));
        let answer = call(node_address, "POST", "/v1/register", &registration(&id, address, 300_000));
        let is_acknowledged = matches!(answer, Some((200, _)));
        if is_acknowledged {
            acknowledged.insert(id);
        } else {
            rejected += 1;
        }
        if start.elapsed() > Duration::from_millis(to + 500) {
            after_failure.push(is_acknowledged);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(read_counts(&counts).iter().sum::<u64>() > 0, "{name}: no call to the disk failed");
    assert!(
        after_failure.len() > 10 && after_failure.iter().all(|is_acknowledged| *is_acknowledged),
        "{name}: writes acknowledged after the disk works again: {after_failure:?}"
    );
    eprintln!("{name}: {} acknowledged, {rejected} not", acknowledged.len());
    let lost: Vec<_> = acknowledged.difference(&listed(node_address)).cloned().collect();
    assert!(lost.is_empty(), "{name}: acknowledged but not listed: {lost:?}");
    node.kill();
    fleet.set_environment(Vec::new());
    let node = fleet.registry(&config).expect("the node starts again from its disk");
    let lost: Vec<_> = acknowledged.difference(&listed(node.address())).cloned().collect();
    assert!(lost.is_empty(), "{name}: acknowledged but lost after a kill: {lost:?}");
    let _ = std::fs::remove_dir_all(&dir);
    let _ = std::fs::remove_file(&counts);
}

#[test]
fn a_node_recovers_from_writes_that_fail_for_a_while() {
    assert_recovers_from("writes", &["write=ENOSPC@1"]);
}

#[test]
fn a_node_recovers_from_syncs_that_fail_for_a_while() {
    assert_recovers_from("syncs", &["sync=EIO@0.7"]);
}

#[test]
fn a_node_recovers_from_short_and_occasionally_failing_writes() {
    assert_recovers_from("short", &["write=short@0.3", "write=EIO@0.2", "sync=EIO@0.2"]);
}

/// A kill may leave a mark half-written; the node then starts with the previous mark, in the other slot.
#[test]
fn a_node_starts_with_one_mark_half_written() {
    const SLOT_BYTES: usize = 512;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("half-mark-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let config = format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\n", dir.display());
    let mut written = 0;
    for damaged in [&[][..], &[0], &[1], &[0, 1]] {
        for slot in damaged {
            let path = dir.join("raft.mark");
            let mut bytes = std::fs::read(&path).expect("a mark");
            bytes[slot * SLOT_BYTES + 9..slot * SLOT_BYTES + 20].fill(b'x');
            std::fs::write(&path, bytes).expect("the mark is written");
        }
        let node = fleet.registry(&config);
        if damaged.len() == 2 {
            assert!(node.is_err(), "with both marks damaged the log's length is unknown");
            break;
        }
        let mut node = node.unwrap_or_else(|error| panic!("{damaged:?}: {error}"));
        assert_eq!(listed(node.address()).len(), written, "{damaged:?}");
        for _ in 0..5 {
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            let body = registration(&format!("s-{written}"), address, 300_000);
            let answer = call(node.address(), "POST", "/v1/register", &body);
            assert!(matches!(answer, Some((200, _))), "{answer:?}");
            written += 1;
        }
        node.kill();
    }
    let _ = std::fs::remove_dir_all(&dir);
}

//! A list-service node with its log on disk: after a SIGKILL that follows a burst of writes it recovers every
//! acknowledged one. A log damaged in the middle stops its start with a clear error; a truncated last record is cut
//! off and reported.

use crate::harness;
use crate::harness::process::StartError;
use crate::harness::registry::{self, registration};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const REGISTRATIONS: usize = 1000;

fn config(dir: &Path) -> String {
    format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\n", dir.display())
}

/// The full list: its revision, and the id, lifecycle and weight of each entry.
fn listed(node_address: SocketAddr) -> (u64, Vec<(String, String, f64)>) {
    let (status, list) =
        registry::call(node_address, "GET", "/api/targets", &Value::Null).expect("the list is answered");
    assert_eq!(status, 200);
    let entry = |i: &Value| {
        let text = |k: &str| i[k].as_str().unwrap_or_default().to_string();
        (text("instanceId"), text("lifecycle"), i["weight"].as_f64().unwrap_or_default())
    };
    let instances = list["instances"].as_array().map(|a| a.iter().map(entry).collect()).unwrap_or_default();
    (list["generation"].as_u64().unwrap_or_default(), instances)
}

#[test]
fn a_killed_node_recovers_every_acknowledged_write_and_reports_damage() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("durable-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let mut fleet = harness::fleet(Duration::from_secs(60));
    let mut node = fleet.registry(&config(&dir)).expect("the list service starts");
    let node_address = node.address();

    // A burst of registrations, then drains and weight changes of some; each is acknowledged with its revision.
    let start = Instant::now();
    let mut last = 0;
    for n in 0..REGISTRATIONS {
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16));
        let (status, body) = registry::call(
            node_address,
            "POST",
            "/v1/register",
            &registration(&format!("s-{n}"), address, 300_000),
        )
        .expect("a registration is answered");
        assert_eq!(status, 200, "{body}");
        last = body["revision"].as_u64().expect("a revision");
    }
    let registrations_per_s = REGISTRATIONS as f64 / start.elapsed().as_secs_f64();
    for n in (0..REGISTRATIONS).step_by(10) {
        let drained =
            registry::call(node_address, "POST", "/v1/drain", &json!({"instanceId": format!("s-{n}")}));
        let weight_set = registry::call(
            node_address,
            "POST",
            "/v1/weight",
            &json!({"instanceId": format!("s-{}", n + 1), "weight": 2.5}),
        );
        assert_eq!(drained.map(|(s, _)| s), Some(200));
        last = weight_set.expect("a weight change is answered").1["revision"].as_u64().expect("a revision");
    }
    let before = listed(node_address);
    assert_eq!(before.0, last);
    assert_eq!(before.1.len(), REGISTRATIONS);
    eprintln!(
        "durable: {REGISTRATIONS} registrations acknowledged, {registrations_per_s:.0} per second, each fsynced"
    );

    // The node is killed without warning and started again on the same directory.
    node.signal(Signal::SIGKILL);
    assert_eq!(node.wait_exit(Duration::from_secs(5)), Some(false));
    let restarted = fleet.registry(&config(&dir)).expect("the list service starts again");
    assert_eq!(
        listed(restarted.address()),
        before,
        "every acknowledged write is recovered, at the same revision"
    );
    drop(restarted);

    // A truncated record at the end is cut off at the start; no acknowledged write is missing.
    let log = dir.join("raft.log");
    std::fs::OpenOptions::new()
        .append(true)
        .open(&log)
        .and_then(|mut f| f.write_all(&[200, 0, 0, 0, 1]))
        .expect("a truncated record is appended");
    let torn = fleet.registry(&config(&dir)).expect("a truncated last record does not stop the start");
    assert_eq!(listed(torn.address()), before);
    drop(torn);

    // With one byte changed in the middle, the node does not start; the error names the file and the byte.
    let mut bytes = std::fs::read(&log).expect("the log is read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x20;
    std::fs::write(&log, &bytes).expect("the log is written");
    match fleet.registry(&config(&dir)) {
        Err(StartError::Failed(line)) => {
            assert!(line.contains("raft.log") && line.contains("at byte"), "{line}");
        }
        Err(other) => panic!("the error is not clear: {other:?}"),
        Ok(_) => panic!("a damaged log was accepted"),
    }
    fleet.check_deadline();
    let _ = std::fs::remove_dir_all(&dir);
}

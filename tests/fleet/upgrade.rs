//! A list-service cluster whose nodes are replaced one at a time by another build, and back, while writes continue.
//!
//! ```sh
//! LINKHATCH_PREVIOUS_PROGRAM=PATH cargo test --release --test fleet upgrade -- --ignored --nocapture
//! ```

use crate::harness::program::{self, Service};
use crate::harness::registry::{call, registration};
use crate::harness::relay::Relay;
use crate::replicated::{Writers, listed, register};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const TTL_MS: u64 = 300_000;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Long enough to keep the list below its bound of 6,000 entries for the duration of the test.
const PAUSE_BETWEEN_WRITES: Duration = Duration::from_millis(40);
/// The number of changes while a node is down: the others log only a part of them and send it a snapshot.
const CHANGES_WHILE_DOWN: usize = 6_500;
const CHANGE_WRITERS: usize = 16;
/// The node that is down during these changes.
const NODE_SENT_A_SNAPSHOT: usize = 1;

/// Three nodes, each behind a relay through which clients and the other nodes reach it, whatever its port.
struct Cluster {
    dir: PathBuf,
    relays: Vec<Relay>,
    nodes: Vec<Option<Service>>,
}

impl Cluster {
    fn start(program: &Path) -> Self {
        let name = format!("upgrade-{}", std::process::id());
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a scratch directory");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let relays = (0..NODES).map(|_| Relay::start(nowhere).expect("a relay starts")).collect();
        let mut cluster = Self { dir, relays, nodes: (0..NODES).map(|_| None).collect() };
        (0..NODES).for_each(|n| cluster.start_node(n, program));
        cluster
    }

    fn start_node(&mut self, n: usize, program: &Path) {
        let peers = (0..NODES).filter(|other| *other != n).map(|other| {
            format!("{{ node = {}, address = \"{}\" }}", other + 1, self.relays[other].address())
        });
        let config = format!(
            "peers = [{}]\nlisten = \"127.0.0.1:0\"\nnode = {}\ndata_dir = \"{}\"\n",
            peers.collect::<Vec<_>>().join(", "),
            n + 1,
            self.dir.join(format!("node-{}", n + 1)).display(),
        );
        let node = Service::node(program, &self.dir.join(format!("node-{}.toml", n + 1)), &config);
        self.relays[n].retarget(node.address());
        self.nodes[n] = Some(node);
    }

    /// Kills a node, which ends its connections.
    fn kill_node(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(Relay::address).collect()
    }

    fn revision(&self, n: usize) -> Option<u64> {
        let (status, body) = call(self.relays[n].address(), "GET", "/v1/status", &Value::Null)?;
        (status == 200).then(|| body["revision"].as_u64()).flatten()
    }

    /// Waits until every node is at `revision` or later.
    fn wait_for(&self, revision: u64) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let revisions: Vec<_> = (0..NODES).map(|n| self.revision(n)).collect();
            if revisions.iter().all(|reached| *reached >= Some(revision)) {
                return;
            }
            assert!(Instant::now() < deadline, "nodes at revisions {revisions:?}, not all at {revision}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a write to one node after another until one acknowledges it; returns the answer.
    fn write(&self, path: &str, body: &Value) -> Value {
        let deadline = Instant::now() + TIMEOUT;
        for address in self.addresses().iter().cycle() {
            match call(*address, "POST", path, body) {
                Some((200, answer)) => return answer,
                answer => assert!(Instant::now() < deadline, "{path} {body}: {answer:?}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        unreachable!("the loop over the addresses ends only by a return or a panic")
    }

    /// Asserts that every node but `down` has a snapshot of a part of its log.
    fn assert_has_snapshots(&self, down: usize) {
        for n in (0..NODES).filter(|n| *n != down) {
            let snapshot = self.dir.join(format!("node-{}", n + 1)).join("raft.snapshot");
            assert!(snapshot.exists(), "{}", snapshot.display());
        }
    }

    /// Changes a weight `CHANGES_WHILE_DOWN` times, as quickly as the nodes other than `down` accept it.
    fn change_weights(&self, down: usize) {
        let writers: Vec<_> = (0..CHANGE_WRITERS)
            .map(|writer| {
                let mut addresses = self.addresses();
                addresses.remove(down);
                std::thread::spawn(move || {
                    for n in (writer..CHANGES_WHILE_DOWN).step_by(CHANGE_WRITERS) {
                        let change = json!({"instanceId": "first", "weight": 1.0 + (n % 900) as f64});
                        // The test does not rely on a change that is not acknowledged.
                        let _ = call(addresses[n % addresses.len()], "POST", "/v1/weight", &change);
                    }
                })
            })
            .collect();
        writers.into_iter().for_each(|writer| writer.join().expect("a writer panicked"));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
#[ignore = "needs the program of the previous build in LINKHATCH_PREVIOUS_PROGRAM"]
fn replacing_nodes_one_by_one_by_another_build_loses_no_acknowledged_write() {
    let previous = program::previous_program();
    let mut cluster = Cluster::start(&previous);
    let first = registration("first", SocketAddr::from(([127, 0, 0, 1], 20_000)), TTL_MS);
    cluster.write("/v1/register", &first);
    let lease = json!({"name": "warm:first", "holder": "h-1", "ttlMs": TTL_MS});
    let granted = cluster.write("/v1/lease/acquire", &lease);
    let grant = json!({"name": "warm:first", "token": granted["token"]});
    let writers = Writers::start(&cluster.addresses(), NODES, PAUSE_BETWEEN_WRITES);

    let mut replaced = 0;
    for (build, program) in [("this build", program::current_program()), ("the previous build", &previous)] {
        for n in 0..NODES {
            cluster.kill_node(n);
            if n == NODE_SENT_A_SNAPSHOT {
                cluster.change_weights(n);
                cluster.assert_has_snapshots(n);
            }
            cluster.start_node(n, program);
            let marker = format!("marker-{replaced}");
            let address = SocketAddr::from(([127, 0, 0, 1], 21_000 + replaced));
            let written = cluster.write("/v1/register", &registration(&marker, address, TTL_MS));
            let revision = written["revision"].as_u64().expect("a revision");
            cluster.wait_for(revision);
            cluster.write("/v1/lease/keepalive", &grant);
            eprintln!("node {} runs {build}, all nodes at revision {revision}", n + 1);
            replaced += 1;
        }
    }
    let (acknowledged, unacknowledged) = writers.end();
    let last = register(cluster.relays[0].address(), "last", 1).expect("acknowledged");
    cluster.wait_for(last);
    let lists: Vec<_> = cluster.addresses().into_iter().map(listed).collect();
    assert!(lists.iter().all(|list| *list == lists[0]), "the nodes' lists differ");
    let lost: Vec<_> = acknowledged.keys().filter(|id| !lists[0].1.contains(*id)).collect();
    eprintln!("{replaced} replacements: {} writes acknowledged, {unacknowledged} not", acknowledged.len());
    assert!(lost.is_empty(), "acknowledged writes are lost: {lost:?}");
    assert!((0..replaced).all(|n| lists[0].1.contains(&format!("marker-{n}"))));
    assert!(acknowledged.len() > 100, "too few writes: {}", acknowledged.len());
}

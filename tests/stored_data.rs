//! This build reads files that an earlier build wrote, without loss: a list-service node's data directory (with a log
//! only, and with a snapshot and a log) and a proxy's cached endpoint list.
//!
//! The files in `fixtures/stored` were written by the last build before the present Rust names. To write them again:
//!
//! ```sh
//! LINKHATCH_PREVIOUS_PROGRAM=PATH cargo test --release --test stored_data -- --ignored
//! ```

#[path = "fleet/harness/mod.rs"]
mod harness;

use harness::backend::Backend;
use harness::client::{self, Load, LoadBalancer, Outcome};
use harness::program::{self, Service};
use harness::registry::{call, registration};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/stored");
/// A node's directory with a log only.
const LOG_ONLY: &str = "log";
/// A node's directory with a snapshot and the log after it.
const WITH_SNAPSHOT: &str = "snapshot";
/// The previous build's answers from a node's directory.
const ANSWERS: &str = "answers.json";
/// The leases granted in a node's directory, with their tokens.
const GRANTS: &str = "grants.json";
/// A proxy's cached endpoint list.
const LIST_CACHE: &str = "list-cache.json";
/// The serving backends of the cached list.
const SERVING_BACKENDS: [&str; 2] = ["127.0.0.1:20000", "127.0.0.1:20002"];
const BACKENDS: u16 = 5;
const TTL_MS: u64 = 300_000;
/// The maximum TTL of a session; the session is not renewed while a fixture is written or read.
const SESSION_TTL_MS: u64 = 60_000;
/// Enough weight changes for the log to be rewritten after a snapshot.
const WEIGHT_CHANGES: u64 = 10_300;
const WRITERS: u64 = 16;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Creates an empty directory for one test.
fn scratch_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a scratch directory");
    dir
}

fn start_node(program: &Path, data_dir: &Path) -> Service {
    let config = format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\n", data_dir.display());
    let node = Service::node(program, &data_dir.with_extension("toml"), &config);
    let deadline = Instant::now() + TIMEOUT;
    while get(node.address(), "/v1/status")["leader"] != 1 {
        assert!(Instant::now() < deadline, "the node did not become the leader in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    node
}

fn get(node: SocketAddr, path: &str) -> Value {
    let (status, body) = call(node, "GET", path, &Value::Null).expect("an answer");
    assert_eq!(status, 200, "{path}: {body}");
    body
}

fn post(node: SocketAddr, path: &str, body: &Value) -> Value {
    let (status, answer) = call(node, "POST", path, body).expect("an answer");
    assert_eq!(status, 200, "{path} {body}: {answer}");
    answer
}

/// Everything that a node answers from its store, without the values that depend on the time since its start.
fn answers(node: SocketAddr) -> Value {
    let mut fleet = get(node, "/v1/fleet");
    for session in fleet["sessions"].as_array_mut().expect("sessions") {
        session["leftMs"].take();
    }
    for ended in fleet["ended"].as_array_mut().expect("ended sessions") {
        ended["agoMs"].take();
    }
    let status = get(node, "/v1/status");
    json!({
        "list": get(node, "/api/targets"),
        "status": {"node": status["node"], "members": status["members"], "revision": status["revision"],
                   "entries": status["entries"]},
        "settings": get(node, "/v1/settings"),
        "history": get(node, "/v1/settings/history"),
        "fleet": fleet,
        "agreed": get(node, "/v1/agreed"),
        "joined": get(node, "/raft/joined?node=1"),
    })
}

/// Asserts that a node started on a fixture answers as the previous build did, and continues from there.
fn assert_reads_back(fixture: &str, has_snapshot: bool) {
    let dir = scratch_dir(fixture).join("node-1");
    let stored = Path::new(FIXTURES).join(fixture);
    std::fs::create_dir_all(&dir).expect("a data directory");
    for name in ["raft.log", "raft.mark", "raft.snapshot"] {
        let copied = std::fs::copy(stored.join(name), dir.join(name));
        assert!(copied.is_ok() || name == "raft.snapshot" && !has_snapshot, "{fixture}/{name}: {copied:?}");
    }
    let text = std::fs::read_to_string(stored.join(ANSWERS)).expect("the answers before");
    let before: Value = serde_json::from_str(&text).expect("answers in JSON");
    let node = start_node(program::current_program(), &dir);
    let node_address = node.address();
    assert_eq!(answers(node_address), before, "{fixture}");

    // The leases are still held under the granted tokens: another holder is rejected, and the current one renews.
    let grants = read_grants(&stored);
    for grant in &grants {
        let contender = json!({"name": grant["name"], "holder": "another", "ttlMs": TTL_MS});
        let (status, body) = call(node_address, "POST", "/v1/lease/acquire", &contender).expect("an answer");
        assert_eq!(status, 409, "{body}");
        post(node_address, "/v1/lease/keepalive", &json!({"name": grant["name"], "token": grant["token"]}));
    }
    assert_eq!(grants.len(), 2);
    let session = &before["fleet"]["sessions"][0]["session"];
    post(node_address, "/v1/session/renew", &json!({"session": session}));

    // The next change increments the revision by one.
    let revision = before["status"]["revision"].as_u64().expect("a revision");
    let written = post(node_address, "/v1/weight", &json!({"instanceId": "s-0", "weight": 7.5}));
    assert_eq!(written["revision"], revision + 1);
    drop(node);

    // This build also reads back what it has added to the old files.
    let node = start_node(program::current_program(), &dir);
    assert_eq!(get(node.address(), "/v1/status")["revision"], revision + 1);
    drop(node);
    let _ = std::fs::remove_dir_all(dir.parent().expect("a parent"));
}

/// Reads the leases granted in a fixture, with their tokens.
fn read_grants(stored: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(stored.join(GRANTS)).expect("the grants");
    serde_json::from_str(&text).expect("grants in JSON")
}

#[test]
fn a_log_of_the_previous_build_is_read_back_in_full() {
    assert_reads_back(LOG_ONLY, false);
}

#[test]
fn a_snapshot_of_the_previous_build_is_read_back_in_full() {
    assert_reads_back(WITH_SNAPSHOT, true);
}

/// A proxy's configuration without backends; the proxy caches its list in `cache`.
fn proxy_config(cache: &Path) -> String {
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let mut config: Value =
        serde_json::from_str(&harness::config(&harness::settings(0, 1, 0.4), &empty, 0xca5e))
            .expect("a configuration");
    config["list_cache"] = json!(cache.display().to_string());
    config.to_string()
}

/// An address on which nothing listens, for a list service that cannot be reached.
fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    listener.local_addr().expect("a bound address")
}

#[test]
fn a_proxy_starts_on_the_list_that_the_previous_build_cached() {
    let dir = scratch_dir("cache-read");
    let mut list = std::fs::read_to_string(Path::new(FIXTURES).join(LIST_CACHE)).expect("a cached list");
    // Starts the two serving backends; the third is draining, and nothing listens on its address.
    let backends: Vec<Backend> = SERVING_BACKENDS
        .iter()
        .map(|stored| {
            let backend = Backend::start(stored, Duration::ZERO).expect("a backend starts");
            assert!(list.contains(stored));
            list = list.replace(stored, &backend.address().to_string());
            backend
        })
        .collect();
    let cache = dir.join("list.json");
    std::fs::write(&cache, list).expect("a cached list");
    let config = proxy_config(&cache);
    let proxy =
        Service::proxy(program::current_program(), &dir.join("proxy.json"), &config, unused_address());
    let deadline = Instant::now() + TIMEOUT;
    while call(proxy.address(), "GET", "/-/ready", &Value::Null).is_none_or(|(status, _)| status != 200) {
        assert!(Instant::now() < deadline, "the proxy did not become ready in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    let load = Load {
        clients: 2,
        max_requests: 40,
        send_until: deadline,
        remaining_ms: 1_500,
        pause: Duration::from_millis(5),
    };
    let records = client::run(&LoadBalancer::new(vec![proxy.address()]), load);
    let served = records.iter().filter(|record| record.outcome == Outcome::Answered(200)).count();
    assert_eq!((served, records.len()), (40, 40), "{records:?}");
    drop(backends);
    let _ = std::fs::remove_dir_all(dir);
}

/// Starts a node and a proxy of `program`, registers the fixture's backends, and returns the list that the proxy
/// caches.
fn cached_list(program: &Path, name: &str) -> String {
    let dir = scratch_dir(name);
    let node = start_node(program, &dir.join("node-1"));
    let node_address = node.address();
    for n in 0..3 {
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + n));
        post(node_address, "/v1/register", &registration(&format!("s-{n}"), address, TTL_MS));
    }
    post(node_address, "/v1/weight", &json!({"instanceId": "s-2", "weight": 2.5}));
    let revision = post(node_address, "/v1/drain", &json!({"instanceId": "s-1"}))["revision"].take();
    let cache = dir.join("list.json");
    let proxy = Service::proxy(program, &dir.join("proxy.json"), &proxy_config(&cache), node_address);
    let deadline = Instant::now() + TIMEOUT;
    let text = loop {
        let text = std::fs::read_to_string(&cache).unwrap_or_default();
        let list: Value = serde_json::from_str(&text).unwrap_or_default();
        if list["generation"] == revision {
            break text;
        }
        assert!(Instant::now() < deadline, "the list was not cached in time: {text}");
        std::thread::sleep(Duration::from_millis(20));
    };
    drop((proxy, node));
    let _ = std::fs::remove_dir_all(dir);
    text
}

#[test]
fn a_proxy_caches_the_list_in_the_form_of_the_previous_build() {
    let stored = std::fs::read_to_string(Path::new(FIXTURES).join(LIST_CACHE)).expect("a cached list");
    assert_eq!(cached_list(program::current_program(), "cache-written"), stored);
}

fn document(max_attempts: u32) -> Value {
    json!({
        "classes": [
            {"name": "status-check", "effect": "free", "on-time": 2.5, "hard-limit": 6.0, "worth": 2.0},
            {"name": "send-batch", "effect": "guarded", "group": "cell", "window": 10.0, "fifo-by-key": true,
             "on-time": 2.5, "hard-limit": 6.0, "late-worth": 0.5, "worth": 10.0},
            {"name": "send-sms", "effect": "single_shot", "on-time": 2.0, "hard-limit": 5.0}
        ],
        "projects": [{"name": "northgate-health", "quota-per-s": 17.0}],
        "max-attempts": max_attempts, "max-retry-after": 1.0, "over-share-worth": 0.05, "shed": false,
        "floor": {
            "classes": {"status-check": {"on-time": 1.0, "hard-limit": 2.0},
                        "send-batch": {"on-time": 1.0, "hard-limit": 2.0},
                        "send-sms": {"on-time": 1.0, "hard-limit": 2.0}},
            "projects": {"northgate-health": 5.0}, "max-attempts": 2, "max-retry-after": 0.0
        }
    })
}

/// Writes one of everything that a node stores; returns the granted leases.
fn write_one_of_each(node_address: SocketAddr) -> Vec<Value> {
    for n in 0..BACKENDS {
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + n));
        post(node_address, "/v1/register", &registration(&format!("s-{n}"), address, TTL_MS));
    }
    post(node_address, "/v1/drain", &json!({"instanceId": "s-1"}));
    post(node_address, "/v1/weight", &json!({"instanceId": "s-2", "weight": 2.5}));
    post(node_address, "/v1/deregister", &json!({"instanceId": "s-4"}));
    let grants = ["warm:s-0", "warm:s-2"].map(|name| {
        let granted =
            post(node_address, "/v1/lease/acquire", &json!({"name": name, "holder": "h-1", "ttlMs": TTL_MS}));
        json!({"name": name, "token": granted["token"]})
    });
    let released = post(
        node_address,
        "/v1/lease/acquire",
        &json!({"name": "warm:s-3", "holder": "h-2", "ttlMs": TTL_MS}),
    );
    post(node_address, "/v1/lease/release", &json!({"name": "warm:s-3", "token": released["token"]}));

    let first = json!({"parent": 0, "by": "kim", "note": "first", "document": document(5)});
    let first = post(node_address, "/v1/settings", &first)["version"].take();
    let session = json!({"name": "p-1", "ttlMs": SESSION_TTL_MS, "holds": first});
    let session = post(node_address, "/v1/session/open", &session)["session"].take();
    let second = json!({"parent": first, "by": "lee", "document": document(3)});
    let second = post(node_address, "/v1/settings", &second)["version"].take();
    // Acknowledges the offered version, which is then committed.
    post(node_address, "/v1/session/renew", &json!({"session": session, "holds": second, "inForce": first}));
    let third = json!({"parent": second, "by": "lee", "note": "refused", "document": document(4)});
    let third = post(node_address, "/v1/settings", &third)["version"].take();
    post(
        node_address,
        "/v1/session/refuse",
        &json!({"session": session, "name": "p-1", "version": third, "why": "no"}),
    );
    let closed_session = json!({"name": "p-2", "ttlMs": SESSION_TTL_MS, "holds": second});
    let closed_session = post(node_address, "/v1/session/open", &closed_session)["session"].take();
    post(node_address, "/v1/session/close", &json!({"session": closed_session}));
    grants.to_vec()
}

/// Waits until the node has nothing more to write by itself.
fn wait_until_idle(node_address: SocketAddr) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let before = answers(node_address);
        std::thread::sleep(Duration::from_millis(500));
        if answers(node_address) == before {
            return;
        }
        assert!(Instant::now() < deadline, "the node did not become idle in time");
    }
}

fn write_fixture(program: &Path, fixture: &str, weight_changes: u64) {
    let dir = scratch_dir(fixture).join("node-1");
    let stored = Path::new(FIXTURES).join(fixture);
    let node = start_node(program, &dir);
    let node_address = node.address();
    let grants = write_one_of_each(node_address);
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            std::thread::spawn(move || {
                for n in (writer..weight_changes).step_by(WRITERS as usize) {
                    post(
                        node_address,
                        "/v1/weight",
                        &json!({"instanceId": "s-3", "weight": 1.0 + (n % 900) as f64}),
                    );
                }
            })
        })
        .collect();
    writers.into_iter().for_each(|writer| writer.join().expect("a writer ends"));
    wait_until_idle(node_address);
    drop(node);
    std::fs::create_dir_all(&stored).expect("a fixture's directory");
    for name in ["raft.log", "raft.mark", "raft.snapshot"] {
        if dir.join(name).exists() {
            std::fs::copy(dir.join(name), stored.join(name)).expect("a fixture's file");
        }
    }
    // The answers after the node has read its own files.
    let node = start_node(program, &dir);
    let answers = answers(node.address());
    drop(node);
    let text = |value: &Value| format!("{value:#}\n");
    std::fs::write(stored.join(ANSWERS), text(&answers)).expect("the answers");
    std::fs::write(stored.join(GRANTS), text(&json!(grants))).expect("the grants");
    let _ = std::fs::remove_dir_all(dir.parent().expect("a parent"));
}

#[test]
#[ignore = "writes the fixtures again with the previous build"]
fn write_the_fixtures_with_the_previous_build() {
    let program = program::previous_program();
    write_fixture(&program, LOG_ONLY, 0);
    write_fixture(&program, WITH_SNAPSHOT, WEIGHT_CHANGES);
    let list = cached_list(&program, "cache-fixture");
    std::fs::write(Path::new(FIXTURES).join(LIST_CACHE), list).expect("a cached list");
}

//! Golden tests of the list service's HTTP API: status, headers and exact body of every kind of answer and error.
//!
//! Each test sends a fixed sequence of calls to one node and compares the transcript with a file in
//! `tests/golden/list_service_api`. Numbers that depend on the clock are masked as `#`. After an intended change of
//! the API, `UPDATE_GOLDEN=1 cargo test --test list_service_api` rewrites the files.
#![cfg(target_os = "linux")]

use fleet_testbed::process::{Fleet, Process};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Maximum duration of one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// A TTL that does not expire during a test.
const LONG_TTL_MS: u64 = 60_000;
/// Headers that belong to the API; the HTTP library sets the others.
const RECORDED_HEADERS: [&str; 3] = ["content-type", "retry-after", "x-list-age-ms"];
/// Texts that precede a clock-dependent number.
const MARKERS: [&str; 4] = ["\"leftMs\":", "\"agoMs\":", "\"unixMs\":", " until "];
/// The additional texts for a node with peers; a node without peers is always up to date, with age 0.
const MARKERS_WITH_PEERS: [&str; 2] = ["\"age_ms\":", "x-list-age-ms: "];
/// For longer bodies of calls the transcript shows only the length.
const MAX_SHOWN_BODY_BYTES: usize = 1_000;

/// An answer as read from the wire.
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

/// One node and the transcript of the calls made to it.
struct Node {
    process: Process,
    fleet: Fleet,
    data_dir: PathBuf,
    transcript: String,
    /// Texts that precede a masked number.
    markers: Vec<&'static str>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(&self.data_dir);
    }
}

impl Node {
    /// Starts a node without peers, in memory, that leads and accepts renewals.
    fn single(config: &str) -> Self {
        let node = Self::start(|_| format!("listen = \"127.0.0.1:0\"\n{config}"));
        node.wait_for("/v1/status", "\"leader\":1");
        // The leader answers the first renewal only once it keeps renewals in memory.
        let answer = exchange(&node.process, "POST", "/v1/keepalive", &[], "{}");
        assert_eq!(answer.status, 200, "{}", answer.body);
        node
    }

    /// Starts one node of three whose peers do not run: it has no leader and does not take part yet.
    fn without_leader() -> Self {
        let mut node = Self::start(|data_dir| {
            format!(
                "listen = \"127.0.0.1:0\"\nnode = 1\ndata_dir = {data_dir:?}\nwrite_within_ms = 100\n\
                 [[peers]]\nnode = 2\naddress = \"127.0.0.1:1\"\n\
                 [[peers]]\nnode = 3\naddress = \"127.0.0.1:1\"\n"
            )
        });
        node.markers.extend(MARKERS_WITH_PEERS);
        node
    }

    fn start(config: impl Fn(&Path) -> String) -> Self {
        let mut fleet = Fleet::new(
            Path::new(env!("CARGO_BIN_EXE_linkhatch-proxy")),
            Path::new(env!("CARGO_TARGET_TMPDIR")),
            TEST_TIMEOUT,
        );
        let data_dir = fleet.scratch("list-service-api");
        let process = fleet.registry(&config(&data_dir)).expect("the node starts");
        Self { process, fleet, data_dir, transcript: String::new(), markers: MARKERS.to_vec() }
    }

    /// Makes a call and records it with its answer in the transcript.
    fn call(&mut self, method: &str, target: &str, body: &str) {
        self.call_with_headers(method, target, &[], body);
    }

    /// Makes a call with additional headers and records it with its answer in the transcript.
    fn call_with_headers(&mut self, method: &str, target: &str, headers: &[&str], body: &str) {
        let answer = exchange(&self.process, method, target, headers, body);
        self.record(method, target, headers, body, &answer);
    }

    fn get(&mut self, target: &str) {
        self.call("GET", target, "");
    }

    fn post(&mut self, target: &str, body: &Value) {
        self.call("POST", target, &body.to_string());
    }

    fn record(&mut self, method: &str, target: &str, headers: &[&str], body: &str, answer: &Answer) {
        let shown = match body.len() {
            0 => String::new(),
            length if length > MAX_SHOWN_BODY_BYTES => format!(" ({length} bytes)"),
            _ => format!(" {body}"),
        };
        let headers: String = headers.iter().map(|header| format!(" [{header}]")).collect();
        let mut entry = format!("> {method} {target}{headers}{shown}\n{}\n", answer.status);
        for name in RECORDED_HEADERS {
            if let Some((_, value)) = answer.headers.iter().find(|(known, _)| known == name) {
                let _ = writeln!(entry, "{name}: {value}");
            }
        }
        let _ = writeln!(entry, "{}\n", answer.body);
        self.transcript.push_str(&mask(&entry, &self.markers));
    }

    /// Calls `target` until its answer contains `text`, without recording the calls.
    fn wait_for(&self, target: &str, text: &str) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let answer = exchange(&self.process, "GET", target, &[], "");
            if answer.body.contains(text) {
                return;
            }
            assert!(Instant::now() < deadline, "{target} never contained {text}: {}", answer.body);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Compares the transcript with its golden file.
    fn check_transcript(self, name: &str) {
        self.fleet.check_deadline();
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden/list_service_api")
            .join(format!("{name}.txt"));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &self.transcript).expect("the golden file is written");
        }
        let expected = std::fs::read_to_string(&path).expect("the golden file is read");
        for (number, (expected, got)) in expected.lines().zip(self.transcript.lines()).enumerate() {
            assert_eq!(got, expected, "{name}.txt, line {}", number + 1);
        }
        assert_eq!(self.transcript, expected, "{name}.txt");
    }
}

fn connect(process: &Process) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(process.address()).expect("the node accepts");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a read timeout");
    BufReader::new(stream)
}

fn send(stream: &mut TcpStream, method: &str, target: &str, headers: &[&str], body: &str) {
    let headers: String = headers.iter().map(|header| format!("{header}\r\n")).collect();
    let length = body.len();
    let text =
        format!("{method} {target} HTTP/1.1\r\nHost: r\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("the call is sent");
}

fn receive(stream: &mut BufReader<TcpStream>) -> Answer {
    let mut line = String::new();
    stream.read_line(&mut line).expect("a status line");
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let mut headers = Vec::new();
    loop {
        line.clear();
        stream.read_line(&mut line).expect("a header");
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).expect("a length");
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    Answer { status, headers, body: String::from_utf8(body).expect("UTF-8") }
}

fn exchange(process: &Process, method: &str, target: &str, headers: &[&str], body: &str) -> Answer {
    let mut stream = connect(process);
    send(stream.get_mut(), method, target, headers, body);
    receive(&mut stream)
}

/// Replaces the numbers after `markers` by `#`.
fn mask(text: &str, markers: &[&str]) -> String {
    markers.iter().fold(text.to_string(), |text, marker| {
        let mut parts = text.split(marker);
        let first = parts.next().unwrap_or_default().to_string();
        parts.fold(first, |masked, rest| {
            format!("{masked}{marker}#{}", rest.trim_start_matches(|c: char| c.is_ascii_digit()))
        })
    })
}

fn instance(id: &str) -> Value {
    json!({"instanceId": id, "hostPort": "127.0.0.1:7000", "zone": "a", "machineType": "m", "cell": 3,
           "lifecycle": "SERVING", "weight": 1.5, "startedAtMs": 12, "ttlMs": LONG_TTL_MS})
}

/// Sets one field of a JSON object.
fn with(mut object: Value, key: &str, value: Value) -> Value {
    object[key] = value;
    object
}

fn document(max_attempts: u64) -> Value {
    json!({
        "classes": [{"name": "look", "effect": "free", "on-time": 0.5, "hard-limit": 2.0}],
        "projects": [{"name": "default", "quota-per-s": 100.0}],
        "max-attempts": max_attempts,
        "floor": {"classes": {"look": {"on-time": 0.5, "hard-limit": 2.0}}, "projects": {"default": 50.0},
                  "max-attempts": 1, "max-retry-after": 0.0}
    })
}

fn publication(parent: u64, max_attempts: u64) -> Value {
    json!({"parent": parent, "by": "ops", "note": "n", "document": document(max_attempts)})
}

/// A body that is not JSON, and bodies that are JSON but not the object that a call expects.
const MALFORMED: [&str; 5] = ["", "5", "[]", "{}", "{\"unknown\":1}"];

#[test]
fn endpoint_calls_keep_their_wire_form() {
    let mut node = Node::single("");
    node.get("/api/targets");
    node.post("/v1/register", &instance("s-1"));
    node.post("/v1/register", &instance("s-1"));
    node.post(
        "/v1/register",
        &json!({"instanceId": "s-2", "hostPort": "[::1]:7001", "lifecycle": "DRAINING",
                                      "weight": 2, "ttlMs": 500, "unknown": true}),
    );
    node.post("/v1/deregister", &json!({"instanceId": "s-2"}));
    node.get("/api/targets");
    node.get("/api/targets?since=1");
    node.get("/api/targets?since=2&timeout_ms=10");
    node.get("/api/targets?since=4&timeout_ms=10");
    node.get("/api/targets?since=5&timeout_ms=10");
    node.get("/api/targets?since=x");
    node.get("/api/targets?since=1&timeout_ms=-1");
    node.post("/v1/weight", &json!({"instanceId": "s-1", "weight": 0.25}));
    node.post("/v1/weight", &json!({"instanceId": "s-1", "weight": 1000.5}));
    node.post("/v1/weight", &json!({"instanceId": "s-1"}));
    node.post("/v1/weight", &json!({"instanceId": "s-9", "weight": 1}));
    node.post("/v1/drain", &json!({"instanceId": "s-1"}));
    node.post("/v1/drain", &json!({"instanceId": "s-1"}));
    node.post("/v1/drain", &json!({"instanceId": "s-1", "weight": 1}));
    node.post("/v1/drain", &json!({"instanceId": "s-9"}));
    node.post("/v1/deregister", &json!({"instanceId": "s-9"}));
    node.get("/api/targets?since=4");
    let rejected = [
        ("instanceId", json!("")),
        ("instanceId", json!("a b")),
        ("zone", json!("é")),
        ("machineType", json!("x".repeat(129))),
        ("hostPort", json!("127.0.0.1:0")),
        ("hostPort", json!("localhost:7000")),
        ("lifecycle", json!("DELETED")),
        ("lifecycle", json!("GONE")),
        ("weight", json!(0)),
        ("weight", json!("1")),
        ("ttlMs", json!(499)),
        ("ttlMs", json!(300_001)),
        ("cell", json!(-1)),
    ];
    for (key, value) in rejected {
        node.post("/v1/register", &with(instance("s-3"), key, value));
    }
    for path in ["/v1/register", "/v1/deregister", "/v1/drain", "/v1/weight", "/v1/unknown"] {
        for body in MALFORMED {
            node.call("POST", path, body);
        }
    }
    node.post("/v1/unknown", &json!({"instanceId": "s-1"}));
    node.post("/v1/register", &with(instance("s-3"), "zone", json!("z".repeat(62 << 10))));
    node.call("POST", "/v1/register", &"x".repeat((64 << 10) + 1));
    node.check_transcript("endpoints");
}

#[test]
fn lease_calls_keep_their_wire_form() {
    let mut node = Node::single("");
    let lease = |holder: &str| json!({"name": "d", "holder": holder, "ttlMs": LONG_TTL_MS});
    node.post("/v1/lease/acquire", &lease("h1"));
    node.post("/v1/lease/acquire", &lease("h1"));
    node.post("/v1/lease/acquire", &lease("h2"));
    node.post("/v1/lease/keepalive", &json!({"name": "d", "token": 3}));
    node.post("/v1/lease/keepalive", &json!({"name": "d", "token": 2}));
    node.post("/v1/lease/release", &json!({"name": "d", "token": 2}));
    node.post("/v1/lease/release", &json!({"name": "d", "token": 3}));
    node.post("/v1/lease/release", &json!({"name": "d", "token": 3}));
    node.post("/v1/lease/release", &json!({"name": "d"}));
    node.post("/v1/lease/acquire", &json!({"name": "d", "ttlMs": 1000}));
    node.post("/v1/lease/acquire", &json!({"name": "d", "holder": "h"}));
    node.post("/v1/lease/acquire", &json!({"name": "", "holder": "h", "ttlMs": 1000}));
    node.post("/v1/lease/acquire", &json!({"name": "d", "holder": "", "ttlMs": 1000}));
    node.post("/v1/lease/acquire", &json!({"name": "d", "holder": "h", "ttlMs": 1}));
    node.post("/v1/lease/unknown", &json!({"name": "d"}));
    for path in ["/v1/lease/acquire", "/v1/lease/release", "/v1/lease/keepalive", "/v1/lease/unknown"] {
        for body in MALFORMED {
            node.call("POST", path, body);
        }
    }
    node.check_transcript("leases");
}

#[test]
fn session_and_settings_calls_keep_their_wire_form() {
    let mut node = Node::single("");
    node.get("/v1/agreed");
    node.get("/v1/settings");
    node.get("/v1/settings/history");
    node.get("/v1/fleet");
    node.post("/v1/settings", &publication(7, 2));
    node.post("/v1/session/open", &json!({"name": "p-1", "ttlMs": LONG_TTL_MS}));
    node.wait_for("/v1/agreed", "\"slots\":\"0\"");
    node.get("/v1/agreed");
    node.post("/v1/settings", &publication(0, 2));
    node.get("/v1/agreed?since=3&timeout_ms=10");
    node.get("/v1/agreed?have=4");
    node.get("/v1/agreed?since=99&timeout_ms=10");
    node.get("/v1/agreed?since=x");
    node.get("/v1/agreed?since=1&timeout_ms=x");
    node.get("/v1/settings");
    node.post("/v1/session/open", &json!({"name": "p-2", "ttlMs": LONG_TTL_MS, "holds": 3}));
    node.post("/v1/session/renew", &json!({"session": 2, "holds": 4, "inForce": 1, "members": 3, "list": 1}));
    node.get("/v1/settings");
    node.get("/v1/settings?version=4");
    node.get("/v1/settings?version=9");
    node.get("/v1/settings?version=x");
    node.post("/v1/settings", &publication(1, 3));
    node.post("/v1/settings", &publication(4, 3));
    node.post("/v1/settings", &publication(7, 4));
    node.post("/v1/settings", &publication(9, 5));
    node.get("/v1/settings/history");
    node.post("/v1/session/refuse", &json!({"session": 2, "name": "p-1", "version": 4, "why": "too old"}));
    node.post("/v1/session/refuse", &json!({"session": 2, "name": "p-1", "version": 7, "why": "cannot"}));
    node.post("/v1/session/refuse", &json!({"session": 88, "name": "p-1", "version": 7, "why": "cannot"}));
    node.post("/v1/session/refuse", &json!({"name": "p-3", "version": 7, "why": "cannot"}));
    node.post("/v1/session/refuse", &json!({"name": "p-3", "version": 7, "why": ""}));
    node.get("/v1/settings/history");
    node.get("/v1/agreed");
    node.get("/v1/fleet");
    node.post("/v1/session/renew", &json!({"session": 2, "holds": 10}));
    node.post("/v1/session/renew", &json!({"renewals": [{"session": 2, "holds": 10}, {"session": 88}]}));
    node.post("/v1/session/renew", &json!({"session": 88}));
    node.get("/v1/fleet");
    node.post("/v1/session/close", &json!({"session": 2}));
    node.post("/v1/session/close", &json!({"session": 2}));
    node.wait_for("/v1/agreed", "\"slots\":\"\"");
    node.get("/v1/agreed");
    node.get("/v1/fleet");
    node.post("/v1/session/open", &json!({"name": "", "ttlMs": 1000, "holds": 99}));
    node.post("/v1/session/open", &json!({"name": "p", "ttlMs": 1, "holds": 99}));
    node.post("/v1/settings", &json!({"parent": 0, "by": "ops", "document": {"max-attempts": 1}}));
    node.post("/v1/settings", &json!({"parent": 0, "by": "ops", "document": document(99)}));
    let doc = with(document(2), "floor", with(document(2)["floor"].clone(), "max-retry-after", json!(0.5)));
    let doc = with(doc, "max-retry-after", json!(0.5));
    node.post("/v1/settings", &json!({"parent": 10, "by": "ops", "document": doc}));
    node.post("/v1/settings", &json!({"parent": 10, "by": "", "document": document(2)}));
    let paths = ["/v1/session/open", "/v1/session/close", "/v1/session/refuse", "/v1/session/renew"];
    for path in paths.into_iter().chain(["/v1/settings", "/v1/session/unknown"]) {
        for body in MALFORMED {
            node.call("POST", path, body);
        }
    }
    node.check_transcript("sessions_and_settings");
}

#[test]
fn renewal_calls_keep_their_wire_form() {
    let mut node = Node::single("");
    node.post("/v1/register", &instance("s-1"));
    node.post("/v1/lease/acquire", &json!({"name": "d", "holder": "h", "ttlMs": LONG_TTL_MS}));
    node.post("/v1/session/open", &json!({"name": "p", "ttlMs": LONG_TTL_MS}));
    node.wait_for("/v1/agreed", "\"slots\":\"0\"");
    node.post("/v1/heartbeat", &json!({"instanceId": "s-1"}));
    node.post("/v1/heartbeat", &json!({"instanceId": "s-9"}));
    node.post("/v1/keepalive", &json!({}));
    let mixed = json!({"instances": ["s-1", "s-9", "s-8"],
                       "grants": [{"name": "d", "token": 3}, {"name": "d", "token": 4}],
                       "sessions": [{"session": 4}, {"session": 9}, {"session": 10}]});
    node.post("/v1/keepalive", &mixed);
    node.post("/v1/keepalive", &json!({"instances": vec!["s-1"; 256]}));
    node.post("/v1/keepalive", &json!({"instances": vec!["s-1"; 257]}));
    for path in ["/v1/heartbeat", "/v1/keepalive"] {
        for body in MALFORMED {
            node.call("POST", path, body);
        }
    }
    node.check_transcript("renewals");
}

#[test]
fn cluster_and_status_calls_keep_their_wire_form() {
    let mut node = Node::single("");
    node.get("/-/ready");
    node.get("/v1/status");
    node.post("/v1/register", &instance("s-1"));
    node.get("/v1/status");
    node.get("/raft/joined?node=1");
    node.get("/raft/joined");
    node.get("/raft/joined?node=x");
    node.post("/v1/cluster/join", &json!({"node": 4}));
    node.post("/v1/cluster/unknown", &json!({"node": 4}));
    node.post("/v1/cluster/forget", &json!({"node": 4}));
    for path in ["/v1/cluster/join", "/v1/cluster/forget", "/v1/cluster/unknown"] {
        for body in MALFORMED {
            node.call("POST", path, body);
        }
    }
    node.call("POST", "/raft/unknown", "{}");
    node.call("POST", "/raft/append", "{}");
    node.call("POST", "/raft/vote", "5");
    node.get("/");
    node.get("/v1/register");
    node.call("POST", "/api/targets", "{}");
    node.call("PUT", "/v1/register", "{}");
    node.call("DELETE", "/v1/unknown", "");
    node.check_transcript("cluster");
}

#[test]
fn a_watch_over_the_limit_is_rejected() {
    let mut node = Node::single("most_watchers = 1\n");
    let mut watch = connect(&node.process);
    send(watch.get_mut(), "GET", "/api/targets?since=1&timeout_ms=20000", &[], "");
    node.wait_for("/v1/status", "\"watching\":1");
    node.get("/v1/status");
    node.get("/api/targets?since=1");
    node.get("/v1/agreed?since=1");
    node.get("/api/targets");
    node.post("/v1/register", &instance("s-1"));
    let event = receive(&mut watch);
    node.record("GET", "/api/targets?since=1&timeout_ms=20000", &[], "", &event);
    node.check_transcript("watches");
}

#[test]
fn calls_to_a_node_without_a_leader_keep_their_wire_form() {
    let mut node = Node::without_leader();
    node.get("/v1/status");
    node.get("/raft/joined?node=1");
    node.get("/api/targets");
    node.get("/api/targets?since=1&timeout_ms=10");
    node.get("/v1/agreed");
    node.get("/v1/fleet");
    for headers in [&[][..], &["x-passed-on: 1"][..]] {
        node.call_with_headers("POST", "/v1/register", headers, &instance("s-1").to_string());
        node.call_with_headers("POST", "/v1/heartbeat", headers, "{\"instanceId\":\"s-1\"}");
        node.call_with_headers("POST", "/v1/keepalive", headers, "{}");
        node.call_with_headers("POST", "/v1/session/renew", headers, "{\"session\":1}");
    }
    node.call("POST", "/raft/vote", "{}");
    node.check_transcript("without_leader");
}

//! Compares the command line's output with the records in `tests/golden/command_line/`: help, output as text and as
//! JSON, error texts and exit codes. Operators and their scripts depend on them.

#[path = "golden/compare.rs"]
mod compare;

use compare::assert_golden;
use fleet_testbed::calls::call;
use fleet_testbed::process::{Fleet, Process};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linkhatch-proxy");
/// The maximum lifetime of a test's processes.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The timeout for reaching a state of the list service.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
/// A session TTL that does not expire during a test.
const LONG_TTL_MS: u64 = 60_000;

/// A started run of the program.
struct Run {
    arguments: Vec<String>,
    child: Child,
}

fn start(arguments: &[&str]) -> Run {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("RELAY_DISCOVERY").env_remove("RELAY_CONFIG");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let arguments = arguments.iter().map(ToString::to_string).collect();
    Run { arguments, child: command.spawn().expect("the program starts") }
}

impl Run {
    /// Waits for the end of the run; returns its command line, output and exit code.
    fn transcript(self) -> String {
        let output = self.child.wait_with_output().expect("the program ends");
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("UTF-8");
        format!(
            "$ {}\n{}--- standard error, exit code {}\n{}\n",
            self.arguments.join(" "),
            text(&output.stdout),
            output.status.code().expect("the program was not ended by a signal"),
            text(&output.stderr)
        )
    }
}

fn run(arguments: &[&str]) -> String {
    start(arguments).transcript()
}

/// Replaces the digits that directly precede `end` by one `#`.
fn hide_number_before(line: &str, end: &str) -> String {
    match line.find(end) {
        Some(start) => {
            format!("{}#{}", line[..start].trim_end_matches(|c: char| c.is_ascii_digit()), &line[start..])
        }
        None => line.to_string(),
    }
}

/// Replaces the texts that differ between runs: the node's address, the scratch folder and times.
fn normalized(text: &str, replacements: &[(&str, &str)]) -> String {
    let mut text = text.to_string();
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    let mut out = String::new();
    for line in text.lines() {
        let mut line = hide_number_before(line, " ms ago");
        for key in ["\"unixMs\": ", "\"leftMs\": ", "\"agoMs\": "] {
            if let Some(start) = line.find(key) {
                let comma = if line.ends_with(',') { "," } else { "" };
                line = format!("{}{key}#{comma}", &line[..start]);
            }
        }
        if line.contains(" attached ") || line.contains(" behind ") {
            let trimmed = line.trim_end_matches(|c: char| c.is_ascii_digit()).trim_end();
            line = format!("{trimmed} #");
        }
        writeln!(out, "{line}").expect("a string");
    }
    out
}

fn fleet() -> Fleet {
    Fleet::new(Path::new(PROGRAM), Path::new(env!("CARGO_TARGET_TMPDIR")), TEST_TIMEOUT)
}

/// Starts a list service of one node, and waits until it is the leader.
fn node(fleet: &mut Fleet) -> Process {
    let node = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("the list service starts");
    wait_for(node.address(), "/v1/status", |status| !status["leader"].is_null());
    node
}

/// A scratch folder of one test; dropping it removes the folder.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("command-line-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A document in the form that `get` prints and `put` accepts.
fn document(max_attempts: u32, worth: f64) -> String {
    json!({"document": {
        "classes": [{"name": "c", "effect": "free", "on-time": 1.0, "hard-limit": 1.0, "worth": worth}],
        "projects": [{"name": "quayside", "quota-per-s": 3.5}],
        "max-attempts": max_attempts,
        "floor": {"classes": {"c": {"on-time": 1.0, "hard-limit": 1.0}}, "projects": {"quayside": 1.0},
                  "max-attempts": 1, "max-retry-after": 0.0}
    }})
    .to_string()
}

fn post(node_address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    call(node_address, "POST", path, body).expect("the node answers")
}

/// Waits until the node's answer at `path` satisfies `condition`; returns that answer.
fn wait_for(node_address: SocketAddr, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + STATE_TIMEOUT;
    loop {
        let (_, answer) = call(node_address, "GET", path, &Value::Null).expect("the node answers");
        if condition(&answer) {
            return answer;
        }
        assert!(Instant::now() < deadline, "timed out; last answer at {path}: {answer}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Opens a session and returns its number.
fn open_session(node_address: SocketAddr, name: &str, held_version: u64) -> u64 {
    let (status, answer) = post(
        node_address,
        "/v1/session/open",
        &json!({"name": name, "ttlMs": LONG_TTL_MS, "holds": held_version}),
    );
    assert_eq!(status, 200, "{answer}");
    answer["session"].as_u64().expect("a session")
}

#[test]
fn help_is_as_recorded() {
    let mut out = String::new();
    for command in [
        vec![],
        vec!["registry"],
        vec!["hold"],
        vec!["settings"],
        vec!["settings", "get"],
        vec!["settings", "put"],
        vec!["settings", "diff"],
        vec!["settings", "history"],
        vec!["settings", "rollback"],
        vec!["settings", "init"],
        vec!["fleet"],
        vec!["fleet", "status"],
    ] {
        for help in ["--help", "-h"] {
            let arguments: Vec<&str> = command.iter().copied().chain([help]).collect();
            out += &run(&arguments);
        }
    }
    out += &run(&["--version"]);
    assert_golden("command_line/help.txt", &out);
}

#[test]
fn invalid_arguments_end_with_the_recorded_text_and_code() {
    let scratch = Scratch::new("arguments");
    let parsed: Value = serde_json::from_str(&document(2, 1.0)).expect("JSON");
    let bare = scratch.write("bare.json", &parsed["document"].to_string());
    let wrong = scratch.write("wrong.json", &document(0, 1.0));
    let broken = scratch.write("broken.json", "{\"document\": ");
    let missing = scratch.0.join("missing.json").display().to_string();
    let unreachable_node = "127.0.0.1:1";
    let mut out = String::new();
    for arguments in [
        vec!["nonsense"],
        vec!["settings", "nonsense"],
        vec!["settings", "get"],
        vec!["settings", "get", "--at", "here"],
        vec!["settings", "get", "--at", unreachable_node, "--version", "x"],
        vec!["settings", "put", &bare, "--at", unreachable_node],
        vec!["settings", "put", "--by", "kim", "--at", unreachable_node],
        vec!["settings", "put", &bare, "--by", "kim", "--at", unreachable_node],
        vec!["settings", "put", &wrong, "--by", "kim", "--parent", "0", "--at", unreachable_node],
        vec!["settings", "put", &broken, "--by", "kim", "--parent", "0", "--at", unreachable_node],
        vec!["settings", "put", &missing, "--by", "kim", "--parent", "0", "--at", unreachable_node],
        vec!["settings", "put", &bare, "--by", "kim", "--parent", "0", "--at", unreachable_node],
        vec!["settings", "diff", "--at", unreachable_node],
        vec!["settings", "rollback", "--at", unreachable_node],
        vec!["settings", "init"],
        vec!["settings", "init", &missing],
        vec!["settings", "init", &broken],
        vec!["settings", "init", &bare],
        vec!["settings", "get", "--at", unreachable_node],
        vec!["settings", "history", "--at", "127.0.0.1:1,127.0.0.1:2"],
        vec!["fleet", "status", "--at", unreachable_node],
        vec!["registry", "--config", &missing],
        vec!["hold", "--config", &missing],
    ] {
        out += &run(&arguments);
    }
    let folder = scratch.0.display().to_string();
    assert_golden("command_line/wrong_arguments.txt", &normalized(&out, &[(&folder, "DIR")]));
}

#[test]
fn the_initial_document_of_a_configuration_is_printed_as_recorded() {
    let scratch = Scratch::new("init");
    let mut out = run(&["settings", "init", "deploy/sample.json"]);
    let sample = include_str!("../deploy/sample.json");
    let mut config: Value = serde_json::from_str(sample).expect("JSON");
    config["agreement"] = json!({"floor": {"classes": {}, "projects": {}, "max-attempts": 1}});
    out += &run(&["settings", "init", &scratch.write("incomplete_floor.json", &config.to_string())]);
    config["agreement"] = json!({"floor": {"classes": {}, "projects": {}, "max-attempts": 1,
                                           "max-retry-after": 0}});
    out += &run(&["settings", "init", &scratch.write("floor_without_classes.json", &config.to_string())]);
    let folder = scratch.0.display().to_string();
    assert_golden("command_line/init.txt", &normalized(&out, &[(&folder, "DIR")]));
}

#[test]
fn publishing_reading_and_rolling_back_settings_print_the_recorded_text() {
    let (scratch, mut fleet) = (Scratch::new("settings"), fleet());
    let node = node(&mut fleet);
    let address = node.address().to_string();
    let first = scratch.write("first.json", &document(2, 1.0));
    let second = scratch.write("second.json", &document(3, 4.0));
    let restart = scratch.write("restart.json", &document(3, 4.0).replace("\"free\"", "\"single_shot\""));
    let mut out = String::new();
    let mut step = |arguments: &[&str]| {
        let all: Vec<&str> = arguments.iter().copied().chain(["--at", &address]).collect();
        let text = run(&all);
        out += &text;
        text
    };
    step(&["settings", "get"]);
    step(&["settings", "get", "--json"]);
    step(&["settings", "history"]);
    step(&["settings", "history", "--json"]);
    step(&["settings", "put", &first, "--by", "kim", "--parent", "0", "--note", "the first"]);
    let head = |node_address| {
        call(node_address, "GET", "/v1/settings", &Value::Null).expect("answered").1["head"].clone()
    };
    let version_1 = head(node.address())["version"].to_string();
    step(&["settings", "put", &second, "--by", "kim", "--parent", "0"]);
    step(&["settings", "put", &second, "--by", "kim", "--parent", "0", "--json"]);
    step(&["settings", "put", &restart, "--by", "kim", "--parent", &version_1]);
    step(&["settings", "put", &second, "--by", "", "--parent", &version_1]);
    step(&["settings", "put", &second, "--by", "kim", "--parent", &version_1, "--json"]);
    let version_2 = head(node.address())["version"].to_string();
    step(&["settings", "get"]);
    step(&["settings", "get", "--version", &version_1]);
    step(&["settings", "get", "--version", "99"]);
    step(&["settings", "get", "--version", "99", "--json"]);
    step(&["settings", "diff", &version_1, &version_2]);
    step(&["settings", "diff", &version_1, &version_2, "--json"]);
    step(&["settings", "diff", &version_1]);
    step(&["settings", "diff", &version_2, &version_2]);
    step(&["settings", "diff", &version_1, "99"]);
    step(&["settings", "rollback", &version_1, "--by", "lee", "--wait", "5"]);
    step(&["settings", "rollback", &version_2, "--by", "lee", "--note", "forward again", "--json"]);
    step(&["settings", "rollback", "99", "--by", "lee"]);
    step(&["settings", "history"]);
    step(&["settings", "history", "--json"]);
    step(&["fleet", "status"]);
    step(&["fleet", "status", "--json"]);
    // The edited output of `get` is accepted as the successor of the version that it names.
    let mut edited = head(node.address());
    edited["document"]["max-attempts"] = json!(5);
    let edited = scratch.write("edited.json", &edited.to_string());
    step(&["settings", "put", &edited, "--by", "kim"]);
    step(&["settings", "put", &edited, "--by", "kim"]);
    let folder = scratch.0.display().to_string();
    let replacements = [(address.as_str(), "NODE"), (folder.as_str(), "DIR")];
    assert_golden("command_line/settings.txt", &normalized(&out, &replacements));
    fleet.check_deadline();
}

#[test]
fn version_statuses_and_the_fleet_status_are_printed_as_recorded() {
    let (scratch, mut fleet) = (Scratch::new("fleet"), fleet());
    let node = node(&mut fleet);
    let (node_address, address) = (node.address(), node.address().to_string());
    let file = |worth: f64| scratch.write(&format!("{worth}.json"), &document(2, worth));
    let mut out = String::new();
    let with_node = |arguments: &[&str]| -> Vec<String> {
        arguments.iter().copied().chain(["--at", &address]).map(String::from).collect()
    };
    let start_with_node = |arguments: &[&str]| {
        let all = with_node(arguments);
        start(&all.iter().map(String::as_str).collect::<Vec<_>>())
    };
    let status_of = |version: &str| {
        call(node_address, "GET", &format!("/v1/settings?version={version}"), &Value::Null)
            .expect("answered")
            .1["fate"]
            .clone()
    };
    let head = || {
        call(node_address, "GET", "/v1/settings", &Value::Null).expect("answered").1["head"]["version"]
            .to_string()
    };
    let wait_for_new_head = |old_head: &str| {
        let old_head: Option<u64> = old_head.parse().ok();
        let answer = wait_for(node_address, "/v1/settings", |s| s["head"]["version"].as_u64() != old_head);
        answer["head"]["version"].to_string()
    };
    out += &start_with_node(&["settings", "put", &file(1.0), "--by", "kim", "--parent", "0"]).transcript();
    let version_1: u64 = head().parse().expect("a version");
    let session = open_session(node_address, "proxy-a", version_1);
    // Each change reaches the membership before the next one is made, so that revisions are the same in each run.
    let wait_for_members =
        |slots: &str| drop(wait_for(node_address, "/v1/fleet", |fleet| fleet["members"]["slots"] == slots));
    wait_for_members("0");
    let closed_session = open_session(node_address, "proxy-b", version_1);
    wait_for_members("0-1");
    assert_eq!(post(node_address, "/v1/session/close", &json!({"session": closed_session})).0, 200);
    wait_for_members("0");
    out += &start_with_node(&["fleet", "status"]).transcript();

    // The session acknowledges nothing, so the version stays offered and further versions wait.
    let version_1 = version_1.to_string();
    let start_put = |worth: f64, parent: &str, wait: &str| {
        start_with_node(&["settings", "put", &file(worth), "--by", "kim", "--parent", parent, "--wait", wait])
    };
    out += &start_put(2.0, &version_1, "0").transcript();
    let offered = head();
    assert_eq!(status_of(&offered), "offered");
    out += &start_put(3.0, &offered, "0.3").transcript();
    let waiting = head();
    let superseded = start_put(4.0, &waiting, "20");
    let superseded_version = wait_for_new_head(&waiting);
    out += &start_put(5.0, &superseded_version, "0").transcript();
    out += &superseded.transcript();
    out += &start_with_node(&["settings", "history"]).transcript();
    out += &start_with_node(&["fleet", "status"]).transcript();
    out += &start_with_node(&["fleet", "status", "--json"]).transcript();

    // The proxy rejects the offered version, so it is withdrawn and the waiting version is offered.
    let reject = |version: &str| {
        let version: u64 = version.parse().expect("a version");
        let body = json!({"session": session, "name": "proxy-a", "version": version,
                          "why": "classes.c: is not known"});
        assert_eq!(post(node_address, "/v1/session/refuse", &body).0, 200);
    };
    let last = head();
    reject(&offered);
    assert_eq!(status_of(&offered), "withdrawn");
    assert_eq!(status_of(&last), "offered");
    let withdrawn = start_put(6.0, &last, "20");
    let withdrawn_version = wait_for_new_head(&last);
    let held_version: u64 = last.parse().expect("a version");
    let renewal =
        json!({"session": session, "holds": held_version, "inForce": held_version, "members": 4, "list": 0});
    assert_eq!(post(node_address, "/v1/session/renew", &renewal).0, 200);
    assert_eq!(status_of(&last), "in force");
    reject(&withdrawn_version);
    out += &withdrawn.transcript();
    out += &start_with_node(&["settings", "get", "--version", &withdrawn_version]).transcript();
    out += &start_with_node(&["settings", "get", "--version", &last]).transcript();
    out += &start_with_node(&["fleet", "status"]).transcript();
    out += &start_with_node(&["fleet", "status", "--json"]).transcript();
    out += &start_with_node(&["settings", "history", "--json"]).transcript();
    let folder = scratch.0.display().to_string();
    let replacements = [(address.as_str(), "NODE"), (folder.as_str(), "DIR")];
    assert_golden("command_line/fleet.txt", &normalized(&out, &replacements));
    fleet.check_deadline();
}

/// A node that answers every call with `answer`, or closes the connection where that is empty.
fn fake_node(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let mut received = Vec::new();
            let mut chunk = [0; 4096];
            // A call of these tests is one head, followed in a `POST` by a body that ends with a brace.
            while let Ok(count) = stream.read(&mut chunk) {
                received.extend_from_slice(&chunk[..count]);
                let is_complete_get = received.starts_with(b"GET") && received.ends_with(b"\r\n\r\n");
                if count == 0 || is_complete_get || received.ends_with(b"}") {
                    break;
                }
            }
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

#[test]
fn answers_without_a_known_outcome_end_with_the_recorded_text_and_code() {
    let scratch = Scratch::new("unknown");
    let file = scratch.write("document.json", &document(2, 1.0));
    let answers = [
        (
            "unknown",
            "HTTP/1.1 503 Unavailable\r\ncontent-length: 41\r\n\r\n{\"error\":\"no quorum\",\"outcome\":\"unknown\"}",
        ),
        ("unavailable", "HTTP/1.1 503 Unavailable\r\ncontent-length: 21\r\n\r\n{\"error\":\"no leader\"}"),
        ("refused", "HTTP/1.1 400 Bad Request\r\ncontent-length: 27\r\n\r\n{\"error\":\"by: what a text\"}"),
        ("without an error", "HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\n{}"),
        ("no JSON", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
        ("closed", ""),
    ];
    let mut out = String::new();
    for (name, answer) in answers {
        let address = fake_node(answer).to_string();
        let mut transcripts = run(&["settings", "get", "--at", &address]);
        transcripts += &run(&["settings", "history", "--json", "--at", &address]);
        transcripts += &run(&["settings", "put", &file, "--by", "kim", "--parent", "0", "--at", &address]);
        transcripts += &run(&["fleet", "status", "--at", &address]);
        transcripts += &run(&["fleet", "status", "--json", "--at", &address]);
        transcripts += &run(&["settings", "history", "--at", &address]);
        transcripts += &run(&["settings", "diff", "1", "2", "--at", &address]);
        transcripts += &run(&["settings", "rollback", "1", "--by", "kim", "--at", &address]);
        writeln!(out, "=== {name}\n{}", transcripts.replace(&address, "NODE")).expect("a string");
    }
    let folder = scratch.0.display().to_string();
    assert_golden("command_line/open_outcomes.txt", &normalized(&out, &[(&folder, "DIR")]));
}

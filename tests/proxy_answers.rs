//! Golden checks of the proxy's own output: its own HTTP answers byte for byte, and the fields of its log.
//! Clients and operators' tools depend on both.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longer than any step takes, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
static NEXT_ID: AtomicU64 = AtomicU64::new(0xa000);

/// How a backend handles each request.
#[derive(Clone, Copy)]
enum Behavior {
    /// Answers 200.
    Serve,
    /// Closes the connection.
    Close,
    /// Never answers.
    Hang,
}

/// Starts a backend, and returns its address.
fn backend(behavior: Behavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream, behavior));
        }
    });
    address
}

fn serve(mut stream: TcpStream, behavior: Behavior) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..read]);
        if !received.ends_with(b"\r\n\r\nbody") {
            continue;
        }
        received.clear();
        match behavior {
            Behavior::Serve => {
                let answer = "HTTP/1.1 200 OK\r\nContent-Type: text/x-test\r\nX-Backend: b\r\n\
                              Content-Length: 5\r\n\r\nhello";
                let _ = stream.write_all(answer.as_bytes());
            }
            Behavior::Close => drop(stream.shutdown(Shutdown::Both)),
            Behavior::Hang => {}
        }
    }
}

fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 20.0,
               "hard-limit": 20.0, "late-worth": 0.0, "worth": 1.0})
    };
    json!({
        "caps": {"cancel": true, "connect-timeout": 5.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "max-retry-after": 0.5, "retry-after": true, "second-copies": true},
        "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
        "me": 0, "n-instances": 1, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "acme", "quota-per-s": 100.0}],
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "tier": 1, "zone": "a", "zones": ["a"]
    })
}

/// The configuration of a proxy with one backend or none.
fn config(settings: Value, backend: Option<SocketAddr>) -> Value {
    let entry = |address: SocketAddr| {
        json!({"instanceId": "s-0", "hostPort": address.to_string(), "zone": "a", "machineType": "m",
               "cell": 0, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0})
    };
    let instances: Vec<Value> = backend.into_iter().map(entry).collect();
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024}, "settings": settings,
           "discovery": hanging_discovery().to_string(),
           "known": {"generation": 1, "reset": true, "instances": instances}})
}

/// Starts a discovery service that accepts calls and never answers; returns its address.
fn hanging_discovery() -> SocketAddr {
    backend(Behavior::Hang)
}

struct Proxy {
    child: Child,
    address: SocketAddr,
    log: BufReader<ChildStderr>,
    config: PathBuf,
}

impl Proxy {
    fn start(config: &Value, log_level: Option<&str>) -> Self {
        let name = format!("answers-{}-{}.json", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, config.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_linkhatch-proxy"));
        command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
        if let Some(level) = log_level {
            command.env("LINKHATCH_LOG", level);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("linkhatch-proxy: listening on ").expect(&line);
        Self { child, address: address.parse().unwrap(), log, config: path }
    }

    fn with_backend(backend: Option<SocketAddr>) -> Self {
        Self::start(&config(settings(), backend), None)
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    fn exchange(&self, text: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).unwrap();
        read_answer(&mut stream)
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads one answer, unchanged except that its `date` header is removed.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap() == 0 {
            break;
        }
        answer.push(byte[0]);
    }
    let head = String::from_utf8(answer).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
    let is_stable = |line: &&str| !line.starts_with("date: ");
    let head: String = head.split_inclusive("\r\n").filter(is_stable).collect();
    head + &String::from_utf8(body).unwrap()
}

/// The answer that consists of `lines`, the last of which is the body.
fn golden(lines: &[&str]) -> String {
    let (body, head) = lines.split_last().unwrap();
    format!("{}\r\n\r\n{body}\n", head.join("\r\n"))
}

fn request(class: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let key = if class == "save" { "Idempotency-Key: 5c0f6e1a\r\n" } else { "" };
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n{key}\
         X-Remaining-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody"
    )
}

const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";

#[test]
fn readiness_answers_are_stable() {
    let ready = Proxy::with_backend(Some(backend(Behavior::Serve))).exchange(READINESS_REQUEST);
    assert_eq!(ready, golden(&["HTTP/1.1 200 OK", "content-length: 6", "ready"]));
    let not_ready = Proxy::with_backend(None).exchange(READINESS_REQUEST);
    assert_eq!(not_ready, golden(&["HTTP/1.1 503 Service Unavailable", "content-length: 10", "not ready"]));
}

#[test]
fn a_served_answer_has_only_the_body_and_its_content_type() {
    let proxy = Proxy::with_backend(Some(backend(Behavior::Serve)));
    let answer = proxy.exchange(&request("look"));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/x-test\r\ncontent-length: 5\r\n\r\n";
    assert_eq!(answer, format!("{head}hello"));
}

#[test]
fn answers_to_bad_requests_are_stable() {
    let proxy = Proxy::with_backend(Some(backend(Behavior::Serve)));
    for (class, from, to, length, text) in [
        ("look", "X-Txn: 0", "X-Txn: ", "content-length: 30", "X-Txn: expected 16 hex digits"),
        ("look", "X-Txn: 0", "X-Txn: g", "content-length: 30", "X-Txn: expected 16 hex digits"),
        ("look", "X-Lane: look", "X-Lane: other", "content-length: 31", "X-Lane: expected a known class"),
        ("look", "X-Org: acme", "X-Org: other", "content-length: 31", "X-Org: expected a known tenant"),
        (
            "look",
            "X-Remaining-Ms: 9000",
            "X-Remaining-Ms: soon",
            "content-length: 44",
            "X-Remaining-Ms: expected whole milliseconds",
        ),
        (
            "save",
            "Idempotency-Key: 5c0f6e1a\r\n",
            "",
            "content-length: 41",
            "Idempotency-Key: expected for this class",
        ),
        (
            "look",
            "Content-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\nnone\r\n",
            "content-length: 19",
            "the body broke off",
        ),
    ] {
        let answer = proxy.exchange(&request(class).replace(from, to));
        assert_eq!(answer, golden(&["HTTP/1.1 400 Bad Request", length, text]), "{to}");
    }
    let repeated = request("look");
    assert!(proxy.exchange(&repeated).starts_with("HTTP/1.1 200 OK\r\n"));
    assert_eq!(
        proxy.exchange(&repeated),
        golden(&["HTTP/1.1 400 Bad Request", "content-length: 21", "X-Txn: has been used"])
    );
    let not_http = proxy.exchange("nonsense\r\n\r\n");
    assert_eq!(not_http, "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
}

#[test]
fn answers_to_bodies_that_are_too_large_or_too_late_are_stable() {
    let proxy = Proxy::with_backend(Some(backend(Behavior::Serve)));
    let large = format!("Content-Length: 65537\r\n\r\n{}", "x".repeat(65_537));
    assert_eq!(
        proxy.exchange(&request("look").replace("Content-Length: 4\r\n\r\nbody", &large)),
        golden(&["HTTP/1.1 413 Payload Too Large", "content-length: 22", "the body is too large"])
    );
    assert_eq!(
        proxy.exchange(&request("look").replace("Content-Length: 4\r\n", "Content-Length: 40\r\n")),
        golden(&["HTTP/1.1 408 Request Timeout", "content-length: 22", "the body did not come"])
    );
}

#[test]
fn the_answer_to_a_request_that_may_have_run_is_stable() {
    let proxy = Proxy::with_backend(Some(backend(Behavior::Close)));
    assert_eq!(
        proxy.exchange(&request("order")),
        golden(&["HTTP/1.1 502 Bad Gateway", "content-length: 7", "failed"])
    );
}

#[test]
fn rejections_have_a_retry_after_header_if_that_is_allowed() {
    for allowed in [true, false] {
        let mut settings = settings();
        settings["caps"]["max-open"] = json!(0);
        settings["caps"]["retry-after"] = json!(allowed);
        let proxy = Proxy::start(&config(settings, Some(backend(Behavior::Serve))), None);
        let mut lines = vec!["HTTP/1.1 503 Service Unavailable", "retry-after: 0.500", "content-length: 19"];
        lines.retain(|line| allowed || !line.starts_with("retry-after"));
        lines.push("refused, try again");
        assert_eq!(proxy.exchange(&request("look")), golden(&lines));
    }
}

#[test]
fn a_client_beyond_the_connection_limit_is_rejected_and_its_connection_closed() {
    let mut config = config(settings(), Some(backend(Behavior::Hang)));
    // Eight connections of clients: 48 descriptors are reserved, and two fifths of the rest are for backends.
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config, None);
    let mut busy: Vec<TcpStream> = (0..8).map(|_| proxy.connect()).collect();
    for stream in &mut busy {
        stream.write_all(request("order").as_bytes()).unwrap();
    }
    // All of these requests are read before the next connection is accepted.
    std::thread::sleep(Duration::from_millis(300));
    let mut stream = proxy.connect();
    stream.write_all(request("look").as_bytes()).unwrap();
    assert_eq!(
        read_answer(&mut stream),
        golden(&[
            "HTTP/1.1 503 Service Unavailable",
            "retry-after: 0.500",
            "connection: close",
            "content-length: 21",
            "too many connections",
        ])
    );
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}

/// The level of a log line, and its fields except time, target and message.
fn shape(line: &Value) -> String {
    let fields = line.as_object().unwrap().keys().map(String::as_str);
    let common = ["timestamp", "level", "target", "message"];
    let own: BTreeSet<&str> = fields.filter(|field| !common.contains(field)).collect();
    format!("{} {}", line["level"].as_str().unwrap(), own.into_iter().collect::<Vec<_>>().join(","))
}

/// The values of a field in all lines.
fn values<'a>(lines: &'a [Value], field: &str) -> BTreeSet<&'a str> {
    lines.iter().filter_map(|line| line[field].as_str()).collect()
}

/// Reads the log until a line contains `text`; adds the JSON lines that were read to `lines`.
fn read_log_until(proxy: &mut Proxy, lines: &mut Vec<Value>, text: &str) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let mut line = String::new();
        assert!(proxy.log.read_line(&mut line).unwrap() > 0 && Instant::now() < deadline, "no '{text}'");
        lines.extend(serde_json::from_str::<Value>(&line));
        if line.contains(text) {
            return;
        }
    }
}

#[test]
fn log_lines_keep_their_fields_and_reasons() {
    let mut settings = settings();
    settings["caps"]["max-open"] = json!(1);
    let mut config = config(settings, Some(backend(Behavior::Hang)));
    let mut proxy = Proxy::start(&config, Some("debug"));
    let mut lines = Vec::new();
    // One request is in flight and one is rejected; then the first one's client disconnects.
    let mut first = proxy.connect();
    first.write_all(request("order").as_bytes()).unwrap();
    read_log_until(&mut proxy, &mut lines, "\"attempt\":0");
    assert!(proxy.exchange(&request("look")).starts_with("HTTP/1.1 503"));
    drop(first);
    read_log_until(&mut proxy, &mut lines, "Cancelled");
    // Discovery moves to a closed port, and then to a service that answers with a list.
    let closed_port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let closing_backend = backend(Behavior::Close);
    for discovery in [closed_port, discovery_with_list(closing_backend)] {
        config["discovery"] = json!(discovery.to_string());
        std::fs::write(&proxy.config, config.to_string()).unwrap();
        proxy.signal("-HUP");
        read_log_until(&mut proxy, &mut lines, "linkhatch-proxy: discovery is at");
        let next = if discovery == closed_port { "\"failures\":" } else { "\"revision\":" };
        read_log_until(&mut proxy, &mut lines, next);
    }
    assert!(proxy.exchange(&request("order")).starts_with("HTTP/1.1 502"));
    // The proxy is stopped while a connection is idle.
    let mut idle = proxy.connect();
    idle.write_all(READINESS_REQUEST.as_bytes()).unwrap();
    read_answer(&mut idle);
    proxy.signal("-TERM");
    let mut rest = String::new();
    proxy.log.read_to_string(&mut rest).unwrap();
    lines.extend(rest.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()));
    let shapes: BTreeSet<String> = lines.iter().map(shape).collect();
    let expected = [
        "DEBUG attempt,backend,id,outcome",
        "DEBUG attempt,backend,id,reason,timeout",
        "DEBUG budget,class,connection,id",
        "DEBUG connection,in_hand,reason",
        "DEBUG connection,open",
        "DEBUG entries,known",
        "DEBUG id",
        "DEBUG id,reason",
        "DEBUG revision,whole",
        "INFO addresses",
        "INFO answers_within",
        "INFO connections",
        "INFO error,failures,took",
    ];
    assert_eq!(shapes, expected.map(String::from).into());
    let reasons: BTreeSet<&str> = values(&lines, "reason");
    assert_eq!(reasons, ["Ended", "First", "OpenRequests", "Stopping"].into());
    assert_eq!(values(&lines, "outcome"), ["Cancelled", "Reset"].into());
}

/// Starts a discovery service whose list has one backend, and returns its address.
fn discovery_with_list(backend: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let entry =
        json!({"instanceId": "s-0", "hostPort": backend.to_string(), "zone": "a", "lifecycle": "SERVING"});
    let list = json!({"generation": 2, "reset": true, "instances": [entry]}).to_string();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            std::thread::spawn(move || serve_list(stream, &answer));
        }
    });
    address
}

/// Answers the first call; later calls wait for changes, which never come.
fn serve_list(mut stream: TcpStream, answer: &str) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let mut is_answered = false;
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..read]);
        if received.ends_with(b"\r\n\r\n") && !is_answered {
            is_answered = true;
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

//! Runs the proxy program between clients, fake backends and a fake discovery service on loopback sockets.

use linkhatch_proxy::Outcome;
use linkhatch_proxy::proxy::clock::Clock;
use linkhatch_proxy::proxy::forwarded_request::ForwardedRequest;
use linkhatch_proxy::proxy::upstream::{AttemptLimits, ConnectionBudget, Endpoint, send_attempt};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than any step takes, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

/// A message that was read: its start line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
struct Message {
    start_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the next message of a connection; returns `None` at its end.
fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end().to_string();
        line.clear();
        if message.start_line.is_empty() {
            message.start_line = text;
        } else if let Some((name, value)) = text.split_once(": ") {
            message.headers.push((name.to_lowercase(), value.to_string()));
        } else if text.is_empty() {
            let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
            message.body = vec![0; length];
            stream.read_exact(&mut message.body).ok()?;
            return Some(message);
        }
    }
    None
}

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// How a fake server handles a request.
enum Behavior {
    Answer(String),
    /// Answers, then closes without `Connection: close`, and signals the close.
    AnswerAndClose(String, Sender<()>),
    /// The same, but closes only when signalled.
    AnswerAndCloseLater(String, Arc<Mutex<Receiver<()>>>, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Never answers; signals when the other side closes the connection.
    Hang(Sender<()>),
}

/// A server that records the requests it receives.
struct FakeServer {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Message>>>,
    connections: Arc<AtomicUsize>,
}

impl FakeServer {
    fn new(behavior: impl Fn(usize, &Message) -> Behavior + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let (requests, connections) = (server.requests.clone(), server.connections.clone());
        let behavior = Arc::new(behavior);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, behavior) = (requests.clone(), behavior.clone());
                std::thread::spawn(move || serve(stream, &requests, &*behavior));
            }
        });
        server
    }

    /// A server that answers every request with 200 and its name.
    fn answering(name: &'static str) -> Self {
        Self::new(move |_, _| Behavior::Answer(answer("200 OK", name)))
    }

    fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, behavior: &dyn Fn(usize, &Message) -> Behavior) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match behavior(number, &message) {
            Behavior::Answer(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            Behavior::AnswerAndCloseLater(text, close_signal, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                let _ = close_signal.lock().unwrap().recv_timeout(TIMEOUT);
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Behavior::AnswerAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Dropping the stream would not close it: a process that is just being started has a copy.
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Behavior::Close => return drop(stream.get_mut().shutdown(Shutdown::Both)),
            Behavior::Hang(ended) => {
                let _ = stream.read(&mut [0]);
                let _ = ended.send(());
                return;
            }
        }
    }
}

fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 20.0,
               "hard-limit": 20.0, "late-worth": 0.0, "worth": 1.0, "stream": false})
    };
    json!({
        "caps": {"cancel": true, "connect-timeout": 5.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                 "second-copies": true},
        "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
        "me": 0, "n-instances": 1, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "acme", "quota-per-s": 100.0, "share": 1.0}],
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "stats": {"fields": [], "how": "off"}, "tier": 1, "zone": "a", "zones": ["a"]
    })
}

fn entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

fn list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A discovery service that never answers, as if there were no changes.
fn unchanging_discovery() -> FakeServer {
    FakeServer::new(|_, _| Behavior::Hang(channel().0))
}

struct Proxy {
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        Self::start_with_file(settings, known, discovery).0
    }

    /// The same; also returns the path of the configuration.
    fn start_with_file(settings: &Value, known: &Value, discovery: SocketAddr) -> (Self, PathBuf) {
        let (mut command, path) = command(&config(settings, known), discovery);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address =
            line.trim().strip_prefix("linkhatch-proxy: listening on ").expect(&line).parse().unwrap();
        // The log is read, so that writing it does not block the proxy.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        (Self { child, address }, path)
    }

    /// Starts a proxy with these backends and default settings.
    fn with_backends(backends: &[&FakeServer]) -> Self {
        Self::start(&settings(), &known(backends), unchanging_discovery().address)
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    fn exchange(&self, text: &str) -> Message {
        exchange(&mut self.connect(), text)
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

fn known(backends: &[&FakeServer]) -> Value {
    let entry_of = |(i, b): (usize, &&FakeServer)| entry(&format!("s-{i}"), b.address, "SERVING");
    list(1, true, &backends.iter().enumerate().map(entry_of).collect::<Vec<_>>())
}

fn config(settings: &Value, known: &Value) -> String {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
    .to_string()
}

/// The command that runs the program, and the path of its configuration.
fn command(config: &str, discovery: SocketAddr) -> (Command, PathBuf) {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_linkhatch-proxy"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    (command, path)
}

fn exchange(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    read(stream).expect("an answer")
}

/// The text of a request of a class, with `remaining_ms` until its deadline.
fn request(class: &str, remaining_ms: u64) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn wait_for(event: &str, mut has_happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !has_happened() {
        assert!(start.elapsed() < TIMEOUT, "no {event} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn wait_for_close(ended: &Receiver<()>) {
    ended.recv_timeout(TIMEOUT).expect("the connection is closed");
}

#[test]
fn requests_and_answers_are_forwarded_unchanged() {
    let backend = FakeServer::answering("hello");
    let proxy = Proxy::with_backends(&[&backend]);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request("save", 9000);
    let answer = proxy.exchange(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let forwarded = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(
        (forwarded.start_line.as_str(), forwarded.body.as_slice()),
        ("POST /api?q=1 HTTP/1.1", b"body".as_slice())
    );
    assert!(text.contains(&format!("X-Txn: {}\r\n", forwarded.header("x-txn").unwrap())));
    assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a"));
    let remaining_ms: u64 = forwarded.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn malformed_requests_get_a_4xx() {
    let backend = FakeServer::answering("hello");
    let proxy = Proxy::with_backends(&[&backend]);
    let valid = request("look", 9000);
    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.exchange(&valid.replace(from, to)).status(), 400, "{to}");
    }
    let large = "x".repeat(65_537);
    let large =
        valid.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: 65537\r\n\r\n{large}"));
    assert_eq!(proxy.exchange(&large).status(), 413);
    assert_eq!(backend.count(), 0);
    assert_eq!(proxy.exchange(&valid).status(), 200);
}

/// A backend that remembers a used id may answer with the response to the earlier request.
#[test]
fn a_request_with_a_used_id_is_rejected_and_not_forwarded() {
    let backend = FakeServer::answering("hello");
    let proxy = Proxy::with_backends(&[&backend]);
    for class in ["look", "save", "order"] {
        let (text, before) = (request(class, 9000), backend.count());
        assert_eq!(proxy.exchange(&text).status(), 200);
        let replay = text.replace("/api?q=1", "/api?q=2");
        assert_eq!(proxy.exchange(&replay).status(), 400, "{class}");
        assert_eq!(backend.count(), before + 1, "{class}");
    }
}

/// A backend's 400 means that the request itself is malformed, so no other backend is tried.
#[test]
fn a_400_from_a_backend_fails_the_request_without_a_retry() {
    let (first_attempts, second_attempts) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let rejects = |count: &Arc<AtomicUsize>| {
        let count = count.clone();
        FakeServer::new(move |_, _| {
            count.fetch_add(1, Ordering::SeqCst);
            Behavior::Answer(answer("400 Bad Request", ""))
        })
    };
    let backends = [rejects(&first_attempts), rejects(&second_attempts)];
    let proxy = Proxy::with_backends(&[&backends[0], &backends[1]]);
    for class in ["look", "save", "order"] {
        let before = first_attempts.load(Ordering::SeqCst) + second_attempts.load(Ordering::SeqCst);
        let start = Instant::now();
        let status = proxy.exchange(&request(class, 20_000)).status();
        assert!(status >= 400 && status != 429 && status != 503, "{class}: {status}");
        // A retry would be sent seconds later.
        assert!(start.elapsed() < Duration::from_secs(2), "{class}");
        assert_eq!(
            first_attempts.load(Ordering::SeqCst) + second_attempts.load(Ordering::SeqCst),
            before + 1,
            "{class}"
        );
    }
}

#[test]
fn a_malformed_configuration_is_reported_in_one_line() {
    let mut incomplete = settings();
    incomplete["rules"].as_object_mut().unwrap().remove("cold");
    let known = list(1, true, &[]);
    for text in ["{".to_string(), config(&incomplete, &known)] {
        let output = command(&text, unchanging_discovery().address).0.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(message.starts_with("linkhatch-proxy: ") && message.lines().count() == 1, "{message}");
    }
}

/// Sets a value in the settings at a path of keys; null removes the key.
fn set(settings: &mut Value, path: &str, value: Value) {
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    match value {
        Value::Null => drop(parent.remove(key)),
        value => drop(parent.insert(key.to_string(), value)),
    }
}

#[test]
fn an_invalid_configuration_is_reported_by_its_key() {
    for (path, value, key) in [
        ("/classes/1/hard-limit", Value::Null, "hard-limit"),
        ("/classes/1/hard-limit", json!(-1.0), "hard-limit of class save"),
        ("/classes/1/group", Value::Null, "group of class save"),
        ("/classes/0/effect", json!("sometimes"), "settings.classes[0].effect"),
        ("/caps/max-attempts", json!(-3), "settings.caps.max-attempts"),
        ("/caps/max-attempts", json!(0), "caps.max-attempts"),
        ("/caps/connect-timeout", json!(-0.1), "caps.connect-timeout"),
        ("/caps/max-retry-after", json!(-1.0), "caps.max-retry-after"),
        ("/projects/0/quota-per-s", json!(-5.0), "quota-per-s of project acme"),
        ("/rules/tip-after", json!(-1.0), "rules.tip-after"),
        ("/rules/drain-grace", json!("soon"), "settings.rules.drain-grace"),
        ("/n-instances", json!(0), "n-instances"),
        ("/classes", json!([]), "classes"),
    ] {
        let mut settings = settings();
        set(&mut settings, path, value.clone());
        let text = config(&settings, &list(1, true, &[]));
        let output = command(&text, unchanging_discovery().address).0.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{path} {value}");
        assert!(message.lines().count() == 1 && message.contains(key), "{path} {value}: {message}");
    }
    // Unknown keys are ignored.
    let mut settings = settings();
    set(&mut settings, "/rules/something-new", json!({"deep": [1]}));
    let backend = FakeServer::answering("hello");
    let proxy = Proxy::start(&settings, &known(&[&backend]), unchanging_discovery().address);
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn without_a_configuration_file_the_embedded_sample_starts_and_answers() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linkhatch-proxy"));
    command.env_remove("RELAY_CONFIG").env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", unchanging_discovery().address.to_string());
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut lines = [String::new(), String::new()];
    for line in &mut lines {
        log.read_line(line).unwrap();
    }
    let _ = child.kill();
    let _ = child.wait();
    assert!(lines[0].contains("using the embedded sample"), "{lines:?}");
    assert!(lines[1].starts_with("linkhatch-proxy: listening on 127.0.0.1:"), "{lines:?}");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_failed_without_a_retry() {
    let backends = [FakeServer::new(|_, _| Behavior::Close), FakeServer::new(|_, _| Behavior::Close)];
    let proxy = Proxy::with_backends(&[&backends[0], &backends[1]]);
    let status = proxy.exchange(&request("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].count() + backends[1].count(), 1);
}

#[test]
fn a_non_idempotent_request_without_a_reachable_backend_is_rejected() {
    // The socket is bound but not listening: connections are refused, and no other test gets the port.
    let bound = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    bound.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let closed = bound.local_addr().unwrap().as_socket().unwrap();
    let known = list(1, true, &[entry("s-1", closed, "SERVING")]);
    let proxy = Proxy::start(&settings(), &known, unchanging_discovery().address);
    let rejection = proxy.exchange(&request("order", 1000));
    assert_eq!(rejection.status(), 503);
    let retry_after: f64 = rejection.header("retry-after").expect("a retry-after header").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
}

#[test]
fn rejections_at_capacity_have_a_retry_after_header_if_that_is_allowed() {
    for (allowed, retry_after) in [(true, Some("0.500")), (false, None)] {
        let backend = FakeServer::new(|_, _| Behavior::Hang(channel().0));
        let mut settings = settings();
        settings["caps"]["max-open"] = json!(1);
        settings["caps"]["max-retry-after"] = json!(0.5);
        settings["caps"]["retry-after"] = json!(allowed);
        let proxy = Proxy::start(&settings, &known(&[&backend]), unchanging_discovery().address);
        let mut first = proxy.connect();
        first.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
        wait_for("attempt", || backend.count() == 1);
        let rejection = proxy.exchange(&request("order", 20_000));
        assert_eq!((rejection.status(), rejection.header("retry-after")), (503, retry_after));
    }
}

#[test]
fn a_connection_closed_by_the_backend_is_not_reused() {
    let (closed, end) = channel();
    let backend =
        FakeServer::new(move |_, _| Behavior::AnswerAndClose(answer("200 OK", "hello"), closed.clone()));
    let proxy = Proxy::with_backends(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        wait_for_close(&end);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 5);
}

#[test]
fn connections_are_reused() {
    let backend = FakeServer::answering("hello");
    let proxy = Proxy::with_backends(&[&backend]);
    for _ in 0..20 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        // After this delay no late response is expected on the connection.
        std::thread::sleep(Duration::from_millis(25));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_connection_near_the_idle_limit_is_not_reused() {
    let backend = FakeServer::answering("hello");
    let mut settings = settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = Proxy::start(&settings, &known(&[&backend]), unchanging_discovery().address);
    for _ in 0..2 {
        assert_eq!(proxy.exchange(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn attempts_are_cancelled_when_the_client_disconnects() {
    let (ended, end) = channel();
    let backend = FakeServer::new(move |_, _| Behavior::Hang(ended.clone()));
    let proxy = Proxy::with_backends(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let disconnected_at = Instant::now();
    drop(client);
    wait_for_close(&end);
    assert!(disconnected_at.elapsed() < Duration::from_secs(10));
}

/// A process that was suspended finds a client's disconnect and the timer of its request due at the same time: the
/// disconnect takes precedence.
#[test]
fn no_retry_is_sent_for_a_client_that_disconnected_while_the_process_was_suspended() {
    let (ended, end) = channel();
    let silent = |ended: &Sender<()>| {
        let ended = ended.clone();
        FakeServer::new(move |_, _| Behavior::Hang(ended.clone()))
    };
    let backends = [silent(&ended), silent(&ended)];
    let proxy = Proxy::with_backends(&[&backends[0], &backends[1]]);
    let attempts = || backends[0].count() + backends[1].count();
    for round in 1..=5 {
        let mut client = proxy.connect();
        // The request would be retried after about 0.6 s.
        client.get_mut().write_all(request("look", 1500).as_bytes()).unwrap();
        wait_for("attempt", || attempts() == round);
        proxy.signal("-STOP");
        drop(client);
        std::thread::sleep(Duration::from_millis(1000));
        proxy.signal("-CONT");
        wait_for_close(&end);
        // Any further attempt would be sent before this answer.
        assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
        assert_eq!(attempts(), round, "retried after its client had disconnected");
    }
}

#[test]
fn sigterm_loses_no_received_request() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let backend = FakeServer::new(move |number, _| {
        if number == 0 {
            released.lock().unwrap().recv_timeout(TIMEOUT).unwrap();
        }
        Behavior::Answer(answer("200 OK", "hello"))
    });
    let mut proxy = Proxy::with_backends(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    proxy.signal("-TERM");
    // Requests on old connections and on new ones are still served, and the connections are closed later.
    wait_for("stop", || proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    for stream in [&mut idle, &mut proxy.connect()] {
        let answer = exchange(stream, &request("look", 20_000));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    let mut unused = proxy.connect();
    assert!(read(&mut unused).is_none(), "an idle connection is closed");
    release.send(()).unwrap();
    assert_eq!(read(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_incomplete_request_does_not_delay_the_exit() {
    let backend = FakeServer::answering("hello");
    let mut proxy = Proxy::with_backends(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // An answer on another connection shows that this one has been accepted.
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

/// The limits of an attempt that has enough time.
const AMPLE_LIMITS: AttemptLimits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 0 };

/// A forwarded request, which is non-idempotent or idempotent.
fn payload(non_idempotent: bool) -> ForwardedRequest {
    ForwardedRequest {
        method: "POST".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        head_reservation: None,
        body: "body".into(),
        is_non_idempotent: non_idempotent,
        history: Default::default(),
        guard: Default::default(),
        is_done: Default::default(),
        client_has_disconnected: Box::new(|| false),
        stamp: None,
    }
}

#[tokio::test(start_paused = true)]
async fn non_idempotent_requests_avoid_connections_near_an_observed_idle_close() {
    // The first connection is closed after this idle time, in milliseconds (1: at once), or not at all.
    for (close_after_ms, safe_ms, uncertain_ms) in
        [(Some(1000), 400, 600), (Some(1), 5000, 20_000), (None, 5000, 20_000)]
    {
        let ((close, close_signal), (closed, end)) = (channel(), channel());
        let close_signal = Arc::new(Mutex::new(close_signal));
        let backend = FakeServer::new(move |number, _| match number {
            0 if close_after_ms.is_some() => {
                Behavior::AnswerAndCloseLater(answer("200 OK", "hello"), close_signal.clone(), closed.clone())
            }
            _ => Behavior::Answer(answer("200 OK", "hello")),
        });
        let endpoint =
            std::rc::Rc::new(Endpoint::new(backend.address, ConnectionBudget::new(4), TIMEOUT, TIMEOUT));
        let idle = async |duration_ms: u64| {
            for _ in 0..duration_ms / 100 {
                endpoint.evict_expired();
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let send = async |non_idempotent| {
            let payload = payload(non_idempotent).into();
            let attempt_ended =
                send_attempt(endpoint.clone(), payload, Clock::start(), AMPLE_LIMITS, Default::default())
                    .await;
            assert_eq!(attempt_ended.outcome, Outcome::Served);
            backend.connections.load(Ordering::SeqCst)
        };
        assert_eq!(send(true).await, 1);
        if let Some(idle_ms) = close_after_ms {
            idle(idle_ms).await;
            close.send(()).unwrap();
            wait_for_close(&end);
            tokio::time::sleep(Duration::from_millis(1)).await; // the runtime notices the close
        }
        tokio::time::sleep(Duration::from_millis(25)).await; // no late response is expected any more
        let connections = send(false).await;
        assert_eq!(connections, if close_after_ms.is_some() { 2 } else { 1 });
        idle(safe_ms).await;
        assert_eq!(send(true).await, connections, "{close_after_ms:?}: far from any observed close");
        idle(uncertain_ms).await;
        assert_eq!(send(false).await, connections, "{close_after_ms:?}: an idempotent request");
        idle(uncertain_ms).await;
        let is_avoided = close_after_ms == Some(1000);
        assert_eq!(send(true).await, connections + usize::from(is_avoided), "{close_after_ms:?}");
        tokio::time::sleep(Duration::from_millis(25)).await;
        assert_eq!(
            send(true).await,
            connections + usize::from(is_avoided),
            "the connection was used just now"
        );
    }
}

#[test]
fn no_attempt_is_sent_on_a_connection_established_after_the_grace_period() {
    let backend = FakeServer::answering("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |last_send: Option<f64>| {
        let endpoint = Endpoint::new(backend.address, ConnectionBudget::new(4), TIMEOUT, TIMEOUT);
        endpoint.update(backend.address, last_send);
        let payload = payload(true);
        let attempt_ended =
            send_attempt(endpoint.into(), payload.into(), Clock::start(), AMPLE_LIMITS, Default::default());
        runtime.block_on(attempt_ended).outcome
    };
    assert_eq!(attempt(Some(0.0)), Outcome::ConnectFailed);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(None), Outcome::Served);
}

/// An attempt whose connection is established only after the request's final answer must not be sent: a backend would
/// execute a request that has already been answered. The connection is reused.
#[test]
fn an_attempt_without_a_connection_is_not_sent_after_its_request_ended() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let backend = FakeServer::answering("yes");
    let endpoint =
        std::rc::Rc::new(Endpoint::new(backend.address, ConnectionBudget::new(4), TIMEOUT, TIMEOUT));
    let attempt = |is_done: bool| {
        let payload = payload(false);
        payload.is_done.set(is_done);
        let attempt_ended =
            send_attempt(endpoint.clone(), payload.into(), Clock::start(), AMPLE_LIMITS, Default::default());
        runtime.block_on(attempt_ended).outcome
    };
    assert_eq!(attempt(true), Outcome::NotSent);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(false), Outcome::Served);
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1, "the connection was kept");
}

#[test]
fn malformed_lists_are_polled_again_and_the_last_list_stays() {
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let changes =
        list(2, false, &[entry("s-0", old.address, "DELETED"), entry("s-1", new.address, "SERVING")]);
    // Each entry is valid, but the list takes more memory than a proxy has.
    let entries = (0..8000).map(|i| entry(&format!("s-{i}"), new.address, "SERVING")).collect::<Vec<_>>();
    let oversized = list(2, true, &entries).to_string();
    assert!(oversized.len() > 1 << 20);
    let stage = Arc::new(AtomicUsize::new(0));
    let (discovery_stage, change_list) = (stage.clone(), changes.to_string());
    let discovery =
        FakeServer::new(move |number, _| match (number, discovery_stage.load(Ordering::SeqCst)) {
            (0, _) => Behavior::Close,
            (1, _) => Behavior::Answer(answer("503 Service Unavailable", "")),
            (2, _) => Behavior::Answer(answer("200 OK", &oversized)),
            (_, 0) => Behavior::Answer(answer("200 OK", "{\"generation\":")),
            (_, 1) => Behavior::Answer(answer("200 OK", &change_list)),
            _ => Behavior::Hang(channel().0),
        });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 4);
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");
    stage.store(1, Ordering::SeqCst);
    let polls_again = |m: &Message| m.start_line.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(polls_again));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn a_truncated_list_times_out_soon_and_polls_ask_for_short_waits() {
    // Guards against counting a drain as notified while a poll waits for an answer that never completes.
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let changes =
        list(2, false, &[entry("s-0", old.address, "DRAINING"), entry("s-1", new.address, "SERVING")]);
    let complete = answer("200 OK", &changes.to_string());
    let truncated = complete[..complete.len() - 9].to_string();
    let discovery = FakeServer::new(move |number, _| match number {
        0 => Behavior::Answer(truncated.clone()),
        1 => Behavior::Answer(complete.clone()),
        _ => Behavior::Hang(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    let start = Instant::now();
    wait_for("list", || discovery.count() >= 3);
    assert!(start.elapsed() < Duration::from_secs(6), "well before the drain counts as notified");
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    // The settings would allow a poll to wait for ten seconds.
    assert!(discovery.requests.lock().unwrap()[2].start_line.contains("since=2&timeout_ms=2000 "));
}

#[test]
fn empty_and_repeated_lists_are_applied_and_draining_backends_get_no_request() {
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let serving = entry("s-0", old.address, "SERVING");
    let draining = entry("s-0", old.address, "DRAINING");
    let other = entry("s-1", new.address, "DRAINING");
    let lists = [
        list(2, true, &[]),
        // Later entries are newer.
        list(3, true, &[serving.clone(), draining.clone()]),
        list(4, true, &[draining, serving.clone(), serving, other]),
    ];
    let stage = Arc::new(AtomicUsize::new(0));
    let list_index = stage.clone();
    let discovery = FakeServer::new(move |_, _| {
        std::thread::sleep(Duration::from_millis(5)); // keeps the watch from polling in a busy loop
        Behavior::Answer(answer("200 OK", &lists[list_index.load(Ordering::SeqCst)].to_string()))
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    for (number, status) in [503, 503, 200].into_iter().enumerate() {
        stage.store(number, Ordering::SeqCst);
        let since = format!("since={}&", number + 2);
        wait_for("list", || discovery.requests.lock().unwrap().iter().any(|m| m.start_line.contains(&since)));
        let reply = proxy.exchange(&request("order", 2000));
        assert_eq!(reply.status(), status, "list {number}");
        assert_eq!(reply.header("retry-after").is_some(), status == 503, "list {number}");
        assert_eq!((old.count(), new.count()), (usize::from(status == 200), 0), "list {number}");
    }
}

#[test]
fn failed_polls_are_retried_where_lists_must_be_polled() {
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let all = list(7, true, &[entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = FakeServer::new(move |number, _| match number {
        0 | 1 => Behavior::Answer(answer("503 Service Unavailable", "")),
        2 => Behavior::Answer(answer("200 OK", &all)),
        _ => Behavior::Hang(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = Proxy::start(&settings, &known(&[&old]), discovery.address);
    wait_for("further watch", || discovery.count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].start_line.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
}

#[test]
fn sighup_moves_the_watch_to_the_discovery_in_the_file() {
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let first = unchanging_discovery();
    let changes =
        list(2, false, &[entry("s-0", old.address, "DELETED"), entry("s-1", new.address, "SERVING")]);
    let change_list = changes.to_string();
    let second = FakeServer::new(move |number, _| match number {
        0 => Behavior::Answer(answer("200 OK", &change_list)),
        _ => Behavior::Hang(channel().0),
    });
    let known = known(&[&old]);
    let (mut proxy, path) = Proxy::start_with_file(&settings(), &known, first.address);
    wait_for("watch", || first.count() == 1);
    // A malformed file has no effect, even when the proxy is signalled to reload it.
    std::fs::write(&path, "{").unwrap();
    proxy.signal("-HUP");
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");
    let mut moved: Value = serde_json::from_str(&config(&settings(), &known)).unwrap();
    moved["discovery"] = json!(second.address.to_string());
    std::fs::write(&path, moved.to_string()).unwrap();
    proxy.signal("-HUP");
    let polls_again = |m: &Message| m.start_line.contains("since=2&");
    wait_for("list", || second.requests.lock().unwrap().iter().any(polls_again));
    assert!(second.requests.lock().unwrap()[0].start_line.contains("since=1&"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    assert!(proxy.child.try_wait().unwrap().is_none());
}

#[test]
fn stale_changes_are_rejected_but_a_stale_complete_list_is_applied() {
    let (old, new) = (FakeServer::answering("old"), FakeServer::answering("new"));
    let entries = |old_state: &str, new_state: &str| {
        [entry("s-0", old.address, old_state), entry("s-1", new.address, new_state)]
    };
    let changes = list(9, false, &entries("DELETED", "SERVING")).to_string();
    let stale = list(3, false, &entries("SERVING", "DELETED")).to_string();
    let stale_complete = list(4, true, &entries("SERVING", "DELETED")[..1]).to_string();
    let stage = Arc::new(AtomicUsize::new(0));
    let discovery_stage = stage.clone();
    let discovery =
        FakeServer::new(move |number, _| match (number, discovery_stage.load(Ordering::SeqCst)) {
            (0, _) => Behavior::Answer(answer("200 OK", &changes)),
            (_, 0) => Behavior::Answer(answer("200 OK", &stale)),
            (_, 1) => Behavior::Answer(answer("200 OK", &stale_complete)),
            _ => Behavior::Hang(channel().0),
        });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].start_line.contains("since=9&"));
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"new");
    stage.store(1, Ordering::SeqCst);
    let polls_again = |m: &Message| m.start_line.contains("since=4&");
    wait_for("complete list", || discovery.requests.lock().unwrap().iter().any(polls_again));
    stage.store(2, Ordering::SeqCst);
    assert_eq!(proxy.exchange(&request("look", 20_000)).body, b"old");
}

//! The proxy as a program, between a client, fake backends and a fake discovery on loopback sockets.

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

/// Longer than any step takes, on a busy machine too.
const LONG: Duration = Duration::from_secs(30);
static NEXT: AtomicUsize = AtomicUsize::new(1);

/// A message as read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message of a connection; `None` at its end.
fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end().to_string();
        line.clear();
        if message.first.is_empty() {
            message.first = text;
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

/// What a fake server does with a request.
enum Behavior {
    Answer(String),
    /// Answers, then closes without `Connection: close`, and signals that.
    AnswerAndClose(String, Sender<()>),
    /// The same, but closes only on a signal.
    AnswerAndCloseLater(String, Arc<Mutex<Receiver<()>>>, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Does not answer; signals when the other side closes the connection.
    Silence(Sender<()>),
}

/// A server of the test, which records the requests.
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
    fn good(name: &'static str) -> Self {
        Self::new(move |_, _| Behavior::Answer(answer("200 OK", name)))
    }

    fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, behavior: &dyn Fn(usize, &Message) -> Behavior) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let before = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match behavior(before, &message) {
            Behavior::Answer(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            Behavior::AnswerAndCloseLater(text, told, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                let _ = told.lock().unwrap().recv_timeout(LONG);
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Behavior::AnswerAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Not by dropping it: a process that is just being started has a copy.
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Behavior::Close => return drop(stream.get_mut().shutdown(Shutdown::Both)),
            Behavior::Silence(ended) => {
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

/// A discovery without changes.
fn quiet() -> FakeServer {
    FakeServer::new(|_, _| Behavior::Silence(channel().0))
}

struct Proxy {
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        Self::start_with_file(settings, known, discovery).0
    }

    /// The same, and the path of its configuration.
    fn start_with_file(settings: &Value, known: &Value, discovery: SocketAddr) -> (Self, PathBuf) {
        let (mut command, path) = command(&config(settings, known), discovery);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address =
            line.trim().strip_prefix("linkhatch-proxy: listening on ").expect(&line).parse().unwrap();
        // Its log is read, so that writing it does not block.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        (Self { child, address }, path)
    }

    /// One that knows these backends, with plain settings.
    fn before(backends: &[&FakeServer]) -> Self {
        Self::start(&settings(), &known(backends), quiet().address)
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        BufReader::new(stream)
    }

    fn ask(&self, text: &str) -> Message {
        ask(&mut self.connect(), text)
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
    let named = |(i, b): (usize, &&FakeServer)| entry(&format!("s-{i}"), b.address, "SERVING");
    list(1, true, &backends.iter().enumerate().map(named).collect::<Vec<_>>())
}

fn config(settings: &Value, known: &Value) -> String {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
    .to_string()
}

/// The program's command, and the path of the configuration that it is given.
fn command(config: &str, discovery: SocketAddr) -> (Command, PathBuf) {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_linkhatch-proxy"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    (command, path)
}

fn ask(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    read(stream).expect("an answer")
}

/// A request of a class, with some milliseconds left.
fn request(class: &str, left: u64) -> String {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {left}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn wait_for_close(ended: &Receiver<()>) {
    ended.recv_timeout(LONG).expect("the connection is ended");
}

#[test]
fn requests_and_answers_are_forwarded_unchanged() {
    let backend = FakeServer::good("hello");
    let proxy = Proxy::before(&[&backend]);
    assert_eq!(proxy.ask("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request("save", 9000);
    let answer = proxy.ask(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!((seen.first.as_str(), seen.body.as_slice()), ("POST /api?q=1 HTTP/1.1", b"body".as_slice()));
    assert!(text.contains(&format!("X-Txn: {}\r\n", seen.header("x-txn").unwrap())));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f6e1a"));
    let left: u64 = seen.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&left), "{left}");
}

#[test]
fn malformed_requests_get_a_4xx() {
    let backend = FakeServer::good("hello");
    let proxy = Proxy::before(&[&backend]);
    let good = request("look", 9000);
    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.ask(&good.replace(from, to)).status(), 400, "{to}");
    }
    let large = "x".repeat(65_537);
    let large =
        good.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: 65537\r\n\r\n{large}"));
    assert_eq!(proxy.ask(&large).status(), 413);
    assert_eq!(backend.count(), 0);
    assert_eq!(proxy.ask(&good).status(), 200);
}

/// A backend that still knows a used id may answer for the request that had it before.
#[test]
fn a_request_with_a_used_id_is_rejected_and_not_forwarded() {
    let backend = FakeServer::good("hello");
    let proxy = Proxy::before(&[&backend]);
    for class in ["look", "save", "order"] {
        let (text, before) = (request(class, 9000), backend.count());
        assert_eq!(proxy.ask(&text).status(), 200);
        let replay = text.replace("/api?q=1", "/api?q=2");
        assert_eq!(proxy.ask(&replay).status(), 400, "{class}");
        assert_eq!(backend.count(), before + 1, "{class}");
    }
}

/// A backend's 400 says that the request itself is malformed: no other backend is tried.
#[test]
fn a_400_of_a_backend_fails_the_request_without_a_retry() {
    let (tried, other) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let rejects = |count: &Arc<AtomicUsize>| {
        let count = count.clone();
        FakeServer::new(move |_, _| {
            count.fetch_add(1, Ordering::SeqCst);
            Behavior::Answer(answer("400 Bad Request", ""))
        })
    };
    let backends = [rejects(&tried), rejects(&other)];
    let proxy = Proxy::before(&[&backends[0], &backends[1]]);
    for class in ["look", "save", "order"] {
        let before = tried.load(Ordering::SeqCst) + other.load(Ordering::SeqCst);
        let start = Instant::now();
        let status = proxy.ask(&request(class, 20_000)).status();
        assert!(status >= 400 && status != 429 && status != 503, "{class}: {status}");
        // A retry would follow seconds later.
        assert!(start.elapsed() < Duration::from_secs(2), "{class}");
        assert_eq!(tried.load(Ordering::SeqCst) + other.load(Ordering::SeqCst), before + 1, "{class}");
    }
}

#[test]
fn a_malformed_configuration_is_reported_in_one_line() {
    let mut lacking = settings();
    lacking["rules"].as_object_mut().unwrap().remove("cold");
    let known = list(1, true, &[]);
    for text in ["{".to_string(), config(&lacking, &known)] {
        let output = command(&text, quiet().address).0.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(told.starts_with("linkhatch-proxy: ") && told.lines().count() == 1, "{told}");
    }
}

/// Puts a value in the settings under a path of keys; null takes the key away.
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
        let output = command(&text, quiet().address).0.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{path} {value}");
        assert!(told.lines().count() == 1 && told.contains(key), "{path} {value}: {told}");
    }
    // Keys that are not known are skipped.
    let mut settings = settings();
    set(&mut settings, "/rules/something-new", json!({"deep": [1]}));
    let backend = FakeServer::good("hello");
    let proxy = Proxy::start(&settings, &known(&[&backend]), quiet().address);
    assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
}

#[test]
fn without_a_configuration_file_the_embedded_sample_starts_and_answers() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linkhatch-proxy"));
    command.env_remove("RELAY_CONFIG").env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", quiet().address.to_string());
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
    let proxy = Proxy::before(&[&backends[0], &backends[1]]);
    let status = proxy.ask(&request("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].count() + backends[1].count(), 1);
}

#[test]
fn a_non_idempotent_request_without_a_reachable_backend_is_rejected() {
    // Bound and not listening: connections are refused, and no other test gets the port.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    held.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let closed = held.local_addr().unwrap().as_socket().unwrap();
    let known = list(1, true, &[entry("s-1", closed, "SERVING")]);
    let proxy = Proxy::start(&settings(), &known, quiet().address);
    let refusal = proxy.ask(&request("order", 1000));
    assert_eq!(refusal.status(), 503);
    let wait: f64 = refusal.header("retry-after").expect("when to return").parse().unwrap();
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
}

#[test]
fn rejections_at_capacity_carry_retry_after_where_that_is_allowed() {
    for (allowed, told) in [(true, Some("0.500")), (false, None)] {
        let backend = FakeServer::new(|_, _| Behavior::Silence(channel().0));
        let mut settings = settings();
        settings["caps"]["max-open"] = json!(1);
        settings["caps"]["max-retry-after"] = json!(0.5);
        settings["caps"]["retry-after"] = json!(allowed);
        let proxy = Proxy::start(&settings, &known(&[&backend]), quiet().address);
        let mut first = proxy.connect();
        first.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
        wait_for("attempt", || backend.count() == 1);
        let refusal = proxy.ask(&request("order", 20_000));
        assert_eq!((refusal.status(), refusal.header("retry-after")), (503, told));
    }
}

#[test]
fn a_connection_closed_by_the_backend_is_not_reused() {
    let (closed, end) = channel();
    let backend =
        FakeServer::new(move |_, _| Behavior::AnswerAndClose(answer("200 OK", "hello"), closed.clone()));
    let proxy = Proxy::before(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
        wait_for_close(&end);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 5);
}

#[test]
fn connections_are_reused() {
    let backend = FakeServer::good("hello");
    let proxy = Proxy::before(&[&backend]);
    for _ in 0..20 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
        // Until no late response is expected on it any more.
        std::thread::sleep(Duration::from_millis(25));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_connection_near_the_idle_limit_is_not_reused() {
    let backend = FakeServer::good("hello");
    let mut settings = settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = Proxy::start(&settings, &known(&[&backend]), quiet().address);
    for _ in 0..2 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn attempts_are_cancelled_when_the_client_disconnects() {
    let (ended, end) = channel();
    let backend = FakeServer::new(move |_, _| Behavior::Silence(ended.clone()));
    let proxy = Proxy::before(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let left = Instant::now();
    drop(client);
    wait_for_close(&end);
    assert!(left.elapsed() < Duration::from_secs(10));
}

/// A process that was suspended finds a client's disconnect and its request's timer due together: the disconnect counts.
#[test]
fn no_retry_is_sent_for_a_client_that_disconnected_while_the_process_was_suspended() {
    let (ended, end) = channel();
    let silent = |ended: &Sender<()>| {
        let ended = ended.clone();
        FakeServer::new(move |_, _| Behavior::Silence(ended.clone()))
    };
    let backends = [silent(&ended), silent(&ended)];
    let proxy = Proxy::before(&[&backends[0], &backends[1]]);
    let attempts = || backends[0].count() + backends[1].count();
    for round in 1..=5 {
        let mut client = proxy.connect();
        // It would be retried after some 0.6 s.
        client.get_mut().write_all(request("look", 1500).as_bytes()).unwrap();
        wait_for("attempt", || attempts() == round);
        proxy.signal("-STOP");
        drop(client);
        std::thread::sleep(Duration::from_millis(1000));
        proxy.signal("-CONT");
        wait_for_close(&end);
        // Whatever it would still send is sent before another answer.
        assert_eq!(proxy.ask("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
        assert_eq!(attempts(), round, "retried after its client had disconnected");
    }
}

#[test]
fn sigterm_loses_no_received_request() {
    let (release, held) = channel::<()>();
    let held = Mutex::new(held);
    let backend = FakeServer::new(move |before, _| {
        if before == 0 {
            held.lock().unwrap().recv_timeout(LONG).unwrap();
        }
        Behavior::Answer(answer("200 OK", "hello"))
    });
    let mut proxy = Proxy::before(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(ask(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    proxy.signal("-TERM");
    // Requests on old connections and on new ones are still served, and the connections are closed later.
    wait_for("stop", || proxy.ask("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    for stream in [&mut idle, &mut proxy.connect()] {
        let answer = ask(stream, &request("look", 20_000));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    let mut unused = proxy.connect();
    assert!(read(&mut unused).is_none(), "an idle connection is ended");
    release.send(()).unwrap();
    assert_eq!(read(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_incomplete_request_does_not_delay_the_exit() {
    let backend = FakeServer::good("hello");
    let mut proxy = Proxy::before(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // Another connection's answer tells that this one has been accepted before.
    assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

/// The limits of an attempt with ample time.
const BOUNDS: AttemptLimits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 0 };

/// A request that may be executed only `once`, or repeatedly.
fn payload(once: bool) -> ForwardedRequest {
    ForwardedRequest {
        method: "POST".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        body: "body".into(),
        is_non_idempotent: once,
        history: Default::default(),
        guard: Default::default(),
        is_done: Default::default(),
        client_has_disconnected: Box::new(|| false),
        stamp: None,
    }
}

#[tokio::test(start_paused = true)]
async fn non_idempotent_requests_avoid_connections_near_an_observed_idle_close() {
    // The first connection is closed after so long an idle time, in milliseconds, or at once, or not at all.
    for (closed_after, safe, unsure) in
        [(Some(1000), 400, 600), (Some(1), 5000, 20_000), (None, 5000, 20_000)]
    {
        let ((close, told), (closed, end)) = (channel(), channel());
        let told = Arc::new(Mutex::new(told));
        let backend = FakeServer::new(move |before, _| match before {
            0 if closed_after.is_some() => {
                Behavior::AnswerAndCloseLater(answer("200 OK", "hello"), told.clone(), closed.clone())
            }
            _ => Behavior::Answer(answer("200 OK", "hello")),
        });
        let endpoint = std::rc::Rc::new(Endpoint::new(backend.address, ConnectionBudget::new(4), LONG, LONG));
        let rest = async |rest: u64| {
            for _ in 0..rest / 100 {
                endpoint.evict_expired();
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let sent = async |once| {
            let payload = payload(once).into();
            let done =
                send_attempt(endpoint.clone(), payload, Clock::start(), BOUNDS, Default::default()).await;
            assert_eq!(done.outcome, Outcome::Served);
            backend.connections.load(Ordering::SeqCst)
        };
        assert_eq!(sent(true).await, 1);
        if let Some(after) = closed_after {
            rest(after).await;
            close.send(()).unwrap();
            wait_for_close(&end);
            tokio::time::sleep(Duration::from_millis(1)).await; // the runtime hears of it
        }
        tokio::time::sleep(Duration::from_millis(25)).await; // no late answer comes any more
        let used = sent(false).await;
        assert_eq!(used, if closed_after.is_some() { 2 } else { 1 });
        rest(safe).await;
        assert_eq!(sent(true).await, used, "{closed_after:?}: far from any end seen");
        rest(unsure).await;
        assert_eq!(sent(false).await, used, "{closed_after:?}: it may be repeated");
        rest(unsure).await;
        let learnt = closed_after == Some(1000);
        assert_eq!(sent(true).await, used + usize::from(learnt), "{closed_after:?}");
        tokio::time::sleep(Duration::from_millis(25)).await;
        assert_eq!(sent(true).await, used + usize::from(learnt), "it was in use just now");
    }
}

#[test]
fn no_attempt_is_sent_on_a_connection_established_after_the_grace_period() {
    let backend = FakeServer::good("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |last_send: Option<f64>| {
        let endpoint = Endpoint::new(backend.address, ConnectionBudget::new(4), LONG, LONG);
        endpoint.update(backend.address, last_send);
        let payload = payload(true);
        let attempted =
            send_attempt(endpoint.into(), payload.into(), Clock::start(), BOUNDS, Default::default());
        runtime.block_on(attempted).outcome
    };
    assert_eq!(attempt(Some(0.0)), Outcome::ConnectFailed);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(None), Outcome::Served);
}

/// An attempt whose connection is established only after the request's final answer must not be sent: a backend would
/// execute a request that is done. The connection is reused.
#[test]
fn an_attempt_without_a_connection_is_not_sent_after_its_request_ended() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let backend = FakeServer::good("yes");
    let endpoint = std::rc::Rc::new(Endpoint::new(backend.address, ConnectionBudget::new(4), LONG, LONG));
    let attempt = |over: bool| {
        let payload = payload(false);
        payload.is_done.set(over);
        let made = send_attempt(endpoint.clone(), payload.into(), Clock::start(), BOUNDS, Default::default());
        runtime.block_on(made).outcome
    };
    assert_eq!(attempt(true), Outcome::NotSent);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(false), Outcome::Served);
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1, "the connection was kept");
}

#[test]
fn malformed_lists_are_polled_again_and_the_last_list_stays() {
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let news = list(2, false, &[entry("s-0", old.address, "DELETED"), entry("s-1", new.address, "SERVING")]);
    // More than a proxy has memory for, though each entry is valid.
    let many = (0..8000).map(|i| entry(&format!("s-{i}"), new.address, "SERVING")).collect::<Vec<_>>();
    let oversized = list(2, true, &many).to_string();
    assert!(oversized.len() > 1 << 20);
    let good = Arc::new(AtomicUsize::new(0));
    let (may, told) = (good.clone(), news.to_string());
    let discovery = FakeServer::new(move |before, _| match (before, may.load(Ordering::SeqCst)) {
        (0, _) => Behavior::Close,
        (1, _) => Behavior::Answer(answer("503 Service Unavailable", "")),
        (2, _) => Behavior::Answer(answer("200 OK", &oversized)),
        (_, 0) => Behavior::Answer(answer("200 OK", "{\"generation\":")),
        (_, 1) => Behavior::Answer(answer("200 OK", &told)),
        _ => Behavior::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 4);
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"old");
    good.store(1, Ordering::SeqCst);
    let asked_for_more = |m: &Message| m.first.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(asked_for_more));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
}

#[test]
fn a_truncated_list_times_out_soon_and_polls_ask_for_short_waits() {
    // Guards against drains that count as notified while a poll waits for an answer that never comes.
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let news = list(2, false, &[entry("s-0", old.address, "DRAINING"), entry("s-1", new.address, "SERVING")]);
    let whole = answer("200 OK", &news.to_string());
    let short = whole[..whole.len() - 9].to_string();
    let discovery = FakeServer::new(move |before, _| match before {
        0 => Behavior::Answer(short.clone()),
        1 => Behavior::Answer(whole.clone()),
        _ => Behavior::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    let start = Instant::now();
    wait_for("list", || discovery.count() >= 3);
    assert!(start.elapsed() < Duration::from_secs(6), "well before the drain counts as notified");
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
    // The settings would allow it to wait for ten seconds.
    assert!(discovery.requests.lock().unwrap()[2].first.contains("since=2&timeout_ms=2000 "));
}

#[test]
fn empty_and_repeated_lists_are_applied_and_draining_backends_get_no_request() {
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let serving = entry("s-0", old.address, "SERVING");
    let draining = entry("s-0", old.address, "DRAINING");
    let other = entry("s-1", new.address, "DRAINING");
    let lists = [
        list(2, true, &[]),
        // What stands later is newer.
        list(3, true, &[serving.clone(), draining.clone()]),
        list(4, true, &[draining, serving.clone(), serving, other]),
    ];
    let stage = Arc::new(AtomicUsize::new(0));
    let told = stage.clone();
    let discovery = FakeServer::new(move |_, _| {
        std::thread::sleep(Duration::from_millis(5)); // lest the watch spins
        Behavior::Answer(answer("200 OK", &lists[told.load(Ordering::SeqCst)].to_string()))
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    for (number, status) in [503, 503, 200].into_iter().enumerate() {
        stage.store(number, Ordering::SeqCst);
        let taken_in = format!("since={}&", number + 2);
        wait_for("list", || discovery.requests.lock().unwrap().iter().any(|m| m.first.contains(&taken_in)));
        let reply = proxy.ask(&request("order", 2000));
        assert_eq!(reply.status(), status, "list {number}");
        assert_eq!(reply.header("retry-after").is_some(), status == 503, "list {number}");
        assert_eq!((old.count(), new.count()), (usize::from(status == 200), 0), "list {number}");
    }
}

#[test]
fn failed_polls_are_retried_where_lists_must_be_polled() {
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let all = list(7, true, &[entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = FakeServer::new(move |before, _| match before {
        0 | 1 => Behavior::Answer(answer("503 Service Unavailable", "")),
        2 => Behavior::Answer(answer("200 OK", &all)),
        _ => Behavior::Silence(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = Proxy::start(&settings, &known(&[&old]), discovery.address);
    wait_for("further watch", || discovery.count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].first.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
}

#[test]
fn sighup_moves_the_watch_to_the_discovery_in_the_file() {
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let first = quiet();
    let news = list(2, false, &[entry("s-0", old.address, "DELETED"), entry("s-1", new.address, "SERVING")]);
    let told = news.to_string();
    let second = FakeServer::new(move |before, _| match before {
        0 => Behavior::Answer(answer("200 OK", &told)),
        _ => Behavior::Silence(channel().0),
    });
    let known = known(&[&old]);
    let (mut proxy, path) = Proxy::start_with_file(&settings(), &known, first.address);
    wait_for("watch", || first.count() == 1);
    // A malformed file changes nothing, and neither does the signal.
    std::fs::write(&path, "{").unwrap();
    proxy.signal("-HUP");
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"old");
    let mut moved: Value = serde_json::from_str(&config(&settings(), &known)).unwrap();
    moved["discovery"] = json!(second.address.to_string());
    std::fs::write(&path, moved.to_string()).unwrap();
    proxy.signal("-HUP");
    let asked_for_more = |m: &Message| m.first.contains("since=2&");
    wait_for("list", || second.requests.lock().unwrap().iter().any(asked_for_more));
    assert!(second.requests.lock().unwrap()[0].first.contains("since=1&"));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
    assert!(proxy.child.try_wait().unwrap().is_none());
}

#[test]
fn stale_changes_are_rejected_but_a_stale_complete_list_is_applied() {
    let (old, new) = (FakeServer::good("old"), FakeServer::good("new"));
    let entries = |old_state: &str, new_state: &str| {
        [entry("s-0", old.address, old_state), entry("s-1", new.address, new_state)]
    };
    let news = list(9, false, &entries("DELETED", "SERVING")).to_string();
    let stale = list(3, false, &entries("SERVING", "DELETED")).to_string();
    let anew = list(4, true, &entries("SERVING", "DELETED")[..1]).to_string();
    let whole = Arc::new(AtomicUsize::new(0));
    let may = whole.clone();
    let discovery = FakeServer::new(move |before, _| match (before, may.load(Ordering::SeqCst)) {
        (0, _) => Behavior::Answer(answer("200 OK", &news)),
        (_, 0) => Behavior::Answer(answer("200 OK", &stale)),
        (_, 1) => Behavior::Answer(answer("200 OK", &anew)),
        _ => Behavior::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].first.contains("since=9&"));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
    whole.store(1, Ordering::SeqCst);
    let asked_for_more = |m: &Message| m.first.contains("since=4&");
    wait_for("whole list", || discovery.requests.lock().unwrap().iter().any(asked_for_more));
    whole.store(2, Ordering::SeqCst);
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"old");
}

//! Runs proxies with the memory and descriptor limits of the deployment page while peers make them store as many bytes
//! as they can: no process exceeds its limit, sound clients are served, and every bad peer is answered or closed in time.
#![cfg(target_os = "linux")]

use fleet_testbed::process::{Fleet, Process};
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Far longer than any step takes, even on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The time within which a bad peer must get an answer or a close, with a margin for this machine.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_200);
/// The maximum size of a body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The number of sound clients.
const SOUND_CLIENTS: usize = 8;
/// The interval between the requests of a sound client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// How long the sound clients send before and after the disturbance.
const SETTLE_DURATION: Duration = Duration::from_millis(200);

/// The limits of a proxy, from the ranges of the terms page: 32 to 192 MB and 256 to 1,024 descriptors.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

const LIMITS: [Limits; 4] = [
    Limits { memory_mb: 32, sockets: 256 },
    Limits { memory_mb: 32, sockets: 1_024 },
    Limits { memory_mb: 48, sockets: 640 },
    Limits { memory_mb: 48, sockets: 1_024 },
];

impl Limits {
    /// The number of peers: with the sound clients, as many as the terms page lets clients use descriptors, a third.
    fn peers(self) -> usize {
        self.sockets / 3 - SOUND_CLIENTS
    }
}

thread_local! {
    static LAST_ID: Cell<u64> = const { Cell::new(0) };
}

/// The head of a request with further headers, and a body of `body_bytes`.
fn head(path: &str, headers: &str, body_bytes: usize) -> String {
    LAST_ID.set(LAST_ID.get() + 1);
    let method = if body_bytes == 0 { "GET" } else { "POST" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {:016x}\r\nX-Lane: look\r\nX-Remaining-Ms: 6000\r\n\
         {headers}Content-Length: {body_bytes}\r\n\r\n",
        LAST_ID.get()
    )
}

fn request(path: &str, headers: &str, body_bytes: usize) -> Vec<u8> {
    let mut text = head(path, headers, body_bytes).into_bytes();
    text.resize(text.len() + body_bytes, b'x');
    text
}

fn config(limits: Limits, backend: SocketAddr) -> String {
    let instances: Vec<Value> = (0..40)
        .map(|n| {
            json!({"instanceId": format!("s-{n}"), "hostPort": backend.to_string(), "zone": "a",
                   "machineType": "m", "cell": n, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0})
        })
        .collect();
    let settings = json!({
        "caps": {"cancel": true, "connect-timeout": 1.0, "idle-close": 30.0, "max-attempts": 3,
                 "max-open": 20000, "second-copies": true},
        "classes": [{"name": "look", "effect": "free", "on-time": 6.0, "hard-limit": 6.0}],
        "me": 0, "n-instances": 1, "quantum": 0.005, "registry-mode": "automatic",
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "tier": 1, "zone": "a", "zones": ["a"]
    });
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "settings": settings,
           "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
           "known": {"generation": 1, "reset": true, "instances": instances}})
    .to_string()
}

/// Reads the head of a message, and its body if that has a length; returns `None` at the end of the connection.
async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut received = Vec::new();
    let end = loop {
        if let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    };
    let body = received.split_off(end);
    let head = String::from_utf8_lossy(&received).to_lowercase();
    let length =
        head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    let mut body = body;
    while body.len() < length.unwrap_or(0) {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some((head, body))
}

/// A backend. The path of a request says how it answers.
async fn serve_backend(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        stream.set_nodelay(true).unwrap();
        spawn_local(async move {
            while let Some((head, _)) = read_message(&mut stream).await {
                let path = head.split(' ').nth(1).unwrap_or_default().to_string();
                if answer(&mut stream, &path).await.is_none() {
                    return;
                }
            }
        });
    }
}

async fn answer(stream: &mut TcpStream, path: &str) -> Option<()> {
    let long_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n");
    let long_body = vec![b'y'; MAX_BODY_BYTES];
    match path {
        "/long" => {
            stream.write_all(long_head.as_bytes()).await.ok()?;
            stream.write_all(&long_body).await.ok()?;
        }
        "/pieces" => {
            stream.write_all(long_head.as_bytes()).await.ok()?;
            for piece in long_body.chunks(256) {
                stream.write_all(piece).await.ok()?;
                sleep(Duration::from_millis(4)).await;
            }
        }
        "/endless-head" => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nX-Long: ").await.ok()?;
            while stream.write_all(&[b'y'; 4096]).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            return None;
        }
        "/endless-body" => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
            while stream.write_all(b"4\r\nyyyy\r\n").await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            return None;
        }
        "/hang" => {
            let _ = stream.read(&mut [0]).await;
            return None;
        }
        _ => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n").await.ok()?,
    }
    Some(())
}

/// The answers that sound clients got, by status; 0 for none.
#[derive(Debug, Default)]
struct Answers {
    served: usize,
    rejected: usize,
    lost: usize,
}

/// What was observed of a proxy.
#[derive(Debug)]
#[allow(dead_code, reason = "the fields are printed")]
struct Observed {
    /// The peak of the process's memory, in kB.
    peak_kb: u64,
    disturbed_for: Duration,
    without_body: Answers,
    with_body: Answers,
}

/// Sends requests, one after another, each on a connection of its own, until `is_over`.
async fn sound_client(proxy: SocketAddr, path: &str, body_bytes: usize, is_over: Rc<Cell<bool>>) -> Answers {
    let mut answers = Answers::default();
    while !is_over.get() {
        let exchange = async {
            let mut stream = TcpStream::connect(proxy).await.ok()?;
            stream.write_all(&request(path, "", body_bytes)).await.ok()?;
            read_message(&mut stream).await
        };
        match timeout(STEP_TIMEOUT, exchange).await {
            Ok(Some((head, _))) if head.starts_with("http/1.1 200") => answers.served += 1,
            Ok(Some((head, _))) if head.starts_with("http/1.1 503") => answers.rejected += 1,
            _ => answers.lost += 1,
        }
        sleep(REQUEST_INTERVAL).await;
    }
    answers
}

/// The peak memory of a process, in kB.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(u64::MAX)
}

fn start(fleet: &mut Fleet, limits: Limits, backend: SocketAddr, discovery: SocketAddr) -> Process {
    fleet.proxy(&config(limits, backend), discovery).expect("starts")
}

fn add(mut sum: Answers, answers: Answers) -> Answers {
    sum.served += answers.served;
    sum.rejected += answers.rejected;
    sum.lost += answers.lost;
    sum
}

/// Runs a proxy with these limits, beside sound clients, until `disturb` completes.
async fn observe<F: Future + 'static>(
    limits: Limits,
    disturb: impl FnOnce(SocketAddr) -> F,
) -> (Observed, F::Output) {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let backend_address = backend.local_addr().unwrap();
    spawn_local(serve_backend(backend));
    // A discovery that never answers.
    let discovery = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let discovery_address = discovery.local_addr().unwrap();
    let mut fleet = Fleet::new(
        Path::new(env!("CARGO_BIN_EXE_linkhatch-proxy")),
        Path::new(env!("CARGO_TARGET_TMPDIR")),
        2 * STEP_TIMEOUT,
    );
    let process = start(&mut fleet, limits, backend_address, discovery_address);
    let (proxy, pid) = (process.address(), process.id().unwrap());
    let is_over = Rc::new(Cell::new(false));
    let (mut without_body, mut with_body) = (JoinSet::new(), JoinSet::new());
    for _ in 0..SOUND_CLIENTS / 2 {
        without_body.spawn_local(sound_client(proxy, "/", 0, is_over.clone()));
        with_body.spawn_local(sound_client(proxy, "/", MAX_BODY_BYTES / 2, is_over.clone()));
    }
    sleep(SETTLE_DURATION).await;
    let start = Instant::now();
    let output = disturb(proxy).await;
    let disturbed_for = start.elapsed();
    sleep(SETTLE_DURATION).await;
    is_over.set(true);
    let without_body = without_body.join_all().await.into_iter().fold(Answers::default(), add);
    let with_body = with_body.join_all().await.into_iter().fold(Answers::default(), add);
    (Observed { peak_kb: memory_kb(pid), disturbed_for, without_body, with_body }, output)
}

/// Whether the balancer may reject requests of sound clients because other requests keep the backends busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Backends {
    Idle,
    Busy,
}

/// Runs `disturb` with all limits, and checks the memory and what the sound clients got.
fn check<F: Future<Output = ()> + 'static>(
    name: &str,
    backends: Backends,
    disturb: impl Fn(Limits, SocketAddr) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for limits in LIMITS {
        let run = observe(limits, |proxy| disturb(limits, proxy));
        let (observed, ()) = LocalSet::new().block_on(&runtime, run);
        println!("{name}, {limits:?}: {observed:?}");
        assert!(observed.peak_kb < limits.memory_mb << 10, "{name}, {limits:?}: {observed:?}");
        let Observed { without_body, with_body, .. } = &observed;
        assert_eq!(without_body.lost + with_body.lost, 0, "{name}, {limits:?}: {observed:?}");
        if backends == Backends::Idle {
            assert_eq!(without_body.rejected, 0, "{name}, {limits:?}: {observed:?}");
            assert!(with_body.served > 2 * with_body.rejected, "{name}, {limits:?}: {observed:?}");
        }
        assert!(without_body.served > without_body.rejected, "{name}, {limits:?}: {observed:?}");
    }
}

/// Runs `count` peers at the same time.
async fn all<F: Future<Output = ()> + 'static>(count: usize, peer: impl Fn() -> F) {
    let mut peers = JoinSet::new();
    for _ in 0..count {
        peers.spawn_local(peer());
    }
    peers.join_all().await;
}

/// Sends bytes, and asserts that the proxy answers or closes in time.
async fn stalled_peer(proxy: SocketAddr, bytes: Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(proxy).await else { return };
    let start = Instant::now();
    let ended = timeout(STEP_TIMEOUT, async {
        let _ = stream.write_all(&bytes).await;
        let _ = stream.read(&mut [0; 64]).await;
    });
    ended.await.expect("an answer or a close");
    assert!(start.elapsed() < PEER_TIMEOUT, "the peer got its end after {:?}", start.elapsed());
}

/// Guards against a crash: nothing limited the sum of incomplete bodies.
#[test]
fn peers_that_stop_in_the_middle_of_a_body_stay_within_the_memory_limit() {
    check("incomplete bodies", Backends::Idle, |limits, proxy| {
        all(limits.peers(), move || {
            let mut bytes = request("/", "", MAX_BODY_BYTES);
            bytes.truncate(bytes.len() - 100);
            stalled_peer(proxy, bytes)
        })
    });
}

/// Guards against the same through heads, which the HTTP library buffers.
#[test]
fn peers_that_stop_in_the_middle_of_a_long_head_stay_within_the_memory_limit() {
    check("incomplete heads", Backends::Idle, |limits, proxy| {
        all(limits.peers(), move || {
            let bytes = head("/", &format!("X-Long: {}\r\n", "x".repeat(30 << 10)), 0);
            stalled_peer(proxy, bytes.as_bytes()[..30 << 10].to_vec())
        })
    });
}

/// Guards against the same through a long head and an incomplete body together.
#[test]
fn peers_with_a_long_head_and_an_incomplete_body_stay_within_the_memory_limit() {
    check("long heads with incomplete bodies", Backends::Idle, |limits, proxy| {
        all(limits.peers(), move || {
            let mut bytes = request("/", &format!("X-Long: {}\r\n", "x".repeat(30 << 10)), MAX_BODY_BYTES);
            bytes.truncate(bytes.len() - 100);
            stalled_peer(proxy, bytes)
        })
    });
}

/// Guards against the same through complete requests that wait for their backends.
#[test]
fn requests_with_bodies_that_wait_for_a_backend_stay_within_the_memory_limit() {
    check("waiting requests", Backends::Busy, |limits, proxy| {
        all(limits.peers() / 2, move || async move {
            let Ok(mut stream) = TcpStream::connect(proxy).await else { return };
            let _ = stream.write_all(&request("/hang", "", MAX_BODY_BYTES)).await;
            let _ = timeout(Duration::from_secs(2), read_message(&mut stream)).await;
        })
    });
}

/// Guards against the same through answers that clients do not read.
#[test]
fn clients_that_do_not_read_their_answers_stay_within_the_memory_limit() {
    check("unread answers", Backends::Busy, |limits, proxy| {
        all(limits.peers(), move || async move {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(2048).unwrap();
            let Ok(mut stream) = socket.connect(proxy).await else { return };
            for _ in 0..40 {
                let _ = stream.write_all(&request("/long", "", 0)).await;
            }
            sleep(Duration::from_secs(3)).await;
        })
    });
}

/// Guards against answers that come in small pieces: each piece kept a whole read buffer.
#[test]
fn answers_in_small_pieces_stay_within_the_memory_limit() {
    check("answers in pieces", Backends::Idle, |_, proxy| {
        all(30, move || async move {
            let mut stream = TcpStream::connect(proxy).await.unwrap();
            stream.write_all(&request("/pieces", "", 0)).await.unwrap();
            let answer = timeout(STEP_TIMEOUT, read_message(&mut stream)).await.unwrap().unwrap();
            assert!(answer.0.starts_with("http/1.1 200"), "{}", answer.0);
            assert!(answer.1 == vec![b'y'; MAX_BODY_BYTES], "{} bytes", answer.1.len());
        })
    });
}

/// Guards against answers of backends that never end.
#[test]
fn endless_answers_stay_within_the_memory_limit() {
    check("endless answers", Backends::Busy, |_, proxy| {
        all(60, move || async move {
            for path in ["/endless-head", "/endless-body"] {
                let mut stream = TcpStream::connect(proxy).await.unwrap();
                stream.write_all(&request(path, "", 0)).await.unwrap();
                let _ = timeout(Duration::from_secs(2), read_message(&mut stream)).await;
            }
        })
    });
}

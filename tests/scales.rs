//! Tests of times that are derived from the settings, with settings ten times smaller and larger than usual, and at
//! their limits.

use linkhatch_proxy::proxy::clock::Clock;
use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::forwarded_request::ForwardedRequest;
use linkhatch_proxy::proxy::server::{self, Server};
use linkhatch_proxy::proxy::settings::ProxySettings;
use linkhatch_proxy::proxy::upstream::{AttemptLimits, ConnectionBudget, Endpoint, recent_use, send_attempt};
use linkhatch_proxy::proxy::watch_event::{ListedEndpoint, WatchEvent};
use linkhatch_proxy::{Class, EndpointEntry, Outcome, Request, RequestId, Settings};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

/// Longer than any step of a test takes, even on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

fn payload(is_non_idempotent: bool) -> ForwardedRequest {
    ForwardedRequest {
        method: "GET".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        head_reservation: None,
        body: "".into(),
        is_non_idempotent,
        history: Default::default(),
        guard: Default::default(),
        is_done: Default::default(),
        client_has_disconnected: Box::new(|| false),
        stamp: None,
    }
}

/// Reads the head of the next request on a connection, in lower case; `None` at the end of the connection.
fn read_head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head.to_lowercase())
}

/// A backend that answers all requests. After the first answer it waits for a signal, closes its first connection and
/// signals that it has done so.
struct ClosingBackend {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    close: Sender<()>,
    closed: Receiver<()>,
}

fn start_closing_backend() -> ClosingBackend {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, connections) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let ((close, signal), (done, closed)) = (channel(), channel());
    let counted = connections.clone();
    std::thread::spawn(move || {
        let mut signal = Some(signal);
        for stream in listener.incoming().map_while(Result::ok) {
            counted.fetch_add(1, Ordering::SeqCst);
            let (signal, done, mut stream) = (signal.take(), done.clone(), BufReader::new(stream));
            std::thread::spawn(move || {
                while read_head(&mut stream).is_some() {
                    let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    if let Some(signal) = &signal {
                        let _ = signal.recv_timeout(STEP_TIMEOUT);
                        let _ = stream.get_mut().shutdown(Shutdown::Both);
                        let _ = done.send(());
                        return;
                    }
                }
            });
        }
    });
    ClosingBackend { address, connections, close, closed }
}

/// After a backend closed an idle connection, non-idempotent requests avoid connections that have been idle for about
/// as long, however short the idle limit is.
#[tokio::test(start_paused = true)]
async fn early_idle_closes_are_learned_at_any_idle_limit() {
    for (idle, closed_after, risky_idle, recent_idle) in [
        (100, 40, 30, None),
        (3_000, 1_000, 600, Some(90)),
        (30_000, 1_000, 600, Some(90)),
        (300_000, 1_000, 600, Some(90)),
    ] {
        let backend = start_closing_backend();
        let idle = Duration::from_millis(idle);
        let endpoint = Rc::new(Endpoint::new(backend.address, ConnectionBudget::new(4), STEP_TIMEOUT, idle));
        let stay_idle = async |span: u64| {
            let step = recent_use(idle);
            for _ in 0..span / step.as_millis() as u64 {
                endpoint.evict_expired();
                tokio::time::sleep(step).await;
            }
        };
        let send = async |is_non_idempotent| {
            let limits = AttemptLimits { deadline: 1000.0, send_deadline: None, number: 0 };
            let payload = payload(is_non_idempotent).into();
            let ended =
                send_attempt(endpoint.clone(), payload, Clock::start(), limits, Default::default()).await;
            assert_eq!(ended.outcome, Outcome::Served);
            backend.connections.load(Ordering::SeqCst)
        };
        assert_eq!(send(true).await, 1);
        stay_idle(closed_after).await;
        backend.close.send(()).unwrap();
        backend.closed.recv_timeout(STEP_TIMEOUT).unwrap();
        assert_eq!(send(false).await, 2, "{idle:?}: the close is detected");
        if let Some(recent_idle) = recent_idle {
            tokio::time::sleep(Duration::from_millis(recent_idle)).await;
            assert_eq!(send(true).await, 2, "{idle:?}: used recently");
        }
        stay_idle(risky_idle).await;
        assert_eq!(send(false).await, 2, "{idle:?}: the request may be repeated");
        stay_idle(risky_idle).await;
        assert_eq!(send(true).await, 3, "{idle:?}: a connection was closed after {closed_after} ms");
    }
}

fn settings(deadline: f64) -> Settings {
    let class = Class { latency_objective: deadline, deadline, ..Class::default() };
    Settings { classes: vec![class], min_time_step: 0.005, max_attempts: 1, ..Settings::default() }
}

fn proxy_settings() -> ProxySettings {
    ProxySettings {
        classes: vec!["look".into()],
        connect_timeout: STEP_TIMEOUT,
        idle_close: STEP_TIMEOUT,
        max_open: usize::MAX,
        ..ProxySettings::default()
    }
}

fn request(id: u64, timeout: f64) -> Request {
    Request { id: RequestId(id), timeout, ..Request::default() }
}

/// Starts a backend that never answers. Returns its address and the remaining time that each request announces, in
/// milliseconds.
fn start_silent_backend() -> (SocketAddr, Receiver<i64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (announce, announced) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let announce = announce.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Some(head) = read_head(&mut stream) {
                    let remaining = head.split("x-remaining-ms: ").nth(1).unwrap();
                    let _ = announce.send(remaining.split('\r').next().unwrap().parse().unwrap());
                }
            });
        }
    });
    (address, announced)
}

/// The time reserved for the transit of the answer and for a stall of this process is a small part of the time of any
/// request.
#[tokio::test(start_paused = true)]
async fn after_a_stall_requests_keep_most_of_their_time_at_any_deadline() {
    for (deadline, expected_after) in [(0.1, 74), (0.6, 524), (6.0, 5_884), (60.0, 59_884)] {
        let (address, announced) = start_silent_backend();
        // The paused clock does not advance while a blocking task runs.
        let next = async |announced: Receiver<i64>| {
            let waited =
                tokio::task::spawn_blocking(move || (announced.recv_timeout(STEP_TIMEOUT), announced));
            let (remaining, announced) = waited.await.unwrap();
            (remaining.expect("an attempt"), announced)
        };
        let local = LocalSet::new();
        local
            .run_until(async {
                let engine = Engine::start(settings(deadline), &proxy_settings(), 1, 8);
                engine.apply_watch_event(WatchEvent::Snapshot(vec![ListedEndpoint {
                    entry: EndpointEntry::default(),
                    address,
                }]));
                let _first = engine.submit(request(1, deadline), payload(false)).expect("admitted");
                let (before, announced) = next(announced).await;
                let expected_before = (deadline * 1000.0) as i64 - 16;
                assert!((expected_before - 1..=expected_before).contains(&before), "{deadline} s: {before}");
                // All timers are late by more than the maximum deduction.
                tokio::time::advance(Duration::from_secs_f64(deadline + 0.2)).await;
                tokio::task::yield_now().await;
                let _second = engine.submit(request(2, deadline), payload(false)).expect("admitted");
                let (after, _) = next(announced).await;
                assert!((expected_after - 1..=expected_after).contains(&after), "{deadline} s: {after}");
            })
            .await;
    }
}

/// A request that is rejected at capacity gets a `Retry-After` within the client's deadline.
#[tokio::test]
async fn retry_after_lies_within_the_clients_deadline() {
    for (remaining_ms, retry_after) in [(60, "0.030"), (600, "0.300"), (6_000, "1.000"), (60_000, "1.000")] {
        let settings = Settings { max_retry_after: 2.0, ..settings(f64::from(remaining_ms) / 1000.0) };
        let proxy_settings = ProxySettings { max_open: 0, ..proxy_settings() };
        let local = LocalSet::new();
        let answer = local.run_until(async {
            let engine = Engine::start(settings.clone(), &proxy_settings, 1, 8);
            let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let address = listener.local_addr().unwrap();
            let server = Server::new(engine, settings, proxy_settings, 8);
            tokio::task::spawn_local(server.run(listener, std::future::pending()));
            let mut client = tokio::net::TcpStream::connect(address).await.unwrap();
            let text = format!(
                "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 00000000000000a1\r\nX-Lane: look\r\n\
                 X-Remaining-Ms: {remaining_ms}\r\nConnection: close\r\n\r\n"
            );
            client.write_all(text.as_bytes()).await.unwrap();
            let mut answer = String::new();
            client.read_to_string(&mut answer).await.unwrap();
            answer.to_lowercase()
        });
        let answer = answer.await;
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains(&format!("retry-after: {retry_after}\r\n")), "{remaining_ms} ms: {answer}");
    }
}

//! Which clients' connections a full server closes, and how a request that crosses the close is handled.
//!
//! Server, clients and backend share one thread and a paused clock: the order of their steps is fixed, waits take no
//! real time, and measured durations are exact. The figures are printed (`--nocapture`).

use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::server::{self, Server};
use linkhatch_proxy::proxy::settings::ProxySettings;
use linkhatch_proxy::proxy::watch_event::{ListedEndpoint, WatchEvent};
use linkhatch_proxy::{BackendId, Class, EndpointEntry, Settings};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

/// The connection limit of a small server, which accepts one connection beyond it.
const MAX_CONNECTIONS: usize = 8;
/// The time within which a peer must get an answer or a close.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the backend works on a request for [`SLOW_PATH`].
const SLOW_REQUEST_DURATION: Duration = Duration::from_secs(15);
/// Long enough for all sides to do what is due, and short compared with every timeout.
const SHORT_DELAY: Duration = Duration::from_millis(1);
/// The path of requests that are answered at once.
const FAST_PATH: &str = "/fast";
/// The path of requests that keep their connections busy.
const SLOW_PATH: &str = "/slow";

/// The server under test.
struct TestServer {
    address: SocketAddr,
    server: Rc<Server>,
    /// The numbers of the requests that have reached the backend.
    forwarded: Rc<RefCell<Vec<u32>>>,
}

impl TestServer {
    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).await.unwrap();
        stream.set_nodelay(true).unwrap(); // else the system delays bytes by real time
        sleep(SHORT_DELAY).await;
        stream
    }

    /// Opens `count` connections with a request each, which is answered for [`FAST_PATH`] and in flight for
    /// [`SLOW_PATH`].
    async fn connect_clients(&self, count: usize, path: &str) -> Vec<TcpStream> {
        let first_number = if path == FAST_PATH { 1000 } else { 2000 };
        let mut clients = Vec::new();
        for number in (first_number..).take(count) {
            let mut stream = self.connect().await;
            stream.write_all(request(number, path, "").as_bytes()).await.unwrap();
            match path == FAST_PATH {
                true => assert!(read_until(&mut stream, b"ok\n").await.contains(" 200 ")),
                false => sleep(SLOW_REQUEST_DURATION / 150).await, // the engine rejects none at this rate
            }
            clients.push(stream);
        }
        clients
    }
}

/// Runs `scenario` against a server with a connection limit of `max_connections`.
async fn with_server<F: Future + 'static>(
    max_connections: usize,
    scenario: impl FnOnce(TestServer) -> F,
) -> F::Output {
    let class = Class { latency_objective: 20.0, deadline: 20.0, ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let base = ProxySettings {
        max_open: 100,
        connect_timeout: PEER_TIMEOUT,
        idle_close: PEER_TIMEOUT,
        ..Default::default()
    };
    let proxy_settings = ProxySettings { classes: vec!["look".into()], ..base };
    let run = async {
        let engine = Engine::start(settings.clone(), &proxy_settings, 1, 8);
        let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = backend.local_addr().unwrap();
        let entries = (0..10).map(|id| EndpointEntry { id: BackendId(id), ..EndpointEntry::default() });
        let list = entries.map(|entry| ListedEndpoint { entry, address }).collect();
        engine.apply_watch_event(WatchEvent::Cached(list));
        let forwarded = Rc::default();
        spawn_local(serve_backend(backend, Rc::clone(&forwarded)));
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = Server::new(engine, settings, proxy_settings, max_connections);
        spawn_local(server.clone().run(listener, std::future::pending()));
        spawn_local(scenario(TestServer { address, server, forwarded })).await.unwrap()
    };
    LocalSet::new().run_until(run).await
}

async fn serve_backend(listener: TcpListener, forwarded: Rc<RefCell<Vec<u32>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let forwarded = forwarded.clone();
        spawn_local(async move {
            while let Some((line, ids)) = read_until(&mut stream, b"\r\n\r\n").await.split_once("x-txn: ") {
                forwarded.borrow_mut().push(ids[8..16].parse().unwrap());
                sleep(if line.contains(SLOW_PATH) { SLOW_REQUEST_DURATION } else { Duration::ZERO }).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n").await;
            }
        });
    }
}

/// Reads up to `ending` or to the end of the connection, one of which must arrive; returns the received text in lower
/// case.
async fn read_until(stream: &mut TcpStream, ending: &[u8]) -> String {
    let mut received = Vec::new();
    let read = async {
        while !received.ends_with(ending) && stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
        }
    };
    timeout(2 * SLOW_REQUEST_DURATION, read).await.expect("an answer or the end of the connection");
    String::from_utf8_lossy(&received).to_lowercase()
}

/// Reads to the end, then closes; returns the received text and the elapsed time.
async fn read_to_end(mut stream: TcpStream) -> (String, Duration) {
    let start = Instant::now();
    (read_until(&mut stream, b"\0").await, start.elapsed())
}

/// The text of a request with additional headers.
fn request(number: u32, path: &str, headers: &str) -> String {
    let ids = format!("X-Txn: 9b1f03aa{number:08}\r\nX-Lane: look\r\nX-Remaining-Ms: 20000\r\n");
    format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n{ids}{headers}\r\n")
}

/// Sends a request and returns the answer, which is empty if the connection ends without one.
async fn exchange(stream: &mut TcpStream, number: u32) -> String {
    let _ = stream.write_all(request(number, FAST_PATH, "").as_bytes()).await;
    read_until(stream, b"ok\n").await
}

/// Connects a new client to a server whose connections have all just been used, but for one. Then writes a request on
/// the connection that was used first, after `turns` turns of the runtime and `polls` polls of all tasks. Returns how
/// many connections were open then, and whether the request was answered. Checks that it was forwarded if and only if
/// it was answered.
async fn request_during_eviction(turns: usize, polls: usize) -> (usize, bool) {
    let scenario = async move |test_server: TestServer| {
        let mut used = test_server.connect_clients(MAX_CONNECTIONS - 1, FAST_PATH).await;
        let _silent = test_server.connect().await;
        let _new_client = std::net::TcpStream::connect(test_server.address).unwrap(); // blocks the runtime
        for _ in 0..turns {
            yield_now().await;
        }
        for _ in 0..polls {
            spawn_local(async {}).await.unwrap(); // runs after the tasks that are due
        }
        let open = test_server.server.gauges().client_connections;
        let is_answered = exchange(&mut used[0], 1).await.contains(" 200 ");
        sleep(PEER_TIMEOUT).await;
        let was_read = used[0].take_error().unwrap().is_none(); // closing with unread bytes resets
        println!("({turns}, {polls}): {open} open, answered {is_answered}, read {was_read}");
        assert_eq!(is_answered, test_server.forwarded.borrow().contains(&1), "({turns}, {polls})");
        (open, is_answered)
    };
    with_server(MAX_CONNECTIONS, scenario).await
}

#[tokio::test(start_paused = true)]
async fn a_request_on_a_recently_used_connection_is_answered_whenever_a_new_client_connects() {
    // The new client connects before the connection is chosen for eviction, before it is shut down, and after that.
    let runs = [
        request_during_eviction(0, 0).await,
        request_during_eviction(1, 0).await,
        request_during_eviction(1, 1).await,
    ];
    assert_eq!(runs.map(|(open, _)| open - MAX_CONNECTIONS), [0, 1, 1], "unexpected order of events");
    assert_eq!(runs.map(|(_, is_answered)| is_answered), [true; 3], "requests answered");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_an_eviction_is_forwarded_if_and_only_if_it_is_answered() {
    for order in 0..16 {
        request_during_eviction(order / 4, order % 4).await;
    }
}

/// Connects `count` idle clients, `per_second` of them per second. They close when the server does.
async fn crowd(address: SocketAddr, count: usize, per_second: u32) {
    for _ in 0..count {
        spawn_local(read_to_end(TcpStream::connect(address).await.unwrap()));
        sleep(Duration::from_secs(1) / per_second).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_client_in_a_crowd_is_answered_or_closed_in_time_and_not_forwarded_after_its_close() {
    let crowds = [(8, 100), (8, 1000), (64, 100), (64, 1000), (110, 100), (110, 1000)];
    let cases =
        crowds.map(|crowd| [(0, 3000), (40, 2000), (40, 40)].map(|write_pattern| (crowd, write_pattern)));
    for ((max_connections, per_second), (first_bytes, pause_ms)) in cases.into_iter().flatten() {
        let (received, elapsed, was_forwarded) = with_server(max_connections, async move |test_server| {
            crowd(test_server.address, max_connections, per_second).await;
            let mut stream = test_server.connect().await;
            let (text, start) = (request(1, FAST_PATH, ""), Instant::now());
            spawn_local(crowd(test_server.address, 2 * max_connections, per_second));
            stream.write_all(&text.as_bytes()[..first_bytes]).await.unwrap();
            let mut received = timeout(Duration::from_millis(pause_ms), read_until(&mut stream, b"\0")).await;
            if received.is_err() {
                stream.write_all(&text.as_bytes()[first_bytes..]).await.unwrap();
                received = Ok(read_until(&mut stream, b"\0").await);
            }
            let (received, elapsed) = (received.unwrap(), start.elapsed());
            sleep(PEER_TIMEOUT).await;
            (received, elapsed, test_server.forwarded.borrow().contains(&1))
        })
        .await;
        let case = format!(
            "at most {max_connections} open, {per_second}/s, {first_bytes} bytes, rest {pause_ms} ms later"
        );
        println!("{case}: {:?}, end after {elapsed:?}", received.lines().next());
        assert_eq!(received.contains(" 200 "), was_forwarded, "{case}: {received}");
        assert!(elapsed <= PEER_TIMEOUT, "{case}: {elapsed:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_used_connection_is_evicted_while_a_closed_one_lingers() {
    let answer = with_server(MAX_CONNECTIONS, async |test_server| {
        let mut used = test_server.connect_clients(MAX_CONNECTIONS - 1, FAST_PATH).await;
        let mut lingering = test_server.connect().await;
        lingering.write_all(request(1, FAST_PATH, "Connection: close\r\n").as_bytes()).await.unwrap();
        read_until(&mut lingering, b"ok\n").await;
        let _new_client = test_server.connect().await;
        exchange(&mut used[0], 2).await
    });
    assert!(answer.await.contains(" 200 "), "the used connection was closed");
}

/// The other connections use the one allowed beyond the limit: rejected ones, or evicted ones with an incomplete head.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_behind_others_beyond_the_limit_is_closed_in_time() {
    let closing = &request(1, FAST_PATH, "Connection: close\r\n");
    let mut late_cases = Vec::new();
    for (is_busy, text) in [(false, "GET /half"), (true, closing), (true, ""), (true, "GET /half")] {
        let (others, text) = (if is_busy { 1 } else { MAX_CONNECTIONS + 1 }, text.to_string());
        let case = format!("all busy {is_busy}, others sent {:?}", text.lines().next());
        let (_, elapsed) = with_server(MAX_CONNECTIONS, async move |test_server| {
            let _busy =
                test_server.connect_clients(if is_busy { MAX_CONNECTIONS } else { 0 }, SLOW_PATH).await;
            let mut streams = Vec::new();
            for _ in 0..others {
                streams.push(test_server.connect().await);
                streams.last_mut().unwrap().write_all(text.as_bytes()).await.unwrap();
            }
            read_to_end(test_server.connect().await).await
        })
        .await;
        println!("{case}: end after {elapsed:?}");
        late_cases.extend((elapsed > PEER_TIMEOUT).then_some((case, elapsed)));
    }
    assert!(late_cases.is_empty(), "{late_cases:?}");
}

/// The answer closes the connection because the request asks for it, or because the connection is beyond the limit
/// while all others are busy.
#[tokio::test(start_paused = true)]
async fn no_request_is_forwarded_after_an_answer_that_closes_and_the_client_sees_the_end() {
    let clients = ["pipelines", "sends after the answer", "stays"];
    for (client, is_rejected) in clients.into_iter().flat_map(|client| [(client, false), (client, true)]) {
        let (received, elapsed, was_forwarded) = with_server(MAX_CONNECTIONS, async move |test_server| {
            let busy =
                test_server.connect_clients(if is_rejected { MAX_CONNECTIONS } else { 0 }, SLOW_PATH).await;
            let mut stream = test_server.connect().await;
            let next = request(2, FAST_PATH, "");
            let first = request(1, FAST_PATH, if is_rejected { "" } else { "Connection: close\r\n" });
            let second = if client == "pipelines" { &next } else { "" };
            stream.write_all((first + second).as_bytes()).await.unwrap();
            stream.readable().await.unwrap();
            if client == "sends after the answer" {
                let _ = stream.write_all(next.as_bytes()).await;
            }
            let (received, elapsed) = read_to_end(stream).await;
            for mut stream in busy {
                assert!(read_until(&mut stream, b"ok\n").await.contains(" 200 "), "a busy connection");
            }
            sleep(PEER_TIMEOUT).await;
            (received, elapsed, test_server.forwarded.borrow().contains(&2))
        })
        .await;
        assert!(
            received.starts_with(["http/1.1 200", "http/1.1 503"][usize::from(is_rejected)]),
            "{client}: {received}"
        );
        assert!(
            received.contains("connection: close") && received.matches("http/1.1").count() == 1,
            "{client}: {received}"
        );
        assert!(
            !was_forwarded && elapsed <= SHORT_DELAY,
            "{client}: forwarded {was_forwarded}, end after {elapsed:?}"
        );
    }
}

/// Returns the answer to a new client that connects `idle_duration` after the other clients' last requests, while one
/// of these clients is busy, and how many of the idle ones' connections are still open then.
async fn answer_to_new_client_after(idle_duration: Duration) -> (String, usize) {
    with_server(MAX_CONNECTIONS, async move |test_server| {
        let mut used = test_server.connect_clients(MAX_CONNECTIONS - 1, FAST_PATH).await;
        let _busy = test_server.connect_clients(1, SLOW_PATH).await;
        sleep(idle_duration).await;
        let answer = exchange(&mut test_server.connect().await, 1).await;
        let mut open_count = 0;
        for (number, stream) in (2..).zip(&mut used) {
            open_count += exchange(stream, number).await.matches(" 200 ").count();
        }
        (answer, open_count)
    })
    .await
}

#[tokio::test(start_paused = true)]
async fn a_new_client_evicts_no_recently_used_connection() {
    let (answer, open_count) = answer_to_new_client_after(SHORT_DELAY).await;
    assert_eq!(open_count, MAX_CONNECTIONS - 1, "the new client's answer: {answer}");
    assert!(answer.contains(" 503 "), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_evicted_for_a_new_client() {
    let (answer, open_count) = answer_to_new_client_after(Duration::from_secs(2)).await;
    assert!(
        answer.contains(" 200 ") && open_count == MAX_CONNECTIONS - 2,
        "{open_count} still open, {answer}"
    );
}

/// A request whose body never arrives.
fn request_without_body(number: u32) -> String {
    request(number, FAST_PATH, "Content-Length: 10\r\n").replace("GET", "POST")
}

/// Connects without sending anything; returns the time until the connection ends.
async fn time_to_close_silent_peer(test_server: &TestServer) -> Duration {
    read_to_end(test_server.connect().await).await.1
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_gets_its_end_in_time_behind_a_crowd_that_sends_heads_without_bodies() {
    let mut late_cases = Vec::new();
    for max_connections in [8, 111] {
        let elapsed = with_server(max_connections, async move |test_server| {
            let mut crowd = Vec::new();
            for number in 0..(max_connections + max_connections / 8 + 1) as u32 {
                let mut stream = std::net::TcpStream::connect(test_server.address).unwrap();
                std::io::Write::write_all(&mut stream, request_without_body(number).as_bytes()).unwrap();
                crowd.push(stream);
                sleep(SHORT_DELAY).await;
            }
            println!(
                "at most {max_connections} connections, open {}",
                test_server.server.gauges().client_connections
            );
            time_to_close_silent_peer(&test_server).await
        })
        .await;
        late_cases.extend((elapsed > PEER_TIMEOUT).then_some((max_connections, elapsed)));
    }
    assert!(late_cases.is_empty(), "{late_cases:?}");
}

/// All admitted connections are busy, and the ones beyond the limit wait for bodies.
#[tokio::test(start_paused = true)]
async fn a_request_beyond_the_limit_is_rejected_while_all_places_are_busy() {
    let (answer, forwarded, open) = with_server(MAX_CONNECTIONS, async |test_server| {
        let _busy = test_server.connect_clients(MAX_CONNECTIONS, SLOW_PATH).await;
        let mut incomplete = std::net::TcpStream::connect(test_server.address).unwrap();
        std::io::Write::write_all(&mut incomplete, request_without_body(1).as_bytes()).unwrap();
        sleep(SHORT_DELAY).await;
        let mut new_client = std::net::TcpStream::connect(test_server.address).unwrap();
        std::io::Write::write_all(&mut new_client, request(2, FAST_PATH, "").as_bytes()).unwrap();
        new_client.set_nonblocking(true).unwrap();
        sleep(10 * SHORT_DELAY).await;
        let open = test_server.server.gauges().client_connections;
        let answer = read_until(&mut TcpStream::from_std(new_client).unwrap(), b"\n\n").await;
        (answer, test_server.forwarded.borrow().contains(&2), open)
    })
    .await;
    println!("{open} open, forwarded {forwarded}, answer {answer:?}");
    assert!(answer.contains("too many connections"), "{open} open, forwarded {forwarded}, answer {answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_closed_in_time_behind_a_request_beyond_the_limit() {
    let mut late_cases = Vec::new();
    for max_connections in [2, 7] {
        let (elapsed, open, forwarded) = with_server(max_connections, async move |test_server| {
            let _busy = test_server.connect_clients(max_connections, SLOW_PATH).await;
            let mut new_clients = Vec::new();
            for number in 1..=3 {
                let mut stream = std::net::TcpStream::connect(test_server.address).unwrap();
                std::io::Write::write_all(&mut stream, request(number, SLOW_PATH, "").as_bytes()).unwrap();
                new_clients.push(stream);
                sleep(SHORT_DELAY).await;
            }
            let open = test_server.server.gauges().client_connections;
            (
                time_to_close_silent_peer(&test_server).await,
                open,
                test_server.forwarded.borrow().iter().filter(|number| **number < 1000).count(),
            )
        })
        .await;
        println!(
            "limit {max_connections}: {open} open, {forwarded} forwarded beyond it, end after {elapsed:?}"
        );
        late_cases.extend((elapsed > PEER_TIMEOUT).then_some((max_connections, elapsed)));
    }
    assert!(late_cases.is_empty(), "{late_cases:?}");
}

/// Used connections with an incomplete second head are past their idle timeout when new clients connect.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_closed_in_time_behind_used_connections_with_an_incomplete_head() {
    let elapsed = with_server(MAX_CONNECTIONS, async |test_server| {
        let mut used = test_server.connect_clients(MAX_CONNECTIONS - 1, FAST_PATH).await;
        for stream in &mut used {
            stream.write_all(b"GET /half").await.unwrap();
        }
        sleep(Duration::from_millis(2250)).await;
        let mut busy = Vec::new();
        for number in 1..=3 {
            let mut stream = std::net::TcpStream::connect(test_server.address).unwrap();
            std::io::Write::write_all(&mut stream, request(number, SLOW_PATH, "").as_bytes()).unwrap();
            busy.push(stream);
            sleep(SHORT_DELAY).await;
        }
        println!("open {}", test_server.server.gauges().client_connections);
        time_to_close_silent_peer(&test_server).await
    })
    .await;
    assert!(elapsed <= PEER_TIMEOUT, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_client_that_stops_in_its_second_head_is_closed_in_time() {
    let elapsed = with_server(MAX_CONNECTIONS, async |test_server| {
        let mut stream = test_server.connect_clients(1, FAST_PATH).await.remove(0);
        stream.write_all(b"GET /half").await.unwrap();
        read_to_end(stream).await.1
    })
    .await;
    assert!(elapsed <= PEER_TIMEOUT, "{elapsed:?}");
}

/// All admitted connections but one are busy. That one is evicted with an incomplete head, which is then completed to a
/// long request.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_closed_in_time_behind_evicted_connections_whose_requests_are_served() {
    let elapsed = with_server(MAX_CONNECTIONS, async |test_server| {
        let _busy = test_server.connect_clients(MAX_CONNECTIONS - 1, SLOW_PATH).await;
        let text = request(1, SLOW_PATH, "");
        let mut evicted = test_server.connect().await;
        evicted.write_all(&text.as_bytes()[..20]).await.unwrap();
        let mut new_client = test_server.connect().await;
        new_client.write_all(request(2, SLOW_PATH, "").as_bytes()).await.unwrap();
        evicted.write_all(&text.as_bytes()[20..]).await.unwrap();
        sleep(SHORT_DELAY).await;
        println!("open {}", test_server.server.gauges().client_connections);
        let mut third = std::net::TcpStream::connect(test_server.address).unwrap();
        std::io::Write::write_all(&mut third, request(3, SLOW_PATH, "").as_bytes()).unwrap();
        sleep(SHORT_DELAY).await;
        println!(
            "open {}, forwarded {:?}",
            test_server.server.gauges().client_connections,
            test_server.forwarded.borrow()
        );
        time_to_close_silent_peer(&test_server).await
    })
    .await;
    assert!(elapsed <= PEER_TIMEOUT, "{elapsed:?}");
}

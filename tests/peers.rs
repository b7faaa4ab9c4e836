//! Clients that send nothing or incomplete requests, backends that do not answer, and how connections are closed, on
//! loopback sockets with a paused clock: waits take no real time, and measured durations are exact.

use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::server::{self, Server};
use linkhatch_proxy::proxy::settings::ProxySettings;
use linkhatch_proxy::proxy::watch_event::{ListedEndpoint, WatchEvent};
use linkhatch_proxy::{Class, EndpointEntry, Idempotency, Settings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The time within which a peer must get an answer or a close.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs `scenario` with the address of a server with one class and no backends.
async fn with_server<F: Future>(max_connections: usize, scenario: impl FnOnce(SocketAddr) -> F) -> F::Output {
    with_backend(None, Class::default(), max_connections, std::future::pending(), scenario).await
}

/// The same with one backend, if any, and a shutdown when `stop` completes.
async fn with_backend<F: Future>(
    backend: Option<SocketAddr>,
    class: Class,
    max_connections: usize,
    stop: impl Future<Output = ()> + 'static,
    scenario: impl FnOnce(SocketAddr) -> F,
) -> F::Output {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    with_listener(listener, Rc::default(), backend, class, max_connections, stop, scenario).await
}

/// The same on the given listener; `ended` is set when the server has returned, which is when the process exits.
async fn with_listener<F: Future>(
    listener: TcpListener,
    ended: Rc<Cell<bool>>,
    backend: Option<SocketAddr>,
    class: Class,
    max_connections: usize,
    stop: impl Future<Output = ()> + 'static,
    scenario: impl FnOnce(SocketAddr) -> F,
) -> F::Output {
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let proxy_settings = ProxySettings {
        classes: vec!["look".into()],
        tenants: vec!["acme".into()],
        max_open: 1000,
        connect_timeout: PEER_TIMEOUT,
        idle_close: PEER_TIMEOUT,
        ..ProxySettings::default()
    };
    let local_set = LocalSet::new();
    local_set
        .run_until(async {
            let engine = Engine::start(settings.clone(), &proxy_settings, 1, 8);
            let endpoints =
                backend.map(|address| ListedEndpoint { entry: EndpointEntry::default(), address });
            engine.apply_watch_event(WatchEvent::Cached(endpoints.into_iter().collect()));
            let address = listener.local_addr().unwrap();
            let server = Server::new(engine, settings, proxy_settings, max_connections);
            tokio::task::spawn_local(async move {
                server.run(listener, stop).await;
                ended.set(true);
            });
            scenario(address).await
        })
        .await
}

/// Connects, writes, and reads to the end; returns the received bytes and the elapsed time.
async fn peer(address: SocketAddr, text: &[u8]) -> (Vec<u8>, Duration) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text).await.unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await; // a reset ends the connection too
    (received, start.elapsed())
}

const HEAD: &str = "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: look\r\n";

#[tokio::test(start_paused = true)]
async fn a_peer_with_an_incomplete_request_gets_an_answer_or_a_close_in_time() {
    let body = format!("{HEAD}Content-Length: 100\r\n\r\nno more");
    for text in ["", "GET /api HT", HEAD, &body] {
        let (_, elapsed) = with_server(8, |address| peer(address, text.as_bytes())).await;
        assert!(elapsed <= PEER_TIMEOUT, "{text:?}: {elapsed:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_byte_by_byte_times_out() {
    let elapsed = with_server(8, |address| async move {
        let start = Instant::now();
        let mut stream = TcpStream::connect(address).await.unwrap();
        // Otherwise the system delays bytes by its own clock, which does not pause.
        stream.set_nodelay(true).unwrap();
        let text = format!("{HEAD}Content-Length: 1000\r\n\r\n{}", "x".repeat(1000));
        for byte in text.bytes() {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
        }
        let _ = stream.read_to_end(&mut Vec::new()).await;
        start.elapsed()
    });
    let elapsed = elapsed.await;
    assert!(elapsed <= PEER_TIMEOUT, "{elapsed:?}");
}

/// Sends a readiness check; returns the answer in lower case, empty if the connection has ended.
async fn check_readiness(stream: &mut TcpStream) -> String {
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").await;
    let mut received = Vec::new();
    while !received.ends_with(b"ready\n") && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {}
    String::from_utf8_lossy(&received).to_lowercase()
}

#[tokio::test]
async fn idle_connections_are_evicted_for_new_clients() {
    let answers = with_server(8, |address| async move {
        let mut streams = Vec::new();
        for _ in 0..9 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        // The first connection has been evicted for the last one, and the second one still works.
        let last = check_readiness(&mut streams[8]).await;
        [last, check_readiness(&mut streams[1]).await, check_readiness(&mut streams[0]).await]
    })
    .await;
    let is_open = |answer: &String| answer.contains("not ready") && !answer.contains("connection: close");
    assert_eq!(answers.each_ref().map(is_open), [true, true, false], "{answers:?}");
    assert_eq!(answers[2], "");
}

/// Guards against a request that is lost because new idle clients evicted its connection, which had just been used.
#[tokio::test]
async fn a_recently_used_connection_is_not_evicted_for_new_idle_clients() {
    const MAX_CONNECTIONS: usize = 8;
    let answers = with_server(MAX_CONNECTIONS, |address| async move {
        let mut used = TcpStream::connect(address).await.unwrap();
        let first = check_readiness(&mut used).await;
        let mut new_clients = Vec::new();
        for _ in 0..3 * MAX_CONNECTIONS {
            new_clients.push(TcpStream::connect(address).await.unwrap());
        }
        // The server has accepted all of them when it answers the last one.
        let last = check_readiness(&mut new_clients[3 * MAX_CONNECTIONS - 1]).await;
        [first, last, check_readiness(&mut used).await]
    })
    .await;
    assert!(answers.iter().all(|answer| answer.contains("not ready")), "{answers:?}");
}

/// Closed connections are not among those that can be evicted.
#[tokio::test]
async fn closed_connections_do_not_count_as_idle() {
    let answers = with_server(8, |address| async move {
        for _ in 0..20 {
            peer(address, b"GET /-/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").await;
        }
        let mut streams = Vec::new();
        for _ in 0..9 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        [check_readiness(&mut streams[8]).await, check_readiness(&mut streams[0]).await]
    })
    .await;
    assert!(answers[0].contains("not ready") && answers[1].is_empty(), "{answers:?}");
}

#[tokio::test(start_paused = true)]
async fn silent_peers_do_not_block_new_clients() {
    let status = with_server(2, |address| async move {
        let mut silent = Vec::new();
        for _ in 0..8 {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        peer(address, b"GET /-/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").await
    });
    let (received, elapsed) = status.await;
    // Without a list the proxy becomes ready after five seconds.
    let status: &[u8] = if elapsed < Duration::from_secs(5) { b"HTTP/1.1 503" } else { b"HTTP/1.1 200" };
    assert!(received.starts_with(status), "{elapsed:?}: {}", String::from_utf8_lossy(&received));
    assert!(elapsed <= 5 * PEER_TIMEOUT, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn every_client_of_a_silent_backend_gets_an_answer() {
    let client_timeout = Duration::from_millis(1500);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let request =
        format!("{HEAD}X-Remaining-Ms: {}\r\nConnection: close\r\n\r\n", client_timeout.as_millis());
    let address = backend.local_addr().ok();
    let (answer, attempt) = with_backend(address, class, 8, std::future::pending(), |address| async move {
        let hanging_backend = async {
            let mut attempt = Vec::new();
            let _ = backend.accept().await.unwrap().0.read_to_end(&mut attempt).await;
            attempt // the proxy has closed the connection
        };
        tokio::join!(peer(address, request.as_bytes()), hanging_backend)
    })
    .await;
    let (received, elapsed) = (String::from_utf8_lossy(&answer.0), answer.1);
    // The request may have been executed, so a retry is not harmless.
    assert!(received.starts_with("HTTP/1.1 5") && !received.starts_with("HTTP/1.1 503"), "{received}");
    assert!(elapsed < client_timeout && elapsed > client_timeout * 9 / 10, "{elapsed:?}");
    assert!(attempt.starts_with(b"GET /api"), "{attempt:?}");
}

#[tokio::test(start_paused = true)]
async fn clients_are_served_for_a_while_after_sigterm_and_answered_before_sigkill() {
    // The other proxies may be restarting too. SIGKILL comes 3.7 s after SIGTERM if deadlines are long.
    let (stop, late_request_ms, kill_ms) = (Duration::from_millis(500), 1400, 3700);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let address = backend.local_addr().ok();
    let scenario = |address| async move {
        let backend_task = async {
            // The backend answers only the first two requests.
            let (mut stream, _) = backend.accept().await.unwrap();
            for _ in 0..2 {
                let mut received = Vec::new();
                while !received.ends_with(b"\r\n\r\n") && stream.read_buf(&mut received).await.unwrap() > 0 {}
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n").await.unwrap();
            }
            stream
        };
        let client = async {
            let start = Instant::now();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let mut heads = Vec::new();
            for (number, delay_ms) in [(1, 0), (2, late_request_ms), (3, late_request_ms)] {
                tokio::time::sleep_until(start + stop + Duration::from_millis(delay_ms)).await;
                let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n")
                    .replace("X-Txn: 9", &format!("X-Txn: {number}"));
                stream.write_all(text.as_bytes()).await.unwrap();
                let mut received = Vec::new();
                while !received.ends_with(b"\n") && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0)
                {
                }
                heads.push(String::from_utf8_lossy(&received).lines().next().unwrap_or_default().to_string());
            }
            let end = stream.read_to_end(&mut Vec::new()).await;
            (heads, end.is_ok(), start.elapsed() - stop)
        };
        tokio::join!(client, backend_task).0
    };
    let (heads, is_end_clean, elapsed) =
        with_backend(address, class, 8, tokio::time::sleep(stop), scenario).await;
    assert!(heads[0].contains(" 200 ") && heads[1].contains(" 200 "), "{heads:?}");
    assert!(heads[2].starts_with("HTTP/1.1 5") && is_end_clean, "{heads:?}");
    assert!(elapsed < Duration::from_millis(kill_ms - 300), "{elapsed:?}");
}

/// The shortest time from SIGTERM to SIGKILL if deadlines are 3 s or longer.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3700);

/// A backend that accepts every connection and answers no request.
async fn silent_backend(backend: &TcpListener) {
    let mut streams = Vec::new();
    while let Ok((stream, _)) = backend.accept().await {
        streams.push(stream);
    }
}

/// If deadlines are longer than the time up to SIGKILL, a request from before SIGTERM has more time left than the
/// process.
#[tokio::test(start_paused = true)]
async fn a_request_received_before_sigterm_is_answered_before_sigkill_whatever_its_deadline() {
    let stop = Duration::from_millis(500);
    for effect in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let class =
            Class { latency_objective: 20.0, deadline: 20.0, idempotency: effect, ..Class::default() };
        let address = backend.local_addr().ok();
        let request = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
        let scenario = |address| async move {
            tokio::select! {
                answer = peer(address, request.as_bytes()) => answer,
                () = silent_backend(&backend) => unreachable!("the backend accepts connections for ever"),
            }
        };
        let (received, elapsed) = with_backend(address, class, 8, tokio::time::sleep(stop), scenario).await;
        assert!(received.starts_with(b"HTTP/1.1 5"), "{effect:?}: {}", String::from_utf8_lossy(&received));
        assert!(elapsed < stop + MIN_KILL_DELAY, "{effect:?}: {elapsed:?}");
    }
}

/// SIGKILL may come later than expected: a process that exits before an answer has been sent loses the request.
#[tokio::test(start_paused = true)]
async fn the_process_does_not_exit_while_an_answer_is_being_written() {
    let stop = Duration::from_millis(500);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // inherited by its connections
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let (ended, ended_early) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (ended_flag, early_flag) = (ended.clone(), ended_early.clone());
    let scenario = |address| async move {
        let (answer_signal, signalled) = oneshot::channel();
        answer_signal.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            tokio::time::sleep(stop + MIN_KILL_DELAY + Duration::from_secs(1)).await;
            early_flag.set(ended_flag.get());
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signalled)).0
    };
    let stop_signal = tokio::time::sleep(stop);
    let received =
        with_listener(listener, ended, address, non_idempotent_class(), 8, stop_signal, scenario).await;
    assert!(!ended_early.get(), "the process would have exited before the answer was sent");
    assert_eq!(complete_body_length(&received), Some(LONG_BODY_BYTES), "{} bytes received", received.len());
}

/// A process that is suspended when SIGTERM is sent reads it late, but the time until SIGKILL counts from when SIGTERM
/// was sent.
#[tokio::test(start_paused = true)]
async fn a_sigterm_that_is_read_late_delays_no_answer() {
    let (stop, suspension) = (Duration::from_millis(500), Duration::from_secs(2));
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let request = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
    let start = Instant::now();
    let scenario = |address| async move {
        tokio::select! {
            answer = peer(address, request.as_bytes()) => answer.0,
            () = silent_backend(&backend) => unreachable!("the backend accepts connections for ever"),
        }
    };
    let stop_signal = async move {
        tokio::time::sleep(stop).await;
        tokio::time::advance(suspension).await; // SIGTERM was sent at the beginning of the suspension
    };
    let received = with_backend(address, class, 8, stop_signal, scenario).await;
    let elapsed = start.elapsed();
    assert!(received.starts_with(b"HTTP/1.1 5"), "{}", String::from_utf8_lossy(&received));
    assert!(elapsed < stop + MIN_KILL_DELAY, "{elapsed:?}");
}

// ---- closing of client connections ----

/// Long enough for bytes on loopback to arrive.
const SHORT_DELAY: Duration = Duration::from_millis(10);
/// The body of a long answer: larger than the smallest socket buffers.
const LONG_BODY_BYTES: usize = 60_000;

fn non_idempotent_class() -> Class {
    Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    }
}

/// Connects a client with a small receive buffer.
async fn slow_reader(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(address).await.unwrap()
}

/// Reads in small pieces until the end or a reset; returns the received bytes.
async fn read_slowly(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut piece = [0; 1000];
    while let Ok(read @ 1..) = stream.read(&mut piece).await {
        received.extend_from_slice(&piece[..read]);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    received
}

/// The length of the body in bytes, if the answer is complete.
fn complete_body_length(received: &[u8]) -> Option<usize> {
    let head = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&received[..head]).to_lowercase();
    let length: usize = text.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
    (received.len() - head == length).then_some(length)
}

/// A backend that reads one request, and answers it with a long body when signalled.
async fn long_answer(backend: &TcpListener, signalled: oneshot::Receiver<()>) -> TcpStream {
    let (mut stream, _) = backend.accept().await.unwrap();
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") && stream.read_buf(&mut received).await.unwrap() > 0 {}
    signalled.await.unwrap();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n{}",
        "x".repeat(LONG_BODY_BYTES)
    );
    stream.write_all(answer.as_bytes()).await.unwrap();
    stream
}

/// A close with unread bytes is a reset, which discards what the client has not received yet.
#[tokio::test(start_paused = true)]
async fn an_answer_is_complete_despite_unread_bytes_after_its_request() {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let scenario = |address| async move {
        let (answer_signal, signalled) = oneshot::channel();
        let client = async {
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\nConnection: close\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            // The proxy reads the first piece while it waits for the answer, but not the second one.
            for piece in ["GET", " /api HTTP/1.1"] {
                tokio::time::sleep(SHORT_DELAY).await;
                stream.write_all(piece.as_bytes()).await.unwrap();
            }
            tokio::time::sleep(SHORT_DELAY).await;
            answer_signal.send(()).unwrap();
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signalled)).0
    };
    let received = with_backend(address, non_idempotent_class(), 8, std::future::pending(), scenario).await;
    assert_eq!(complete_body_length(&received), Some(LONG_BODY_BYTES), "{} bytes received", received.len());
}

/// A client whose body is too large is still writing when the answer arrives: the close must not discard the answer.
#[tokio::test(start_paused = true)]
async fn a_client_with_a_far_too_large_body_reads_the_answer() {
    let (was_written, received) = with_server(8, |address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let body = vec![b'x'; 3 << 19];
        let head = format!("{HEAD}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        let was_written = stream.write_all(&body).await.is_ok();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        (was_written, received)
    })
    .await;
    assert!(
        was_written && received.starts_with(b"HTTP/1.1 413"),
        "{was_written}: {}",
        String::from_utf8_lossy(&received)
    );
}

/// The process must not exit while an answer is still in its own buffers, even if no request is in flight.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_gets_its_complete_answer_before_the_exit() {
    let stop = Duration::from_millis(500);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // inherited by its connections
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let (ended, ended_early) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (ended_flag, early_flag) = (ended.clone(), ended_early.clone());
    let scenario = |address| async move {
        let (answer_signal, signalled) = oneshot::channel();
        answer_signal.send(()).unwrap();
        let client = async {
            let start = Instant::now();
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            // At this time the process no longer waits for idle connections, and SIGKILL has not come yet.
            tokio::time::sleep_until(start + stop + Duration::from_millis(2900)).await;
            early_flag.set(ended_flag.get());
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signalled)).0
    };
    let stop_signal = tokio::time::sleep(stop);
    let received =
        with_listener(listener, ended, address, non_idempotent_class(), 8, stop_signal, scenario).await;
    assert!(!ended_early.get(), "the process would have exited before the answer was sent");
    assert_eq!(complete_body_length(&received), Some(LONG_BODY_BYTES), "{} bytes received", received.len());
}

/// A backend that answers every request on every connection at once.
async fn prompt_backend(backend: &TcpListener) {
    loop {
        let (mut stream, _) = backend.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            loop {
                let mut received = Vec::new();
                while !received.ends_with(b"\r\n\r\n") {
                    if !stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
                        return;
                    }
                }
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
                if stream.write_all(answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads one answer; returns an empty text if the connection ends without one.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(b"served") && stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {}
    String::from_utf8_lossy(&received).into_owned()
}

/// A request with the given number in its id.
fn numbered_request(number: u8) -> String {
    format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n").replace("X-Txn: 9", &format!("X-Txn: {number}"))
}

/// Sends a complete request, and then a second one in two pieces, `first_delay` and `second_delay` after the answer to
/// the first one. Shuts the server down after `stop`, if given. Returns the answer to the second request.
async fn second_request_in_pieces(
    first_delay: Duration,
    second_delay: Duration,
    stop: Option<Duration>,
) -> String {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let client = |address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
        assert!(read_answer(&mut stream).await.contains("served"));
        let start = Instant::now();
        let request = numbered_request(2);
        let (head, rest) = request.split_at(request.len() / 2);
        tokio::time::sleep_until(start + first_delay).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep_until(start + second_delay).await;
        let _ = stream.write_all(rest.as_bytes()).await; // the connection may be closed
        read_answer(&mut stream).await
    };
    let scenario = |address| async move {
        tokio::select! {
            answer = client(address) => answer,
            () = prompt_backend(&backend) => unreachable!("the backend accepts connections for ever"),
        }
    };
    let stop_signal = async move {
        match stop {
            Some(delay) => tokio::time::sleep(delay).await,
            None => std::future::pending().await,
        }
    };
    with_backend(address, non_idempotent_class(), 8, stop_signal, scenario).await
}

/// A connection with a partly received request is not idle: the remainder may be on its way, and the request is served
/// when it has arrived.
#[tokio::test(start_paused = true)]
async fn a_partly_received_request_is_served_at_shutdown() {
    let ms = Duration::from_millis;
    // After an immediate shutdown, idle connections are closed after half of 3.2 s.
    let answer = second_request_in_pieces(ms(1590), ms(1610), Some(ms(0))).await;
    assert!(answer.contains(" 200 ") && answer.contains("connection: close"), "{answer:?}");
}

/// The same for a connection that is closed because it was idle for too long.
#[tokio::test(start_paused = true)]
async fn a_partly_received_request_is_served_at_the_idle_timeout() {
    let ms = Duration::from_millis;
    let answer = second_request_in_pieces(ms(2190), ms(2210), None).await;
    assert!(answer.contains(" 200 "), "{answer:?}");
}

/// A connection that is evicted gets its answer first, however slowly the client reads.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_gets_its_complete_answer_before_it_is_evicted() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // inherited by its connections
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let scenario = |address| async move {
        let (answer_signal, signalled) = oneshot::channel();
        answer_signal.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
            tokio::time::sleep(SHORT_DELAY).await;
            let _other = TcpStream::connect(address).await.unwrap(); // the limit is one connection
            tokio::time::sleep(Duration::from_millis(200)).await;
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signalled)).0
    };
    let class = non_idempotent_class();
    let received =
        with_listener(listener, Rc::default(), address, class, 1, std::future::pending(), scenario).await;
    assert_eq!(complete_body_length(&received), Some(LONG_BODY_BYTES), "{} bytes received", received.len());
}

/// Guards against a request that is lost because the connection was closed shortly after a slow reader had received its
/// answer: the idle time was counted from the start of the answer.
#[tokio::test(start_paused = true)]
async fn a_connection_is_idle_only_once_its_answer_has_been_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // inherited by its connections
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let scenario = |address| async move {
        let (answer_signal, signalled) = oneshot::channel();
        answer_signal.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2100)).await;
            let mut received = Vec::new();
            while complete_body_length(&received).is_none()
                && stream.read_buf(&mut received).await.is_ok_and(|read| read > 0)
            {}
            tokio::time::sleep(Duration::from_millis(1900)).await;
            check_readiness(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signalled)).0
    };
    let class = non_idempotent_class();
    let answer =
        with_listener(listener, Rc::default(), address, class, 8, std::future::pending(), scenario).await;
    assert!(answer.contains("ready"), "{answer:?}");
}

/// hyper reads no further than the beginning of the next request, so it does not notice a disconnect after it.
#[tokio::test(start_paused = true)]
async fn a_disconnect_behind_a_pipelined_byte_is_detected_and_ends_the_attempts() {
    for reset in [false, true] {
        let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = backend.local_addr().ok();
        let class = Class {
            latency_objective: 20.0,
            deadline: 20.0,
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        };
        let scenario = |address| async move {
            let mut client = TcpStream::connect(address).await.unwrap();
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            client.write_all(text.as_bytes()).await.unwrap();
            let (mut attempt, _) = backend.accept().await.unwrap();
            client.write_all(b"G").await.unwrap();
            tokio::time::sleep(SHORT_DELAY).await;
            client.write_all(b"ET").await.unwrap();
            tokio::time::sleep(SHORT_DELAY).await;
            if reset {
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(client);
            let disconnected_at = Instant::now();
            attempt.read_to_end(&mut Vec::new()).await.unwrap();
            let detection_time = disconnected_at.elapsed();
            // The request's timers would retry it within the next seconds.
            let retry = tokio::time::timeout(Duration::from_secs(30), backend.accept()).await;
            (detection_time, retry.is_ok())
        };
        let (detection_time, retry) = with_backend(address, class, 8, std::future::pending(), scenario).await;
        assert!(detection_time <= Duration::from_millis(100), "reset {reset}: {detection_time:?}");
        assert!(!retry, "reset {reset}: the request was sent again");
    }
}

/// A queued request is dropped when its client disconnects, and not sent when its turn comes.
#[tokio::test(start_paused = true)]
async fn a_queued_request_of_a_disconnected_client_is_never_sent() {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let class = Class { ordered: true, ..non_idempotent_class() };
    let scenario = |address| async move {
        let send_request = async |number: u8| {
            let mut client = TcpStream::connect(address).await.unwrap();
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\nCookie: sid=7f3a9c21e0b4d655\r\n\r\n")
                .replace("X-Txn: 9", &format!("X-Txn: {number}"));
            client.write_all(text.as_bytes()).await.unwrap();
            client
        };
        let mut first = send_request(1).await;
        let (mut attempt, _) = backend.accept().await.unwrap();
        let mut second = send_request(2).await;
        tokio::time::sleep(SHORT_DELAY).await;
        second.write_all(b"G").await.unwrap();
        tokio::time::sleep(SHORT_DELAY).await;
        drop(second);
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The first request is answered, so the second one would be sent.
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") && attempt.read_buf(&mut received).await.unwrap() > 0 {}
        attempt.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.unwrap();
        let mut answer = [0; 64];
        let served = first.read(&mut answer).await.unwrap() > 0;
        let mut more = [0; 64];
        tokio::select! {
            read = attempt.read(&mut more) => (served, read.unwrap_or(0) > 0),
            _ = backend.accept() => (served, true),
            () = tokio::time::sleep(Duration::from_secs(30)) => (served, false),
        }
    };
    let (served, sent) = with_backend(address, class, 8, std::future::pending(), scenario).await;
    assert!(served && !sent, "served {served}, the second sent {sent}");
}

/// A listener is closed only when its backlog is empty, even if the runtime has not noticed its connections yet.
#[tokio::test]
async fn closing_the_listener_returns_the_connections_of_its_backlog() {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    // The runtime does not run during this.
    let clients: Vec<_> = (0..5).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    assert_eq!(server::close_listener(listener).len(), clients.len());
    assert!(std::net::TcpStream::connect(address).is_err(), "the listener is closed");
}

// ---- readiness ----

/// A proxy without a list has no backends, but a proxy that is never ready counts as a failed start.
#[tokio::test(start_paused = true)]
async fn a_proxy_without_a_list_becomes_ready_to_reject() {
    let answers = with_server(8, |address| async move {
        let mut answers = Vec::new();
        for _ in 0..2 {
            answers.push(check_readiness(&mut TcpStream::connect(address).await.unwrap()).await);
            tokio::time::sleep(Duration::from_secs(8)).await;
        }
        answers
    })
    .await;
    assert!(answers[0].contains(" 503 ") && answers[1].contains(" 200 "), "{answers:?}");
}

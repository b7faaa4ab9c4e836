//! Clients that send nothing or incomplete requests, backends that do not answer, and how connections are closed, on
//! loopback sockets and in paused time: waits take no time, and how long they would have taken is exact.

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

/// How long a peer may be left without an answer or a close.
const OWED: Duration = Duration::from_secs(3);

/// Runs `play` with the address of a server of one class without backends.
async fn with_server<F: Future>(connections: usize, play: impl FnOnce(SocketAddr) -> F) -> F::Output {
    with_backend(None, Class::default(), connections, std::future::pending(), play).await
}

/// The same with one backend, if any, and a shutdown when `stop` completes.
async fn with_backend<F: Future>(
    backend: Option<SocketAddr>,
    class: Class,
    connections: usize,
    stop: impl Future<Output = ()> + 'static,
    play: impl FnOnce(SocketAddr) -> F,
) -> F::Output {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    with_listener(listener, Rc::default(), backend, class, connections, stop, play).await
}

/// The same on a listener; `ended` is set when the server has returned, as the process exits then.
async fn with_listener<F: Future>(
    listener: TcpListener,
    ended: Rc<Cell<bool>>,
    backend: Option<SocketAddr>,
    class: Class,
    connections: usize,
    stop: impl Future<Output = ()> + 'static,
    play: impl FnOnce(SocketAddr) -> F,
) -> F::Output {
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let wire = ProxySettings {
        classes: vec!["look".into()],
        tenants: vec!["acme".into()],
        max_open: 1000,
        connect_timeout: OWED,
        idle_close: OWED,
        ..ProxySettings::default()
    };
    let local = LocalSet::new();
    local
        .run_until(async {
            let engine = Engine::start(settings.clone(), &wire, 1, 8);
            let listed = backend.map(|address| ListedEndpoint { entry: EndpointEntry::default(), address });
            engine.apply_watch_event(WatchEvent::Cached(listed.into_iter().collect()));
            let address = listener.local_addr().unwrap();
            let server = Server::new(engine, settings, wire, connections);
            tokio::task::spawn_local(async move {
                server.run(listener, stop).await;
                ended.set(true);
            });
            play(address).await
        })
        .await
}

/// Connects, writes, and reads to the end; returns what arrived and how long that took.
async fn peer(address: SocketAddr, text: &[u8]) -> (Vec<u8>, Duration) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text).await.unwrap();
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got).await; // a reset is an end too
    (got, start.elapsed())
}

const HEAD: &str = "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: look\r\n";

#[tokio::test(start_paused = true)]
async fn a_peer_with_an_incomplete_request_gets_an_answer_or_a_close_in_time() {
    let body = format!("{HEAD}Content-Length: 100\r\n\r\nno more");
    for text in ["", "GET /api HT", HEAD, &body] {
        let (_, took) = with_server(8, |address| peer(address, text.as_bytes())).await;
        assert!(took <= OWED, "{text:?}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_byte_by_byte_times_out() {
    let took = with_server(8, |address| async move {
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
    let took = took.await;
    assert!(took <= OWED, "{took:?}");
}

/// Asks on a connection whether the server is ready; returns the answer in lower case, empty at the end.
async fn ask(stream: &mut TcpStream) -> String {
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").await;
    let mut got = Vec::new();
    while !got.ends_with(b"ready\n") && stream.read_buf(&mut got).await.is_ok_and(|n| n > 0) {}
    String::from_utf8_lossy(&got).to_lowercase()
}

#[tokio::test]
async fn idle_connections_are_evicted_for_new_clients() {
    let answers = with_server(8, |address| async move {
        let mut streams = Vec::new();
        for _ in 0..9 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        // The first one has been evicted for the last, and the second still works.
        let last = ask(&mut streams[8]).await;
        [last, ask(&mut streams[1]).await, ask(&mut streams[0]).await]
    })
    .await;
    let good = |answer: &String| answer.contains("not ready") && !answer.contains("connection: close");
    assert_eq!(answers.each_ref().map(good), [true, true, false], "{answers:?}");
    assert_eq!(answers[2], "");
}

/// Guards against a request that is lost because idle newcomers evicted its connection, which had just been used.
#[tokio::test]
async fn a_connection_just_used_is_not_evicted_for_idle_newcomers() {
    const MAX_CONNECTIONS: usize = 8;
    let answers = with_server(MAX_CONNECTIONS, |address| async move {
        let mut used = TcpStream::connect(address).await.unwrap();
        let first = ask(&mut used).await;
        let mut newcomers = Vec::new();
        for _ in 0..3 * MAX_CONNECTIONS {
            newcomers.push(TcpStream::connect(address).await.unwrap());
        }
        // The server has accepted all of them once it answers the last one.
        let last = ask(&mut newcomers[3 * MAX_CONNECTIONS - 1]).await;
        [first, last, ask(&mut used).await]
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
        [ask(&mut streams[8]).await, ask(&mut streams[0]).await]
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
    let (got, took) = status.await;
    // Without a list it becomes ready after five seconds.
    let status: &[u8] = if took < Duration::from_secs(5) { b"HTTP/1.1 503" } else { b"HTTP/1.1 200" };
    assert!(got.starts_with(status), "{took:?}: {}", String::from_utf8_lossy(&got));
    assert!(took <= 5 * OWED, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn every_client_of_a_silent_backend_gets_an_answer() {
    let patience = Duration::from_millis(1500);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let request = format!("{HEAD}X-Remaining-Ms: {}\r\nConnection: close\r\n\r\n", patience.as_millis());
    let address = backend.local_addr().ok();
    let (answer, attempt) = with_backend(address, class, 8, std::future::pending(), |address| async move {
        let silence = async {
            let mut attempt = Vec::new();
            let _ = backend.accept().await.unwrap().0.read_to_end(&mut attempt).await;
            attempt // it has been given up
        };
        tokio::join!(peer(address, request.as_bytes()), silence)
    })
    .await;
    let (got, took) = (String::from_utf8_lossy(&answer.0), answer.1);
    // It may have been executed, so that a retry is not harmless.
    assert!(got.starts_with("HTTP/1.1 5") && !got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(took < patience && took > patience * 9 / 10, "{took:?}");
    assert!(attempt.starts_with(b"GET /api"), "{attempt:?}");
}

#[tokio::test(start_paused = true)]
async fn clients_are_served_for_a_while_after_sigterm_and_answered_before_sigkill() {
    // The other proxies may be restarting too. SIGKILL comes 3.7 s after SIGTERM where deadlines are long.
    let (stop, asked, killed) = (Duration::from_millis(500), 1400, 3700);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let address = backend.local_addr().ok();
    let play = |address| async move {
        let answers = async {
            // It answers the first two requests, and no more.
            let (mut stream, _) = backend.accept().await.unwrap();
            for _ in 0..2 {
                let mut got = Vec::new();
                while !got.ends_with(b"\r\n\r\n") && stream.read_buf(&mut got).await.unwrap() > 0 {}
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n").await.unwrap();
            }
            stream
        };
        let client = async {
            let begin = Instant::now();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let mut heads = Vec::new();
            for (number, at) in [(1, 0), (2, asked), (3, asked)] {
                tokio::time::sleep_until(begin + stop + Duration::from_millis(at)).await;
                let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n")
                    .replace("X-Txn: 9", &format!("X-Txn: {number}"));
                stream.write_all(text.as_bytes()).await.unwrap();
                let mut got = Vec::new();
                while !got.ends_with(b"\n") && stream.read_buf(&mut got).await.is_ok_and(|n| n > 0) {}
                heads.push(String::from_utf8_lossy(&got).lines().next().unwrap_or_default().to_string());
            }
            let end = stream.read_to_end(&mut Vec::new()).await;
            (heads, end.is_ok(), begin.elapsed() - stop)
        };
        tokio::join!(client, answers).0
    };
    let (heads, ended, took) = with_backend(address, class, 8, tokio::time::sleep(stop), play).await;
    assert!(heads[0].contains(" 200 ") && heads[1].contains(" 200 "), "{heads:?}");
    assert!(heads[2].starts_with("HTTP/1.1 5") && ended, "{heads:?}");
    assert!(took < Duration::from_millis(killed - 300), "{took:?}");
}

/// The earliest SIGKILL after SIGTERM where deadlines are 3 s or longer.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// A backend that reads every request and answers none.
async fn silent_backend(backend: &TcpListener) {
    let mut taken = Vec::new();
    while let Ok((stream, _)) = backend.accept().await {
        taken.push(stream);
    }
}

/// With deadlines longer than the time up to SIGKILL, a request from before SIGTERM has more time left than the process.
#[tokio::test(start_paused = true)]
async fn a_request_received_before_sigterm_is_answered_before_sigkill_whatever_its_deadline() {
    let stop = Duration::from_millis(500);
    for effect in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let class =
            Class { latency_objective: 20.0, deadline: 20.0, idempotency: effect, ..Class::default() };
        let address = backend.local_addr().ok();
        let request = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
        let play = |address| async move {
            tokio::select! {
                answer = peer(address, request.as_bytes()) => answer,
                () = silent_backend(&backend) => unreachable!("it takes requests for ever"),
            }
        };
        let (got, took) = with_backend(address, class, 8, tokio::time::sleep(stop), play).await;
        assert!(got.starts_with(b"HTTP/1.1 5"), "{effect:?}: {}", String::from_utf8_lossy(&got));
        assert!(took < stop + EARLIEST_KILL, "{effect:?}: {took:?}");
    }
}

/// SIGKILL may come later than expected: a process that exits while it owes an answer has lost the request.
#[tokio::test(start_paused = true)]
async fn the_process_does_not_exit_while_an_answer_is_being_written() {
    let stop = Duration::from_millis(500);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // its connections have the same
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let (ended, seen) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (watched, ended_early) = (ended.clone(), seen.clone());
    let play = |address| async move {
        let (go, signal) = oneshot::channel();
        go.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            tokio::time::sleep(stop + EARLIEST_KILL + Duration::from_secs(1)).await;
            ended_early.set(watched.get());
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signal)).0
    };
    let stopped = tokio::time::sleep(stop);
    let got = with_listener(listener, ended, address, unsafe_class(), 8, stopped, play).await;
    assert!(!seen.get(), "the process would have ended before the answer was out");
    assert_eq!(whole_body(&got), Some(LONG_BODY), "{} bytes came", got.len());
}

/// A process that is suspended around its SIGTERM reads it late; SIGKILL counts from when it was sent.
#[tokio::test(start_paused = true)]
async fn a_sigterm_that_is_read_late_delays_no_answer() {
    let (stop, stood_still) = (Duration::from_millis(500), Duration::from_secs(2));
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let class = Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    };
    let request = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
    let begin = Instant::now();
    let play = |address| async move {
        tokio::select! {
            answer = peer(address, request.as_bytes()) => answer.0,
            () = silent_backend(&backend) => unreachable!("it takes requests for ever"),
        }
    };
    let stopped = async move {
        tokio::time::sleep(stop).await;
        tokio::time::advance(stood_still).await; // SIGTERM came at the beginning of it
    };
    let got = with_backend(address, class, 8, stopped, play).await;
    let took = begin.elapsed();
    assert!(got.starts_with(b"HTTP/1.1 5"), "{}", String::from_utf8_lossy(&got));
    assert!(took < stop + EARLIEST_KILL, "{took:?}");
}

// ---- how connections of clients are closed ----

/// Long enough for bytes on loopback to arrive.
const MOMENT: Duration = Duration::from_millis(10);
/// The body of a long answer: larger than the smallest socket buffers.
const LONG_BODY: usize = 60_000;

fn unsafe_class() -> Class {
    Class {
        latency_objective: 20.0,
        deadline: 20.0,
        idempotency: Idempotency::NonIdempotent,
        ..Class::default()
    }
}

/// A client with a small receive buffer.
async fn slow_reader(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(address).await.unwrap()
}

/// Reads in small pieces to the end or to a reset; returns what arrived.
async fn read_slowly(stream: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let mut piece = [0; 1000];
    while let Ok(read @ 1..) = stream.read(&mut piece).await {
        got.extend_from_slice(&piece[..read]);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    got
}

/// The length of the body, if the answer is complete.
fn whole_body(got: &[u8]) -> Option<usize> {
    let head = got.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&got[..head]).to_lowercase();
    let length: usize = text.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
    (got.len() - head == length).then_some(length)
}

/// Reads one request, and answers it with a long body on a signal.
async fn long_answer(backend: &TcpListener, go: oneshot::Receiver<()>) -> TcpStream {
    let (mut stream, _) = backend.accept().await.unwrap();
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\n") && stream.read_buf(&mut got).await.unwrap() > 0 {}
    go.await.unwrap();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY));
    stream.write_all(answer.as_bytes()).await.unwrap();
    stream
}

/// A close with unread bytes is a reset, which discards what the client has not received yet.
#[tokio::test(start_paused = true)]
async fn an_answer_is_complete_though_bytes_lie_unread_after_its_request() {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let play = |address| async move {
        let (go, signal) = oneshot::channel();
        let client = async {
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\nConnection: close\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            // The first piece is read while the answer is awaited, the second is not.
            for piece in ["GET", " /api HTTP/1.1"] {
                tokio::time::sleep(MOMENT).await;
                stream.write_all(piece.as_bytes()).await.unwrap();
            }
            tokio::time::sleep(MOMENT).await;
            go.send(()).unwrap();
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signal)).0
    };
    let got = with_backend(address, unsafe_class(), 8, std::future::pending(), play).await;
    assert_eq!(whole_body(&got), Some(LONG_BODY), "{} bytes came", got.len());
}

/// A client with too large a body is still writing when the answer arrives: the close must not discard it.
#[tokio::test(start_paused = true)]
async fn a_client_with_a_far_too_large_body_reads_the_answer() {
    let (wrote, got) = with_server(8, |address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let body = vec![b'x'; 3 << 19];
        let head = format!("{HEAD}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        let wrote = stream.write_all(&body).await.is_ok();
        let mut got = Vec::new();
        let _ = stream.read_to_end(&mut got).await;
        (wrote, got)
    })
    .await;
    assert!(wrote && got.starts_with(b"HTTP/1.1 413"), "{wrote}: {}", String::from_utf8_lossy(&got));
}

/// The process must not exit while an answer is still in its own buffers, even if no request is in flight.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_gets_its_complete_answer_before_the_exit() {
    let stop = Duration::from_millis(500);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // its connections have the same
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let (ended, seen) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (watched, ended_early) = (ended.clone(), seen.clone());
    let play = |address| async move {
        let (go, signal) = oneshot::channel();
        go.send(()).unwrap();
        let client = async {
            let begin = Instant::now();
            let mut stream = slow_reader(address).await;
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            // After the process stops waiting for idle connections, before SIGKILL.
            tokio::time::sleep_until(begin + stop + Duration::from_millis(2900)).await;
            ended_early.set(watched.get());
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signal)).0
    };
    let stopped = tokio::time::sleep(stop);
    let got = with_listener(listener, ended, address, unsafe_class(), 8, stopped, play).await;
    assert!(!seen.get(), "the process would have ended before the answer was out");
    assert_eq!(whole_body(&got), Some(LONG_BODY), "{} bytes came", got.len());
}

/// Answers every request on every connection at once.
async fn prompt_backend(backend: &TcpListener) {
    loop {
        let (mut stream, _) = backend.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            loop {
                let mut got = Vec::new();
                while !got.ends_with(b"\r\n\r\n") {
                    if !stream.read_buf(&mut got).await.is_ok_and(|read| read > 0) {
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

/// Reads one answer; empty if the connection ends without one.
async fn one_answer(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"served") && stream.read_buf(&mut got).await.is_ok_and(|read| read > 0) {}
    String::from_utf8_lossy(&got).into_owned()
}

/// The n-th request of a client.
fn numbered_request(number: u8) -> String {
    format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n").replace("X-Txn: 9", &format!("X-Txn: {number}"))
}

/// Sends a complete request, and then one in two pieces, `first` and `second` after the answer to the first one. Returns
/// the answer to the second.
async fn second_request_in_pieces(first: Duration, second: Duration, stop: Option<Duration>) -> String {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let client = |address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
        assert!(one_answer(&mut stream).await.contains("served"));
        let begin = Instant::now();
        let request = numbered_request(2);
        let (head, rest) = request.split_at(request.len() / 2);
        tokio::time::sleep_until(begin + first).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep_until(begin + second).await;
        let _ = stream.write_all(rest.as_bytes()).await; // it may be closed
        one_answer(&mut stream).await
    };
    let play = |address| async move {
        tokio::select! {
            answer = client(address) => answer,
            () = prompt_backend(&backend) => unreachable!("it takes connections for ever"),
        }
    };
    let stopped = async move {
        match stop {
            Some(at) => tokio::time::sleep(at).await,
            None => std::future::pending().await,
        }
    };
    with_backend(address, unsafe_class(), 8, stopped, play).await
}

/// A connection with a part of a request is not between two requests: the remainder may be on its way, and the request is
/// served once it has arrived.
#[tokio::test(start_paused = true)]
async fn a_partly_received_request_is_served_at_shutdown() {
    let ms = Duration::from_millis;
    // On an immediate shutdown, idle connections are closed after half of 3.2 s.
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

/// A connection that is evicted gets its answer first, however slowly it is read.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_gets_its_complete_answer_before_it_is_evicted() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // its connections have the same
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let play = |address| async move {
        let (go, signal) = oneshot::channel();
        go.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
            tokio::time::sleep(MOMENT).await;
            let _other = TcpStream::connect(address).await.unwrap(); // there is room for one
            tokio::time::sleep(Duration::from_millis(200)).await;
            read_slowly(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signal)).0
    };
    let class = unsafe_class();
    let got = with_listener(listener, Rc::default(), address, class, 1, std::future::pending(), play).await;
    assert_eq!(whole_body(&got), Some(LONG_BODY), "{} bytes came", got.len());
}

/// Guards against a request that is lost because the connection was closed shortly after a slow reader had its answer: the
/// idle time began when the answer did.
#[tokio::test(start_paused = true)]
async fn a_connection_is_idle_only_once_its_answer_has_been_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap(); // its connections have the same
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let play = |address| async move {
        let (go, signal) = oneshot::channel();
        go.send(()).unwrap();
        let client = async {
            let mut stream = slow_reader(address).await;
            stream.write_all(numbered_request(1).as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2100)).await;
            let mut got = Vec::new();
            while whole_body(&got).is_none() && stream.read_buf(&mut got).await.is_ok_and(|read| read > 0) {}
            tokio::time::sleep(Duration::from_millis(1900)).await;
            ask(&mut stream).await
        };
        tokio::join!(client, long_answer(&backend, signal)).0
    };
    let class = unsafe_class();
    let answer =
        with_listener(listener, Rc::default(), address, class, 8, std::future::pending(), play).await;
    assert!(answer.contains("ready"), "{answer:?}");
}

/// hyper reads no further than the beginning of a next request, so it does not notice an end behind it.
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
        let play = |address| async move {
            let mut client = TcpStream::connect(address).await.unwrap();
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\n\r\n");
            client.write_all(text.as_bytes()).await.unwrap();
            let (mut attempt, _) = backend.accept().await.unwrap();
            client.write_all(b"G").await.unwrap();
            tokio::time::sleep(MOMENT).await;
            client.write_all(b"ET").await.unwrap();
            tokio::time::sleep(MOMENT).await;
            if reset {
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(client);
            let left = Instant::now();
            attempt.read_to_end(&mut Vec::new()).await.unwrap();
            let noticed = left.elapsed();
            // Its timers would retry it for the next seconds.
            let further = tokio::time::timeout(Duration::from_secs(30), backend.accept()).await;
            (noticed, further.is_ok())
        };
        let (noticed, further) = with_backend(address, class, 8, std::future::pending(), play).await;
        assert!(noticed <= Duration::from_millis(100), "reset {reset}: {noticed:?}");
        assert!(!further, "reset {reset}: it was sent again");
    }
}

/// A queued request is dropped with its client, and not sent when its turn comes.
#[tokio::test(start_paused = true)]
async fn a_queued_request_of_a_disconnected_client_is_never_sent() {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().ok();
    let class = Class { ordered: true, ..unsafe_class() };
    let play = |address| async move {
        let ask = async |txn: u8| {
            let mut client = TcpStream::connect(address).await.unwrap();
            let text = format!("{HEAD}X-Remaining-Ms: 20000\r\nCookie: sid=7f3a9c21e0b4d655\r\n\r\n")
                .replace("X-Txn: 9", &format!("X-Txn: {txn}"));
            client.write_all(text.as_bytes()).await.unwrap();
            client
        };
        let mut first = ask(1).await;
        let (mut attempt, _) = backend.accept().await.unwrap();
        let mut second = ask(2).await;
        tokio::time::sleep(MOMENT).await;
        second.write_all(b"G").await.unwrap();
        tokio::time::sleep(MOMENT).await;
        drop(second);
        tokio::time::sleep(Duration::from_millis(100)).await;
        // Its turn comes.
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\n") && attempt.read_buf(&mut got).await.unwrap() > 0 {}
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
    let (served, sent) = with_backend(address, class, 8, std::future::pending(), play).await;
    assert!(served && !sent, "served {served}, the second sent {sent}");
}

/// A listener is closed only when its backlog is empty, whatever the runtime knows.
#[tokio::test]
async fn closing_the_listener_returns_the_connections_of_its_backlog() {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    // The runtime does not run meanwhile.
    let clients: Vec<_> = (0..5).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    assert_eq!(server::close_listener(listener).len(), clients.len());
    assert!(std::net::TcpStream::connect(address).is_err(), "it is closed");
}

// ---- readiness ----

/// A proxy without a list has no backends, but one that is never ready counts as a failed start.
#[tokio::test(start_paused = true)]
async fn a_proxy_without_a_list_becomes_ready_to_reject() {
    let answers = with_server(8, |address| async move {
        let mut answers = Vec::new();
        for _ in 0..2 {
            answers.push(ask(&mut TcpStream::connect(address).await.unwrap()).await);
            tokio::time::sleep(Duration::from_secs(8)).await;
        }
        answers
    })
    .await;
    assert!(answers[0].contains(" 503 ") && answers[1].contains(" 200 "), "{answers:?}");
}

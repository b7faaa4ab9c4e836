//! Peers of the listener that send nothing, or no whole request, and backends that say nothing, on
//! loopback sockets and in paused time: waits take none, and how long they would have taken is exact.

use gannetproxy::proxy::engine::Engine;
use gannetproxy::proxy::server::{self, Server};
use gannetproxy::proxy::types::{Listed, News, WireSettings};
use gannetproxy::{Class, Effect, Entry, Settings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// What the terms allow a peer to be left without an error or a close.
const OWED: Duration = Duration::from_secs(3);

/// A server of one class without backends, and what is done with its address.
async fn with_server<F: Future>(connections: usize, play: impl FnOnce(SocketAddr) -> F) -> F::Output {
    with_backend(None, Class::default(), connections, std::future::pending(), play).await
}

/// The same with one backend, if any, and told to stop at a time.
async fn with_backend<F: Future>(
    backend: Option<SocketAddr>,
    class: Class,
    connections: usize,
    stop: impl Future<Output = ()> + 'static,
    play: impl FnOnce(SocketAddr) -> F,
) -> F::Output {
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let wire = WireSettings {
        classes: vec!["look".into()],
        tenants: vec!["acme".into()],
        max_open: 1000,
        connect_timeout: OWED,
        idle_close: OWED,
        ..WireSettings::default()
    };
    let local = LocalSet::new();
    local
        .run_until(async {
            let engine = Engine::start(settings.clone(), &wire, 1, 8);
            let listed = backend.map(|address| Listed { entry: Entry::default(), address });
            engine.news(News::Remembered(listed.into_iter().collect()));
            let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let address = listener.local_addr().unwrap();
            let server = Server::new(engine, settings, wire, connections);
            tokio::task::spawn_local(server.run(listener, stop));
            play(address).await
        })
        .await
}

/// Connects, writes, and reads to the end; tells what came and how long that took.
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
async fn a_peer_that_sends_no_whole_request_hears_so_in_time() {
    let body = format!("{HEAD}Content-Length: 100\r\n\r\nno more");
    for text in ["", "GET /api HT", HEAD, &body] {
        let (_, took) = with_server(8, |address| peer(address, text.as_bytes())).await;
        assert!(took <= OWED, "{text:?}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_dribbles_is_given_up_in_time_all_the_same() {
    let took = with_server(8, |address| async move {
        let start = Instant::now();
        let mut stream = TcpStream::connect(address).await.unwrap();
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

/// Asks on a connection whether the server is ready; what comes, in lower case, empty at its end.
async fn ask(stream: &mut TcpStream) -> String {
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").await;
    let mut got = Vec::new();
    while !got.ends_with(b"ready\n") && stream.read_buf(&mut got).await.is_ok_and(|n| n > 0) {}
    String::from_utf8_lossy(&got).to_lowercase()
}

#[tokio::test]
async fn connections_that_rest_make_room_for_a_client() {
    let answers = with_server(8, |address| async move {
        let mut streams = Vec::new();
        for _ in 0..9 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        // The first one has been let go for the last, and the second is as good as before.
        let last = ask(&mut streams[8]).await;
        [last, ask(&mut streams[1]).await, ask(&mut streams[0]).await]
    })
    .await;
    let good = |answer: &String| answer.contains("not ready") && !answer.contains("connection: close");
    assert_eq!(answers.each_ref().map(good), [true, true, false], "{answers:?}");
    assert_eq!(answers[2], "");
}

#[tokio::test(start_paused = true)]
async fn silent_peers_do_not_keep_a_client_out() {
    let status = with_server(2, |address| async move {
        let mut silent = Vec::new();
        for _ in 0..8 {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        peer(address, b"GET /-/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").await
    });
    let (got, took) = status.await;
    assert!(got.starts_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&got));
    assert!(took <= 5 * OWED, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_silent_backend_leaves_no_client_without_an_answer() {
    let patience = Duration::from_millis(1500);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class { aim: 20.0, deadline: 20.0, effect: Effect::Unsafe, ..Class::default() };
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
    // It may have run, so that trying again is not harmless.
    assert!(got.starts_with("HTTP/1.1 5") && !got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(took < patience && took > patience * 9 / 10, "{took:?}");
    assert!(attempt.starts_with(b"GET /api"), "{attempt:?}");
}

#[tokio::test(start_paused = true)]
async fn clients_are_served_on_their_connections_for_a_while_after_sigterm_and_answered_before_sigkill() {
    // The other proxies may be restarting too. SIGKILL comes 3.7 s after SIGTERM where deadlines are long.
    let (stop, asked, killed) = (Duration::from_millis(500), 1400, 3700);
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let class = Class { aim: 20.0, deadline: 20.0, effect: Effect::Unsafe, ..Class::default() };
    let address = backend.local_addr().ok();
    let play = |address| async move {
        let answers = async {
            // It answers the first two requests, and then says nothing.
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

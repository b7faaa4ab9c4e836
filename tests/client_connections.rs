//! Which clients' connections a full server closes, and what becomes of a request that crosses the close.
//!
//! Server, clients and backend share one thread and a paused clock: the order of their steps is forced, waits take no
//! time, and how long they would have taken is exact. The figures are printed (`--nocapture`).

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

/// The places of a small server: it accepts one connection beyond them.
const PLACES: usize = 8;
/// How long a peer may be left without an answer or a close.
const OWED: Duration = Duration::from_secs(3);
/// How long the backend works on a request for [`SLOW`].
const WORK: Duration = Duration::from_secs(15);
/// Long enough for all sides to do what is due, and short beside every timeout.
const MOMENT: Duration = Duration::from_millis(1);
/// The path of requests that are answered at once.
const FAST: &str = "/fast";
/// The path of requests that keep their connection busy.
const SLOW: &str = "/slow";

/// A server under test.
struct Subject {
    address: SocketAddr,
    server: Rc<Server>,
    /// The numbers of the requests that have reached the backend.
    forwarded: Rc<RefCell<Vec<u32>>>,
}

impl Subject {
    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).await.unwrap();
        stream.set_nodelay(true).unwrap(); // else the system delays bytes by its own clock, which does not pause
        sleep(MOMENT).await;
        stream
    }

    /// So many connections with a request each: answered if [`FAST`], and in flight if [`SLOW`].
    async fn clients(&self, count: usize, path: &str) -> Vec<TcpStream> {
        let first_number = if path == FAST { 1000 } else { 2000 };
        let mut clients = Vec::new();
        for number in (first_number..).take(count) {
            let mut stream = self.connect().await;
            stream.write_all(request(number, path, "").as_bytes()).await.unwrap();
            match path == FAST {
                true => assert!(read_until(&mut stream, b"ok\n").await.contains(" 200 ")),
                false => sleep(WORK / 150).await, // the engine refuses none at that pace
            }
            clients.push(stream);
        }
        clients
    }
}

/// Runs `play` against a server with so many places.
async fn with_server<F: Future + 'static>(places: usize, play: impl FnOnce(Subject) -> F) -> F::Output {
    let class = Class { latency_objective: 20.0, deadline: 20.0, ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let base = ProxySettings { max_open: 100, connect_timeout: OWED, idle_close: OWED, ..Default::default() };
    let wire = ProxySettings { classes: vec!["look".into()], ..base };
    let run = async {
        let engine = Engine::start(settings.clone(), &wire, 1, 8);
        let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = backend.local_addr().unwrap();
        let entries = (0..10).map(|id| EndpointEntry { id: BackendId(id), ..EndpointEntry::default() });
        let list = entries.map(|entry| ListedEndpoint { entry, address }).collect();
        engine.apply_watch_event(WatchEvent::Cached(list));
        let forwarded = Rc::default();
        spawn_local(serve_backend(backend, Rc::clone(&forwarded)));
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = Server::new(engine, settings, wire, places);
        spawn_local(server.clone().run(listener, std::future::pending()));
        spawn_local(play(Subject { address, server, forwarded })).await.unwrap()
    };
    LocalSet::new().run_until(run).await
}

async fn serve_backend(listener: TcpListener, forwarded: Rc<RefCell<Vec<u32>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let forwarded = forwarded.clone();
        spawn_local(async move {
            while let Some((line, ids)) = read_until(&mut stream, b"\r\n\r\n").await.split_once("x-txn: ") {
                forwarded.borrow_mut().push(ids[8..16].parse().unwrap());
                sleep(if line.contains(SLOW) { WORK } else { Duration::ZERO }).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n").await;
            }
        });
    }
}

/// Reads up to this ending or the end, one of which has to come; returns what came in lower case.
async fn read_until(stream: &mut TcpStream, ending: &[u8]) -> String {
    let mut got = Vec::new();
    let read = async {
        while !got.ends_with(ending) && stream.read_buf(&mut got).await.is_ok_and(|read| read > 0) {}
    };
    timeout(2 * WORK, read).await.expect("an answer or an end");
    String::from_utf8_lossy(&got).to_lowercase()
}

/// Reads to the end, then closes; returns what came and how long that took.
async fn read_to_end(mut stream: TcpStream) -> (String, Duration) {
    let start = Instant::now();
    (read_until(&mut stream, b"\0").await, start.elapsed())
}

/// The text of a request with further headers.
fn request(number: u32, path: &str, headers: &str) -> String {
    let ids = format!("X-Txn: 9b1f03aa{number:08}\r\nX-Lane: look\r\nX-Remaining-Ms: 20000\r\n");
    format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n{ids}{headers}\r\n")
}

/// Sends a request and returns the answer, empty where the connection ends without one.
async fn ask(stream: &mut TcpStream, number: u32) -> String {
    let _ = stream.write_all(request(number, FAST, "").as_bytes()).await;
    read_until(stream, b"ok\n").await
}

/// Connects a newcomer to a server that is full of connections just used, but for one, and writes a request on the one
/// that was used first, so many turns of the runtime and then polls of all tasks later. Returns how many connections were open then, and whether it was answered; it is forwarded exactly if it is.
async fn cross_an_eviction(turns: usize, polls: usize) -> (usize, bool) {
    let play = async move |subject: Subject| {
        let mut used = subject.clients(PLACES - 1, FAST).await;
        let _silent = subject.connect().await;
        let _newcomer = std::net::TcpStream::connect(subject.address).unwrap(); // the runtime does not run meanwhile
        for _ in 0..turns {
            yield_now().await;
        }
        for _ in 0..polls {
            spawn_local(async {}).await.unwrap(); // behind those that are due
        }
        let open = subject.server.gauges().client_connections;
        let is_answered = ask(&mut used[0], 1).await.contains(" 200 ");
        sleep(OWED).await;
        let was_read = used[0].take_error().unwrap().is_none(); // a close over unread bytes resets
        println!("({turns}, {polls}): {open} open, answered {is_answered}, read {was_read}");
        assert_eq!(is_answered, subject.forwarded.borrow().contains(&1), "({turns}, {polls})");
        (open, is_answered)
    };
    with_server(PLACES, play).await
}

#[tokio::test(start_paused = true)]
async fn a_request_on_a_connection_just_used_is_answered_whenever_a_newcomer_comes() {
    // It comes before the connection is chosen to be evicted, before the connection is shut down, and after that.
    let runs = [cross_an_eviction(0, 0).await, cross_an_eviction(1, 0).await, cross_an_eviction(1, 1).await];
    assert_eq!(runs.map(|(open, _)| open - PLACES), [0, 1, 1], "the orders are others");
    assert_eq!(runs.map(|(_, is_answered)| is_answered), [true; 3], "is it answered?");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_an_eviction_is_forwarded_exactly_if_it_is_answered() {
    for order in 0..16 {
        cross_an_eviction(order / 4, order % 4).await;
    }
}

/// Connects `count` idle clients at this rate. They close when the server does.
async fn crowd(address: SocketAddr, count: usize, per_second: u32) {
    for _ in 0..count {
        spawn_local(read_to_end(TcpStream::connect(address).await.unwrap()));
        sleep(Duration::from_secs(1) / per_second).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_in_a_crowd_is_answered_or_closed_in_time_and_not_forwarded_behind_its_close() {
    let crowds = [(8, 100), (8, 1000), (64, 100), (64, 1000), (110, 100), (110, 1000)];
    let all = crowds.map(|crowd| [(0, 3000), (40, 2000), (40, 40)].map(|slowness| (crowd, slowness)));
    for ((places, per_second), (first, pause_ms)) in all.into_iter().flatten() {
        let (got, took, was_forwarded) = with_server(places, async move |subject| {
            crowd(subject.address, places, per_second).await;
            let mut stream = subject.connect().await;
            let (text, start) = (request(1, FAST, ""), Instant::now());
            spawn_local(crowd(subject.address, 2 * places, per_second));
            stream.write_all(&text.as_bytes()[..first]).await.unwrap();
            let mut got = timeout(Duration::from_millis(pause_ms), read_until(&mut stream, b"\0")).await;
            if got.is_err() {
                stream.write_all(&text.as_bytes()[first..]).await.unwrap();
                got = Ok(read_until(&mut stream, b"\0").await);
            }
            let (got, took) = (got.unwrap(), start.elapsed());
            sleep(OWED).await;
            (got, took, subject.forwarded.borrow().contains(&1))
        })
        .await;
        let case = format!("{places} places, {per_second}/s, {first} bytes, {pause_ms} ms later the rest");
        println!("{case}: {:?}, end after {took:?}", got.lines().next());
        assert_eq!(got.contains(" 200 "), was_forwarded, "{case}: {got}");
        assert!(took <= OWED, "{case}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_used_connection_is_evicted_while_a_closed_one_lingers() {
    let answer = with_server(PLACES, async |subject| {
        let mut used = subject.clients(PLACES - 1, FAST).await;
        let mut lingering = subject.connect().await;
        lingering.write_all(request(1, FAST, "Connection: close\r\n").as_bytes()).await.unwrap();
        read_until(&mut lingering, b"ok\n").await;
        let _newcomer = subject.connect().await;
        ask(&mut used[0], 2).await
    });
    assert!(answer.await.contains(" 200 "), "it was closed");
}

/// The others fill the place beyond the limit: rejected ones, or evicted ones that have sent half a head.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_behind_others_beyond_the_limit_gets_its_end_in_time() {
    let closing = &request(1, FAST, "Connection: close\r\n");
    let mut late = Vec::new();
    for (is_busy, text) in [(false, "GET /half"), (true, closing), (true, ""), (true, "GET /half")] {
        let (others, text) = (if is_busy { 1 } else { PLACES + 1 }, text.to_string());
        let case = format!("all busy {is_busy}, others sent {:?}", text.lines().next());
        let (_, took) = with_server(PLACES, async move |subject| {
            let _busy = subject.clients(if is_busy { PLACES } else { 0 }, SLOW).await;
            let mut streams = Vec::new();
            for _ in 0..others {
                streams.push(subject.connect().await);
                streams.last_mut().unwrap().write_all(text.as_bytes()).await.unwrap();
            }
            read_to_end(subject.connect().await).await
        })
        .await;
        println!("{case}: the end comes after {took:?}");
        late.extend((took > OWED).then_some((case, took)));
    }
    assert!(late.is_empty(), "{late:?}");
}

/// The answer is one to a request that asks for the close, or to one beyond the limit while all others are busy.
#[tokio::test(start_paused = true)]
async fn no_request_is_forwarded_behind_an_answer_that_closes_and_the_client_sees_the_end() {
    let clients = ["pipelines", "sends after the answer", "stays"];
    for (client, is_rejected) in clients.into_iter().flat_map(|client| [(client, false), (client, true)]) {
        let (got, took, was_forwarded) = with_server(PLACES, async move |subject| {
            let busy = subject.clients(if is_rejected { PLACES } else { 0 }, SLOW).await;
            let mut stream = subject.connect().await;
            let next = request(2, FAST, "");
            let first = request(1, FAST, if is_rejected { "" } else { "Connection: close\r\n" });
            let second = if client == "pipelines" { &next } else { "" };
            stream.write_all((first + second).as_bytes()).await.unwrap();
            stream.readable().await.unwrap();
            if client == "sends after the answer" {
                let _ = stream.write_all(next.as_bytes()).await;
            }
            let (got, took) = read_to_end(stream).await;
            for mut stream in busy {
                assert!(read_until(&mut stream, b"ok\n").await.contains(" 200 "), "a busy one");
            }
            sleep(OWED).await;
            (got, took, subject.forwarded.borrow().contains(&2))
        })
        .await;
        assert!(
            got.starts_with(["http/1.1 200", "http/1.1 503"][usize::from(is_rejected)]),
            "{client}: {got}"
        );
        assert!(got.contains("connection: close") && got.matches("http/1.1").count() == 1, "{client}: {got}");
        assert!(!was_forwarded && took <= MOMENT, "{client}: forwarded {was_forwarded}, end after {took:?}");
    }
}

/// What a newcomer gets after such a rest where one connection is busy and the others were used, and how many of those
/// are open then.
async fn newcomer_after(rest: Duration) -> (String, usize) {
    with_server(PLACES, async move |subject| {
        let mut used = subject.clients(PLACES - 1, FAST).await;
        let _busy = subject.clients(1, SLOW).await;
        sleep(rest).await;
        let newcomer = ask(&mut subject.connect().await, 1).await;
        let mut kept = 0;
        for (number, stream) in (2..).zip(&mut used) {
            kept += ask(stream, number).await.matches(" 200 ").count();
        }
        (newcomer, kept)
    })
    .await
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_costs_no_connection_that_has_just_been_used() {
    let (newcomer, kept) = newcomer_after(MOMENT).await;
    assert_eq!(kept, PLACES - 1, "the newcomer got {newcomer}");
    assert!(newcomer.contains(" 503 "), "{newcomer}");
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_has_rested_makes_room_for_a_newcomer() {
    let (newcomer, kept) = newcomer_after(Duration::from_secs(2)).await;
    assert!(newcomer.contains(" 200 ") && kept == PLACES - 2, "{kept} kept, {newcomer}");
}

/// A request whose body never comes.
fn without_body(number: u32) -> String {
    request(number, FAST, "Content-Length: 10\r\n").replace("GET", "POST")
}

/// How long a silent peer waits for its end, from when it connects.
async fn silent_peer(subject: &Subject) -> Duration {
    read_to_end(subject.connect().await).await.1
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_gets_its_end_in_time_behind_a_crowd_that_sends_heads_without_bodies() {
    let mut late = Vec::new();
    for places in [8, 111] {
        let took = with_server(places, async move |subject| {
            let mut crowd = Vec::new();
            for number in 0..(places + places / 8 + 1) as u32 {
                let mut stream = std::net::TcpStream::connect(subject.address).unwrap();
                std::io::Write::write_all(&mut stream, without_body(number).as_bytes()).unwrap();
                crowd.push(stream);
                sleep(MOMENT).await;
            }
            println!("{places} places, open {}", subject.server.gauges().client_connections);
            silent_peer(&subject).await
        })
        .await;
        late.extend((took > OWED).then_some((places, took)));
    }
    assert!(late.is_empty(), "{late:?}");
}

/// All places are busy, and the connections beyond them wait for bodies.
#[tokio::test(start_paused = true)]
async fn a_request_beyond_the_limit_is_rejected_while_all_places_are_busy() {
    let (answer, forwarded, open) = with_server(PLACES, async |subject| {
        let _busy = subject.clients(PLACES, SLOW).await;
        let mut without = std::net::TcpStream::connect(subject.address).unwrap();
        std::io::Write::write_all(&mut without, without_body(1).as_bytes()).unwrap();
        sleep(MOMENT).await;
        let mut newcomer = std::net::TcpStream::connect(subject.address).unwrap();
        std::io::Write::write_all(&mut newcomer, request(2, FAST, "").as_bytes()).unwrap();
        newcomer.set_nonblocking(true).unwrap();
        sleep(10 * MOMENT).await;
        let open = subject.server.gauges().client_connections;
        let answer = read_until(&mut TcpStream::from_std(newcomer).unwrap(), b"\n\n").await;
        (answer, subject.forwarded.borrow().contains(&2), open)
    })
    .await;
    println!("{open} open, forwarded {forwarded}, it got {answer:?}");
    assert!(answer.contains("too many connections"), "{open} open, forwarded {forwarded}, it got {answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_gets_its_end_in_time_behind_a_request_beyond_the_limit() {
    let mut late = Vec::new();
    for places in [2, 7] {
        let (took, open, forwarded) = with_server(places, async move |subject| {
            let _busy = subject.clients(places, SLOW).await;
            let mut newcomers = Vec::new();
            for number in 1..=3 {
                let mut stream = std::net::TcpStream::connect(subject.address).unwrap();
                std::io::Write::write_all(&mut stream, request(number, SLOW, "").as_bytes()).unwrap();
                newcomers.push(stream);
                sleep(MOMENT).await;
            }
            let open = subject.server.gauges().client_connections;
            (
                silent_peer(&subject).await,
                open,
                subject.forwarded.borrow().iter().filter(|number| **number < 1000).count(),
            )
        })
        .await;
        println!("{places} places: {open} open, {forwarded} forwarded beyond them, end after {took:?}");
        late.extend((took > OWED).then_some((places, took)));
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Used connections with half a next head are past their idle time when newcomers come.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_gets_its_end_in_time_behind_used_connections_with_half_a_head() {
    let took = with_server(PLACES, async |subject| {
        let mut used = subject.clients(PLACES - 1, FAST).await;
        for stream in &mut used {
            stream.write_all(b"GET /half").await.unwrap();
        }
        sleep(Duration::from_millis(2250)).await;
        let mut busy = Vec::new();
        for number in 1..=3 {
            let mut stream = std::net::TcpStream::connect(subject.address).unwrap();
            std::io::Write::write_all(&mut stream, request(number, SLOW, "").as_bytes()).unwrap();
            busy.push(stream);
            sleep(MOMENT).await;
        }
        println!("open {}", subject.server.gauges().client_connections);
        silent_peer(&subject).await
    })
    .await;
    assert!(took <= OWED, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_client_that_stops_in_its_second_head_gets_its_end_in_time() {
    let took = with_server(PLACES, async |subject| {
        let mut stream = subject.clients(1, FAST).await.remove(0);
        stream.write_all(b"GET /half").await.unwrap();
        read_to_end(stream).await.1
    })
    .await;
    assert!(took <= OWED, "{took:?}");
}

/// All places are busy; one more is evicted with half a head, which then becomes a long request.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_gets_its_end_in_time_behind_evicted_connections_whose_requests_are_served() {
    let took = with_server(PLACES, async |subject| {
        let _busy = subject.clients(PLACES - 1, SLOW).await;
        let text = request(1, SLOW, "");
        let mut evicted = subject.connect().await;
        evicted.write_all(&text.as_bytes()[..20]).await.unwrap();
        let mut newcomer = subject.connect().await;
        newcomer.write_all(request(2, SLOW, "").as_bytes()).await.unwrap();
        evicted.write_all(&text.as_bytes()[20..]).await.unwrap();
        sleep(MOMENT).await;
        println!("open {}", subject.server.gauges().client_connections);
        let mut late = std::net::TcpStream::connect(subject.address).unwrap();
        std::io::Write::write_all(&mut late, request(3, SLOW, "").as_bytes()).unwrap();
        sleep(MOMENT).await;
        println!(
            "open {}, forwarded {:?}",
            subject.server.gauges().client_connections,
            subject.forwarded.borrow()
        );
        silent_peer(&subject).await
    })
    .await;
    assert!(took <= OWED, "{took:?}");
}

//! Attempts on connections to backends, with events in a forced order: unsolicited bytes, a backend that moves or
//! drains during connect, a connection that is established too late.

use linkhatch_proxy::Outcome;
use linkhatch_proxy::proxy::clock::Clock;
use linkhatch_proxy::proxy::forwarded_request::ForwardedRequest;
use linkhatch_proxy::proxy::upstream::{
    AttemptLimits, AttemptResult, ConnectionBudget, Endpoint, send_attempt,
};
use std::future::{Future, poll_fn};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::task::Poll;
use std::time::Duration;

/// Longer than any step takes, even on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn forwarded_request() -> Rc<ForwardedRequest> {
    Rc::new(ForwardedRequest {
        method: "POST".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        head_reservation: None,
        body: "body".into(),
        is_non_idempotent: false,
        history: Default::default(),
        guard: Default::default(),
        is_done: Default::default(),
        client_has_disconnected: Box::new(|| false),
        stamp: None,
    })
}

fn endpoint(address: SocketAddr) -> Rc<Endpoint> {
    Rc::new(Endpoint::new(address, ConnectionBudget::new(16), LONG_TIMEOUT, LONG_TIMEOUT))
}

async fn send(endpoint: &Rc<Endpoint>, clock: Clock, send_deadline: Option<f64>) -> AttemptResult {
    let limits = AttemptLimits { deadline: 20.0, send_deadline, number: 0 };
    send_attempt(endpoint.clone(), forwarded_request(), clock, limits, Default::default()).await
}

fn body(result: &AttemptResult) -> Option<&[u8]> {
    result.response.as_ref().map(|response| &*response.body)
}

fn run<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

/// Polls a future once and asserts that it is pending.
async fn poll_once(future: &mut Pin<Box<impl Future>>) {
    poll_fn(|cx| {
        assert!(future.as_mut().poll(cx).is_pending());
        Poll::Ready(())
    })
    .await;
}

/// Reads one complete request; returns `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    let (mut received, mut chunk) = (Vec::new(), [0; 1024]);
    while !received.ends_with(b"\r\n\r\nbody") {
        match stream.read(&mut chunk) {
            Ok(read @ 1..) => received.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
    Some(())
}

fn answer(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// Starts a backend that answers with the index of the connection. On the first connection, once triggered, it sends a
/// second response and reports that. Returns its address, the trigger, these reports, and the connection counts.
fn backend_with_second_response() -> (SocketAddr, Sender<()>, Receiver<()>, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ((trigger, triggered), (report_sent, sent), (report_count, counts)) =
        (channel(), channel(), channel());
    std::thread::spawn(move || {
        let mut triggered = Some(triggered);
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let _ = report_count.send(number + 1);
            let (mut stream, triggered, report_sent) = (stream, triggered.take(), report_sent.clone());
            std::thread::spawn(move || {
                while read_request(&mut stream).is_some() {
                    stream.write_all(answer(&number.to_string()).as_bytes()).unwrap();
                    if let Some(triggered) = &triggered
                        && triggered.recv_timeout(LONG_TIMEOUT).is_ok()
                    {
                        stream.write_all(answer("unsolicited").as_bytes()).unwrap();
                        report_sent.send(()).unwrap();
                    }
                }
            });
        }
    });
    (address, trigger, sent, counts)
}

/// Unread bytes on an idle connection must not be read as the response to the next request, even if the runtime has not
/// noticed them yet: the request would be served with an unsolicited response.
#[test]
fn a_second_response_is_never_read_as_the_next_requests_response() {
    let (address, trigger, sent, connection_counts) = backend_with_second_response();
    let (endpoint, clock) = (endpoint(address), Clock::start());
    run(async {
        assert_eq!(body(&send(&endpoint, clock, None).await), Some(b"0".as_slice()));
        // The runtime is blocked meanwhile.
        trigger.send(()).unwrap();
        sent.recv_timeout(LONG_TIMEOUT).unwrap();
        assert_eq!(body(&send(&endpoint, clock, None).await), Some(b"1".as_slice()));
        // A connection is not reused while a late response may arrive on it.
        assert_eq!(body(&send(&endpoint, clock, None).await), Some(b"2".as_slice()));
        tokio::time::sleep(Duration::from_millis(25)).await;
        assert_eq!(body(&send(&endpoint, clock, None).await), Some(b"2".as_slice()), "reused");
    });
    assert_eq!(connection_counts.try_iter().last(), Some(3));
}

/// Starts a backend that answers each request with its name, and reports each request.
fn named_backend(name: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (report_request, requests) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let report_request = report_request.clone();
            std::thread::spawn(move || {
                while read_request(&mut stream).is_some() {
                    let _ = report_request.send(());
                    stream.write_all(answer(name).as_bytes()).unwrap();
                }
            });
        }
    });
    (address, requests)
}

/// Once the connection is established, the old address may belong to another backend.
#[test]
fn an_attempt_follows_a_backend_that_moves_during_connect() {
    let ((old, requests_to_old), (new, _)) = (named_backend("old"), named_backend("new"));
    let endpoint = endpoint(old);
    run(async {
        let mut attempt = Box::pin(send(&endpoint, Clock::start(), None));
        poll_once(&mut attempt).await;
        endpoint.update(new, None);
        assert_eq!(body(&attempt.await), Some(b"new".as_slice()));
    });
    assert!(requests_to_old.try_recv().is_err(), "nothing is sent to the old address");
}

/// A drain announced during connect ends the attempt after the grace period.
#[tokio::test(start_paused = true)]
async fn no_attempt_is_sent_after_the_grace_period_of_a_drain_during_connect() {
    let (address, requests) = named_backend("backend");
    let (endpoint, clock) = (endpoint(address), Clock::start());
    let mut attempt = Box::pin(send(&endpoint, clock, None));
    poll_once(&mut attempt).await;
    endpoint.update(address, Some(0.25));
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(attempt.await.outcome, Outcome::ConnectFailed);
    assert!(requests.try_recv().is_err());
}

/// A retry of a request with an idempotency key is safe only within the key's window, which includes connecting.
#[tokio::test(start_paused = true)]
async fn a_retry_is_never_sent_after_its_idempotency_window() {
    for (connected_after_ms, outcome) in [(200, Outcome::Served), (400, Outcome::NotSent)] {
        let (address, requests) = named_backend("backend");
        let (endpoint, clock) = (endpoint(address), Clock::start());
        let mut attempt = Box::pin(send(&endpoint, clock, Some(0.3)));
        poll_once(&mut attempt).await;
        tokio::time::advance(Duration::from_millis(connected_after_ms)).await;
        assert_eq!(attempt.await.outcome, outcome, "connected after {connected_after_ms} ms");
        assert_eq!(requests.try_recv().is_ok(), outcome == Outcome::Served);
    }
}

/// The established connection serves the next request.
#[tokio::test]
async fn an_attempt_is_never_sent_if_its_request_ends_during_connect() {
    let (address, requests) = named_backend("backend");
    let (endpoint, clock, request) = (endpoint(address), Clock::start(), forwarded_request());
    let limits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 0 };
    let attempt = send_attempt(endpoint.clone(), request.clone(), clock, limits, Default::default());
    let mut attempt = Box::pin(attempt);
    poll_once(&mut attempt).await;
    request.is_done.set(true);
    assert_eq!(attempt.await.outcome, Outcome::NotSent);
    assert!(requests.try_recv().is_err());
    assert_eq!(send(&endpoint, clock, None).await.outcome, Outcome::Served);
}

/// Returns a listener with a full backlog: further connections are established once others have been accepted.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    listener.listen(0).unwrap();
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
        queued.push(stream);
    }
    (listener, queued)
}

/// A connection that is established after its attempt timed out is as usable and has cost as much as any other.
#[test]
fn a_connection_established_late_carries_the_next_request() {
    let (listener, queued) = full_listener();
    let address = listener.local_addr().unwrap();
    let budget = ConnectionBudget::new(1);
    let endpoint = Rc::new(Endpoint::new(address, budget, Duration::from_millis(20), LONG_TIMEOUT));
    let clock = Clock::start();
    run(async {
        assert_eq!(send(&endpoint, clock, None).await.outcome, Outcome::ConnectFailed);
        // The system retransmits its SYN until the backlog has room.
        let backend = std::thread::spawn(move || {
            for _ in 0..queued.len() {
                listener.accept().unwrap();
            }
            drop(queued);
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1").unwrap();
            read_request(&mut stream)
        });
        // The budget is one connection, so every further attempt has to wait for it.
        let mut outcome = Outcome::ConnectFailed;
        while outcome == Outcome::ConnectFailed && clock.now() < LONG_TIMEOUT.as_secs_f64() {
            outcome = send(&endpoint, clock, None).await.outcome;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(outcome, Outcome::Served);
        endpoint.close_idle();
        assert_eq!(backend.join().unwrap(), None, "no further request is sent");
    });
}

/// The attempt is cancelled when its connection is established but the process has not noticed this yet: nothing is
/// sent on it for that attempt, and it carries the next request.
#[test]
fn a_connection_established_as_its_attempt_times_out_carries_the_next_request() {
    let (address, requests) = named_backend("backend");
    let budget = ConnectionBudget::new(1);
    let endpoint = Rc::new(Endpoint::new(address, budget.clone(), LONG_TIMEOUT, LONG_TIMEOUT));
    run(async {
        let limits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 0 };
        let attempt =
            send_attempt(endpoint.clone(), forwarded_request(), Clock::start(), limits, Default::default());
        let mut attempt = Box::pin(attempt);
        poll_once(&mut attempt).await;
        // On loopback the system has established it by now.
        drop(attempt);
        assert!(budget.is_full(), "its file descriptor is counted");
        let clock = Clock::start();
        let mut outcome = Outcome::ConnectFailed;
        while outcome == Outcome::ConnectFailed && clock.now() < LONG_TIMEOUT.as_secs_f64() {
            outcome = send(&endpoint, clock, None).await.outcome;
            tokio::task::yield_now().await;
        }
        assert_eq!(outcome, Outcome::Served);
    });
    assert_eq!(requests.try_iter().count(), 1, "one request arrived");
}

/// A connection that no attempt waits for any more is closed when another one is needed.
#[test]
fn an_abandoned_connection_is_evicted_for_others_and_closed_with_its_backend() {
    let (listener, _queued) = full_listener();
    let budget = ConnectionBudget::new(1);
    let address = listener.local_addr().unwrap();
    let endpoint = Rc::new(Endpoint::new(address, budget.clone(), Duration::from_millis(20), LONG_TIMEOUT));
    run(async {
        for close in [Endpoint::evict_one, |endpoint: &Endpoint| {
            endpoint.close_idle();
            true
        }] {
            assert_eq!(send(&endpoint, Clock::start(), None).await.outcome, Outcome::ConnectFailed);
            assert!(budget.is_full());
            assert!(close(&endpoint) && !budget.is_full());
        }
    });
}

/// A process that was suspended may handle a timer before it reads its client's disconnect. It could then send an
/// attempt on an idle connection.
#[test]
fn no_attempt_is_sent_for_a_client_whose_disconnect_only_the_system_has_noticed() {
    let (address, requests) = named_backend("backend");
    let endpoint = endpoint(address);
    run(async {
        let disconnected = Rc::into_inner(forwarded_request())
            .map(|request| ForwardedRequest { client_has_disconnected: Box::new(|| true), ..request });
        let limits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 0 };
        let result = send_attempt(
            endpoint.clone(),
            Rc::new(disconnected.unwrap()),
            Clock::start(),
            limits,
            Default::default(),
        );
        assert_eq!(result.await.outcome, Outcome::NotSent);
        assert!(requests.try_recv().is_err());
        assert_eq!(send(&endpoint, Clock::start(), None).await.outcome, Outcome::Served);
    });
}

/// How a backend ends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    Endless,
}

/// A response without a length is complete when the connection is closed, but not when it is reset.
#[test]
fn a_truncated_response_is_never_served() {
    let head = "HTTP/1.1 200 OK\r\n";
    for (text, end, outcome) in [
        (format!("{head}\r\nhalf"), Ending::Close, Outcome::Served),
        (format!("{head}\r\nhalf"), Ending::Reset, Outcome::Reset),
        (format!("{head}Connection: close\r\n\r\nhalf"), Ending::Reset, Outcome::Reset),
        (format!("{head}Content-Length: 9\r\n\r\nhalf"), Ending::Close, Outcome::Reset),
        (format!("{head}Content-Length: 9\r\n\r\nhalf"), Ending::Reset, Outcome::Reset),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), Ending::Close, Outcome::Reset),
        (head.to_string(), Ending::Close, Outcome::Reset),
        (format!("{head}\r\n"), Ending::Endless, Outcome::Reset),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let response = text.clone();
        let backend = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
            match end {
                Ending::Close => stream.shutdown(Shutdown::Both).unwrap(),
                Ending::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
                Ending::Endless => while stream.write_all(&[b'x'; 4096]).is_ok() {},
            }
        });
        let result = run(async {
            let result = send(&endpoint(address), Clock::start(), None).await;
            (result.outcome, result.response.map(|response| response.body))
        });
        backend.join().unwrap();
        assert_eq!(result.0, outcome, "{text:?} {end:?}");
        assert_eq!(result.1.is_some(), outcome == Outcome::Served, "{text:?} {end:?}");
    }
}

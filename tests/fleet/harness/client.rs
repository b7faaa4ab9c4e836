//! Clients and the load balancer that distributes their connections over proxies, as `PROTOCOL` describes them. A
//! client sends one request at a time on a keep-alive connection. It retries a request that failed at a dead proxy at
//! another one if a repeat is safe, and on a new connection if the proxy closed the connection before it read the
//! request.
//!
//! Every request ends in exactly one `Outcome`. The record lists each attempt with its proxy and `X-Txn`, so that a
//! test can find which proxy sent a request that a backend received.

use super::http::{self, ReadError};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest wait for an answer: longer than any deadline in the tests, so a request that waits this long is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// The maximum number of attempts per request: it is retried after a dead proxy or a close before the request was read.
const MAX_ATTEMPTS: usize = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The three kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `status-check`: GET, safe to repeat.
    Status,
    /// `send-sms`: POST without a key, unsafe to repeat.
    Sms,
    /// `send-batch`: POST with an `Idempotency-Key`.
    Batch,
}

impl Kind {
    /// The class name, which `X-Lane` carries.
    pub fn lane(self) -> &'static str {
        match self {
            Kind::Status => "status-check",
            Kind::Sms => "send-sms",
            Kind::Batch => "send-batch",
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status; one with 200 carries the request's own id.
    Answered(u16),
    /// Lost with a proxy that the test killed while the request was in flight; not retried, because a backend may
    /// have executed it.
    LostWithProxy(usize),
    /// The connection broke, or no answer arrived in time, and the proxy was alive: the request is lost.
    Broken(usize),
    /// The answer belongs to another request or is not HTTP: the request is lost, and answers may be mixed up.
    WrongAnswer(usize),
}

/// One request from its first attempt to its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request's kind.
    pub kind: Kind,
    /// The proxy and the `X-Txn` of each attempt.
    pub attempts: Vec<(usize, String)>,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Instant,
}

/// The load balancer in front of the proxies: it distributes connections over those that are not marked down.
pub struct LoadBalancer {
    proxies: Vec<SocketAddr>,
    down: Vec<AtomicBool>,
    next: AtomicUsize,
}

impl LoadBalancer {
    /// Creates a load balancer for these proxies, none marked down.
    pub fn new(proxies: Vec<SocketAddr>) -> Arc<Self> {
        let down = proxies.iter().map(|_| AtomicBool::new(false)).collect();
        Arc::new(Self { proxies, down, next: AtomicUsize::new(0) })
    }

    /// Marks proxy `n` as down: it gets no new connection, and a failure there counts as the proxy's. A test calls this
    /// just before it kills `n`, like a load balancer that is notified.
    pub fn mark_down(&self, n: usize) {
        self.down[n].store(true, Ordering::SeqCst);
    }

    fn is_down(&self, n: usize) -> bool {
        self.down[n].load(Ordering::SeqCst)
    }

    /// The next proxy, round-robin, that is neither down nor `excluded`.
    fn pick(&self, excluded: Option<usize>) -> Option<usize> {
        let count = self.proxies.len();
        (0..count)
            .map(|_| self.next.fetch_add(1, Ordering::Relaxed) % count)
            .find(|n| !self.is_down(*n) && Some(*n) != excluded)
    }
}

/// The workload of a run of clients.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The number of clients; each sends one request at a time.
    pub clients: usize,
    /// The maximum number of requests of all clients together.
    pub max_requests: usize,
    /// When to stop sending.
    pub send_until: Instant,
    /// The `X-Remaining-Ms` of each request.
    pub remaining_ms: u64,
    /// The pause between two requests of a client.
    pub pause: Duration,
}

/// Runs the clients until `load.send_until` or `load.max_requests`; returns every request's record.
pub fn run(load_balancer: &Arc<LoadBalancer>, load: Load) -> Vec<Record> {
    let records = Arc::new(Mutex::new(Vec::new()));
    let sent = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..load.clients)
        .map(|client| {
            let (load_balancer, records, sent) = (load_balancer.clone(), records.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut connection: Option<(usize, BufReader<TcpStream>)> = None;
                let mut number = client;
                while Instant::now() < load.send_until
                    && sent.fetch_add(1, Ordering::SeqCst) < load.max_requests
                {
                    let kind = [Kind::Status, Kind::Sms, Kind::Batch][number % 3];
                    number += 1;
                    let record = send_request(&load_balancer, &mut connection, kind, load.remaining_ms);
                    records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
                    std::thread::sleep(load.pause);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a client thread panicked");
    }
    std::mem::take(&mut *records.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
}

/// A complete request of this kind as a client sends it; `key` is the idempotency key of kinds that have one.
pub fn request_text(kind: Kind, txn: &str, key: u64, remaining_ms: u64) -> String {
    let lane = kind.lane();
    let (method, key) = match kind {
        Kind::Status => ("GET", String::new()),
        Kind::Sms => ("POST", String::new()),
        Kind::Batch => ("POST", format!("Idempotency-Key: {key:032x}\r\n")),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Org: default\r\n{key}\
         X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(BufReader::new(stream))
}

/// Sends one request, with retries, until it has an outcome.
fn send_request(
    load_balancer: &LoadBalancer,
    kept_connection: &mut Option<(usize, BufReader<TcpStream>)>,
    kind: Kind,
    remaining_ms: u64,
) -> Record {
    let key = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let mut attempts = Vec::new();
    let mut excluded = None;
    let outcome = loop {
        let reused = kept_connection.as_ref().is_some_and(|(n, _)| !load_balancer.is_down(*n));
        if !reused {
            *kept_connection =
                load_balancer.pick(excluded).and_then(|n| connect(load_balancer.proxies[n]).map(|c| (n, c)));
        }
        let Some((proxy, connection)) = kept_connection.as_mut() else {
            break Outcome::Broken(usize::MAX);
        };
        let proxy = *proxy;
        let txn = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        attempts.push((proxy, txn.clone()));
        let written =
            connection.get_mut().write_all(request_text(kind, &txn, key, remaining_ms).as_bytes()).is_ok();
        let read = if written { http::read(connection) } else { Err(ReadError::Broken) };
        match read {
            Ok(answer) => {
                let is_own = answer.status() != 200 || answer.body.starts_with(txn.as_bytes());
                break if is_own { Outcome::Answered(answer.status()) } else { Outcome::WrongAnswer(proxy) };
            }
            Err(ReadError::Malformed) => break Outcome::WrongAnswer(proxy),
            Err(error) => {
                *kept_connection = None;
                let is_dead = load_balancer.is_down(proxy);
                let closed_unread = error == ReadError::Closed && reused && !is_dead;
                let may_retry = closed_unread || (is_dead && kind != Kind::Sms);
                if is_dead && kind == Kind::Sms {
                    break Outcome::LostWithProxy(proxy);
                }
                if !may_retry || attempts.len() >= MAX_ATTEMPTS {
                    break Outcome::Broken(proxy);
                }
                excluded = is_dead.then_some(proxy);
            }
        }
    };
    Record { kind, attempts, outcome, ended_at: Instant::now() }
}

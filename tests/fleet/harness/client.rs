//! Clients and the front that deals them out among proxies, as `PROTOCOL` describes them: one request at a
//! time on a connection, kept alive; a request that met a dead proxy is sent again elsewhere where that is
//! harmless, and a close that crossed an unread request is sent once more on a new connection.
//!
//! Every request ends in exactly one `Final`, and the record keeps every try with the proxy and the `X-Txn`
//! it went with, so that a test can tell who sent what a backend saw.

use super::http::{self, ReadError};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for an answer: past the longest deadline that tests give, so a wait this long is a loss.
const ANSWER_WITHIN: Duration = Duration::from_secs(6);
/// Most tries of one request (a try that met a dead proxy or a crossing close is followed by another).
const MOST_TRIES: usize = 3;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// The site's three kinds of request.
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
    /// The class name, as `X-Lane` carries it.
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
pub enum Final {
    /// A whole answer with this status, carrying the request's own id where it is 200.
    Answered(u16),
    /// Lost with a proxy that the test killed while it held the request, which is not sent again because
    /// it may have run.
    LostWithProxy(usize),
    /// The connection broke, or no answer came in time, at a proxy that was alive: a loss.
    Broken(usize),
    /// An answer that is not this request's, or not HTTP: a loss, and a sign of crossed answers.
    Wrong(usize),
}

/// One request from its first try to its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its kind.
    pub kind: Kind,
    /// Each try: the proxy and the `X-Txn`.
    pub tries: Vec<(usize, String)>,
    /// How it ended; exactly one per request.
    pub end: Final,
    /// When it ended.
    pub at: Instant,
}

/// The front before the proxies: it deals out connections among those it takes to be alive.
pub struct Front {
    proxies: Vec<SocketAddr>,
    down: Vec<AtomicBool>,
    next: AtomicUsize,
}

impl Front {
    /// A front before these proxies, all taken to be alive.
    pub fn new(proxies: Vec<SocketAddr>) -> Arc<Self> {
        let down = proxies.iter().map(|_| AtomicBool::new(false)).collect();
        Arc::new(Self { proxies, down, next: AtomicUsize::new(0) })
    }

    /// Takes proxy `n` out: no new connection goes there, and what breaks there is put down to it. A test
    /// calls this just before it kills `n`, as a front that is told would.
    pub fn take_out(&self, n: usize) {
        self.down[n].store(true, Ordering::SeqCst);
    }

    fn is_down(&self, n: usize) -> bool {
        self.down[n].load(Ordering::SeqCst)
    }

    /// The next proxy alive other than `not`, round the list.
    fn pick(&self, not: Option<usize>) -> Option<usize> {
        let count = self.proxies.len();
        (0..count)
            .map(|_| self.next.fetch_add(1, Ordering::Relaxed) % count)
            .find(|n| !self.is_down(*n) && Some(*n) != not)
    }
}

/// What a run of clients is to do.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Clients, each sending one request at a time.
    pub clients: usize,
    /// Most requests of all clients together.
    pub most: usize,
    /// When to stop sending.
    pub until: Instant,
    /// `X-Remaining-Ms` of each request.
    pub left_ms: u64,
    /// Pause between a client's requests.
    pub pause: Duration,
}

/// Runs the clients to `load.until` (or `load.most` requests) and returns every request's record.
pub fn run(front: &Arc<Front>, load: Load) -> Vec<Record> {
    let records = Arc::new(Mutex::new(Vec::new()));
    let sent = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..load.clients)
        .map(|client| {
            let (front, records, sent) = (front.clone(), records.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut connection: Option<(usize, BufReader<TcpStream>)> = None;
                let mut number = client;
                while Instant::now() < load.until && sent.fetch_add(1, Ordering::SeqCst) < load.most {
                    let kind = [Kind::Status, Kind::Sms, Kind::Batch][number % 3];
                    number += 1;
                    let record = one(&front, &mut connection, kind, load.left_ms);
                    records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
                    std::thread::sleep(load.pause);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a client thread ended in a panic");
    }
    std::mem::take(&mut *records.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
}

/// A whole request of this kind, as a client sends it; `key` is the idempotency key where the kind has one.
pub fn text(kind: Kind, txn: &str, key: u64, left_ms: u64) -> String {
    let lane = kind.lane();
    let (method, key) = match kind {
        Kind::Status => ("GET", String::new()),
        Kind::Sms => ("POST", String::new()),
        Kind::Batch => ("POST", format!("Idempotency-Key: {key:032x}\r\n")),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Org: default\r\n{key}\
         X-Remaining-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_WITHIN).ok()?;
    stream.set_read_timeout(Some(ANSWER_WITHIN)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(BufReader::new(stream))
}

/// One request, tried until it has its end.
fn one(front: &Front, held: &mut Option<(usize, BufReader<TcpStream>)>, kind: Kind, left_ms: u64) -> Record {
    let key = NEXT.fetch_add(1, Ordering::SeqCst);
    let mut tries = Vec::new();
    let mut not = None;
    let end = loop {
        let reused = held.as_ref().is_some_and(|(n, _)| !front.is_down(*n));
        if !reused {
            *held = front.pick(not).and_then(|n| connect(front.proxies[n]).map(|c| (n, c)));
        }
        let Some((proxy, connection)) = held.as_mut() else {
            break Final::Broken(usize::MAX);
        };
        let proxy = *proxy;
        let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        tries.push((proxy, txn.clone()));
        let written = connection.get_mut().write_all(text(kind, &txn, key, left_ms).as_bytes()).is_ok();
        let read = if written { http::read(connection) } else { Err(ReadError::Broken) };
        match read {
            Ok(answer) => {
                let own = answer.status() != 200 || answer.body.starts_with(txn.as_bytes());
                break if own { Final::Answered(answer.status()) } else { Final::Wrong(proxy) };
            }
            Err(ReadError::Malformed) => break Final::Wrong(proxy),
            Err(error) => {
                *held = None;
                let dead = front.is_down(proxy);
                let crossed = error == ReadError::Closed && reused && !dead;
                let again = crossed || (dead && kind != Kind::Sms);
                if dead && kind == Kind::Sms {
                    break Final::LostWithProxy(proxy);
                }
                if !again || tries.len() >= MOST_TRIES {
                    break Final::Broken(proxy);
                }
                not = dead.then_some(proxy);
            }
        }
    };
    Record { kind, tries, end, at: Instant::now() }
}

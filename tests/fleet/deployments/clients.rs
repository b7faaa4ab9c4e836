//! Open-loop clients of a deployment: requests start at a fixed interval whether or not earlier ones have been
//! answered, each on an idle or on a new connection. A third is written at once, the others in two or three pieces.

use super::site::{Effect, Site};
use crate::harness::http::{Conn, ReadError};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};

/// An answer that comes later than this after its request's deadline is a loss.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// Maximum number of pieces in which a request is written.
const MAX_PIECES: usize = 3;
/// The time between two pieces of a request.
const PIECE_INTERVAL: Duration = Duration::from_millis(8);
/// The longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The body of a request that is not a GET.
const BODY: &str = "0123456789abcdef0123456789abcdef";

/// The load balancer in front of the proxies: it opens new connections to those that are not marked as leaving.
pub struct LoadBalancer {
    addresses: Vec<SocketAddr>,
    leaving: Vec<AtomicBool>,
}

impl LoadBalancer {
    /// Creates a load balancer for these proxies; none is leaving.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let leaving = addresses.iter().map(|_| AtomicBool::new(false)).collect();
        Self { addresses, leaving }
    }

    /// The address of this proxy.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.addresses[proxy]
    }

    /// Sets whether this proxy is leaving and gets no new connections.
    pub fn set_leaving(&self, proxy: usize, leaving: bool) {
        self.leaving[proxy].store(leaving, Ordering::SeqCst);
    }

    /// The next proxy from `first` on that is not leaving.
    fn pick(&self, first: usize) -> Option<usize> {
        let count = self.addresses.len();
        let mut in_turn = (0..count).map(|n| (first + n) % count);
        in_turn.find(|proxy| !self.leaving[*proxy].load(Ordering::SeqCst))
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answered(u16),
    /// An answer that is not this request's, or not HTTP.
    WrongAnswer,
    /// The connection closed before the last byte of the request was written.
    NotSent,
    /// The connection closed this long after the request's last byte, without a byte of an answer.
    Closed(Duration),
    /// The connection closed within an answer.
    Truncated,
    /// No answer came in time.
    TimedOut,
    /// No connection could be established.
    Unreachable,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The proxy it went to.
    pub proxy: usize,
    /// Its `X-Txn`.
    pub txn: String,
    /// Whether its connection was a new one.
    pub on_new_connection: bool,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How it ended.
    pub end: End,
}

/// A request with its attempts: a second one follows if the first one's connection closed without a byte of an answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of its class in the deployment's list.
    pub class: usize,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

/// The proxy to which the attempt with this `X-Txn` went.
pub fn proxy_of(txn: &str) -> Option<usize> {
    usize::from_str_radix(txn.get(..8)?, 16).ok()
}

struct Connection {
    proxy: usize,
    stream: Conn<TcpStream>,
}

/// The properties of a request: spread evenly over classes, tenants, proxies and pieces, and the same in each run.
#[derive(Clone, Copy)]
struct Plan {
    number: usize,
    class: usize,
    tenant: usize,
    /// The proxy whose connections it prefers.
    proxy: usize,
    /// The number of pieces in which it is written.
    pieces: usize,
}

impl Plan {
    fn new(number: usize, site: &Site, load_balancer: &LoadBalancer) -> Self {
        let mut mixed = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
        let mut draw = |choices: usize| {
            let drawn = mixed % choices as u64;
            mixed /= choices as u64;
            drawn as usize
        };
        Self {
            number,
            class: draw(site.classes.len()),
            tenant: draw(site.tenants.len()),
            proxy: draw(load_balancer.addresses.len()),
            pieces: 1 + draw(MAX_PIECES),
        }
    }
}

/// The state that the requests of a deployment share.
struct Clients {
    site: Arc<Site>,
    load_balancer: Arc<LoadBalancer>,
    /// Idle connections, by proxy.
    idle: Vec<RefCell<VecDeque<Connection>>>,
    attempt_count: Cell<usize>,
}

/// Running clients.
pub struct Traffic {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Request>>,
}

impl Traffic {
    /// Starts a deployment's clients.
    pub fn start(site: Arc<Site>, load_balancer: Arc<LoadBalancer>) -> Self {
        let stopped: Arc<AtomicBool> = Arc::default();
        let stop = stopped.clone();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            let idle = load_balancer.addresses.iter().map(|_| RefCell::default()).collect();
            let clients = Clients { site, load_balancer, idle, attempt_count: Cell::default() };
            LocalSet::new().block_on(&runtime, Rc::new(clients).run(stop))
        });
        Self { stopped, thread }
    }

    /// Stops new requests, waits for all answers and returns every request.
    pub fn end(self) -> Vec<Request> {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().expect("the clients end")
    }
}

impl Clients {
    async fn run(self: Rc<Self>, stopped: Arc<AtomicBool>) -> Vec<Request> {
        let mut requests = JoinSet::new();
        let mut arrivals = tokio::time::interval(self.site.arrival_interval());
        let mut number = 0;
        while !stopped.load(Ordering::SeqCst) {
            arrivals.tick().await;
            requests.spawn_local(self.clone().request(number));
            number += 1;
        }
        requests.join_all().await
    }

    /// Sends one request, and once more if its connection closed without a byte of an answer.
    async fn request(self: Rc<Self>, number: usize) -> Request {
        let plan = Plan::new(number, &self.site, &self.load_balancer);
        let deadline = Instant::now() + self.site.classes[plan.class].deadline();
        let idle = self.open_idle_connection(plan.proxy);
        let mut attempts = vec![self.send(plan, deadline, idle).await];
        if matches!(attempts[0].end, End::Closed(_) | End::NotSent | End::Unreachable) {
            attempts.push(self.send(plan, deadline, None).await);
        }
        Request { class: plan.class, attempts }
    }

    /// Makes one attempt, on the idle connection or else on a new one.
    async fn send(&self, plan: Plan, deadline: Instant, idle: Option<Connection>) -> Attempt {
        let on_new_connection = idle.is_none();
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => self.connect(plan.proxy).await,
        };
        let proxy = connection.as_ref().map_or_else(|proxy| *proxy, |connection| connection.proxy);
        let txn = self.next_txn(proxy);
        let mut sent_at = Instant::now();
        let end = match connection {
            Err(_) => End::Unreachable,
            Ok(connection) => self.exchange(connection, plan, &txn, deadline, &mut sent_at).await,
        };
        Attempt { proxy, txn, on_new_connection, sent_at, end }
    }

    fn next_txn(&self, proxy: usize) -> String {
        self.attempt_count.set(self.attempt_count.get() + 1);
        format!("{proxy:08x}{:08x}", self.attempt_count.get())
    }

    /// The open connection to this proxy that has been idle longest.
    fn open_idle_connection(&self, proxy: usize) -> Option<Connection> {
        loop {
            let connection = self.idle[proxy].borrow_mut().pop_front()?;
            let read = connection.stream.stream().try_read(&mut [0]);
            if read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(connection);
            }
        }
    }

    /// Opens a connection to this proxy or to the next that is not leaving. On error, returns the proxy that was tried.
    async fn connect(&self, first: usize) -> Result<Connection, usize> {
        let proxy = self.load_balancer.pick(first).expect("one proxy is not leaving");
        let connecting = TcpStream::connect(self.load_balancer.addresses[proxy]);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
            return Err(proxy);
        };
        stream.set_nodelay(true).map_err(|_| proxy)?;
        Ok(Connection { proxy, stream: Conn::new(stream) })
    }

    /// Writes a request and reads its answer; keeps the connection if it stays open.
    async fn exchange(
        &self,
        mut connection: Connection,
        plan: Plan,
        txn: &str,
        deadline: Instant,
        sent_at: &mut Instant,
    ) -> End {
        let text = self.request_text(plan, txn, deadline);
        for (n, piece) in pieces(&text, plan.pieces).enumerate() {
            if n > 0 {
                tokio::time::sleep(PIECE_INTERVAL).await;
            }
            if connection.stream.write(piece.as_bytes()).await.is_err() {
                return End::NotSent;
            }
        }
        *sent_at = Instant::now();
        let wait = deadline.saturating_duration_since(*sent_at) + ANSWER_TOLERANCE;
        let answer = match tokio::time::timeout(wait, connection.stream.read()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ReadError::Malformed)) => return End::WrongAnswer,
            Ok(Err(_)) if connection.stream.is_clean() => return End::Closed(sent_at.elapsed()),
            Ok(Err(_)) => return End::Truncated,
            Err(_) => return End::TimedOut,
        };
        if answer.status() == 200 && !answer.body.starts_with(txn.as_bytes()) {
            return End::WrongAnswer;
        }
        if !answer.closes_connection() {
            self.idle[connection.proxy].borrow_mut().push_back(connection);
        }
        End::Answered(answer.status())
    }

    /// The text of a request, as in `PROTOCOL` ("Callers to proxies").
    fn request_text(&self, plan: Plan, txn: &str, deadline: Instant) -> String {
        let class = &self.site.classes[plan.class];
        let tenant = &self.site.tenants[plan.tenant].name;
        let number = plan.number;
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
        let (method, body, key) = match class.effect {
            Effect::Safe => ("GET", "", String::new()),
            Effect::Keyed => ("POST", BODY, format!("Idempotency-Key: {number:032x}\r\n")),
            Effect::Unsafe => ("POST", BODY, String::new()),
        };
        format!(
            "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {}\r\nX-Org: {tenant}\r\n{key}\
             X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            class.name,
            body.len()
        )
    }
}

/// Splits a text into `count` pieces of about the same length.
fn pieces(text: &str, count: usize) -> impl Iterator<Item = &str> {
    let length = text.len();
    (0..count).map(move |n| &text[n * length / count..(n + 1) * length / count])
}

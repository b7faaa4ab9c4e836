//! Crowds: many more clients than a proxy admits connect, send little and stay idle. Beside them, clients that keep
//! using their connections lose no request and are served, and the proxy stays within its limit of descriptors.

use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::client::{self, Kind};
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::http::{self, Conn, Message, ReadError};
use crate::harness::program::{Service, current_program};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::MissedTickBehavior;

/// The limit of the proxy's open descriptors, in its configuration and in the system.
const MAX_DESCRIPTORS: usize = 256;
/// The client connections that a proxy with this limit admits; 13 more are accepted to be rejected.
const MAX_CLIENT_CONNECTIONS: usize = 111;
/// Maximum number of connections of a crowd at a time, waiting ones included.
const MAX_CROWD: usize = 10 * MAX_CLIENT_CONNECTIONS;
/// The new connections that a crowd opens every [`BURST_INTERVAL`]: more than the proxy admits, and 300 a second.
const BURST_SIZE: usize = 150;
const BURST_INTERVAL: Duration = Duration::from_millis(500);
/// How long a crowd stays beside the clients.
const CROWD_DURATION: Duration = Duration::from_secs(6);
/// How long the clients are served before a crowd connects.
const DURATION_BEFORE_CROWD: Duration = Duration::from_millis(500);
/// Number of clients of each pace.
const CLIENTS: u64 = 8;
const BACKENDS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The idle timeout of backend connections in the settings, in seconds.
const BACKEND_IDLE_CLOSE_S: f64 = 2.0;
/// Pause of a busy client between two requests, in milliseconds.
const BUSY_PAUSE_MS: RangeInclusive<u64> = 4..=12;
/// Pause of a pausing client between two requests, in milliseconds: well under [`MIN_IDLE_BEFORE_CLOSE`].
const PAUSING_PAUSE_MS: RangeInclusive<u64> = 200..=1200;
/// `X-Remaining-Ms` of every request.
const REMAINING_MS: u64 = 1000;
/// How long after its deadline a request may still be answered.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// How long a connection must have been idle before a proxy may close it.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(2);
/// Minimum share of served requests among the clients of each pace, in percent.
const MIN_SERVED_PERCENT: usize = 95;
/// Minimum number of requests of all clients. With fewer, the clients did not run or the machine was overloaded.
const MIN_REQUESTS: usize = 1000;
/// How often the proxy's descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(15);
/// The time within which the descriptors of a crowd that has left must be free again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(4);
/// How many more descriptors than before may be open after a crowd.
const MAX_EXTRA_DESCRIPTORS: usize = 8;
/// Texts in the log of a proxy that is out of descriptors.
pub const SHORTAGE_TEXTS: [&str; 4] = ["accept:", "accept failed", "cannot connect", "os error 24"];

static NEXT_ID: AtomicU64 = AtomicU64::new(0xc0_0000);

fn next_id() -> (u64, String) {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    (number, format!("{number:016x}"))
}

/// A proxy with few descriptors, its backends and its discovery.
struct Setup {
    proxy: Service,
    backends: Vec<Backend>,
    _discovery: Discovery,
}

impl Setup {
    /// Returns once the proxy is ready.
    fn start(name: &str) -> Self {
        let backends: Vec<Backend> = (0..BACKENDS)
            .map(|n| Backend::start(&format!("b-{n}"), SERVICE_TIME).expect("a backend starts"))
            .collect();
        let listed =
            |b: &Backend| Listing { id: b.name().into(), address: b.address(), ..Listing::default() };
        let discovery = Discovery::start(backends.iter().map(listed).collect(), 1).expect("discovery");
        let mut settings = harness::settings(0, 1, 0.4);
        settings["caps"]["idle-close"] = BACKEND_IDLE_CLOSE_S.into();
        let mut config: serde_json::Value =
            serde_json::from_str(&harness::config(&settings, &discovery.known(), 7)).expect("JSON");
        config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowds-{name}-{}.json", std::process::id()));
        let proxy = Service::proxy_with_max_files(
            current_program(),
            &path,
            &config.to_string(),
            discovery.agent(0),
            MAX_DESCRIPTORS,
        );
        let _ = std::fs::remove_file(path); // the proxy has read it
        wait_until_ready(proxy.address());
        Self { proxy, backends, _discovery: discovery }
    }

    /// The ids of the requests that have reached a backend.
    fn forwarded(&self) -> HashSet<String> {
        assert!(self.backends.iter().all(|backend| backend.overflowed() == 0), "all requests are recorded");
        self.backends.iter().flat_map(Backend::seen).map(|received| received.txn).collect()
    }

    /// The maximum number of the proxy's open descriptors within `duration`, or until it exits.
    fn max_descriptors(&mut self, duration: Duration) -> usize {
        let (deadline, mut maximum) = (Instant::now() + duration, 0);
        while Instant::now() < deadline && self.proxy.is_running() {
            maximum = maximum.max(self.proxy.open_files());
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        maximum
    }
}

fn wait_until_ready(address: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(10);
    let is_ready = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").ok()?;
        http::read(&mut BufReader::new(stream)).ok().filter(|answer| answer.status() == 200)
    };
    while is_ready().is_none() {
        assert!(Instant::now() < deadline, "the proxy is not ready in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// 200 with the request's id.
    Served,
    /// 200 without the request's id.
    WrongId,
    /// 429 or 503.
    Rejected,
    /// Another status.
    Failed(u16),
    /// No new connection could be opened.
    NotConnected,
    /// A new connection was closed without an answer. The request is lost if it reached a backend.
    ClosedNew(ReadError),
    /// A connection that had been idle for [`MIN_IDLE_BEFORE_CLOSE`] was closed without an answer.
    ClosedIdle,
    /// A recently used connection was closed without an answer: the request is lost.
    ClosedInUse(ReadError),
    /// No answer came in time: the request is lost.
    Unanswered,
}

/// How often a client sends requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// One request shortly after another.
    Busy,
    /// With pauses in which its connection may not be closed.
    Pausing,
}

impl Pace {
    fn pause(self, random: &mut SmallRng) -> Duration {
        let range = match self {
            Self::Busy => BUSY_PAUSE_MS,
            Self::Pausing => PAUSING_PAUSE_MS,
        };
        Duration::from_millis(random.random_range(range))
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
struct Record {
    id: String,
    pace: Pace,
    /// How long the connection had been idle; `None` for a new one.
    idle_time: Option<Duration>,
    end: End,
    latency: Duration,
}

/// A client that keeps its connection and sends one request after another.
struct Client {
    address: SocketAddr,
    pace: Pace,
    /// The connection, and when it was last used.
    open_connection: Option<(BufReader<TcpStream>, Instant)>,
    random: SmallRng,
}

impl Client {
    /// Sends requests until `stop` is set.
    fn run(mut self, stop: &AtomicBool) -> Vec<Record> {
        let mut records = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let kind = [Kind::Status, Kind::Sms, Kind::Batch][records.len() % 3];
            records.push(self.request(kind));
            std::thread::sleep(self.pace.pause(&mut self.random));
        }
        records
    }

    /// Sends one request, on a new connection if none is open.
    fn request(&mut self, kind: Kind) -> Record {
        let (number, id) = next_id();
        let text = client::request_text(kind, &id, number, REMAINING_MS);
        let timeout = Duration::from_millis(REMAINING_MS) + ANSWER_TOLERANCE;
        let (pace, open_connection, start) = (self.pace, self.open_connection.take(), Instant::now());
        let idle_time = open_connection.as_ref().map(|(_, last_used)| start.duration_since(*last_used));
        let connection =
            open_connection.map(|(connection, _)| connection).or_else(|| connect(self.address, timeout));
        let record = |end, latency| Record { id: id.clone(), pace, idle_time, end, latency };
        let Some(mut connection) = connection else { return record(End::NotConnected, start.elapsed()) };
        let sent_at = Instant::now();
        // Even if this fails, an answer that the proxy sent before may still be read.
        let _ = connection.get_mut().write_all(text.as_bytes());
        let answer = http::read(&mut connection);
        let latency = sent_at.elapsed();
        let end = match &answer {
            _ if latency >= timeout => End::Unanswered,
            Ok(answer) => end_of(answer, &id),
            Err(error) => match idle_time {
                None => End::ClosedNew(*error),
                Some(idle_time) if idle_time >= MIN_IDLE_BEFORE_CLOSE => End::ClosedIdle,
                Some(_) => End::ClosedInUse(*error),
            },
        };
        if answer.is_ok_and(|answer| !answer.closes_connection()) {
            self.open_connection = Some((connection, Instant::now()));
        }
        record(end, latency)
    }
}

fn end_of(answer: &Message, id: &str) -> End {
    match answer.status() {
        200 if answer.body.starts_with(id.as_bytes()) => End::Served,
        200 => End::WrongId,
        429 | 503 => End::Rejected,
        status => End::Failed(status),
    }
}

fn connect(address: SocketAddr, timeout: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// The clients that keep using their connections, one thread each.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

impl Clients {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |seed| {
            let pace = if seed < CLIENTS { Pace::Busy } else { Pace::Pausing };
            let client =
                Client { address, pace, open_connection: None, random: SmallRng::seed_from_u64(seed) };
            let stop = stop.clone();
            std::thread::spawn(move || client.run(&stop))
        };
        let threads = (0..2 * CLIENTS).map(start).collect();
        Self { stop, threads }
    }

    /// Stops the clients; returns all requests once the last one has ended.
    fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client ends")).collect()
    }
}

/// How each member of a crowd starts before it stays idle.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Sends one request and reads the answer.
    OneRequest,
    /// Sends a part of a request's head.
    PartialHead,
    Nothing,
}

impl Behaviour {
    fn first_bytes(self, number: u64, id: &str) -> String {
        let request = client::request_text(Kind::Status, id, number, REMAINING_MS);
        match self {
            Self::OneRequest => request,
            Self::PartialHead => request[..request.len() / 2].to_string(),
            Self::Nothing => String::new(),
        }
    }
}

/// Counts of a crowd's connections and answers.
#[derive(Debug, Default)]
struct CrowdFigures {
    connected: usize,
    served: usize,
    rejected: usize,
    /// Other answers.
    failed: usize,
    wrong_id: usize,
    /// Connections that the proxy closed.
    closed: usize,
    /// The ids of the requests on connections that the proxy closed without an answer.
    closed_unanswered: Vec<String>,
}

/// A crowd, which runs in one thread. A member whose connection the proxy closes is replaced.
struct Crowd {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<CrowdFigures>,
}

impl Crowd {
    fn start(address: SocketAddr, behaviour: Behaviour) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let figures = Rc::new(RefCell::new(CrowdFigures::default()));
            // The members' connections are closed when their tasks are dropped with the set.
            LocalSet::new().block_on(
                &runtime.expect("a runtime"),
                add_members(address, behaviour, &stop_flag, figures.clone()),
            );
            figures.take()
        });
        Self { stop, thread }
    }

    /// Stops the crowd; returns once all its connections are closed.
    fn stop(self) -> CrowdFigures {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("the crowd leaves")
    }
}

/// Adds members at a fixed rate, up to [`MAX_CROWD`], until `stop` is set.
async fn add_members(
    address: SocketAddr,
    behaviour: Behaviour,
    stop: &AtomicBool,
    figures: Rc<RefCell<CrowdFigures>>,
) {
    let open = Rc::new(Cell::new(0));
    let mut ticks = tokio::time::interval(BURST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !stop.load(Ordering::SeqCst) {
        ticks.tick().await;
        for _ in 0..BURST_SIZE.min(MAX_CROWD - open.get()) {
            open.set(open.get() + 1);
            let (open, figures) = (open.clone(), figures.clone());
            tokio::task::spawn_local(async move {
                run_member(address, behaviour, &figures).await;
                open.set(open.get() - 1);
            });
        }
    }
}

/// One member: connects, sends its first bytes and stays until the proxy closes the connection.
async fn run_member(address: SocketAddr, behaviour: Behaviour, figures: &RefCell<CrowdFigures>) {
    let Ok(stream) = tokio::net::TcpStream::connect(address).await else { return };
    figures.borrow_mut().connected += 1;
    let (number, id) = next_id();
    let mut connection = Conn::new(stream);
    // If this fails, the connection has ended, and so does the read.
    let _ = connection.write(behaviour.first_bytes(number, &id).as_bytes()).await;
    let mut is_answered = false;
    while let Ok(answer) = connection.read().await {
        is_answered = true;
        let mut figures = figures.borrow_mut();
        match end_of(&answer, &id) {
            End::Served => figures.served += 1,
            End::WrongId => figures.wrong_id += 1,
            End::Rejected => figures.rejected += 1,
            _ => figures.failed += 1,
        }
    }
    let mut figures = figures.borrow_mut();
    figures.closed += 1;
    if !is_answered {
        figures.closed_unanswered.push(id);
    }
}

/// The results of one run.
struct Outcome {
    records: Vec<Record>,
    crowd: CrowdFigures,
    /// The ids of the requests that reached a backend.
    forwarded: HashSet<String>,
    max_descriptors: usize,
    log: Vec<String>,
    is_running: bool,
}

impl Outcome {
    /// The requests of the clients of this pace.
    fn records_of(&self, pace: Pace) -> Vec<&Record> {
        self.records.iter().filter(|record| record.pace == pace).collect()
    }

    /// Whether the proxy lost a client's request.
    fn is_lost(&self, record: &Record) -> bool {
        match record.end {
            End::ClosedInUse(_) | End::Unanswered => true,
            End::ClosedNew(_) => self.forwarded.contains(&record.id),
            _ => false,
        }
    }

    /// The number of the crowd's requests that reached a backend and whose connection was closed without an answer.
    fn lost_of_crowd(&self) -> usize {
        self.crowd.closed_unanswered.iter().filter(|id| self.forwarded.contains(*id)).count()
    }

    fn print(&self, behaviour: Behaviour) {
        for pace in [Pace::Busy, Pace::Pausing] {
            self.print_clients(behaviour, pace);
        }
        let crowd = &self.crowd;
        eprintln!(
            "{behaviour:?}: crowd: {} connections, {} served, {} rejected, {} failed, {} closed, {} of them without an \
             answer, {} lost; at most {} descriptors",
            crowd.connected,
            crowd.served,
            crowd.rejected,
            crowd.failed,
            crowd.closed,
            crowd.closed_unanswered.len(),
            self.lost_of_crowd(),
            self.max_descriptors
        );
    }

    fn print_clients(&self, behaviour: Behaviour, pace: Pace) {
        let records = self.records_of(pace);
        let count =
            |matches_end: fn(&End) -> bool| records.iter().filter(|record| matches_end(&record.end)).count();
        let lost: Vec<_> = records.iter().filter(|record| self.is_lost(record)).collect();
        eprintln!(
            "{behaviour:?}: {pace:?} clients: {} requests, {} served, {} rejected, {} failed, {} lost after pauses of \
             up to {:?}; closed: {} in use, {} new, {} idle; {} unanswered; longest latency {:?}",
            records.len(),
            count(|end| *end == End::Served),
            count(|end| *end == End::Rejected),
            count(|end| matches!(end, End::Failed(_) | End::NotConnected)),
            lost.len(),
            lost.iter().filter_map(|record| record.idle_time).max().unwrap_or_default(),
            count(|end| matches!(end, End::ClosedInUse(_))),
            count(|end| matches!(end, End::ClosedNew(_))),
            count(|end| *end == End::ClosedIdle),
            count(|end| *end == End::Unanswered),
            records.iter().map(|record| record.latency).max().unwrap_or_default()
        );
    }

    fn check(&self) {
        assert!(self.is_running, "the proxy has exited: {:?}", self.log);
        assert!(
            self.records.len() >= MIN_REQUESTS,
            "too few requests of the clients: {}",
            self.records.len()
        );
        assert!(
            self.crowd.connected >= MAX_CROWD,
            "too few connections of the crowd: {}",
            self.crowd.connected
        );
        let shortages: Vec<&String> =
            self.log.iter().filter(|line| SHORTAGE_TEXTS.iter().any(|text| line.contains(text))).collect();
        assert!(shortages.is_empty(), "out of descriptors: {shortages:?}");
        // A proxy at the limit of the system could open no further descriptor.
        assert!(self.max_descriptors < MAX_DESCRIPTORS, "{} descriptors", self.max_descriptors);
        let wrong_id: Vec<_> = self.records.iter().filter(|record| record.end == End::WrongId).collect();
        assert!(
            wrong_id.is_empty() && self.crowd.wrong_id == 0,
            "answers to other requests: {wrong_id:?}, {:?}",
            self.crowd
        );
        assert_eq!(self.lost_of_crowd(), 0, "requests of the crowd that reached a backend and were lost");
        let lost: Vec<_> = self.records.iter().filter(|record| self.is_lost(record)).collect();
        assert!(lost.is_empty(), "{} requests of the clients lost, first {:?}", lost.len(), lost.first());
        for pace in [Pace::Busy, Pace::Pausing] {
            let records = self.records_of(pace);
            let (sent, served) =
                (records.len(), records.iter().filter(|record| record.end == End::Served).count());
            assert!(served * 100 >= sent * MIN_SERVED_PERCENT, "{pace:?}: {served} of {sent} served");
        }
    }
}

/// Runs a crowd beside clients that keep using their connections, and checks the results.
fn run_test(behaviour: Behaviour) {
    let mut setup = Setup::start(&format!("{behaviour:?}"));
    let address = setup.proxy.address();
    let clients = Clients::start(address);
    let max_before = setup.max_descriptors(DURATION_BEFORE_CROWD);
    let crowd = Crowd::start(address, behaviour);
    let max_beside = setup.max_descriptors(CROWD_DURATION);
    let records = clients.stop();
    let outcome = Outcome {
        records,
        crowd: crowd.stop(),
        forwarded: setup.forwarded(),
        max_descriptors: max_before.max(max_beside),
        log: setup.proxy.log_lines(),
        is_running: setup.proxy.is_running(),
    };
    outcome.print(behaviour);
    outcome.check();
}

/// Guards against the eviction of a used connection because the crowd's have been idle for a shorter time.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_sends_one_request_and_stays() {
    run_test(Behaviour::OneRequest);
}

/// Guards against a crowd whose incomplete heads count as requests, so that none of its connections is evicted.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_never_finishes_a_head() {
    run_test(Behaviour::PartialHead);
}

/// Guards against new connections that evict a used one although they send nothing.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_sends_nothing() {
    run_test(Behaviour::Nothing);
}

/// Guards against descriptors that stay open, or admitted connections that stay counted, after a crowd.
#[test]
fn a_proxy_recovers_soon_after_a_crowd_has_left() {
    const CROWD_DURATION: Duration = Duration::from_millis(1500);
    for behaviour in [Behaviour::OneRequest, Behaviour::PartialHead, Behaviour::Nothing] {
        let mut setup = Setup::start(&format!("left-{behaviour:?}"));
        let address = setup.proxy.address();
        let before = setup.max_descriptors(DURATION_BEFORE_CROWD);
        let crowd = Crowd::start(address, behaviour);
        let beside = setup.max_descriptors(CROWD_DURATION);
        let connected = crowd.stop().connected;
        let left_at = Instant::now();
        let mut after = setup.proxy.open_files();
        while after > before + MAX_EXTRA_DESCRIPTORS && left_at.elapsed() < RECOVERY_TIMEOUT {
            std::thread::sleep(SAMPLE_INTERVAL);
            after = setup.proxy.open_files();
        }
        let elapsed = left_at.elapsed();
        eprintln!(
            "{behaviour:?}: {before} descriptors before {connected} connections of a crowd, {beside} beside it, \
             {after} {elapsed:?} after it left"
        );
        assert!(setup.proxy.is_running(), "the proxy has exited");
        assert!(beside >= MAX_CLIENT_CONNECTIONS, "the crowd did not fill the proxy: {beside} descriptors");
        assert!(after <= before + MAX_EXTRA_DESCRIPTORS, "{after} descriptors, {before} before");
        let random = SmallRng::seed_from_u64(0);
        let mut client = Client { address, pace: Pace::Busy, open_connection: None, random };
        assert_eq!(client.request(Kind::Status).end, End::Served, "a new client is not served");
    }
}

//! Crowds: many more clients than a proxy has places for, who connect, do little and stay. Beside them, clients that
//! keep their connections and use them lose no request and are served, and the proxy stays within its descriptors.

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

/// The descriptors that the proxy may hold, by its configuration and by its system.
const MAX_DESCRIPTORS: usize = 256;
/// The connections of clients that a proxy with so many descriptors keeps; 13 more are accepted to be rejected.
const PLACES: usize = 111;
/// The most connections of a crowd at a time, waiting ones included.
const MAX_CROWD: usize = 10 * PLACES;
/// New connections of a crowd at once, each [`BURST_INTERVAL`]: more than there are places, and 300 a second.
const BURST: usize = 150;
const BURST_INTERVAL: Duration = Duration::from_millis(500);
/// How long a crowd is there, beside the clients.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// How long the clients have been served when a crowd comes.
const TIME_BEFORE_CROWD: Duration = Duration::from_millis(500);
/// Clients of each pace.
const CLIENTS: u64 = 8;
const BACKENDS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// How long a backend may leave a connection idle, as the settings say, in seconds.
const BACKEND_IDLE_CLOSE_S: f64 = 2.0;
/// The pause of a busy client between two requests, in milliseconds.
const PAUSE_MS: RangeInclusive<u64> = 4..=12;
/// The rest of a resting client between two requests, in milliseconds: well under [`REST`].
const REST_MS: RangeInclusive<u64> = 200..=1200;
/// `X-Remaining-Ms` of every request.
const REMAINING_MS: u64 = 1000;
/// How long after its time a request may still be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long a connection must have rested before a proxy may close it.
const REST: Duration = Duration::from_secs(2);
/// Of the requests of the clients of each pace, at least so many in a hundred are served.
const MIN_SERVED_PERCENT: usize = 95;
/// Fewer requests of all clients say too little: they have not run, or have waited for the machine.
const MIN_REQUESTS: usize = 1000;
/// How often the proxy's descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(15);
/// How soon after a crowd has left its descriptors are free again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// How many descriptors more than before may be open after a crowd.
const MAX_EXTRA_DESCRIPTORS: usize = 8;
/// What the log says where the proxy is out of descriptors.
pub const SHORTAGES: [&str; 4] = ["accept:", "accept failed", "cannot connect", "os error 24"];

static NEXT_ID: AtomicU64 = AtomicU64::new(0xc0_0000);

fn next_id() -> (u64, String) {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    (number, format!("{number:016x}"))
}

/// A proxy with few descriptors, and what it needs.
struct Stage {
    proxy: Service,
    backends: Vec<Backend>,
    _discovery: Discovery,
}

impl Stage {
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
        let _ = std::fs::remove_file(path); // it has been read
        wait_until_ready(proxy.address());
        Self { proxy, backends, _discovery: discovery }
    }

    /// The requests that have reached a backend.
    fn forwarded(&self) -> HashSet<String> {
        assert!(self.backends.iter().all(|backend| backend.overflowed() == 0), "all requests are recorded");
        self.backends.iter().flat_map(Backend::seen).map(|seen| seen.txn).collect()
    }

    /// The most descriptors that the proxy holds within this time, or up to its end.
    fn max_descriptors(&mut self, time: Duration) -> usize {
        let (deadline, mut most) = (Instant::now() + time, 0);
        while Instant::now() < deadline && self.proxy.is_running() {
            most = most.max(self.proxy.open_files());
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        most
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
        assert!(Instant::now() < deadline, "the proxy is ready in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// 200 with the request's own id.
    Served,
    /// 200 without it.
    Wrong,
    /// 429 or 503.
    Rejected,
    /// Another status.
    Failed(u16),
    /// No new connection came up.
    NotConnected,
    /// Its connection, a new one, was closed without an answer. The request is lost if it reached a backend.
    ClosedNew(ReadError),
    /// Its connection had rested for [`REST`] and was closed without an answer.
    ClosedRested,
    /// Its connection, just used, was closed without an answer: the request is lost.
    ClosedInUse(ReadError),
    /// No answer came in time: the request is lost.
    Unanswered,
}

/// How often a client sends requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// One request shortly after another.
    Busy,
    /// With rests in which its connection may not be closed.
    Rests,
}

impl Pace {
    fn pause(self, random: &mut SmallRng) -> Duration {
        let range = match self {
            Self::Busy => PAUSE_MS,
            Self::Rests => REST_MS,
        };
        Duration::from_millis(random.random_range(range))
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
struct Record {
    id: String,
    pace: Pace,
    /// How long its connection had been idle, unless it was a new one.
    rested: Option<Duration>,
    end: End,
    took: Duration,
}

/// A client that keeps its connection and sends one request after another.
struct Client {
    address: SocketAddr,
    pace: Pace,
    /// Its connection, and when it was last used.
    held: Option<(BufReader<TcpStream>, Instant)>,
    random: SmallRng,
}

impl Client {
    /// Sends requests until the client is told to stop.
    fn run(mut self, stop: &AtomicBool) -> Vec<Record> {
        let mut records = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let kind = [Kind::Status, Kind::Sms, Kind::Batch][records.len() % 3];
            records.push(self.request(kind));
            std::thread::sleep(self.pace.pause(&mut self.random));
        }
        records
    }

    /// Sends one request, and opens a connection where there is none.
    fn request(&mut self, kind: Kind) -> Record {
        let (number, id) = next_id();
        let text = client::request_text(kind, &id, number, REMAINING_MS);
        let timeout = Duration::from_millis(REMAINING_MS) + ANSWER_SLACK;
        let (pace, held, start) = (self.pace, self.held.take(), Instant::now());
        let rested = held.as_ref().map(|(_, used)| start.duration_since(*used));
        let connection = held.map(|(connection, _)| connection).or_else(|| connect(self.address, timeout));
        let record = |end, took| Record { id: id.clone(), pace, rested, end, took };
        let Some(mut connection) = connection else { return record(End::NotConnected, start.elapsed()) };
        let sent = Instant::now();
        // Where this fails, the proxy may have answered before: what it sent is read.
        let _ = connection.get_mut().write_all(text.as_bytes());
        let answer = http::read(&mut connection);
        let took = sent.elapsed();
        let end = match &answer {
            _ if took >= timeout => End::Unanswered,
            Ok(answer) => end_of(answer, &id),
            Err(error) => match rested {
                None => End::ClosedNew(*error),
                Some(rested) if rested >= REST => End::ClosedRested,
                Some(_) => End::ClosedInUse(*error),
            },
        };
        if answer.is_ok_and(|answer| !answer.closes()) {
            self.held = Some((connection, Instant::now()));
        }
        record(end, took)
    }
}

fn end_of(answer: &Message, id: &str) -> End {
    match answer.status() {
        200 if answer.body.starts_with(id.as_bytes()) => End::Served,
        200 => End::Wrong,
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

/// The clients that keep their connections, each in a thread of its own.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

impl Clients {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |seed| {
            let pace = if seed < CLIENTS { Pace::Busy } else { Pace::Rests };
            let client = Client { address, pace, held: None, random: SmallRng::seed_from_u64(seed) };
            let stop = stop.clone();
            std::thread::spawn(move || client.run(&stop))
        };
        let threads = (0..2 * CLIENTS).map(start).collect();
        Self { stop, threads }
    }

    /// All requests, once the last one has ended.
    fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client ends")).collect()
    }
}

/// What each member of a crowd does before it falls silent and stays.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// It sends a request and reads the answer.
    AsksOnce,
    /// It sends a part of a request's head.
    SendsHalfAHead,
    SendsNothing,
}

impl Habit {
    fn opening(self, number: u64, id: &str) -> String {
        let request = client::request_text(Kind::Status, id, number, REMAINING_MS);
        match self {
            Self::AsksOnce => request,
            Self::SendsHalfAHead => request[..request.len() / 2].to_string(),
            Self::SendsNothing => String::new(),
        }
    }
}

/// What has happened to a crowd.
#[derive(Debug, Default)]
struct CrowdFigures {
    connected: usize,
    served: usize,
    rejected: usize,
    /// Other answers.
    failed: usize,
    wrong: usize,
    /// Connections that the proxy closed.
    closed: usize,
    /// The ids of the requests of those that it closed without an answer.
    closed_unanswered: Vec<String>,
}

/// A crowd, all of it in one thread. A member whose connection the proxy closes is replaced.
struct Crowd {
    leave: Arc<AtomicBool>,
    thread: JoinHandle<CrowdFigures>,
}

impl Crowd {
    fn gather(address: SocketAddr, habit: Habit) -> Self {
        let leave = Arc::new(AtomicBool::new(false));
        let told = leave.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let figures = Rc::new(RefCell::new(CrowdFigures::default()));
            // The members' connections are closed when their tasks are dropped with the set.
            LocalSet::new()
                .block_on(&runtime.expect("a runtime"), stay(address, habit, &told, figures.clone()));
            figures.take()
        });
        Self { leave, thread }
    }

    /// Has it leave, and returns once all its connections are closed.
    fn leave(self) -> CrowdFigures {
        self.leave.store(true, Ordering::SeqCst);
        self.thread.join().expect("the crowd leaves")
    }
}

/// Adds members at a fixed rate, up to the most, until the crowd is to leave.
async fn stay(address: SocketAddr, habit: Habit, leave: &AtomicBool, figures: Rc<RefCell<CrowdFigures>>) {
    let open = Rc::new(Cell::new(0));
    let mut ticks = tokio::time::interval(BURST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !leave.load(Ordering::SeqCst) {
        ticks.tick().await;
        for _ in 0..BURST.min(MAX_CROWD - open.get()) {
            open.set(open.get() + 1);
            let (open, figures) = (open.clone(), figures.clone());
            tokio::task::spawn_local(async move {
                attend(address, habit, &figures).await;
                open.set(open.get() - 1);
            });
        }
    }
}

/// One member: connects, does as its habit says, and stays until the proxy closes the connection.
async fn attend(address: SocketAddr, habit: Habit, figures: &RefCell<CrowdFigures>) {
    let Ok(stream) = tokio::net::TcpStream::connect(address).await else { return };
    figures.borrow_mut().connected += 1;
    let (number, id) = next_id();
    let mut connection = Conn::new(stream);
    // Where this fails, the connection has ended, which is read.
    let _ = connection.write(habit.opening(number, &id).as_bytes()).await;
    let mut is_answered = false;
    while let Ok(answer) = connection.read().await {
        is_answered = true;
        let mut figures = figures.borrow_mut();
        match end_of(&answer, &id) {
            End::Served => figures.served += 1,
            End::Wrong => figures.wrong += 1,
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

/// What a test has seen.
struct Outcome {
    records: Vec<Record>,
    crowd: CrowdFigures,
    /// The requests that reached a backend.
    forwarded: HashSet<String>,
    max_descriptors: usize,
    log: Vec<String>,
    is_running: bool,
}

impl Outcome {
    /// The requests of the clients of this pace.
    fn of(&self, pace: Pace) -> Vec<&Record> {
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

    /// The crowd's requests that reached a backend and were closed without an answer.
    fn lost_of_crowd(&self) -> usize {
        self.crowd.closed_unanswered.iter().filter(|id| self.forwarded.contains(*id)).count()
    }

    fn print(&self, habit: Habit) {
        for pace in [Pace::Busy, Pace::Rests] {
            self.print_clients(habit, pace);
        }
        let crowd = &self.crowd;
        eprintln!(
            "{habit:?}: crowd: {} connections, {} served, {} rejected, {} failed, {} closed, {} of them without an \
             answer, {} lost; {} descriptors at most",
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

    fn print_clients(&self, habit: Habit, pace: Pace) {
        let records = self.of(pace);
        let count = |wanted: fn(&End) -> bool| records.iter().filter(|record| wanted(&record.end)).count();
        let lost: Vec<_> = records.iter().filter(|record| self.is_lost(record)).collect();
        eprintln!(
            "{habit:?}: {pace:?} clients: {} requests, {} served, {} rejected, {} failed, {} lost after rests of up \
             to {:?}; closed: {} in use, \
             {} new, {} rested; {} unanswered; longest {:?}",
            records.len(),
            count(|end| *end == End::Served),
            count(|end| *end == End::Rejected),
            count(|end| matches!(end, End::Failed(_) | End::NotConnected)),
            lost.len(),
            lost.iter().filter_map(|record| record.rested).max().unwrap_or_default(),
            count(|end| matches!(end, End::ClosedInUse(_))),
            count(|end| matches!(end, End::ClosedNew(_))),
            count(|end| *end == End::ClosedRested),
            count(|end| *end == End::Unanswered),
            records.iter().map(|record| record.took).max().unwrap_or_default()
        );
    }

    fn check(&self) {
        assert!(self.is_running, "the proxy runs: {:?}", self.log);
        assert!(self.records.len() >= MIN_REQUESTS, "the clients ran: {} requests", self.records.len());
        assert!(self.crowd.connected >= MAX_CROWD, "the crowd came: {} connections", self.crowd.connected);
        let shortages: Vec<&String> =
            self.log.iter().filter(|line| SHORTAGES.iter().any(|said| line.contains(said))).collect();
        assert!(shortages.is_empty(), "out of descriptors: {shortages:?}");
        // One that holds as many as its system allows is about to be refused another.
        assert!(self.max_descriptors < MAX_DESCRIPTORS, "{} descriptors", self.max_descriptors);
        let wrong: Vec<_> = self.records.iter().filter(|record| record.end == End::Wrong).collect();
        assert!(wrong.is_empty() && self.crowd.wrong == 0, "another's answers: {wrong:?}, {:?}", self.crowd);
        assert_eq!(self.lost_of_crowd(), 0, "requests of the crowd that reached a backend and were lost");
        let lost: Vec<_> = self.records.iter().filter(|record| self.is_lost(record)).collect();
        assert!(lost.is_empty(), "{} requests of the clients lost, first {:?}", lost.len(), lost.first());
        for pace in [Pace::Busy, Pace::Rests] {
            let records = self.of(pace);
            let (sent, served) =
                (records.len(), records.iter().filter(|record| record.end == End::Served).count());
            assert!(served * 100 >= sent * MIN_SERVED_PERCENT, "{pace:?}: {served} of {sent} served");
        }
    }
}

/// Plays a crowd beside clients that keep their connections, and checks what they are owed.
fn play(habit: Habit) {
    let mut stage = Stage::start(&format!("{habit:?}"));
    let address = stage.proxy.address();
    let clients = Clients::start(address);
    let most_before = stage.max_descriptors(TIME_BEFORE_CROWD);
    let crowd = Crowd::gather(address, habit);
    let most_beside = stage.max_descriptors(CROWD_TIME);
    let records = clients.stop();
    let outcome = Outcome {
        records,
        crowd: crowd.leave(),
        forwarded: stage.forwarded(),
        max_descriptors: most_before.max(most_beside),
        log: stage.proxy.log_lines(),
        is_running: stage.proxy.is_running(),
    };
    outcome.print(habit);
    outcome.check();
}

/// Guards against a used connection that is evicted because the crowd's have been idle for a shorter time.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_asks_once_and_stays() {
    play(Habit::AsksOnce);
}

/// Guards against a crowd whose incomplete heads count as requests, so that it keeps all places.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_never_finishes_a_head() {
    play(Habit::SendsHalfAHead);
}

/// Guards against newcomers that need do nothing to have a used connection evicted.
#[test]
fn clients_that_keep_their_connections_are_served_beside_a_crowd_that_sends_nothing() {
    play(Habit::SendsNothing);
}

/// Guards against descriptors that stay open, or places that stay taken, after a crowd.
#[test]
fn a_proxy_is_as_before_soon_after_a_crowd_has_left() {
    const CROWD_TIME: Duration = Duration::from_millis(1500);
    for habit in [Habit::AsksOnce, Habit::SendsHalfAHead, Habit::SendsNothing] {
        let mut stage = Stage::start(&format!("left-{habit:?}"));
        let address = stage.proxy.address();
        let before = stage.max_descriptors(TIME_BEFORE_CROWD);
        let crowd = Crowd::gather(address, habit);
        let beside = stage.max_descriptors(CROWD_TIME);
        let connected = crowd.leave().connected;
        let left = Instant::now();
        let mut after = stage.proxy.open_files();
        while after > before + MAX_EXTRA_DESCRIPTORS && left.elapsed() < RECOVERY_TIME {
            std::thread::sleep(SAMPLE_INTERVAL);
            after = stage.proxy.open_files();
        }
        let took = left.elapsed();
        eprintln!(
            "{habit:?}: {before} descriptors before {connected} connections of a crowd, {beside} beside it, {after} \
             {took:?} after it left"
        );
        assert!(stage.proxy.is_running(), "the proxy runs");
        assert!(beside >= PLACES, "the crowd took the places: {beside} descriptors");
        assert!(after <= before + MAX_EXTRA_DESCRIPTORS, "{after} descriptors, {before} before");
        let random = SmallRng::seed_from_u64(0);
        let mut client = Client { address, pace: Pace::Busy, held: None, random };
        assert_eq!(client.request(Kind::Status).end, End::Served, "a new client is served");
    }
}

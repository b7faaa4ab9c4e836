//! Stricter acceptance tests on several processes: rolling restarts while clients send until their connections close,
//! a cold backend behind thirty proxies, idle clients that use up the descriptors, and a list-service node that hangs
//! within an answer.

use crate::crowds::SHORTAGE_TEXTS;
use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::client::Kind;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::http::{self, ReadError};
use crate::harness::process::Process;
use crate::harness::registry;
use crate::harness::relay::{Fault, Relay, Tap};
use crate::wait_until_ready;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for an answer: longer than every request deadline in this file.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
static NEXT_TXN: AtomicU64 = AtomicU64::new(0x7000_0000);

fn head(kind: Kind, txn: &str, remaining_ms: u64) -> String {
    let (method, key) = match kind {
        Kind::Status => ("GET", String::new()),
        Kind::Sms => ("POST", String::new()),
        Kind::Batch => ("POST", format!("Idempotency-Key: {txn}{txn}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {}\r\nX-Org: default\r\n{key}\
         X-Remaining-Ms: {remaining_ms}\r\nContent-Length: 0\r\n\r\n",
        kind.lane()
    )
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// One request of a client.
#[derive(Clone, Debug)]
struct Record {
    txn: String,
    kind: Kind,
    /// Whether it is the first request on its connection.
    on_new_connection: bool,
    /// The status, or how the connection ended without one.
    result: Result<u16, ReadError>,
}

/// How a client uses its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pattern {
    /// Sends one request right after another.
    Busy,
    /// Sends the first byte of the next request directly behind each request.
    Pipelining,
    /// Pauses between requests, on one connection until the proxy closes it.
    Pausing,
}

/// Sends requests until `deadline`: on one connection as long as it stays open, then on a new one to a proxy that is
/// not leaving.
fn run_client(
    pattern: Pattern,
    index: usize,
    proxies: &[SocketAddr],
    leaving: &[AtomicBool],
    deadline: Instant,
) -> Vec<Record> {
    let (mut records, mut open_connection, mut number) = (Vec::new(), None, index);
    // The number of bytes of the next request that have been sent already.
    let mut sent_ahead = 0;
    while Instant::now() < deadline {
        let on_new_connection = open_connection.is_none();
        if on_new_connection {
            sent_ahead = 0;
            let in_turn = (0..proxies.len()).map(|n| (number + n) % proxies.len());
            let Some(n) = in_turn.into_iter().find(|n| !leaving[*n].load(Ordering::SeqCst)) else { continue };
            open_connection = connect(proxies[n]);
        }
        let Some(connection) = open_connection.as_mut() else { continue };
        let kind = [Kind::Status, Kind::Sms, Kind::Batch][number % 3];
        number += 1;
        let txn = format!("{:016x}", NEXT_TXN.fetch_add(1, Ordering::SeqCst));
        // The byte sent ahead is the first letter of the next request's method.
        let request = head(kind, &txn, 1500);
        let next_bytes = match pattern {
            Pattern::Pipelining => &head([Kind::Status, Kind::Sms, Kind::Batch][number % 3], &txn, 1500)[..1],
            Pattern::Busy | Pattern::Pausing => "",
        };
        let write_result =
            connection.get_mut().write_all(format!("{}{next_bytes}", &request[sent_ahead..]).as_bytes());
        sent_ahead = next_bytes.len();
        // Even if the write fails, an answer that was sent before the connection closed may still be read.
        let result = http::read(connection).map(|answer| match answer.status() {
            200 if !answer.body.starts_with(txn.as_bytes()) => 0,
            status => status,
        });
        let is_closed = result.is_err() || write_result.is_err();
        records.push(Record { txn, kind, on_new_connection, result });
        if is_closed {
            open_connection = None;
        }
        std::thread::sleep(Duration::from_millis(if pattern == Pattern::Pausing { 150 } else { 3 }));
    }
    records
}

/// Four proxies are stopped by SIGTERM and restarted one after another. Every forwarded request is answered, no
/// non-idempotent request runs twice, at most one request in 200 has its new connection closed without an answer, and
/// each restarted proxy is ready in time.
#[test]
fn rolling_restarts_under_clients_that_send_until_the_close_lose_nothing() {
    const PROXIES: usize = 4;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let backends: Vec<Backend> = (0..4)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(25)).expect("a backend starts"))
        .collect();
    let listed = |b: &Backend| Listing { id: b.name().into(), address: b.address(), ..Listing::default() };
    let discovery = Discovery::start(backends.iter().map(listed).collect(), PROXIES).expect("discovery");
    let config = |proxy_index: usize, seed: u64| {
        harness::config(&harness::settings(proxy_index, PROXIES, 0.4), &discovery.known(), seed)
    };
    let mut proxies: Vec<Process> = (0..PROXIES)
        .map(|proxy_index| {
            fleet
                .proxy(&config(proxy_index, proxy_index as u64), discovery.agent(proxy_index))
                .expect("a proxy starts")
        })
        .collect();
    proxies.iter().for_each(wait_until_ready);
    let addresses: Arc<Vec<SocketAddr>> = Arc::new(proxies.iter().map(Process::address).collect());
    let leaving: Arc<Vec<AtomicBool>> = Arc::new((0..PROXIES).map(|_| AtomicBool::new(false)).collect());
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|index| {
            let pattern = [Pattern::Busy, Pattern::Pipelining, Pattern::Pausing][index % 3];
            let (addresses, leaving, ended) = (addresses.clone(), leaving.clone(), ended.clone());
            std::thread::spawn(move || {
                let mut records = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let deadline = Instant::now() + Duration::from_millis(500);
                    records.extend(run_client(pattern, index, &addresses, &leaving, deadline));
                }
                records
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    for n in 0..PROXIES {
        proxies[n].signal(Signal::SIGTERM);
        // For a moment new connections to the proxy are still opened, and clients use those that are open.
        std::thread::sleep(Duration::from_millis(300));
        leaving[n].store(true, Ordering::SeqCst);
        assert_eq!(proxies[n].wait_exit(Duration::from_secs(8)), Some(true), "it exits by itself");
        let restarted_at = Instant::now();
        let agent = [discovery.agent(n)];
        proxies[n] =
            fleet.proxy_at(&config(n, 100 + n as u64), &agent, addresses[n]).expect("it starts again");
        wait_until_ready(&proxies[n]);
        assert!(restarted_at.elapsed() < Duration::from_secs(10), "ready in time");
        leaving[n].store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(300));
    }
    ended.store(true, Ordering::SeqCst);
    let records: Vec<Record> = clients.into_iter().flat_map(|c| c.join().expect("a client ends")).collect();
    fleet.check_deadline();

    let mut run_counts: HashMap<String, usize> = HashMap::new();
    for received in backends.iter().flat_map(Backend::seen) {
        *run_counts.entry(received.txn).or_default() += 1;
    }
    let closed: Vec<&Record> = records.iter().filter(|t| t.result.is_err()).collect();
    let lost: Vec<_> = closed.iter().filter(|t| run_counts.contains_key(&t.txn)).collect();
    let wrong: Vec<_> = records.iter().filter(|t| t.result == Ok(0)).collect();
    let run_twice: Vec<_> = records
        .iter()
        .filter(|t| t.kind == Kind::Sms && run_counts.get(&t.txn).is_some_and(|n| *n > 1))
        .collect();
    let closed_new: Vec<_> = closed.iter().filter(|t| t.on_new_connection).collect();
    eprintln!(
        "{} requests, {} ended by a close without an answer, {} of them on new connections",
        records.len(),
        closed.len(),
        closed_new.len()
    );
    assert!(records.len() > 2000, "too few requests: {}", records.len());
    assert!(lost.is_empty(), "forwarded and not answered: {lost:?}");
    assert!(wrong.is_empty(), "answered with another request's body: {wrong:?}");
    assert!(run_twice.is_empty(), "non-idempotent and run twice: {run_twice:?}");
    assert!(closed_new.len() * 200 <= records.len(), "new connections closed unanswered: {closed_new:?}");
}

/// Thirty proxies send to five backends, one of which has just restarted and is cold. Their joint load on it stays
/// within the overload limit of a cold backend whose capacity, once warm, is no more than that of the others.
#[test]
fn thirty_proxies_together_do_not_overload_a_backend_in_slow_start() {
    const PROXIES: usize = 30;
    const BACKENDS: usize = 5;
    const SLOW_START_S: f64 = 6.0;
    const MIN_CAPACITY_FRACTION: f64 = 0.2;
    const OVERLOAD_FACTOR: f64 = 3.0;
    const OVERLOAD_DURATION_S: f64 = 1.0;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let backends: Vec<Backend> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(20)).expect("a backend starts"))
        .collect();
    let listed = |b: &Backend| Listing { id: b.name().into(), address: b.address(), ..Listing::default() };
    let discovery = Discovery::start(backends.iter().map(listed).collect(), PROXIES).expect("discovery");
    let config = |proxy_index: usize, seed: u64| {
        let mut settings = harness::settings(proxy_index, PROXIES, 0.4);
        for (key, value) in [
            ("cold", SLOW_START_S),
            ("cold-share", MIN_CAPACITY_FRACTION),
            ("fall-multiple", OVERLOAD_FACTOR),
            ("tip-after", OVERLOAD_DURATION_S),
        ] {
            settings["rules"][key] = json!(value);
        }
        harness::config(&settings, &discovery.known(), seed)
    };
    let proxies: Vec<Process> = (0..PROXIES)
        .map(|proxy_index| {
            fleet
                .proxy(&config(proxy_index, proxy_index as u64), discovery.agent(proxy_index))
                .expect("a proxy starts")
        })
        .collect();
    proxies.iter().for_each(wait_until_ready);
    let ended = Arc::new(AtomicBool::new(false));
    let sent_count = Arc::new(AtomicUsize::new(0));
    // One client per proxy; some send several times as much as the others.
    let clients: Vec<_> = proxies
        .iter()
        .enumerate()
        .map(|(proxy_index, proxy)| {
            let (address, ended, sent_count) = (proxy.address(), ended.clone(), sent_count.clone());
            let interval = Duration::from_millis(if proxy_index % 6 == 0 { 60 } else { 200 });
            std::thread::spawn(move || {
                let mut open_connection = None;
                let mut next_send_at = Instant::now() + interval.mul_f64(proxy_index as f64 / PROXIES as f64);
                while !ended.load(Ordering::SeqCst) {
                    std::thread::sleep(next_send_at.saturating_duration_since(Instant::now()));
                    next_send_at += interval;
                    open_connection = open_connection.or_else(|| connect(address));
                    let Some(connection) = open_connection.as_mut() else { continue };
                    let txn = format!("{:016x}", NEXT_TXN.fetch_add(1, Ordering::SeqCst));
                    sent_count.fetch_add(1, Ordering::SeqCst);
                    let write_result =
                        connection.get_mut().write_all(head(Kind::Status, &txn, 1500).as_bytes());
                    if write_result.is_err() || http::read(connection).is_err() {
                        open_connection = None;
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let received_before: usize = backends.iter().map(|b| b.seen().len()).sum();
    let (restart_time, restarted_at) = (std::time::SystemTime::now(), Instant::now());
    let started_ms =
        restart_time.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis() as f64;
    let generation = discovery.set_started("b-0", started_ms);
    std::thread::sleep(Duration::from_secs_f64(SLOW_START_S));
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client ends"));
    fleet.check_deadline();
    let all_notified_at =
        (0..PROXIES).map(|p| discovery.notified_at(p, generation).expect("each is notified")).max();
    let all_notified_at = all_notified_at.expect("there are proxies") + Duration::from_millis(50);

    let total: usize = backends.iter().map(|b| b.seen().len()).sum::<usize>() - received_before;
    let mean_rate = total as f64 / SLOW_START_S / BACKENDS as f64;
    let arrivals: Vec<Instant> =
        backends[0].seen().iter().map(|s| s.at).filter(|at| *at > all_notified_at).collect();
    let mut worst_ratio = 0.0f64;
    for (i, at) in arrivals.iter().enumerate() {
        let count = arrivals[i..]
            .iter()
            .take_while(|t| t.duration_since(*at).as_secs_f64() < OVERLOAD_DURATION_S)
            .count() as f64;
        let warmth = (at.duration_since(restarted_at).as_secs_f64() / SLOW_START_S).min(1.0);
        let limit = OVERLOAD_FACTOR
            * mean_rate
            * (MIN_CAPACITY_FRACTION + (1.0 - MIN_CAPACITY_FRACTION) * warmth)
            * OVERLOAD_DURATION_S;
        worst_ratio = worst_ratio.max(count / (limit + 2.0 * limit.sqrt() + 2.0));
    }
    eprintln!(
        "{mean_rate:.0} requests/s per backend; the cold one got {}, at most {worst_ratio:.2} times its limit",
        arrivals.len()
    );
    assert!(mean_rate > 20.0, "too little traffic: {mean_rate:.0} requests/s per backend");
    assert!(
        arrivals.len() as f64 > 0.5 * mean_rate,
        "the cold backend gets too few requests to warm up: {}",
        arrivals.len()
    );
    assert!(worst_ratio <= 1.0, "the cold backend got {worst_ratio:.2} times its limit");
}

/// A child process that is killed on drop.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers every call with `list`; a watch is answered after a delay.
fn serve_list(listener: TcpListener, list: String) {
    for stream in listener.incoming().map_while(Result::ok) {
        let list = list.clone();
        std::thread::spawn(move || {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Ok(call) = http::read(&mut reader) {
                if call.first.contains("since=7&") {
                    std::thread::sleep(Duration::from_millis(100));
                }
                if writer.write_all(&http::answer(200, "OK", "", list.as_bytes())).is_err() {
                    return;
                }
            }
        });
    }
}

/// Idle clients use up all descriptors while discovery is down. The proxy can still connect to discovery and to
/// backends, and fetches the list as soon as discovery is back.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_impair_the_proxy() {
    const MAX_DESCRIPTORS: usize = 256;
    let backend = Backend::start("b-0", Duration::from_millis(5)).expect("a backend starts");
    let listing = Listing { id: "b-0".into(), address: backend.address(), ..Listing::default() };
    let source = Discovery::start(vec![listing], 1).expect("discovery");
    let mut list = source.known();
    list["generation"] = json!(7);
    // Discovery is down: the system accepts its connections, and nobody answers.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let agent = listener.local_addr().expect("bound");
    let mut config: serde_json::Value = serde_json::from_str(&harness::config(
        &harness::settings(0, 1, 0.4),
        &json!({"generation": 0, "reset": true, "instances": []}),
        5,
    ))
    .expect("JSON");
    config["limits"]["sockets"] = json!(MAX_DESCRIPTORS);
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("full-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("written");
    let mut child = Command::new("/bin/sh")
        .args([
            "-c",
            &format!("ulimit -n {MAX_DESCRIPTORS} && exec \"$0\""),
            env!("CARGO_BIN_EXE_linkhatch-proxy"),
        ])
        .env("RELAY_CONFIG", &path)
        .env("RELAY_LISTEN", "127.0.0.1:0")
        .env("RELAY_DISCOVERY", agent.to_string())
        .env("LINKHATCH_LOG", "warn") // shortages are logged from this level on
        .stderr(Stdio::piped())
        .spawn()
        .expect("the proxy starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let _child = KillOnDrop(child);
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let address: SocketAddr =
        line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    let log_lines = Arc::new(Mutex::new(Vec::new()));
    let shared_lines = log_lines.clone();
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            shared_lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(line);
        }
    });
    // More idle connections than there are descriptors; closed ones are replaced.
    let ended = Arc::new(AtomicBool::new(false));
    let (idle_count, stop) = (Arc::new(AtomicUsize::new(0)), ended.clone());
    let shared_count = idle_count.clone();
    let filler = std::thread::spawn(move || {
        let mut idle: Vec<TcpStream> = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            // A read on a closed connection returns its end.
            idle.retain(|stream| (&*stream).read(&mut [0]).is_err());
            while idle.len() < MAX_DESCRIPTORS + MAX_DESCRIPTORS / 4 {
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
                    break;
                };
                if stream.set_nonblocking(true).is_ok() {
                    idle.push(stream);
                }
            }
            shared_count.store(idle.len(), Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let deadline = Instant::now() + Duration::from_secs(30);
    while idle_count.load(Ordering::SeqCst) < MAX_DESCRIPTORS {
        assert!(Instant::now() < deadline, "too few idle connections: {}", idle_count.load(Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(10));
    }
    // Meanwhile the proxy's own timeouts expire: calls that nobody answers, idle connections that it closes.
    std::thread::sleep(Duration::from_secs(3));
    let back_at = Instant::now();
    std::thread::spawn(move || serve_list(listener, list.to_string()));
    let mut served_after = None;
    while served_after.is_none() && back_at.elapsed() < Duration::from_secs(20) {
        let txn = format!("{:016x}", NEXT_TXN.fetch_add(1, Ordering::SeqCst));
        let answer = connect(address).and_then(|mut connection| {
            connection.get_mut().write_all(head(Kind::Status, &txn, 1500).as_bytes()).ok()?;
            http::read(&mut connection).ok()
        });
        served_after = answer.filter(|a| a.status() == 200).map(|_| back_at.elapsed());
    }
    ended.store(true, Ordering::SeqCst);
    filler.join().expect("the filler ends");
    let log_lines = log_lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner).join("\n");
    assert!(
        !SHORTAGE_TEXTS.iter().any(|shortage| log_lines.contains(shortage)),
        "out of descriptors: {log_lines}"
    );
    let served_after = served_after.expect("a client is served");
    assert!(
        served_after < Duration::from_secs(6),
        "served later than proxies must have the list: {served_after:?}"
    );
}

/// A list-service node hangs in the middle of a list. Proxies switch to another node, and act on the change before the
/// time after which they count as notified of it.
#[test]
fn a_list_node_that_hangs_within_an_answer_delays_no_proxys_list() {
    const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
    const EXTRA_ENTRIES: usize = 200;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let list =
        fleet.registry("listen = \"127.0.0.1:0\"\nexpire_every_ms = 50\n").expect("the list service starts");
    let node_address = list.address();
    let backends: Vec<Backend> = (0..2)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(5)).expect("a backend starts"))
        .collect();
    let write = |path: &str, body: &serde_json::Value| {
        let answer = registry::call(node_address, "POST", path, body);
        assert_eq!(answer.as_ref().map(|(status, _)| *status), Some(200), "{path} {body}: {answer:?}");
    };
    write("/v1/register", &registry::registration("b-0", backends[0].address(), 60_000));
    // More entries make the list longer than one piece of bytes.
    for n in 0..EXTRA_ENTRIES {
        let id = format!("away-{n}");
        write("/v1/register", &registry::registration(&id, backends[1].address(), 60_000));
        write("/v1/drain", &json!({"instanceId": id}));
    }
    // Two relays to the service; each can hang within the first list that passes once `armed` is set.
    let armed = Arc::new(AtomicBool::new(false));
    let hangs: Vec<Arc<AtomicBool>> = (0..2).map(|_| Arc::default()).collect();
    let relays: Arc<Mutex<Vec<Relay>>> = Arc::default();
    for hang in &hangs {
        let (armed, hang, all_relays) = (armed.clone(), hang.clone(), relays.clone());
        let index = relays.lock().expect("not poisoned").len();
        let tap: Tap = Arc::new(move |piece: &[u8]| {
            // Only one of the two may hang: the one that first relays a list.
            if piece.len() > 1000 && armed.swap(false, Ordering::SeqCst) {
                hang.store(true, Ordering::SeqCst);
                all_relays.lock().expect("not poisoned")[index].set(Fault::BlackHoleFrom);
            }
        });
        let relay = Relay::start_with(node_address, Some(tap)).expect("a relay starts");
        relays.lock().expect("not poisoned").push(relay);
    }
    let addresses: Vec<SocketAddr> =
        relays.lock().expect("not poisoned").iter().map(Relay::address).collect();
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let proxies: Vec<Process> = (0..4)
        .map(|proxy_index| {
            let config =
                harness::config(&harness::settings(proxy_index, 4, 0.4), &empty, 0xab + proxy_index as u64);
            fleet.proxy_of(&config, &addresses).expect("a proxy starts")
        })
        .collect();
    let served_by = |proxy: &Process| {
        let txn = format!("{:016x}", NEXT_TXN.fetch_add(1, Ordering::SeqCst));
        let mut connection = connect(proxy.address())?;
        connection.get_mut().write_all(head(Kind::Status, &txn, 1500).as_bytes()).ok()?;
        let answer = http::read(&mut connection).ok().filter(|a| a.status() == 200)?;
        String::from_utf8(answer.body).ok()
    };
    let wait_until_served_by = |message: &str, proxy: &Process, name: &str| {
        let start = Instant::now();
        while !served_by(proxy).is_some_and(|body| body.ends_with(name)) {
            assert!(start.elapsed() < Duration::from_secs(20), "{message}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    proxies.iter().for_each(|proxy| wait_until_served_by("not served by the first list", proxy, "b-0"));
    armed.store(true, Ordering::SeqCst);
    // The change is so large that its notification is longer than one piece of bytes.
    for n in 0..EXTRA_ENTRIES {
        write("/v1/deregister", &json!({"instanceId": format!("away-{n}")}));
    }
    write("/v1/register", &registry::registration("b-1", backends[1].address(), 60_000));
    write("/v1/drain", &json!({"instanceId": "b-0"}));
    let changed_at = Instant::now();
    proxies
        .iter()
        .for_each(|proxy| wait_until_served_by("the proxy does not act on the change", proxy, "b-1"));
    let elapsed = changed_at.elapsed();
    fleet.check_deadline();
    let hanging: HashSet<bool> = hangs.iter().map(|s| s.load(Ordering::SeqCst)).collect();
    eprintln!("all proxies act on the change after {elapsed:?}; relays that hang: {hanging:?}");
    assert!(elapsed < NOTIFICATION_TIMEOUT, "{elapsed:?}");
    // After half of the grace period no request goes to the draining backend.
    let late_requests =
        backends[0].seen().iter().filter(|s| s.at > changed_at + NOTIFICATION_TIMEOUT).count();
    assert_eq!(late_requests, 0);
}

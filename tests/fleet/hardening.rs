//! The stricter acceptance on several processes: rolling restarts under clients that send up to the end, a cold tier
//! before thirty proxies, idle clients that fill the descriptors, and a list node that falls silent mid-answer.

use crate::crowds::SHORTAGES;
use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::client::Kind;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::http::{self, ReadError};
use crate::harness::process::Process;
use crate::harness::registry;
use crate::harness::relay::{Fault, Relay, Tap};
use crate::ready;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for an answer: past every deadline given here.
const ANSWER_WITHIN: Duration = Duration::from_secs(8);
static NEXT: AtomicU64 = AtomicU64::new(0x7000_0000);

fn text(kind: Kind, txn: &str, left_ms: u64) -> String {
    let (method, key) = match kind {
        Kind::Status => ("GET", String::new()),
        Kind::Sms => ("POST", String::new()),
        Kind::Batch => ("POST", format!("Idempotency-Key: {txn}{txn}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {}\r\nX-Org: default\r\n{key}\
         X-Remaining-Ms: {left_ms}\r\nContent-Length: 0\r\n\r\n",
        kind.lane()
    )
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, ANSWER_WITHIN).ok()?;
    stream.set_read_timeout(Some(ANSWER_WITHIN)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// One try of a request.
#[derive(Clone, Debug)]
struct Try {
    txn: String,
    kind: Kind,
    /// The first request on its connection.
    first: bool,
    /// Its status, or how its connection ended without one.
    end: Result<u16, ReadError>,
}

/// How a client uses its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Habit {
    /// One request right after another.
    Busy,
    /// It sends the first byte of its next request behind each.
    Pipelines,
    /// It rests between requests, on one connection until the proxy ends it.
    Rests,
}

/// A client that goes on up to `until`: on its connection for as long as that stays open, then on a new one to a proxy
/// that is not being replaced.
fn client(
    habit: Habit,
    me: usize,
    proxies: &[SocketAddr],
    leaving: &[AtomicBool],
    until: Instant,
) -> Vec<Try> {
    let (mut tries, mut held, mut number) = (Vec::new(), None, me);
    // What of the next request has been sent.
    let mut sent = 0;
    while Instant::now() < until {
        let first = held.is_none();
        if first {
            sent = 0;
            let open = (0..proxies.len()).map(|n| (number + n) % proxies.len());
            let Some(n) = open.into_iter().find(|n| !leaving[*n].load(Ordering::SeqCst)) else { continue };
            held = connect(proxies[n]);
        }
        let Some(connection) = held.as_mut() else { continue };
        let kind = [Kind::Status, Kind::Sms, Kind::Batch][number % 3];
        number += 1;
        let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        // All methods begin with their own letter: the byte sent ahead is that of this request.
        let request = text(kind, &txn, 1500);
        let ahead = match habit {
            Habit::Pipelines => &text([Kind::Status, Kind::Sms, Kind::Batch][number % 3], &txn, 1500)[..1],
            Habit::Busy | Habit::Rests => "",
        };
        let wrote = connection.get_mut().write_all(format!("{}{ahead}", &request[sent..]).as_bytes());
        sent = ahead.len();
        // What is written to a connection that has ended may still be followed by what came before its end.
        let end = http::read(connection).map(|answer| match answer.status() {
            200 if !answer.body.starts_with(txn.as_bytes()) => 0,
            status => status,
        });
        let closes = end.is_err() || wrote.is_err();
        tries.push(Try { txn, kind, first, end });
        if closes {
            held = None;
        }
        std::thread::sleep(Duration::from_millis(if habit == Habit::Rests { 150 } else { 3 }));
    }
    tries
}

/// Each of four proxies is told to end in its turn and started again. Nothing that was sent on ends without its
/// answer, nothing unsafe runs twice, no new connection is closed without an answer, and all are ready in time.
#[test]
fn rolling_restarts_under_clients_that_send_up_to_the_end_lose_nothing() {
    const PROXIES: usize = 4;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let backends: Vec<Backend> = (0..4)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(25)).expect("a backend starts"))
        .collect();
    let listed = |b: &Backend| Listing { id: b.name().into(), address: b.address(), ..Listing::default() };
    let discovery = Discovery::start(backends.iter().map(listed).collect(), PROXIES).expect("discovery");
    let config = |me: usize, seed: u64| {
        harness::config(&harness::settings(me, PROXIES, 0.4), &discovery.known(), seed)
    };
    let mut proxies: Vec<Process> = (0..PROXIES)
        .map(|me| fleet.proxy(&config(me, me as u64), discovery.agent(me)).expect("a proxy starts"))
        .collect();
    proxies.iter().for_each(ready);
    let addresses: Arc<Vec<SocketAddr>> = Arc::new(proxies.iter().map(Process::address).collect());
    let leaving: Arc<Vec<AtomicBool>> = Arc::new((0..PROXIES).map(|_| AtomicBool::new(false)).collect());
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|me| {
            let habit = [Habit::Busy, Habit::Pipelines, Habit::Rests][me % 3];
            let (addresses, leaving, ended) = (addresses.clone(), leaving.clone(), ended.clone());
            std::thread::spawn(move || {
                let mut tries = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let until = Instant::now() + Duration::from_millis(500);
                    tries.extend(client(habit, me, &addresses, &leaving, until));
                }
                tries
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    for n in 0..PROXIES {
        proxies[n].signal(Signal::SIGTERM);
        // The front goes on for a moment, and clients use the connections that they have.
        std::thread::sleep(Duration::from_millis(300));
        leaving[n].store(true, Ordering::SeqCst);
        assert_eq!(proxies[n].wait_exit(Duration::from_secs(8)), Some(true), "it ends by itself");
        let restarted = Instant::now();
        let agent = [discovery.agent(n)];
        proxies[n] =
            fleet.proxy_at(&config(n, 100 + n as u64), &agent, addresses[n]).expect("it starts again");
        ready(&proxies[n]);
        assert!(restarted.elapsed() < Duration::from_secs(10), "ready in time");
        leaving[n].store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(300));
    }
    ended.store(true, Ordering::SeqCst);
    let tries: Vec<Try> = clients.into_iter().flat_map(|c| c.join().expect("a client ends")).collect();
    fleet.check_deadline();

    let mut ran: HashMap<String, usize> = HashMap::new();
    for seen in backends.iter().flat_map(Backend::seen) {
        *ran.entry(seen.txn).or_default() += 1;
    }
    let closed: Vec<&Try> = tries.iter().filter(|t| t.end.is_err()).collect();
    let lost: Vec<_> = closed.iter().filter(|t| ran.contains_key(&t.txn)).collect();
    let wrong: Vec<_> = tries.iter().filter(|t| t.end == Ok(0)).collect();
    let twice: Vec<_> =
        tries.iter().filter(|t| t.kind == Kind::Sms && ran.get(&t.txn).is_some_and(|n| *n > 1)).collect();
    let fresh: Vec<_> = closed.iter().filter(|t| t.first).collect();
    eprintln!(
        "{} tries, {} closes that crossed a request, {} on new connections",
        tries.len(),
        closed.len(),
        fresh.len()
    );
    assert!(tries.len() > 2000, "traffic ran: {}", tries.len());
    assert!(lost.is_empty(), "sent on, and without an answer: {lost:?}");
    assert!(wrong.is_empty(), "served with another's answer: {wrong:?}");
    assert!(twice.is_empty(), "unsafe, and run twice: {twice:?}");
    assert!(fresh.len() * 200 <= tries.len(), "new connections closed without an answer: {fresh:?}");
}

/// Thirty proxies before five backends, one of which starts anew and is cold: what they send it together stays within
/// what a cold backend takes that, warm, bears no more than the others do.
#[test]
fn thirty_proxies_together_do_not_overload_a_backend_in_slow_start() {
    const PROXIES: usize = 30;
    const BACKENDS: usize = 5;
    const COLD_S: f64 = 6.0;
    const SHARE: f64 = 0.2;
    const FALL: f64 = 3.0;
    const TIP_S: f64 = 1.0;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let backends: Vec<Backend> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(20)).expect("a backend starts"))
        .collect();
    let listed = |b: &Backend| Listing { id: b.name().into(), address: b.address(), ..Listing::default() };
    let discovery = Discovery::start(backends.iter().map(listed).collect(), PROXIES).expect("discovery");
    let config = |me: usize, seed: u64| {
        let mut settings = harness::settings(me, PROXIES, 0.4);
        for (key, value) in
            [("cold", COLD_S), ("cold-share", SHARE), ("fall-multiple", FALL), ("tip-after", TIP_S)]
        {
            settings["rules"][key] = json!(value);
        }
        harness::config(&settings, &discovery.known(), seed)
    };
    let proxies: Vec<Process> = (0..PROXIES)
        .map(|me| fleet.proxy(&config(me, me as u64), discovery.agent(me)).expect("a proxy starts"))
        .collect();
    proxies.iter().for_each(ready);
    let ended = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(AtomicUsize::new(0));
    // One client a proxy, some of them with several times the traffic of the others.
    let clients: Vec<_> = proxies
        .iter()
        .enumerate()
        .map(|(me, proxy)| {
            let (address, ended, asked) = (proxy.address(), ended.clone(), asked.clone());
            let every = Duration::from_millis(if me % 6 == 0 { 60 } else { 200 });
            std::thread::spawn(move || {
                let mut held = None;
                let mut next = Instant::now() + every.mul_f64(me as f64 / PROXIES as f64);
                while !ended.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += every;
                    held = held.or_else(|| connect(address));
                    let Some(connection) = held.as_mut() else { continue };
                    let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
                    asked.fetch_add(1, Ordering::SeqCst);
                    let sent = connection.get_mut().write_all(text(Kind::Status, &txn, 1500).as_bytes());
                    if sent.is_err() || http::read(connection).is_err() {
                        held = None;
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let before: usize = backends.iter().map(|b| b.seen().len()).sum();
    let (start, began) = (std::time::SystemTime::now(), Instant::now());
    let started_ms = start.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis() as f64;
    let told = discovery.set_started("b-0", started_ms);
    std::thread::sleep(Duration::from_secs_f64(COLD_S));
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client ends"));
    fleet.check_deadline();
    let all_told = (0..PROXIES).map(|p| discovery.notified_at(p, told).expect("all are told")).max();
    let all_told = all_told.expect("there are proxies") + Duration::from_millis(50);

    let total: usize = backends.iter().map(|b| b.seen().len()).sum::<usize>() - before;
    let warm = total as f64 / COLD_S / BACKENDS as f64;
    let seen: Vec<Instant> = backends[0].seen().iter().map(|s| s.at).filter(|at| *at > all_told).collect();
    let mut worst = 0.0f64;
    for (i, at) in seen.iter().enumerate() {
        let count =
            seen[i..].iter().take_while(|t| t.duration_since(*at).as_secs_f64() < TIP_S).count() as f64;
        let warmth = (at.duration_since(began).as_secs_f64() / COLD_S).min(1.0);
        let allowed = FALL * warm * (SHARE + (1.0 - SHARE) * warmth) * TIP_S;
        worst = worst.max(count / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    eprintln!(
        "{warm:.0} a second and backend; the cold one got {}, at most {worst:.2} of what it takes",
        seen.len()
    );
    assert!(warm > 20.0, "traffic ran: {warm:.0} a second and backend");
    assert!(
        seen.len() as f64 > 0.5 * warm,
        "a cold backend gets some, or it would never warm: {}",
        seen.len()
    );
    assert!(worst <= 1.0, "the cold backend got {worst:.2} times what it takes");
}

/// A child that is killed with its test.
struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers one call after another with `list`, a watch after its wait.
fn answer_calls(listener: TcpListener, list: String) {
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

/// Clients that only keep connections may fill all descriptors while discovery is down: the proxy still reaches
/// discovery and backends, and takes the list as soon as it is back.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_impair_the_proxy() {
    const SOCKETS: usize = 256;
    let backend = Backend::start("b-0", Duration::from_millis(5)).expect("a backend starts");
    let listing = Listing { id: "b-0".into(), address: backend.address(), ..Listing::default() };
    let source = Discovery::start(vec![listing], 1).expect("discovery");
    let mut list = source.known();
    list["generation"] = json!(7);
    // Down: the system takes its calls, and nobody answers.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let agent = listener.local_addr().expect("bound");
    let mut config: serde_json::Value = serde_json::from_str(&harness::config(
        &harness::settings(0, 1, 0.4),
        &json!({"generation": 0, "reset": true, "instances": []}),
        5,
    ))
    .expect("JSON");
    config["limits"]["sockets"] = json!(SOCKETS);
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("full-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("written");
    let mut child = Command::new("/bin/sh")
        .args(["-c", &format!("ulimit -n {SOCKETS} && exec \"$0\""), env!("CARGO_BIN_EXE_linkhatch-proxy")])
        .env("RELAY_CONFIG", &path)
        .env("RELAY_LISTEN", "127.0.0.1:0")
        .env("RELAY_DISCOVERY", agent.to_string())
        .env("LINKHATCH_LOG", "warn") // shortages are logged from this level on
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let _child = Killed(child);
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let address: SocketAddr =
        line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    let said = Arc::new(Mutex::new(Vec::new()));
    let saying = said.clone();
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            saying.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(line);
        }
    });
    // As many as there are descriptors and more, kept full by new ones for those that are closed.
    let ended = Arc::new(AtomicBool::new(false));
    let (filled, done) = (Arc::new(AtomicUsize::new(0)), ended.clone());
    let counting = filled.clone();
    let filler = std::thread::spawn(move || {
        let mut idle: Vec<TcpStream> = Vec::new();
        while !done.load(Ordering::SeqCst) {
            // Closed ones have their end to read.
            idle.retain(|stream| (&*stream).read(&mut [0]).is_err());
            while idle.len() < SOCKETS + SOCKETS / 4 {
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
                    break;
                };
                if stream.set_nonblocking(true).is_ok() {
                    idle.push(stream);
                }
            }
            counting.store(idle.len(), Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let deadline = Instant::now() + Duration::from_secs(30);
    while filled.load(Ordering::SeqCst) < SOCKETS {
        assert!(Instant::now() < deadline, "idle clients fill it: {}", filled.load(Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(10));
    }
    // Its own waits pass meanwhile: calls that nobody answers, idle connections that it ends.
    std::thread::sleep(Duration::from_secs(3));
    let back = Instant::now();
    std::thread::spawn(move || answer_calls(listener, list.to_string()));
    let mut served = None;
    while served.is_none() && back.elapsed() < Duration::from_secs(20) {
        let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        let answer = connect(address).and_then(|mut connection| {
            connection.get_mut().write_all(text(Kind::Status, &txn, 1500).as_bytes()).ok()?;
            http::read(&mut connection).ok()
        });
        served = answer.filter(|a| a.status() == 200).map(|_| back.elapsed());
    }
    ended.store(true, Ordering::SeqCst);
    filler.join().expect("the filler ends");
    let said = said.lock().unwrap_or_else(std::sync::PoisonError::into_inner).join("\n");
    assert!(!SHORTAGES.iter().any(|shortage| said.contains(shortage)), "out of descriptors: {said}");
    let served = served.expect("a client is served");
    assert!(served < Duration::from_secs(6), "within the time in which the list counts as told: {served:?}");
}

/// A node of the list service stops in the middle of a list, and says nothing more. Proxies go on to another node, and
/// what it had to tell is acted on before it counts as told.
#[test]
fn a_list_node_that_hangs_within_an_answer_delays_no_proxys_list() {
    const TOLD: Duration = Duration::from_secs(6);
    const MANY: usize = 200;
    let mut fleet = harness::fleet(Duration::from_secs(90));
    let list =
        fleet.registry("listen = \"127.0.0.1:0\"\nexpire_every_ms = 50\n").expect("the list service starts");
    let at = list.address();
    let backends: Vec<Backend> = (0..2)
        .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(5)).expect("a backend starts"))
        .collect();
    let write = |path: &str, body: &serde_json::Value| {
        let answer = registry::call(at, "POST", path, body);
        assert_eq!(answer.as_ref().map(|(status, _)| *status), Some(200), "{path} {body}: {answer:?}");
    };
    write("/v1/register", &registry::registration("b-0", backends[0].address(), 60_000));
    // What makes the list longer than one piece.
    for n in 0..MANY {
        let id = format!("away-{n}");
        write("/v1/register", &registry::registration(&id, backends[1].address(), 60_000));
        write("/v1/drain", &json!({"instanceId": id}));
    }
    // Two ways to the service; each stops once told to, in the first list that passes then.
    let armed = Arc::new(AtomicBool::new(false));
    let stopped: Vec<Arc<AtomicBool>> = (0..2).map(|_| Arc::default()).collect();
    let relays: Arc<Mutex<Vec<Relay>>> = Arc::default();
    for stop in &stopped {
        let (armed, stop, others) = (armed.clone(), stop.clone(), relays.clone());
        let mine = relays.lock().expect("not poisoned").len();
        let tap: Tap = Arc::new(move |piece: &[u8]| {
            // Only one of the two may fall silent, the one that the first proxy hears.
            if piece.len() > 1000 && armed.swap(false, Ordering::SeqCst) {
                stop.store(true, Ordering::SeqCst);
                others.lock().expect("not poisoned")[mine].set(Fault::BlackHoleFrom);
            }
        });
        let relay = Relay::start_with(at, Some(tap)).expect("a relay starts");
        relays.lock().expect("not poisoned").push(relay);
    }
    let ways: Vec<SocketAddr> = relays.lock().expect("not poisoned").iter().map(Relay::address).collect();
    let empty = json!({"generation": 0, "reset": true, "instances": []});
    let proxies: Vec<Process> = (0..4)
        .map(|me| {
            let config = harness::config(&harness::settings(me, 4, 0.4), &empty, 0xab + me as u64);
            fleet.proxy_of(&config, &ways).expect("a proxy starts")
        })
        .collect();
    let served_by = |proxy: &Process| {
        let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        let mut connection = connect(proxy.address())?;
        connection.get_mut().write_all(text(Kind::Status, &txn, 1500).as_bytes()).ok()?;
        let answer = http::read(&mut connection).ok().filter(|a| a.status() == 200)?;
        String::from_utf8(answer.body).ok()
    };
    let until = |what: &str, proxy: &Process, name: &str| {
        let start = Instant::now();
        while !served_by(proxy).is_some_and(|body| body.ends_with(name)) {
            assert!(start.elapsed() < Duration::from_secs(20), "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    proxies.iter().for_each(|proxy| until("it serves on the first list", proxy, "b-0"));
    armed.store(true, Ordering::SeqCst);
    // Enough of a change that its news are longer than a piece.
    for n in 0..MANY {
        write("/v1/deregister", &json!({"instanceId": format!("away-{n}")}));
    }
    write("/v1/register", &registry::registration("b-1", backends[1].address(), 60_000));
    write("/v1/drain", &json!({"instanceId": "b-0"}));
    let told = Instant::now();
    proxies.iter().for_each(|proxy| until("it hears of the change", proxy, "b-1"));
    let took = told.elapsed();
    fleet.check_deadline();
    let silent: HashSet<bool> = stopped.iter().map(|s| s.load(Ordering::SeqCst)).collect();
    eprintln!("all proxies act on it after {took:?}; ways silent: {silent:?}");
    assert!(took < TOLD, "{took:?}");
    // Past half of the grace nothing goes to what drains.
    let late = backends[0].seen().iter().filter(|s| s.at > told + TOLD).count();
    assert_eq!(late, 0);
}

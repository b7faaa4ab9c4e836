//! A list-service node at its connection limit, with real sockets: new callers are served while all other connections
//! watch, and an eviction that coincides with a call loses no answer.

use crate::harness::http::{Conn, Message};
use crate::harness::program::{Service, current_program};
use crate::harness::registry::registration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// The descriptors that a node reserves in addition to its connections.
const RESERVED_DESCRIPTORS: usize = 96;
/// The longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// A TTL that does not expire during a test.
const LONG_TTL_MS: u64 = 300_000;

/// Starts a node with capacity for `max_connections`.
fn node(name: &str, max_connections: usize) -> Service {
    let file = format!("node-{name}-{}.toml", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let max_files = max_connections + RESERVED_DESCRIPTORS;
    Service::node_with_max_files(current_program(), &path, "listen = \"127.0.0.1:0\"\n", max_files)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

async fn connect(node: SocketAddr) -> Conn {
    let stream = TcpStream::connect(node).await.expect("the system accepts the connection");
    stream.set_nodelay(true).expect("a socket option");
    Conn::new(stream)
}

/// How a call ended.
#[derive(Debug)]
enum CallEnd {
    Answered(Message),
    /// The connection was closed before the first byte of an answer.
    Closed,
    /// The connection was closed within an answer.
    Truncated,
}

async fn exchange(connection: &mut Conn, method: &str, target: &str, body: &Value) -> CallEnd {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let length = body.len();
    let text = format!("{method} {target} HTTP/1.1\r\nHost: node\r\nContent-Length: {length}\r\n\r\n{body}");
    if connection.write(text.as_bytes()).await.is_err() {
        return CallEnd::Closed;
    }
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, connection.read()).await;
    match answer.expect("an answer or a close in time") {
        Ok(answer) => CallEnd::Answered(answer),
        Err(_) if connection.is_clean() => CallEnd::Closed,
        Err(_) => CallEnd::Truncated,
    }
}

/// Watches the list once with each timeout of `rounds`; returns after the last answer. It opens a new connection after
/// an answer that closes the current one.
async fn watch(node: SocketAddr, rounds: &[Duration]) {
    let mut connection = connect(node).await;
    for timeout in rounds {
        let target = format!("/api/targets?since=1000000&timeout_ms={}", timeout.as_millis());
        let mut end = exchange(&mut connection, "GET", &target, &Value::Null).await;
        if matches!(end, CallEnd::Closed) {
            // The connection was evicted between two calls; the second call was not read.
            connection = connect(node).await;
            end = exchange(&mut connection, "GET", &target, &Value::Null).await;
        }
        let CallEnd::Answered(answer) = end else { panic!("a watch without an answer: {end:?}") };
        if answer.closes_connection() {
            connection = connect(node).await;
        }
    }
}

/// The number of watches waiting at the node.
async fn watch_count(connection: &mut Conn) -> usize {
    let end = exchange(connection, "GET", "/v1/status", &Value::Null).await;
    let CallEnd::Answered(answer) = end else { panic!("no status: {end:?}") };
    let status: Value = serde_json::from_slice(&answer.body).expect("a status");
    status["watching"].as_u64().expect("a number") as usize
}

/// Makes calls that wait behind watches, each on a new connection; returns the answers in the order of the calls.
async fn call_in_order(
    node: SocketAddr,
    calls: usize,
    target: &'static str,
    body: fn(usize) -> Value,
) -> Vec<Message> {
    let mut callers = Vec::new();
    for n in 0..calls {
        let mut connection = connect(node).await;
        let method = if body(n).is_null() { "GET" } else { "POST" };
        callers.push(spawn_local(async move {
            match exchange(&mut connection, method, target, &body(n)).await {
                // The caller keeps its connection, like one that will call again.
                CallEnd::Answered(answer) => (answer, connection),
                end => panic!("call {n}: {end:?}"),
            }
        }));
    }
    let mut answers = Vec::new();
    let mut kept_open = Vec::new();
    for caller in callers {
        let (answer, connection) = caller.await.expect("the call is answered");
        answers.push(answer);
        kept_open.push(connection);
    }
    answers
}

/// Guards against a node that serves no new caller until a client closes, once all its connections watch.
#[test]
fn waiting_callers_are_served_in_order_as_watches_end() {
    const WATCHERS: usize = 1_024;
    const CALLERS: usize = 64;
    /// The number of watches that end one after another; each end makes room for one caller.
    const ENDING_WATCHES: usize = 100;
    const FIRST_END: Duration = Duration::from_secs(3);
    const END_INTERVAL: Duration = Duration::from_millis(10);
    const LONG_WATCH: Duration = Duration::from_secs(6);
    let node = node("full", WATCHERS + 1);
    let node_address = node.address();
    run(async move {
        let mut watchers: Vec<JoinHandle<()>> = Vec::new();
        let mut watch_twice = |first: Duration| {
            watchers.push(spawn_local(async move { watch(node_address, &[first, LONG_WATCH]).await }));
        };
        (0..ENDING_WATCHES).for_each(|n| watch_twice(FIRST_END + END_INTERVAL * n as u32));
        (ENDING_WATCHES..WATCHERS).for_each(|_| watch_twice(LONG_WATCH));
        let mut last_connection = connect(node_address).await;
        while watch_count(&mut last_connection).await < WATCHERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // One more watch makes every connection busy.
        spawn_local(async move {
            exchange(
                &mut last_connection,
                "GET",
                "/api/targets?since=1000000&timeout_ms=20000",
                &Value::Null,
            )
            .await;
        });

        let body = |n: usize| {
            registration(&format!("waiting-{n}"), SocketAddr::from(([127, 0, 0, 1], 1)), LONG_TTL_MS)
        };
        let registered = call_in_order(node_address, CALLERS, "/v1/register", body).await;
        let revision = |answer: &Message| {
            assert_eq!(answer.status(), 200);
            let reply: Value = serde_json::from_slice(&answer.body).expect("a reply");
            reply["revision"].as_u64().expect("a revision")
        };
        let revisions: Vec<u64> = registered.iter().map(revision).collect();
        assert!(revisions.is_sorted(), "not served in the order of arrival: {revisions:?}");
        // Each caller that watches needs the end of another watch.
        let watched =
            call_in_order(node_address, CALLERS, "/api/targets?since=1000000&timeout_ms=1000", |_| {
                Value::Null
            })
            .await;
        assert_eq!(watched.len(), CALLERS);
        let files = node.open_files();
        assert!(files <= WATCHERS + 1 + RESERVED_DESCRIPTORS, "{files} files are open");
        for watcher in watchers {
            watcher.await.expect("each watch is answered");
        }
    });
}

/// Guards against an eviction that closes a connection while the node handles a call that it has read from it.
#[test]
fn an_eviction_during_a_call_truncates_no_answer_and_loses_none_to_an_executed_write() {
    const CAPACITY: usize = 16;
    const CALLERS: u64 = 24;
    const DURATION: Duration = Duration::from_secs(4);
    let node = node("crossing", CAPACITY);
    let node_address = node.address();
    run(async move {
        let answered = Rc::new(Cell::new(0usize));
        let unanswered = Rc::new(RefCell::new(BTreeSet::new()));
        let callers = (0..CALLERS).map(|caller| {
            let (answered, unanswered) = (answered.clone(), unanswered.clone());
            spawn_local(async move {
                let mut random = SmallRng::seed_from_u64(caller);
                let mut connection = connect(node_address).await;
                let (deadline, mut is_first_on_connection) = (Instant::now() + DURATION, true);
                for n in 0.. {
                    if Instant::now() > deadline {
                        break;
                    }
                    let id = format!("c{caller}-{}", n % 40);
                    let unique_id = format!("u{caller}-{n}");
                    let body =
                        registration(if n % 4 == 0 { &unique_id } else { &id }, node_address, LONG_TTL_MS);
                    let end = match n % 2 {
                        0 => exchange(&mut connection, "POST", "/v1/register", &body).await,
                        _ => exchange(&mut connection, "GET", "/api/targets", &Value::Null).await,
                    };
                    let closes = match &end {
                        CallEnd::Answered(answer) => {
                            assert_eq!(answer.status(), 200);
                            answered.set(answered.get() + 1);
                            answer.closes_connection()
                        }
                        CallEnd::Closed => {
                            assert!(!is_first_on_connection, "a first call was closed without an answer");
                            if n % 4 == 0 {
                                unanswered.borrow_mut().insert(unique_id);
                            }
                            true
                        }
                        CallEnd::Truncated => panic!("a truncated answer"),
                    };
                    is_first_on_connection = closes;
                    if closes {
                        connection = connect(node_address).await;
                    }
                    tokio::time::sleep(Duration::from_micros(random.random_range(0..3_000))).await;
                }
            })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            caller.await.expect("a caller panicked");
        }
        let mut connection = connect(node_address).await;
        let list = exchange(&mut connection, "GET", "/api/targets", &Value::Null).await;
        let CallEnd::Answered(list) = list else { panic!("no list: {list:?}") };
        let list: Value = serde_json::from_slice(&list.body).expect("a list");
        let listed = list["instances"].as_array().expect("entries").iter();
        let listed: BTreeSet<_> = listed.filter_map(|entry| entry["instanceId"].as_str()).collect();
        let unanswered = unanswered.borrow();
        let executed: Vec<_> = unanswered.iter().filter(|id| listed.contains(id.as_str())).collect();
        eprintln!(
            "{} calls answered, {} registrations closed without an answer",
            answered.get(),
            unanswered.len()
        );
        assert!(executed.is_empty(), "executed but closed without an answer: {executed:?}");
        assert!(answered.get() > 1_000, "too few calls answered: {}", answered.get());
    });
}

//! The telemetry of a real proxy process: no log by default, a debug log that traces requests by id, and metrics.

use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::{Fleet, Process};
use crate::wait_until_ready;
use fleet_testbed::http::{Conn, Message};
use fleet_testbed::rt::Loop;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

const FLEET_DEADLINE: Duration = Duration::from_secs(30);
const REQUEST_ID: &str = "00000000000000a1";

/// Starts a proxy with one backend.
fn start(fleet: &mut Fleet, backend: &Backend) -> (Process, Discovery) {
    let listing = Listing { id: "b-0".into(), address: backend.address(), ..Listing::default() };
    let discovery = Discovery::start(vec![listing], 1).expect("discovery");
    let config = harness::config(&harness::settings(0, 1, 0.4), &discovery.known(), 7);
    let proxy = fleet.proxy(&config, discovery.agent(0)).expect("a proxy starts");
    wait_until_ready(&proxy);
    (proxy, discovery)
}

fn send(address: SocketAddr, text: String) -> Message {
    let answer = Loop::shared().wait(move || async move {
        let mut conn = Conn::new(TcpStream::connect(address).await.ok()?);
        conn.write(text.as_bytes()).await.ok()?;
        conn.read().await.ok()
    });
    answer.flatten().expect("an answer")
}

fn request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: status-check\r\nX-Org: default\r\n\
         X-Remaining-Ms: 1000\r\n\r\n"
    )
}

/// Appends the log's JSON lines to `lines` until one of them satisfies `is_last`.
fn read_until(lines: &mut Vec<Value>, proxy: &Process, is_last: impl Fn(&Value) -> bool) {
    let deadline = std::time::Instant::now() + Duration::from_secs(5);
    while !lines.iter().any(&is_last) {
        assert!(std::time::Instant::now() < deadline, "{lines:#?}");
        lines.extend(proxy.log_lines().iter().filter_map(|line| serde_json::from_str(line).ok()));
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn the_log_follows_a_request_by_its_id() {
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    fleet.set_environment(vec![("LINKHATCH_LOG".into(), "debug".into())]);
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend");
    let (proxy, _discovery) = start(&mut fleet, &backend);
    assert_eq!(send(proxy.address(), request(REQUEST_ID)).status(), 200);
    let is_of_request = |line: &Value| line["id"] == REQUEST_ID;
    let is_ended = |line: &Value| is_of_request(line) && line["message"] == "attempt ended";
    let mut lines = Vec::new();
    read_until(&mut lines, &proxy, is_ended);
    let steps: Vec<&str> =
        lines.iter().filter(|line| is_of_request(line)).filter_map(|line| line["message"].as_str()).collect();
    assert_eq!(steps, ["request received", "attempt sent", "attempt ended"]);
    let outcome = lines.iter().find(|line| is_ended(line)).map(|line| line["outcome"].clone());
    assert_eq!(outcome, Some(Value::from("Served")));
    let is_closed = |line: &Value| line["message"] == "connection closed";
    read_until(&mut lines, &proxy, is_closed);
    assert!(lines.iter().filter(|line| is_closed(line)).all(|line| line["reason"].is_string()), "{lines:?}");
}

#[test]
fn nothing_is_logged_by_default() {
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend");
    let (proxy, _discovery) = start(&mut fleet, &backend);
    assert_eq!(send(proxy.address(), request(REQUEST_ID)).status(), 200);
    let logged: Vec<String> = proxy.log_lines().into_iter().filter(|line| line.starts_with('{')).collect();
    assert_eq!(logged, Vec::<String>::new());
}

#[test]
fn metrics_count_attempts_and_their_outcomes_on_a_listener_of_their_own() {
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let metrics = reserved.local_addr().expect("its address");
    drop(reserved);
    fleet.set_environment(vec![("LINKHATCH_METRICS".into(), metrics.to_string())]);
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend");
    let (proxy, _discovery) = start(&mut fleet, &backend);
    for id in 1..=5 {
        assert_eq!(send(proxy.address(), request(&format!("{id:016x}"))).status(), 200);
    }
    let answer = send(metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n".into());
    assert_eq!(answer.status(), 200);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    for line in [
        "linkhatch_attempts_total{reason=\"First\"} 5",
        "linkhatch_attempt_outcomes_total{reason=\"Served\"} 5",
        "linkhatch_wait_seconds_count 5",
        "linkhatch_open_requests 0",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    assert_eq!(send(metrics, "GET /other HTTP/1.1\r\nHost: m\r\n\r\n".into()).status(), 404);
}

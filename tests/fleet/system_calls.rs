//! Proxies and list-service nodes whose system calls fail in the ways that Linux documents; the testbed's preload
//! library injects the failures. Transient failures lose no request and count against no backend.

use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::{Fleet, Process};
use crate::wait_until_ready;
use fleet_testbed::http::{Conn, Message};
use fleet_testbed::rt::Loop;
use fleet_testbed::syscall_faults::{SyscallFaults, read_counts};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The time after which the processes of one test are killed.
const FLEET_DEADLINE: Duration = Duration::from_secs(60);
/// The deadline of a request, in milliseconds.
const REQUEST_DEADLINE_MS: u64 = 2000;
/// The clients of one proxy; each uses one connection.
const CLIENTS: usize = 8;
/// The requests that each client sends.
const REQUESTS_PER_CLIENT: usize = 150;
/// The backends of one proxy.
const BACKENDS: usize = 4;

/// A proxy with failing system calls, in front of working backends.
struct Fixture {
    fleet: Fleet,
    proxy: Process,
    _backends: Vec<Backend>,
    _discovery: Discovery,
    counts: std::path::PathBuf,
}

impl Fixture {
    fn start(rules: &[&str]) -> Self {
        let mut fleet = harness::fleet(FLEET_DEADLINE);
        let backends: Vec<Backend> = (0..BACKENDS)
            .map(|n| Backend::start(&format!("b-{n}"), Duration::from_millis(3)).expect("a backend"))
            .collect();
        let listing = |(n, b): (usize, &Backend)| Listing {
            id: format!("b-{n}"),
            address: b.address(),
            ..Listing::default()
        };
        let listings = backends.iter().enumerate().map(listing).collect();
        let discovery = Discovery::start(listings, 1).expect("discovery");
        let counts = fleet.scratch("faults-counts");
        let rules = rules.iter().map(ToString::to_string).collect();
        let faults = SyscallFaults { rules, seed: 7, epoch_ns: None, counts: Some(counts.clone()) };
        fleet.set_environment(faults.environment());
        let config = harness::config(&harness::settings(0, 1, 0.4), &discovery.known(), 7);
        let proxy = fleet.proxy(&config, discovery.agent(0)).expect("a proxy starts");
        wait_until_ready(&proxy);
        Self { fleet, proxy, _backends: backends, _discovery: discovery, counts }
    }

    /// Runs all clients; returns the status of each request, `None` without a complete answer.
    fn run_clients(&self) -> Vec<Option<u16>> {
        let address = self.proxy.address();
        let statuses = Loop::shared().wait(move || async move {
            let clients: Vec<_> =
                (0..CLIENTS).map(|client| tokio::task::spawn_local(run_client(address, client))).collect();
            let mut statuses = Vec::new();
            for client in clients {
                statuses.extend(client.await.expect("a client panicked"));
            }
            statuses
        });
        self.fleet.check_deadline();
        statuses.expect("the clients run")
    }

    /// The number of system calls that the rules have changed.
    fn changed_calls(&self) -> u64 {
        read_counts(&self.counts).iter().sum()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.counts);
    }
}

fn request(number: usize) -> Vec<u8> {
    let body = "x".repeat(100);
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {number:016x}\r\nX-Lane: send-sms\r\nX-Org: default\r\n\
         X-Remaining-Ms: {REQUEST_DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends one request after another on one connection; returns the status of each, `None` without a complete answer.
async fn run_client(address: SocketAddr, client: usize) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    let mut connection: Option<Conn<TcpStream>> = None;
    for number in 0..REQUESTS_PER_CLIENT {
        let mut conn = match connection.take() {
            Some(conn) => conn,
            None => Conn::new(TcpStream::connect(address).await.expect("the proxy accepts")),
        };
        let exchange = async {
            conn.write(&request(1 + client * REQUESTS_PER_CLIENT + number)).await.ok()?;
            conn.read().await.ok()
        };
        let answer: Option<Message> =
            tokio::time::timeout(Duration::from_millis(2 * REQUEST_DEADLINE_MS), exchange)
                .await
                .ok()
                .flatten();
        if answer.as_ref().is_some_and(|answer| !answer.closes_connection()) {
            connection = Some(conn);
        }
        statuses.push(answer.map(|answer| answer.status()));
    }
    statuses
}

/// Asserts that every request is served under these rules; the backends have no other load.
fn assert_all_served(rules: &[&str]) {
    let fixture = Fixture::start(rules);
    let statuses = fixture.run_clients();
    let lost = statuses.iter().filter(|status| status.is_none()).count();
    let unserved = statuses.iter().filter(|status| status.is_some_and(|code| code != 200)).count();
    assert!(fixture.changed_calls() > 0, "{rules:?}: no system call was changed");
    assert_eq!((lost, unserved), (0, 0), "{rules:?}: (lost, not served) of {} requests", statuses.len());
}

#[test]
fn interrupted_reads_lose_no_request() {
    assert_all_served(&["recv=EINTR@0.05:0-600000"]);
}

#[test]
fn interrupted_writes_lose_no_request() {
    assert_all_served(&["send=EINTR@0.05:0-600000"]);
}

#[test]
fn interrupted_peeks_lose_no_request() {
    assert_all_served(&["peek=EINTR@0.5:0-600000"]);
}

#[test]
fn short_reads_and_writes_and_interrupted_waits_lose_no_request() {
    assert_all_served(&["recv=short@0.3:0-600000", "send=short@0.3:0-600000", "wait=EINTR@0.2:0-600000"]);
}

#[test]
fn transient_socket_failures_lose_no_request_and_count_against_no_backend() {
    assert_all_served(&[
        "connect=EADDRNOTAVAIL@0.5:0-600000",
        "socket=ENOBUFS@0.3:0-600000",
        "accept=ECONNABORTED@0.1:0-600000",
        "accept=ENFILE@0.1:0-600000",
    ]);
}

/// The clients that connect and send while the process that shuts down is suspended.
const CLIENTS_DURING_SUSPENSION: usize = 40;
/// The time from SIGTERM to the suspension. The listener is due to close during the suspension, 1.1 s after SIGTERM.
const SUSPEND_AFTER: Duration = Duration::from_millis(900);
const SUSPENSION_DURATION: Duration = Duration::from_millis(450);

#[test]
fn connections_in_the_backlog_are_answered_at_shutdown_though_accept_fails() {
    let fixture = Fixture::start(&["accept=ECONNABORTED@0.33:0-600000"]);
    let address = fixture.proxy.address();
    fixture.proxy.signal(nix::sys::signal::Signal::SIGTERM);
    std::thread::sleep(SUSPEND_AFTER);
    fixture.proxy.signal(nix::sys::signal::Signal::SIGSTOP);
    let clients = std::thread::spawn(move || {
        Loop::shared().wait(move || async move {
            let client = |number: usize| async move {
                let mut conn = Conn::new(TcpStream::connect(address).await.ok()?);
                conn.write(&request(10_000 + number)).await.ok()?;
                conn.read().await.ok().map(|answer| answer.status())
            };
            let clients: Vec<_> = (0..CLIENTS_DURING_SUSPENSION)
                .map(|number| tokio::task::spawn_local(client(number)))
                .collect();
            let mut statuses = Vec::new();
            for client in clients {
                statuses.push(client.await.expect("a client panicked"));
            }
            statuses
        })
    });
    std::thread::sleep(SUSPENSION_DURATION);
    fixture.proxy.signal(nix::sys::signal::Signal::SIGCONT);
    let statuses = clients.join().expect("the clients end").expect("the clients run");
    let lost = statuses.iter().filter(|status| status.is_none()).count();
    assert_eq!(lost, 0, "reset or closed without an answer, of {CLIENTS_DURING_SUSPENSION}: {statuses:?}");
}

/// The runtime's own signal handling would end the process when the read of its pipe is interrupted.
#[test]
fn a_process_with_interrupted_reads_receives_its_signals() {
    let mut fixture = Fixture::start(&["recv=EINTR@0.5:0-600000", "peek=EINTR@0.5:0-600000"]);
    fixture.proxy.signal(nix::sys::signal::Signal::SIGHUP);
    fixture.proxy.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(fixture.proxy.wait_exit(Duration::from_secs(10)), Some(true));
}

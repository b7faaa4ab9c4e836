//! Tests of the harness itself: a child that hangs past the deadline, a test that is killed midway, a process
//! restarted on a new port, and each fault of the relay.

use crate::harness::backend::Backend;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::Fleet;
use crate::harness::relay::{Fault, Relay};
use crate::harness::{self, http};
use nix::sys::signal::Signal;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The environment variable that is set for `helper_starts_a_proxy_and_hangs` when it runs as a child.
const HELPER_VARIABLE: &str = "FLEET_HARNESS_HELPER";

/// Starts one proxy in front of one backend, both on ports that the system chooses.
fn start_proxy(fleet: &mut Fleet, backend: SocketAddr) -> (harness::process::Process, Discovery) {
    let listing = Listing { id: "b-0".into(), address: backend, ..Listing::default() };
    let discovery = Discovery::start(vec![listing], 1).expect("discovery starts");
    let config = harness::config(&harness::settings(0, 1, 0.4), &discovery.known(), 7);
    (fleet.proxy(&config, discovery.agent(0)).expect("a proxy starts"), discovery)
}

/// Sends one `status-check` request to `address`; returns the status, or the kind of the I/O error.
fn send_request(address: SocketAddr, timeout: Duration) -> Result<u16, ErrorKind> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(|e| e.kind())?;
    stream.set_read_timeout(Some(timeout)).map_err(|e| e.kind())?;
    let text = "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: 00000000000000aa\r\nX-Lane: status-check\r\n\
                X-Org: default\r\nX-Remaining-Ms: 1000\r\n\r\n";
    stream.write_all(text.as_bytes()).map_err(|e| e.kind())?;
    let mut first_byte = [0u8; 1];
    match stream.read(&mut first_byte) {
        Ok(0) => return Err(ErrorKind::UnexpectedEof),
        Ok(_) => {}
        Err(error) => return Err(error.kind()),
    }
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(|e| e.kind())?;
    let line = format!("{}{line}", first_byte[0] as char);
    Ok(line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0))
}

/// Whether the process `pid` is running; a zombie is not.
fn is_running(pid: u32) -> bool {
    let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else { return false };
    // The state follows the closing parenthesis of the command name.
    stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().next()).is_some_and(|s| s != "Z")
}

/// Whether the connection was reset or closed, as opposed to an answer or a timeout.
fn is_reset_or_closed(result: Result<u16, ErrorKind>) -> bool {
    matches!(result, Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::UnexpectedEof))
}

fn wait_until(description: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "{description}: not within {timeout:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_child_that_hangs_past_the_deadline_is_killed_and_fails_the_test() {
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend starts");
    let mut fleet = harness::fleet(Duration::from_millis(800));
    let (mut proxy, _discovery) = start_proxy(&mut fleet, backend.address());
    // A stopped process can neither answer nor exit by itself; only the watchdog ends it.
    proxy.signal(Signal::SIGSTOP);
    assert_eq!(proxy.wait_exit(Duration::from_secs(10)), Some(false), "killed at the deadline");
    assert!(fleet.deadline_passed(), "the fleet reports that its deadline has passed");
    let caught = std::panic::catch_unwind(|| fleet.check_deadline());
    assert!(caught.is_err(), "a test that continues past its deadline fails");
}

/// Not a test of its own: `a_test_killed_midway_leaves_no_process` runs it as a child. It starts a proxy, prints
/// the proxy's pid and hangs until it is killed (at most 30 s).
#[test]
#[ignore = "run as a child by a_test_killed_midway_leaves_no_process"]
fn helper_starts_a_proxy_and_hangs() {
    if std::env::var_os(HELPER_VARIABLE).is_none() {
        return;
    }
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend starts");
    let mut fleet = harness::fleet(Duration::from_secs(30));
    let (proxy, _discovery) = start_proxy(&mut fleet, backend.address());
    println!("pid {}", proxy.id().expect("started"));
    std::thread::sleep(Duration::from_secs(30));
}

#[test]
fn a_test_killed_midway_leaves_no_process() {
    let mut helper = Command::new(std::env::current_exe().expect("the test binary"))
        .args(["--ignored", "--exact", "harness_faults::helper_starts_a_proxy_and_hangs", "--nocapture"])
        .env(HELPER_VARIABLE, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the helper starts");
    let mut out = BufReader::new(helper.stdout.take().expect("piped"));
    let mut pid = None;
    let mut line = String::new();
    while pid.is_none() && out.read_line(&mut line).is_ok_and(|n| n > 0) {
        pid = line.trim().strip_prefix("pid ").and_then(|p| p.parse::<u32>().ok());
        line.clear();
    }
    let pid = pid.expect("the helper prints the pid of its proxy");
    assert!(is_running(pid), "the helper's proxy runs");
    // The test process ends at once: nothing unwinds and no `Drop` runs.
    helper.kill().expect("the helper is killed");
    helper.wait().expect("the helper is reaped");
    wait_until("the orphaned proxy ends", Duration::from_secs(5), || !is_running(pid));
}

#[test]
fn a_restarted_proxy_is_reached_at_its_old_address_through_its_relay() {
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend starts");
    let mut fleet = harness::fleet(Duration::from_secs(30));
    let (mut first, _d1) = start_proxy(&mut fleet, backend.address());
    let relay = Relay::start(first.address()).expect("a relay starts");
    let timeout = Duration::from_secs(3);
    assert_eq!(send_request(relay.address(), timeout), Ok(200));
    first.kill();
    // Nothing listens on the dead process's port, so the relay resets the connection.
    let refused = send_request(relay.address(), timeout);
    assert!(is_reset_or_closed(refused), "{refused:?}");
    // The new process gets another port; the relay's address stays.
    let (second, _d2) = start_proxy(&mut fleet, backend.address());
    assert_ne!(second.address(), relay.address());
    relay.retarget(second.address());
    assert_eq!(send_request(relay.address(), timeout), Ok(200));
    fleet.check_deadline();
}

#[test]
fn each_fault_of_the_relay_has_its_documented_effect() {
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend starts");
    let relay = Relay::start(backend.address()).expect("a relay starts");
    let timeout = Duration::from_millis(400);
    assert_eq!(send_request(relay.address(), timeout), Ok(200), "the request passes");

    relay.set(Fault::Delay(Duration::from_millis(150)));
    let start = Instant::now();
    assert_eq!(send_request(relay.address(), Duration::from_secs(2)), Ok(200));
    assert!(start.elapsed() >= Duration::from_millis(300), "delayed both ways: {:?}", start.elapsed());

    relay.set(Fault::Drop { one_in: 1 });
    let dropped = send_request(relay.address(), timeout);
    assert!(is_reset_or_closed(dropped), "not dropped at once: {dropped:?}");

    relay.set(Fault::BlackHole);
    let hung = send_request(relay.address(), timeout);
    assert!(matches!(hung, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "no timeout: {hung:?}");
    let request_count = backend.seen().len();

    relay.set(Fault::Cut);
    let cut = send_request(relay.address(), timeout);
    assert!(matches!(cut, Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)), "not reset: {cut:?}");

    // An open connection is reset, and the next request on it fails.
    relay.set(Fault::Pass);
    let mut open_stream = TcpStream::connect(relay.address()).expect("connects");
    open_stream.set_read_timeout(Some(Duration::from_secs(2))).expect("timeout set");
    let mut reader = BufReader::new(open_stream.try_clone().expect("cloned"));
    open_stream.write_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    assert_eq!(http::read(&mut reader).map(|m| m.status()), Ok(200));
    relay.reset();
    let end = open_stream.write_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n").and_then(|()| {
        let mut byte = [0u8; 1];
        open_stream.read(&mut byte)
    });
    let end = end.map_err(|e| e.kind());
    assert!(matches!(end, Err(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)), "not reset: {end:?}");
    assert_eq!(backend.seen().len(), request_count, "nothing passes while the relay is black-holed or cut");
    let counts = relay.counts();
    assert!(counts.reset.load(std::sync::atomic::Ordering::Relaxed) >= 2);
    assert!(counts.dropped.load(std::sync::atomic::Ordering::Relaxed) >= 1);
}

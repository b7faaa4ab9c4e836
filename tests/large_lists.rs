//! Runs a proxy of a fleet of 1,300 backends and 1,300 proxies whose names have the maximum length: it reads the lists,
//! and its memory stays within its limit.
#![cfg(target_os = "linux")]

use fleet_testbed::process::Fleet;
use serde::Serialize;
use serde_json::ser::{PrettyFormatter, Serializer};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Far longer than any step takes, even on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const BACKENDS: usize = 1_300;
const ZONES: usize = 300;
/// The maximum number of characters of a name (`registry::store`).
const MAX_NAME_CHARS: usize = 128;
/// The maximum memory of a proxy, in kB.
const MAX_MEMORY_KB: u64 = 32 << 10;
/// The number of complete lists, which are sent in succession.
const LIST_COUNT: u64 = 5;

/// Returns a name of the maximum length.
fn name(kind: &str, number: usize) -> String {
    format!("{kind}-{number:0>width$}", width = MAX_NAME_CHARS - kind.len() - 1)
}

/// Returns the list as JSON, with each backend at `address`; compact, or indented if `indent` is given.
fn list(generation: u64, address: SocketAddr, indent: Option<&[u8]>) -> String {
    let instances: Vec<Value> = (0..BACKENDS)
        .map(|n| {
            json!({"instanceId": name("s", n), "hostPort": address.to_string(), "zone": name("z", n % ZONES),
                   "machineType": name("m", n % 7), "cell": n / 4, "lifecycle": "SERVING",
                   "weight": 1.25, "startedAtMs": 0})
        })
        .collect();
    let list = json!({"generation": generation, "reset": true, "instances": instances});
    let Some(indent) = indent else { return list.to_string() };
    let mut text = Vec::new();
    let formatter = PrettyFormatter::with_indent(indent);
    list.serialize(&mut Serializer::with_formatter(&mut text, formatter)).unwrap();
    String::from_utf8(text).unwrap()
}

fn settings(proxy_count: usize) -> Value {
    let zones: Vec<String> = (0..ZONES).map(|n| name("z", n)).collect();
    json!({
        "caps": {"cancel": true, "connect-timeout": 5.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "second-copies": true},
        "classes": [{"name": "look", "effect": "free", "on-time": 20.0, "hard-limit": 20.0}],
        "me": proxy_count - 1, "n-instances": proxy_count, "quantum": 0.005, "registry-mode": "automatic",
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "tier": 1, "zone": zones[0], "zones": zones
    })
}

fn read_head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Serves each connection on its own thread. `answer` returns the body for a request head; `None` means no response.
fn serve(answer: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Some(head) = read_head(&mut stream) {
                    let Some(body) = answer(&head) else { continue };
                    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.get_mut().write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a discovery that sends all complete lists, and notifies the receiver when it is polled for more.
fn discovery(backend: SocketAddr, indent: Option<&'static [u8]>) -> (SocketAddr, Receiver<()>) {
    let (notify, notified) = channel();
    let address = serve(move |head| {
        let since = head.split("since=").nth(1)?.split('&').next()?;
        let since: u64 = since.parse().ok()?;
        if since < LIST_COUNT {
            return Some(list(since + 1, backend, indent));
        }
        let _ = notify.send(());
        None
    });
    (address, notified)
}

/// Sends `count` requests in succession and asserts that each response is a 200.
fn send_requests(proxy: SocketAddr, first: usize, count: usize) {
    let stream = TcpStream::connect(proxy).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let mut stream = BufReader::new(stream);
    for n in first..first + count {
        let text = format!(
            "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {n:016x}\r\nX-Lane: look\r\nX-Remaining-Ms: 20000\r\n\r\n"
        );
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        let head = read_head(&mut stream).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "request {n}: {head}");
        let mut body = [0; 5];
        stream.read_exact(&mut body).unwrap();
        assert_eq!(&body, b"hello");
    }
}

/// The peak memory of a process, in kB.
fn peak_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Runs one of 1,300 proxies, and a single proxy, which uses all backends. The list is known at the start and then sent
/// five times, compact or indented by two or four spaces.
#[test]
fn a_proxy_serves_1300_backends_within_32_mb() {
    let backend = serve(|_| Some("hello".into()));
    for (proxy_count, indent) in [(BACKENDS, None), (BACKENDS, Some(b"  ".as_slice())), (1, Some(b"    "))] {
        let (discovery, all_applied) = discovery(backend, indent);
        let known: Value = serde_json::from_str(&list(0, backend, None)).unwrap();
        let config = json!({"name": "n0", "seed": "8c1f30d27a5be964", "settings": settings(proxy_count),
                            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 1024}, "known": known});
        let mut fleet = Fleet::new(
            Path::new(env!("CARGO_BIN_EXE_linkhatch-proxy")),
            Path::new(env!("CARGO_TARGET_TMPDIR")),
            2 * STEP_TIMEOUT,
        );
        let proxy = fleet.proxy(&config.to_string(), discovery).expect("starts");
        all_applied.recv_timeout(STEP_TIMEOUT).expect("all lists are applied");
        send_requests(proxy.address(), 1, 2 * BACKENDS);
        let (bytes, peak) = (list(1, backend, indent).len(), peak_kb(proxy.id().unwrap()));
        println!("{proxy_count} proxies, a list of {bytes} bytes: {peak} kB at the peak");
        assert!(peak < MAX_MEMORY_KB, "{peak} kB");
    }
}

//! A fake discovery that implements `PROTOCOL` ("Discovery"): `GET /api/targets`, and watches with `since` and
//! `timeout_ms`. It replaces the project's list service until the harness uses that.
//!
//! As in `PROTOCOL`, each proxy has its own agent. Each agent has its own listener, and all serve one list. An agent
//! records when it wrote each version; from then on that proxy counts as notified of the change.

use super::http::{self, ReadError};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The longest timeout of a watch that `PROTOCOL` allows.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A backend's list entry; by default it serves and started long ago.
#[derive(Clone, Debug)]
pub struct Listing {
    /// `instanceId`.
    pub id: String,
    /// `hostPort`.
    pub address: SocketAddr,
    /// `SERVING` or `DRAINING`.
    pub lifecycle: &'static str,
    /// `startedAtMs`.
    pub started_ms: f64,
    /// `zone`.
    pub zone: String,
}

impl Default for Listing {
    fn default() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Self { id: String::new(), address, lifecycle: "SERVING", started_ms: 0.0, zone: "a".into() }
    }
}

#[derive(Default)]
struct List {
    generation: u64,
    entries: Vec<Listing>,
    /// For each agent, the versions that it wrote and when it first wrote them.
    notifications: Vec<Vec<(u64, Instant)>>,
}

struct Shared {
    list: Mutex<List>,
    changed: Condvar,
}

/// The fake discovery and its agents.
pub struct Discovery {
    shared: Arc<Shared>,
    agents: Vec<SocketAddr>,
}

impl Discovery {
    /// Starts `agents` agents on loopback ports that the system chooses, all serving this list at version 1.
    pub fn start(entries: Vec<Listing>, agents: usize) -> std::io::Result<Self> {
        let list = List { generation: 1, entries, notifications: vec![Vec::new(); agents] };
        let shared = Arc::new(Shared { list: Mutex::new(list), changed: Condvar::new() });
        let mut addresses = Vec::new();
        for agent in 0..agents {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let shared = shared.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let shared = shared.clone();
                    std::thread::spawn(move || serve(stream, agent, &shared));
                }
            });
        }
        Ok(Self { shared, agents: addresses })
    }

    /// The address of agent `n`.
    pub fn agent(&self, n: usize) -> SocketAddr {
        self.agents[n]
    }

    /// The current list, in the form of the last known list in a proxy's configuration.
    pub fn known(&self) -> Value {
        let list = self.shared.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        body(&list)
    }

    /// Changes the lifecycle of one entry; returns the new version.
    pub fn set_lifecycle(&self, id: &str, lifecycle: &'static str) -> u64 {
        self.change(id, |entry| entry.lifecycle = lifecycle)
    }

    /// Sets the start time of one entry, in Unix milliseconds; returns the new version.
    pub fn set_started(&self, id: &str, started_ms: f64) -> u64 {
        self.change(id, |entry| entry.started_ms = started_ms)
    }

    fn change(&self, id: &str, update: impl Fn(&mut Listing)) -> u64 {
        let mut list = self.shared.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        list.entries.iter_mut().filter(|e| e.id == id).for_each(update);
        list.generation += 1;
        self.shared.changed.notify_all();
        list.generation
    }

    /// When agent `n` first wrote version `generation` or a later one; `None` if it has not.
    pub fn notified_at(&self, n: usize, generation: u64) -> Option<Instant> {
        let list = self.shared.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        list.notifications[n].iter().find(|(g, _)| *g >= generation).map(|(_, at)| *at)
    }
}

fn body(list: &List) -> Value {
    let entry = |e: &Listing| {
        json!({"instanceId": e.id, "hostPort": e.address.to_string(), "zone": e.zone, "machineType": "m",
               "cell": 0, "lifecycle": e.lifecycle, "weight": 1.0, "startedAtMs": e.started_ms})
    };
    json!({"generation": list.generation, "reset": true,
           "instances": list.entries.iter().map(entry).collect::<Vec<_>>()})
}

/// A query parameter as a number.
fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve(stream: TcpStream, agent: usize, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let message = match http::read(&mut reader) {
            Ok(message) => message,
            Err(ReadError::Malformed) => {
                let _ = writer.write_all(&http::answer(400, "Bad Request", "", b""));
                return;
            }
            Err(_) => return,
        };
        let (method, target) = message.method_target();
        if method != "GET" || !target.starts_with("/api/targets") {
            if writer.write_all(&http::answer(404, "Not Found", "", b"")).is_err() {
                return;
            }
            continue;
        }
        let timeout = parameter(target, "timeout_ms")
            .map(Duration::from_millis)
            .unwrap_or_default()
            .min(MAX_WATCH_TIMEOUT);
        let deadline = Instant::now() + timeout;
        let mut list = shared.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(since) = parameter(target, "since") {
            // A watch waits for a change or for its timeout.
            while list.generation <= since && Instant::now() < deadline {
                let remaining = deadline.saturating_duration_since(Instant::now());
                list = shared
                    .changed
                    .wait_timeout(list, remaining)
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .0;
            }
        }
        let text = body(&list).to_string();
        let generation = list.generation;
        drop(list);
        let headers = "Content-Type: application/json\r\n";
        if writer.write_all(&http::answer(200, "OK", headers, text.as_bytes())).is_err() {
            return;
        }
        // Only the first write of each version counts as the notification.
        let mut list = shared.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if list.notifications[agent].last().map(|(g, _)| *g) != Some(generation) {
            list.notifications[agent].push((generation, Instant::now()));
        }
    }
}

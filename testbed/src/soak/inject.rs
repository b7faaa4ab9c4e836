//! Makes the faults of a plan happen, and lifts them.

use super::ledger::{ColdStart, Drain, Span, open};
use super::list_service::Writes;
use super::plan::{Fault, Kind};
use super::signals::Suspension;
use super::stage::{Stage, lock};
use super::world::{World, world};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a connection of a crowd may take.
const CROWD_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a crowd opens the connections anew that were closed.
const CROWD_INTERVAL: Duration = Duration::from_millis(20);
/// A proxy may take this long to notice that a crowd has left.
const CROWD_AFTERMATH: Duration = Duration::from_millis(200);

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Stage {
    /// A list-service node whose disk fails while it takes writes.
    fn disk(&self, rule: &str, fault: &Fault) {
        let data = self.scratch.path().join("node");
        let config = format!("listen = \"127.0.0.1:0\"\ndata_dir = \"{}\"\n", data.display());
        let (from, to) = ((fault.at * 1e3) as u64, ((fault.at + fault.length) * 1e3) as u64);
        let start = |rules: Vec<String>| {
            let mut fleet = lock(&self.fleet);
            fleet.set_environment(self.environment(rules, self.plan.seed));
            fleet.registry(&config)
        };
        let node = match start(vec![format!("{rule}:{from}-{to}")]) {
            Ok(node) => node,
            Err(error) => return self.broken(format!("the list service does not start: {error}")),
        };
        let address = node.address();
        *lock(&self.node) = Some(node);
        let ledger = self.ledger.clone();
        self.looped.spawn(move || async move {
            let Some(world) = world() else { return };
            let writes = Writes::new(address, ledger);
            *world.writes.borrow_mut() = Some(writes.clone());
            writes.play().await;
        });
        let works_at = self.start + Duration::from_millis(to);
        while Instant::now() < works_at {
            let ended = lock(&self.node).as_mut().and_then(|node| node.wait_exit(Duration::from_millis(1)));
            if ended.is_some() {
                // Killed in the middle of a write: it starts again on what its disk holds.
                match start(Vec::new()) {
                    Ok(node) => {
                        let address = node.address();
                        *lock(&self.node) = Some(node);
                        self.looped.spawn(move || async move {
                            let writes = world().and_then(|world| world.writes.borrow().clone());
                            writes.iter().for_each(|writes| writes.address.set(address));
                        });
                    }
                    Err(error) => {
                        return self.broken(format!("the list service does not start again: {error}"));
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.looped.spawn(move || async move {
            let writes = world().and_then(|world| world.writes.borrow().clone());
            writes.iter().for_each(|writes| writes.works_at.set(Some(Instant::now())));
        });
    }

    /// Makes one fault happen, and lifts it.
    pub(super) fn inject(&self, fault: &Fault) {
        let length = Duration::from_secs_f64(fault.length);
        match fault.kind.clone() {
            Kind::Stop { proxy, suspended_after, suspended_for, before, after } => {
                let suspension = Suspension { after: suspended_after, length: suspended_for };
                self.stop(proxy, suspension, &before, &after);
            }
            Kind::Crowd { proxy, connections } => self.crowd(proxy, connections, length),
            Kind::Kill { proxy } => self.kill(proxy),
            Kind::Suspend { proxy } => self.suspend_and_resume(proxy, fault.length),
            Kind::Reload { proxy } => self.reload(proxy),
            Kind::DiscoveryDown => {
                let from = Instant::now();
                self.on_world(|world| world.discovery.set_silent(true));
                std::thread::sleep(length);
                let proxies = self.plan.proxies;
                self.on_world(move |world| {
                    world.discovery.unheard(proxies, from, Instant::now());
                    world.discovery.set_silent(false);
                });
            }
            Kind::DiscoveryResets => self.on_world(|world| world.discovery.reset()),
            Kind::Drain { backend, count } => {
                self.each(backend, count, drain);
                std::thread::sleep(length);
                self.each(backend, count, |world, n| {
                    world.discovery.change(n, |entry| entry.lifecycle = "DELETED");
                });
            }
            Kind::ColdStart { backend } | Kind::WallClock { backend, .. } => {
                self.each(backend, 1, cold_start);
            }
            Kind::Backends { backend, count, how } => {
                self.each(backend, count, move |world, n| world.backends[n].behave(Some(how)));
                std::thread::sleep(length);
                self.each(backend, count, |world, n| world.backends[n].behave(None));
            }
            Kind::Clients { how } => {
                self.on_world(move |world| world.clients.manner.set(Some(how)));
                std::thread::sleep(length);
                self.on_world(|world| world.clients.manner.set(None));
            }
            Kind::Disk { rule } => self.disk(&rule, fault),
            Kind::Calls { .. } => {} // the preload library keeps its own time
        }
    }

    /// Acts on `count` backends from one on, but never on the last one left.
    fn each(&self, first: usize, count: usize, act: impl Fn(&World, usize) + Send + 'static) {
        let backends = self.plan.backends;
        self.on_world(move |world| {
            (0..count.min(backends - 1)).for_each(|n| act(world, (first + n) % backends));
        });
    }

    /// Opens idle connections to a proxy, and keeps them for `length`; one that is closed is opened again.
    fn crowd(&self, proxy: usize, connections: usize, length: Duration) {
        let address = lock(&self.addresses)[proxy];
        let from = Instant::now();
        let mut open_streams: Vec<TcpStream> = Vec::new();
        while from.elapsed() < length {
            open_streams.retain(is_open);
            while open_streams.len() < connections && from.elapsed() < length {
                let Ok(stream) = TcpStream::connect_timeout(&address, CROWD_CONNECT_TIMEOUT) else { break };
                if stream.set_nonblocking(true).is_ok() {
                    open_streams.push(stream);
                }
            }
            std::thread::sleep(CROWD_INTERVAL);
        }
        drop(open_streams);
        open(&self.ledger).crowded.push(Span { proxy, from, to: Instant::now() + CROWD_AFTERMATH });
    }
}

/// Whether the other side has not ended a connection that it sends nothing on.
fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    matches!(stream.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn drain(world: &World, backend: usize) {
    world.backends[backend].drain(true);
    let generation = world.discovery.change(backend, |entry| entry.lifecycle = "DRAINING");
    open(&world.ledger).drains.push(Drain { backend, generation, at: Instant::now(), until: None });
}

fn cold_start(world: &World, backend: usize) {
    let at = Instant::now();
    let generation = world.discovery.change(backend, |entry| entry.started_ms = unix_ms());
    open(&world.ledger).cold_starts.push(ColdStart { backend, generation, at });
}

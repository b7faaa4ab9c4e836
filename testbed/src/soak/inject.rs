//! Injects the faults of a plan, and lifts them.

use super::ledger::{ColdStart, Drain, Span, lock_ledger};
use super::list_service::RegistrationWriter;
use super::plan::{Fault, FaultKind};
use super::signals::Suspension;
use super::stage::{Harness, lock};
use super::world::{World, world};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long opening a connection of a crowd may take.
const CROWD_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The interval at which a crowd reopens connections that were closed.
const CROWD_INTERVAL: Duration = Duration::from_millis(20);
/// How long a proxy may take to notice that a crowd has left.
const CROWD_LEAVE_TOLERANCE: Duration = Duration::from_millis(200);

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Harness {
    /// Runs a list-service node whose disk fails during registrations.
    fn fail_disk(&self, rule: &str, fault: &Fault) {
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
            Err(error) => return self.report_violation(format!("the list service did not start: {error}")),
        };
        let address = node.address();
        *lock(&self.node) = Some(node);
        let ledger = self.ledger.clone();
        self.event_loop.spawn(move || async move {
            let Some(world) = world() else { return };
            let writer = RegistrationWriter::new(address, ledger);
            *world.writer.borrow_mut() = Some(writer.clone());
            writer.run().await;
        });
        let recovery_at = self.start + Duration::from_millis(to);
        while Instant::now() < recovery_at {
            let ended = lock(&self.node).as_mut().and_then(|node| node.wait_exit(Duration::from_millis(1)));
            if ended.is_some() {
                // The fault killed it in the middle of a write: it restarts with the data on its disk.
                match start(Vec::new()) {
                    Ok(node) => {
                        let address = node.address();
                        *lock(&self.node) = Some(node);
                        self.event_loop.spawn(move || async move {
                            let writer = world().and_then(|world| world.writer.borrow().clone());
                            writer.iter().for_each(|writer| writer.address.set(address));
                        });
                    }
                    Err(error) => {
                        return self.report_violation(format!("the list service did not restart: {error}"));
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.event_loop.spawn(move || async move {
            let writer = world().and_then(|world| world.writer.borrow().clone());
            writer.iter().for_each(|writer| writer.disk_recovered_at.set(Some(Instant::now())));
        });
    }

    /// Injects one fault, and lifts it.
    pub(super) fn inject(&self, fault: &Fault) {
        let length = Duration::from_secs_f64(fault.length);
        match fault.kind.clone() {
            FaultKind::Stop { proxy, suspended_after, suspended_for, before, after } => {
                let suspension = Suspension { after: suspended_after, length: suspended_for };
                self.stop(proxy, suspension, &before, &after);
            }
            FaultKind::Crowd { proxy, connections } => self.crowd(proxy, connections, length),
            FaultKind::StalledPeers { proxy, peers, head_bytes, body_bytes } => {
                self.on_world(move |world| {
                    let part: Rc<[u8]> = world.clients.stalled_request(head_bytes, body_bytes).into();
                    for _ in 0..peers {
                        let part = part.clone();
                        let clients = world.clients.clone();
                        tokio::task::spawn_local(async move { clients.stall_after(proxy, &part).await });
                    }
                });
                std::thread::sleep(length);
            }
            FaultKind::Kill { proxy } => self.kill(proxy),
            FaultKind::Suspend { proxy } => self.suspend_and_resume(proxy, fault.length),
            FaultKind::Reload { proxy } => self.reload(proxy),
            FaultKind::DiscoveryDown => {
                let from = Instant::now();
                self.on_world(|world| world.discovery.set_silent(true));
                std::thread::sleep(length);
                let proxies = self.plan.proxies;
                self.on_world(move |world| {
                    world.discovery.record_outage(proxies, from, Instant::now());
                    world.discovery.set_silent(false);
                });
            }
            FaultKind::DiscoverySlow { min_delay, max_delay } => {
                self.on_world(move |world| world.discovery.set_delays(Some(min_delay..=max_delay)));
                std::thread::sleep(length);
                self.on_world(|world| world.discovery.set_delays(None));
            }
            FaultKind::DiscoveryResets => self.on_world(|world| world.discovery.end_watches()),
            FaultKind::Drain { backend, count, still_serves } => {
                self.for_backends(backend, count, move |world, n| drain(world, n, still_serves));
                std::thread::sleep(length);
                self.for_backends(backend, count, |world, n| {
                    world.discovery.change(n, |entry| entry.lifecycle = "DELETED");
                });
            }
            FaultKind::ColdStart { backend } | FaultKind::WallClock { backend, .. } => {
                self.for_backends(backend, 1, cold_start);
            }
            FaultKind::Backends { backend, count, misbehaviour } => {
                self.for_backends(backend, count, move |world, n| {
                    world.backends[n].set_misbehaviour(Some(misbehaviour));
                });
                std::thread::sleep(length);
                self.for_backends(backend, count, |world, n| world.backends[n].set_misbehaviour(None));
            }
            FaultKind::Clients { misbehaviour } => {
                self.on_world(move |world| world.clients.misbehaviour.set(Some(misbehaviour)));
                std::thread::sleep(length);
                self.on_world(|world| world.clients.misbehaviour.set(None));
            }
            FaultKind::Disk { rule } => self.fail_disk(&rule, fault),
            FaultKind::SystemCalls { .. } => {} // the preload library applies its rules by itself
        }
    }

    /// Runs `act` for `count` backends, beginning at `first`, but for fewer than all backends.
    fn for_backends(&self, first: usize, count: usize, act: impl Fn(&World, usize) + Send + 'static) {
        let backends = self.plan.backends;
        self.on_world(move |world| {
            (0..count.min(backends - 1)).for_each(|n| act(world, (first + n) % backends));
        });
    }

    /// Opens idle connections to a proxy and keeps them open for `length`; one that is closed is reopened.
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
        lock_ledger(&self.ledger).crowded.push(Span {
            proxy,
            from,
            to: Instant::now() + CROWD_LEAVE_TOLERANCE,
        });
    }
}

/// Whether the other side, which sends nothing, has not closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    matches!(stream.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn drain(world: &World, backend: usize, still_serves: bool) {
    world.backends[backend].set_draining(!still_serves);
    let generation = world.discovery.change(backend, |entry| entry.lifecycle = "DRAINING");
    lock_ledger(&world.ledger).drains.push(Drain {
        backend,
        generation,
        changed_at: Instant::now(),
        restored_at: None,
    });
}

fn cold_start(world: &World, backend: usize) {
    let started_at = Instant::now();
    let generation = world.discovery.change(backend, |entry| entry.started_ms = unix_ms());
    lock_ledger(&world.ledger).cold_starts.push(ColdStart { backend, generation, started_at });
}

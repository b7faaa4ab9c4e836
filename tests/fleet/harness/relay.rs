//! A fault relay: a TCP relay of our own put between two processes, whose link it can delay, drop,
//! reset, black-hole and cut. It listens on a port that the system chooses and keeps that address while
//! its target moves (`retarget`), so a process restarted on a new port is still reached where it was.
//!
//! The faults mean what `PROTOCOL` ("The network") says of real ones: a dead process resets its
//! connections and refuses new ones (`Cut`); a machine that vanishes keeps open connections open and
//! silent and lets no new one come up (`BlackHole`), and resets them once it is back.

use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Most connections that one relay holds at once; more are closed at once and counted.
pub const MOST_CONNECTIONS: usize = 512;
/// Most connections whose time one relay records.
pub const MOST_TIMES: usize = 100_000;
/// Longest wait for the target to take a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);

/// What the relay does to its link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Bytes pass as they come.
    Pass,
    /// Each piece of bytes, either way, passes this much later.
    Delay(Duration),
    /// Every n-th new connection is closed at once after it was accepted, never reaching the target; the
    /// others pass. Counted, not random, so a run is the same each time.
    Drop {
        /// The n: 1 drops all.
        one_in: u64,
    },
    /// New connections are accepted and hear nothing; bytes on open ones are swallowed both ways.
    /// Lifting it resets the connections that it held.
    BlackHole,
    /// Open connections are reset now, and each new one is reset as it comes, until lifted.
    Cut,
}

/// Counts of what the relay did, for a test's report.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// When, for the first `MOST_TIMES` of them.
    pub times: Mutex<Vec<Instant>>,
    /// Connections closed for the `Drop` fault or for `MOST_CONNECTIONS`.
    pub dropped: AtomicU64,
    /// Connections reset by `reset`, `Cut`, or the lifting of `BlackHole`.
    pub reset: AtomicU64,
    /// Bytes swallowed by `BlackHole`.
    pub swallowed: AtomicU64,
}

struct Link {
    client: TcpStream,
    target: Option<TcpStream>,
    /// Set before a reset, so that the pumps end without passing on a clean end first.
    aborted: AtomicBool,
}

struct Shared {
    fault: Mutex<Fault>,
    target: Mutex<SocketAddr>,
    links: Mutex<Vec<Arc<Link>>>,
    counts: Counts,
    ended: AtomicBool,
}

/// A relay in front of one target. Dropping it resets all that it holds.
pub struct Relay {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Relay {
    /// Starts relaying from a new loopback port to `target`.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            fault: Mutex::new(Fault::Pass),
            target: Mutex::new(target),
            links: Mutex::new(Vec::new()),
            counts: Counts::default(),
            ended: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(listener, accepting));
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it did so far.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Sends new connections to `target` from now on; open ones stay where they are.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Puts a fault on the link, or lifts one with `Fault::Pass`.
    pub fn set(&self, fault: Fault) {
        let before = std::mem::replace(&mut *lock(&self.shared.fault), fault);
        if fault == Fault::Cut || (before == Fault::BlackHole && fault != Fault::BlackHole) {
            self.reset();
        }
    }

    /// Resets every open connection now (RST to both sides); the fault stays as it is.
    pub fn reset(&self) {
        let links = std::mem::take(&mut *lock(&self.shared.links));
        for link in links {
            self.shared.counts.reset.fetch_add(1, Ordering::Relaxed);
            link.aborted.store(true, Ordering::SeqCst);
            abort(&link.client);
            if let Some(target) = &link.target {
                abort(target);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        self.reset();
        // Wakes the accepting thread so that it sees the end.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_WITHIN);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Makes the last close of this socket a reset, and wakes whoever reads it: their reads end, they drop
/// their handles, and the kernel sends RST.
fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut number = 0u64;
    for client in listener.incoming() {
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        let Ok(client) = client else { continue };
        number += 1;
        shared.counts.accepted.fetch_add(1, Ordering::Relaxed);
        let mut times = lock(&shared.counts.times);
        if times.len() < MOST_TIMES {
            times.push(Instant::now());
        }
        drop(times);
        let _ = client.set_nodelay(true);
        let fault = *lock(&shared.fault);
        let full = lock(&shared.links).len() >= MOST_CONNECTIONS;
        match fault {
            Fault::Drop { one_in } if one_in > 0 && number.is_multiple_of(one_in) => {
                shared.counts.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            _ if full => {
                shared.counts.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            Fault::Cut => {
                shared.counts.reset.fetch_add(1, Ordering::Relaxed);
                abort(&client);
                continue;
            }
            Fault::BlackHole => {
                hold(client, &shared);
                continue;
            }
            _ => {}
        }
        let target = *lock(&shared.target);
        let shared = shared.clone();
        std::thread::spawn(move || {
            let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_WITHIN) else {
                // The target refused or never came up: so does the relay, by a reset.
                abort(&client);
                return;
            };
            let _ = server.set_nodelay(true);
            pair(client, server, &shared);
        });
    }
}

/// Keeps a connection that hears nothing; it is reset when the black hole is lifted.
fn hold(client: TcpStream, shared: &Arc<Shared>) {
    let Ok(reader) = client.try_clone() else { return };
    lock(&shared.links).push(Arc::new(Link { client, target: None, aborted: AtomicBool::new(false) }));
    let shared = shared.clone();
    std::thread::spawn(move || swallow(reader, &shared));
}

fn swallow(mut reader: TcpStream, shared: &Shared) {
    let mut buffer = [0u8; 16 << 10];
    while let Ok(n @ 1..) = reader.read(&mut buffer) {
        shared.counts.swallowed.fetch_add(n as u64, Ordering::Relaxed);
    }
}

fn pair(client: TcpStream, server: TcpStream, shared: &Arc<Shared>) {
    let clones = (client.try_clone(), server.try_clone());
    let (Ok(client_out), Ok(server_out)) = clones else { return };
    let link = Arc::new(Link { client, target: Some(server), aborted: AtomicBool::new(false) });
    lock(&shared.links).push(link.clone());
    let (Ok(client_in), Ok(server_in)) = (link.client.try_clone(), server_out.try_clone()) else { return };
    let up = {
        let (shared, link) = (shared.clone(), link.clone());
        std::thread::spawn(move || pump(client_in, server_out, &shared, &link))
    };
    pump(server_in, client_out, shared, &link);
    let _ = up.join();
    lock(&shared.links).retain(|l| !Arc::ptr_eq(l, &link));
}

/// Moves bytes one way until either side ends, under the fault of the moment.
fn pump(mut from: TcpStream, mut to: TcpStream, shared: &Shared, link: &Link) {
    let mut buffer = [0u8; 16 << 10];
    loop {
        let n = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        // Bytes read after a reset are not passed on: on Linux a read after shutdown may still return
        // what arrived meanwhile.
        if link.aborted.load(Ordering::SeqCst) {
            break;
        }
        match *lock(&shared.fault) {
            Fault::BlackHole => {
                shared.counts.swallowed.fetch_add(n as u64, Ordering::Relaxed);
                continue;
            }
            Fault::Delay(by) => std::thread::sleep(by),
            _ => {}
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    // An end passes on as an end, and the other pump then ends too; a reset stays a reset.
    if !link.aborted.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}

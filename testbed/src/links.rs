//! Links: TCP relays between two processes, which can delay, drop, reset or swallow the traffic, also in one direction
//! only. Each listens on a port that the system chooses and keeps that address when its target changes
//! ([`Relay::retarget`]), so a process restarted on a new port is reached at the same address.
//!
//! The faults correspond to the real ones in `PROTOCOL` ("The network"): a dead process resets its connections and
//! refuses new ones (`Cut`); a machine that vanishes leaves open connections open and silent, establishes no new ones
//! (`BlackHole`), and resets them once it is back.

use crate::rt::Loop;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of open connections of a relay; further ones are closed at once and counted.
pub const MAX_CONNECTIONS: usize = 512;
/// Maximum number of connections whose time a relay records.
pub const MAX_RECORDED_TIMES: usize = 100_000;
/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The fault of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault: bytes pass unchanged.
    Pass,
    /// Each chunk of bytes, in either direction, is delayed by this duration.
    Delay(Duration),
    /// One in `one_in` new connections is closed at once after it was accepted, without reaching the target; the
    /// others pass. Counted, not random, so that runs are repeatable.
    Drop {
        /// The interval; 1 drops all connections.
        one_in: u64,
    },
    /// New connections are accepted but get no answer; bytes on open ones are swallowed in both directions.
    /// Lifting the fault resets the connections.
    BlackHole,
    /// The same for bytes to the target only; bytes from the target pass.
    BlackHoleTo,
    /// The same for bytes from the target only; bytes to the target pass.
    BlackHoleFrom,
    /// Open connections are reset at once, and each new one is reset when accepted, until the fault is lifted.
    Cut,
}

impl Fault {
    fn swallows(self, to_target: bool) -> bool {
        match self {
            Fault::BlackHole => true,
            Fault::BlackHoleTo => to_target,
            Fault::BlackHoleFrom => !to_target,
            _ => false,
        }
    }

    fn is_black_hole(self) -> bool {
        matches!(self, Fault::BlackHole | Fault::BlackHoleTo | Fault::BlackHoleFrom)
    }
}

/// Counters of a relay's activity.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// When they were accepted, for the first `MAX_RECORDED_TIMES` of them.
    pub times: Mutex<Vec<Instant>>,
    /// Connections closed because of the `Drop` fault or `MAX_CONNECTIONS`.
    pub dropped: AtomicU64,
    /// Connections reset by `reset`, by `Cut`, or when a black hole was lifted.
    pub reset: AtomicU64,
    /// Bytes swallowed by a black hole.
    pub swallowed: AtomicU64,
    /// Bytes passed to the target.
    pub bytes_to_target: AtomicU64,
    /// Chunks in which they were read: a small request is one chunk.
    pub pieces_to_target: AtomicU64,
    /// Bytes passed from the target.
    pub bytes_from_target: AtomicU64,
}

impl Counts {
    /// Counts a chunk that passes.
    fn pass(&self, to_target: bool, bytes: u64) {
        if to_target {
            self.bytes_to_target.fetch_add(bytes, Ordering::Relaxed);
            self.pieces_to_target.fetch_add(1, Ordering::Relaxed);
        } else {
            self.bytes_from_target.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// A callback that gets each chunk of bytes that passes from the target.
pub type Tap = Arc<dyn Fn(&[u8]) + Send + Sync>;

struct Shared {
    fault: Mutex<Fault>,
    target: Mutex<SocketAddr>,
    counts: Counts,
    open: AtomicU64,
    /// Incremented by each reset, which ends the connections opened before.
    resets: watch::Sender<u64>,
    is_dropped: AtomicBool,
    tap: Option<Tap>,
}

/// A relay in front of one target. Dropping it resets its connections.
pub struct Relay {
    shared: Arc<Shared>,
    address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Relay {
    /// Starts relaying from a new loopback port to `target`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_with(target, None)
    }

    /// Does the same, with a callback for the bytes that the target sends.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start_with(target: SocketAddr, tap: Option<Tap>) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            fault: Mutex::new(Fault::Pass),
            target: Mutex::new(target),
            counts: Counts::default(),
            open: AtomicU64::new(0),
            resets: watch::channel(0).0,
            is_dropped: AtomicBool::new(false),
            tap,
        });
        let accepting = shared.clone();
        Loop::shared().spawn(move || async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept(listener, accepting).await;
            }
        });
        Ok(Self { shared, address })
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its counters.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Sends new connections to `target` from now on; open ones are not affected.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Sets the fault of the link; `Fault::Pass` lifts it.
    pub fn set(&self, fault: Fault) {
        let previous = std::mem::replace(&mut *lock(&self.shared.fault), fault);
        if fault == Fault::Cut || (previous.is_black_hole() && previous != fault) {
            self.reset();
        }
    }

    /// Resets every open connection (RST to both sides); the fault does not change.
    pub fn reset(&self) {
        self.shared.counts.reset.fetch_add(self.shared.open.load(Ordering::SeqCst), Ordering::Relaxed);
        self.shared.resets.send_modify(|n| *n += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_dropped.store(true, Ordering::SeqCst);
        self.reset();
    }
}

/// Sets the socket to be reset, not closed cleanly, when it is closed.
pub fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let (mut number, mut resets) = (0u64, shared.resets.subscribe());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = resets.changed() => {
                if shared.is_dropped.load(Ordering::SeqCst) {
                    return;
                }
                continue;
            }
        };
        let Ok((client, _)) = accepted else {
            // Usually out of descriptors: wait to avoid a busy loop.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        number += 1;
        let counts = &shared.counts;
        counts.accepted.fetch_add(1, Ordering::Relaxed);
        let mut times = lock(&counts.times);
        if times.len() < MAX_RECORDED_TIMES {
            times.push(Instant::now());
        }
        drop(times);
        let _ = client.set_nodelay(true);
        let fault = *lock(&shared.fault);
        let drops = matches!(fault, Fault::Drop { one_in } if one_in > 0 && number.is_multiple_of(one_in));
        if drops || shared.open.load(Ordering::SeqCst) >= MAX_CONNECTIONS as u64 {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        if fault == Fault::Cut {
            counts.reset.fetch_add(1, Ordering::Relaxed);
            abort(&client);
            continue;
        }
        let (serving, mut reset) = (shared.clone(), shared.resets.subscribe());
        reset.mark_unchanged();
        shared.open.fetch_add(1, Ordering::SeqCst);
        tokio::task::spawn_local(async move {
            serve(client, &serving, fault, reset).await;
            serving.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve(client: TcpStream, shared: &Arc<Shared>, fault: Fault, mut reset: watch::Receiver<u64>) {
    if fault.swallows(true) {
        // The target is not connected; bytes are swallowed until the black hole is lifted.
        let swallowing = async {
            let mut buffer = [0u8; 4096];
            while let Ok(()) = client.readable().await {
                match client.try_read(&mut buffer) {
                    Ok(0) => break,
                    Ok(n) => drop(shared.counts.swallowed.fetch_add(n as u64, Ordering::Relaxed)),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        let lifted = tokio::select! {
            () = swallowing => false,
            _ = reset.changed() => true,
        };
        if lifted {
            abort(&client);
        }
        return;
    }
    let target = *lock(&shared.target);
    let connected = tokio::select! {
        connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target)) => connected,
        _ = reset.changed() => return abort(&client),
    };
    let Ok(Ok(server)) = connected else {
        // The target refused the connection or did not answer: the relay resets its client.
        return abort(&client);
    };
    let _ = server.set_nodelay(true);
    abort(&client);
    abort(&server);
    // Borrowed halves: an owned one would shut its direction down cleanly when dropped, before the reset.
    let (mut client, mut server) = (client, server);
    let is_clean_end = {
        let ((client_in, client_out), (server_in, server_out)) = (client.split(), server.split());
        let both = async {
            tokio::join!(
                pump(client_in, server_out, shared, true),
                pump(server_in, client_out, shared, false)
            )
        };
        tokio::select! {
            _ = both => true,
            _ = reset.changed() => false,
        }
    };
    // The linger option, which turns every other end into a reset, is removed so that a clean end closes cleanly.
    if is_clean_end {
        for stream in [&client, &server] {
            let _ = SockRef::from(stream).set_linger(None);
        }
    }
}

/// Copies bytes in one direction until either side ends, applying the current fault.
async fn pump(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, shared: &Shared, to_target: bool) {
    let mut buffer = vec![0u8; 16 << 10];
    loop {
        let n = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        let fault = *lock(&shared.fault);
        if fault.swallows(to_target) {
            shared.counts.swallowed.fetch_add(n as u64, Ordering::Relaxed);
            continue;
        }
        if let Fault::Delay(by) = fault {
            tokio::time::sleep(by).await;
        }
        if !to_target && let Some(tap) = &shared.tap {
            tap(&buffer[..n]);
        }
        shared.counts.pass(to_target, n as u64);
        if to.write_all(&buffer[..n]).await.is_err() {
            break;
        }
    }
    // The end is passed on, so that the other direction ends too.
    let _ = to.shutdown().await;
}

//! A fake backend: answers every request 200 with its name after a fixed service time, and records each
//! request with the time of its first byte, so that a test can count copies and late sends.

use super::http::{self, ReadError};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Most connections served at once; more are closed at once, as a full backend would.
pub const MOST_CONNECTIONS: usize = 256;
/// Most requests recorded; more are answered but not recorded, and `overflowed` says so.
pub const MOST_RECORDED: usize = 100_000;
/// How long a connection may stay idle before the backend closes it.
const IDLE_CLOSE: Duration = Duration::from_secs(30);

/// One request as the backend saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its first byte was read.
    pub at: Instant,
    /// `X-Txn`, or empty.
    pub txn: String,
    /// `X-Lane`, or empty.
    pub lane: String,
}

struct Shared {
    name: String,
    service: Duration,
    seen: Mutex<Vec<Seen>>,
    open: AtomicUsize,
    overflowed: AtomicUsize,
}

/// A running fake backend; its threads end when the process does.
pub struct Backend {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Backend {
    /// Starts one on a loopback port that the system chooses.
    pub fn start(name: &str, service: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.to_string(),
            service,
            seen: Mutex::new(Vec::new()),
            open: AtomicUsize::new(0),
            overflowed: AtomicUsize::new(0),
        });
        let serving = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.open.fetch_add(1, Ordering::SeqCst) >= MOST_CONNECTIONS {
                    serving.open.fetch_sub(1, Ordering::SeqCst);
                    continue;
                }
                let serving = serving.clone();
                std::thread::spawn(move || {
                    serve(stream, &serving);
                    serving.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name, as its answers carry it.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Every request recorded so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Requests that came past `MOST_RECORDED`.
    pub fn overflowed(&self) -> usize {
        self.shared.overflowed.load(Ordering::Relaxed)
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_read_timeout(Some(IDLE_CLOSE));
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
        let (_, target) = message.method_target();
        let body = if target.starts_with("/-/") {
            // Probes: healthy, and no load report.
            b"ok".to_vec()
        } else {
            let seen = Seen {
                at: message.began,
                txn: message.header("x-txn").unwrap_or("").to_string(),
                lane: message.header("x-lane").unwrap_or("").to_string(),
            };
            let mut all = shared.seen.lock().unwrap_or_else(|e| e.into_inner());
            if all.len() < MOST_RECORDED {
                all.push(seen);
            } else {
                shared.overflowed.fetch_add(1, Ordering::Relaxed);
            }
            drop(all);
            std::thread::sleep(shared.service);
            // The request's own id comes back, so that a client can tell its answer from another's.
            format!("{} served by {}", message.header("x-txn").unwrap_or(""), shared.name).into_bytes()
        };
        if writer.write_all(&http::answer(200, "OK", "", &body)).is_err() {
            return;
        }
    }
}

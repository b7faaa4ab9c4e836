//! A simple fake backend for tests: it answers every request with status 200 and its name after a fixed time, and
//! records each request with the time of its first byte, so that a test can count duplicates and late requests.
//! Experiments use the backends of [`crate::backend`] instead.

use crate::http::{Conn, ReadError, answer};
use crate::rt::Loop;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of open connections; further ones are closed at once, as by a full backend.
pub const MAX_CONNECTIONS: usize = 256;
/// Maximum number of recorded requests; further ones are answered and counted in `overflowed`, but not recorded.
pub const MAX_RECORDED: usize = 100_000;
/// How long a connection may stay idle before the backend closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A recorded request.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// When its first byte was read.
    pub at: Instant,
    /// The value of `X-Txn`, or empty.
    pub txn: String,
    /// The value of `X-Lane`, or empty.
    pub lane: String,
}

struct Shared {
    name: String,
    service: Duration,
    seen: Mutex<Vec<RecordedRequest>>,
    open: AtomicUsize,
    overflowed: AtomicUsize,
}

/// A running fake backend; it runs until the process ends.
pub struct Backend {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Shared {
    fn seen(&self) -> MutexGuard<'_, Vec<RecordedRequest>> {
        self.seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Backend {
    /// Starts a backend on a loopback port that the system chooses.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(name: &str, service: Duration) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.to_string(),
            service,
            seen: Mutex::default(),
            open: AtomicUsize::new(0),
            overflowed: AtomicUsize::new(0),
        });
        let serving = shared.clone();
        Loop::shared().spawn(move || async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            loop {
                match listener.accept().await {
                    Ok((stream, _)) if serving.open.load(Ordering::SeqCst) < MAX_CONNECTIONS => {
                        let serving = serving.clone();
                        serving.open.fetch_add(1, Ordering::SeqCst);
                        tokio::task::spawn_local(async move {
                            serve(stream, &serving).await;
                            serving.open.fetch_sub(1, Ordering::SeqCst);
                        });
                    }
                    Ok(_) => {}
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        });
        Ok(Self { shared, address })
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name, which its answers contain.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// The requests recorded so far.
    pub fn seen(&self) -> Vec<RecordedRequest> {
        self.shared.seen().clone()
    }

    /// The number of requests beyond `MAX_RECORDED`.
    pub fn overflowed(&self) -> usize {
        self.shared.overflowed.load(Ordering::Relaxed)
    }
}

async fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut conn = Conn::new(stream);
    loop {
        let message = match tokio::time::timeout(IDLE_TIMEOUT, conn.read()).await {
            Ok(Ok(message)) => message,
            Ok(Err(ReadError::Malformed)) => {
                let _ = conn.write(&answer(400, "Bad Request", "", b"")).await;
                return;
            }
            Ok(Err(_)) | Err(_) => return,
        };
        let (_, target) = message.method_target();
        let body = if target.starts_with("/-/") {
            // A health probe: answered as healthy, without a load report.
            b"ok".to_vec()
        } else {
            let header = |name: &str| message.header(name).unwrap_or("").to_string();
            let (txn, lane) = (header("x-txn"), header("x-lane"));
            // The answer contains the request's id, so that a client can detect an answer to another request.
            let body = format!("{txn} served by {}", shared.name).into_bytes();
            let full = {
                let mut seen = shared.seen();
                let full = seen.len() >= MAX_RECORDED;
                if !full {
                    seen.push(RecordedRequest { at: message.started_at, txn, lane });
                }
                full
            };
            shared.overflowed.fetch_add(usize::from(full), Ordering::Relaxed);
            if !shared.service.is_zero() {
                tokio::time::sleep(shared.service).await;
            }
            body
        };
        if conn.write(&answer(200, "OK", "", &body)).await.is_err() {
            return;
        }
    }
}

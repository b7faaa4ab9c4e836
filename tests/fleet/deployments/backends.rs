//! Backends of a deployment: each serves a request in its class's service time, has a limit of connections, and can be
//! made to hang, with the requests in progress and those that arrive later.

use super::site::Site;
use crate::harness::http::{Conn, Message, answer};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// The requests that all backends of a deployment received.
#[derive(Default)]
struct ReceivedRequests {
    /// How often each request arrived, by its `X-Txn`.
    requests: HashMap<String, usize>,
    /// The requests that hang now.
    hanging: Vec<String>,
    /// The backend and the `X-Txn` of each request, in order of arrival.
    order: Vec<(usize, String)>,
}

/// The state of one backend.
struct Backend {
    number: usize,
    service_times: HashMap<String, Duration>,
    max_connections: usize,
    connections: Cell<usize>,
    hangs: watch::Receiver<bool>,
    received: Arc<Mutex<ReceivedRequests>>,
}

/// The backends of a deployment, on a thread of their own that ends with the process.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    hangs: Vec<watch::Sender<bool>>,
    received: Arc<Mutex<ReceivedRequests>>,
}

fn lock(received: &Mutex<ReceivedRequests>) -> MutexGuard<'_, ReceivedRequests> {
    received.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Backends {
    /// Starts a deployment's backends on loopback ports that the system chooses.
    pub fn start(site: &Site) -> Self {
        let received: Arc<Mutex<ReceivedRequests>> = Arc::default();
        let (mut addresses, mut hangs, mut starts) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..site.backends() {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port");
            listener.set_nonblocking(true).expect("a listener that does not block");
            addresses.push(listener.local_addr().expect("a bound address"));
            let (hang, hung) = watch::channel(false);
            hangs.push(hang);
            starts.push((listener, hung));
        }
        let service_times: HashMap<String, Duration> =
            site.classes.iter().map(|class| (class.name.clone(), class.service_time())).collect();
        let (max_connections, shared) = (site.connections_per_backend(), received.clone());
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let backend = |number, hangs| Backend {
                    number,
                    service_times: service_times.clone(),
                    max_connections,
                    connections: Cell::new(0),
                    hangs,
                    received: shared.clone(),
                };
                for (number, (listener, hangs)) in starts.into_iter().enumerate() {
                    tokio::task::spawn_local(accept(listener, Rc::new(backend(number, hangs))));
                }
                std::future::pending::<()>().await;
            });
        });
        Self { addresses, hangs, received }
    }

    /// The addresses of the backends.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Makes these backends hang, and no others.
    pub fn hang(&self, backends: &[usize]) {
        for (n, hang) in self.hangs.iter().enumerate() {
            hang.send_replace(backends.contains(&n));
        }
    }

    /// `count` backends: those that received a request whose `X-Txn` satisfies `predicate`, the latest first, and then
    /// others.
    pub fn latest_used(&self, count: usize, predicate: impl Fn(&str) -> bool) -> Vec<usize> {
        let received = lock(&self.received);
        let used = received.order.iter().rev().filter(|(_, txn)| predicate(txn)).map(|(backend, _)| *backend);
        let mut chosen = Vec::new();
        for backend in used.chain(0..self.hangs.len()) {
            if chosen.len() < count && !chosen.contains(&backend) {
                chosen.push(backend);
            }
        }
        chosen
    }

    /// Whether the `X-Txn` of a request that hangs now satisfies `predicate`.
    pub fn is_hanging(&self, predicate: impl Fn(&str) -> bool) -> bool {
        lock(&self.received).hanging.iter().any(|txn| predicate(txn))
    }

    /// How often a request arrived.
    pub fn times_received(&self, txn: &str) -> usize {
        lock(&self.received).requests.get(txn).copied().unwrap_or(0)
    }
}

async fn accept(listener: std::net::TcpListener, backend: Rc<Backend>) {
    let listener = TcpListener::from_std(listener).expect("a listener of this runtime");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let backend = backend.clone();
        tokio::task::spawn_local(async move {
            backend.connections.set(backend.connections.get() + 1);
            serve(stream, &backend).await;
            backend.connections.set(backend.connections.get() - 1);
        });
    }
}

/// Serves one connection until it closes. One beyond the limit is rejected with its first request.
async fn serve(stream: TcpStream, backend: &Backend) {
    let exceeds_limit = backend.connections.get() > backend.max_connections;
    let _ = stream.set_nodelay(true);
    let mut connection = Conn::new(stream);
    while let Ok(message) = connection.read().await {
        let bytes = match exceeds_limit {
            true => answer(503, "Service Unavailable", "X-Turned-Away: 1\r\nConnection: close\r\n", b""),
            false => backend.work(&message).await,
        };
        if connection.write(&bytes).await.is_err() || exceeds_limit {
            return;
        }
    }
}

impl Backend {
    fn record(&self, txn: &str) {
        let mut received = lock(&self.received);
        *received.requests.entry(txn.to_string()).or_default() += 1;
        received.order.push((self.number, txn.to_string()));
    }

    /// The answer to a request, after its service time and once the backend no longer hangs.
    async fn work(&self, message: &Message) -> Vec<u8> {
        let header = |name: &str| message.header(name).unwrap_or_default();
        let txn = header("x-txn");
        self.record(txn);
        let service_time = self.service_times.get(header("x-lane")).copied().unwrap_or_default();
        tokio::time::sleep(service_time).await;
        let mut hangs = self.hangs.clone();
        if *hangs.borrow() {
            lock(&self.received).hanging.push(txn.to_string());
            // The sender lives as long as the test; without it no request hangs.
            let _ = hangs.wait_for(|hangs| !hangs).await;
            lock(&self.received).hanging.retain(|hanging| hanging != txn);
        }
        answer(200, "OK", "", format!("{txn} served").as_bytes())
    }
}

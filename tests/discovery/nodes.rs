//! Nodes of a discovery service, and a proxy's client of them.

use linkhatch_proxy::proxy::discovery::Discovery;
use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::settings::ProxySettings;
use linkhatch_proxy::{Class, Settings};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// A test fails if a change has not arrived after this time.
const MAX_TEST_WAIT: Duration = Duration::from_secs(120);

/// How a node handles a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollBehavior {
    /// Answers with the list: at once if it is newer than the proxy's, otherwise when the proxy's wait is over.
    Answer,
    /// Reads the poll and does not answer.
    Hang,
    /// Closes the connection.
    Close,
    /// Answers 503.
    Reject,
    /// Stops in the middle of the list.
    Truncate,
}

/// A discovery service with one or more nodes that share one list.
pub struct Nodes {
    pub addresses: Vec<SocketAddr>,
    pub behaviors: Vec<Cell<PollBehavior>>,
    /// The behavior for the next polls at any node, last first; `behaviors` applies once this is empty.
    pub next_behaviors: RefCell<Vec<PollBehavior>>,
    pub generation: Cell<u64>,
    /// The node that was polled last.
    pub last_polled: Cell<usize>,
    pub poll_count: Cell<usize>,
    /// How long the first byte of an answer is delayed, beyond the wait of its poll.
    pub head_delay: Cell<Duration>,
    /// How long the second half of a list is delayed after the first.
    pub body_delay: Cell<Duration>,
    pub open_connections: Cell<usize>,
    /// The latest generation whose list was written to the end, whether or not the proxy has read it.
    pub written_generation: Cell<u64>,
}

impl Nodes {
    pub async fn start(count: usize) -> Rc<Self> {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let nodes = Rc::new(Self {
            addresses: listeners.iter().map(|l| l.local_addr().unwrap()).collect(),
            behaviors: vec![Cell::new(PollBehavior::Answer); count],
            next_behaviors: RefCell::default(),
            generation: Cell::new(1),
            last_polled: Cell::new(0),
            poll_count: Cell::new(0),
            head_delay: Cell::default(),
            body_delay: Cell::default(),
            open_connections: Cell::new(0),
            written_generation: Cell::new(0),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let nodes = nodes.clone();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(nodes.clone().serve(number, stream));
                }
            });
        }
        nodes
    }

    /// Serves a connection until its polls end, and counts it as open until the proxy has closed it.
    async fn serve(self: Rc<Self>, number: usize, stream: TcpStream) {
        // A held-back second half of a list would take real time, in which the paused clock runs on.
        stream.set_nodelay(true).unwrap();
        self.open_connections.set(self.open_connections.get() + 1);
        self.serve_polls(number, stream).await;
        self.open_connections.set(self.open_connections.get() - 1);
    }

    async fn serve_polls(&self, number: usize, mut stream: TcpStream) {
        let mut received = Vec::new();
        loop {
            while !received.ends_with(b"\r\n\r\n") {
                match stream.read_buf(&mut received).await {
                    Ok(1..) => {}
                    _ => return,
                }
            }
            let request = String::from_utf8(std::mem::take(&mut received)).unwrap();
            let parameter = |name: &str| -> u64 {
                let value = request.split(name).nth(1).unwrap();
                value.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
            };
            let (since, wait) = (parameter("since="), parameter("timeout_ms="));
            self.last_polled.set(number);
            self.poll_count.set(self.poll_count.get() + 1);
            let next = { self.next_behaviors.borrow_mut().pop() };
            let behavior = next.unwrap_or_else(|| self.behaviors[number].get());
            if behavior == PollBehavior::Answer && self.generation.get() <= since {
                let changed = async {
                    while self.generation.get() <= since {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                let _ = tokio::time::timeout(Duration::from_millis(wait), changed).await;
            }
            let generation = self.generation.get();
            let list = json!({"generation": generation, "reset": true, "instances": []}).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            match behavior {
                PollBehavior::Answer => {
                    // A list whose body is not late is written at once: the second of two writes would fail if the
                    // proxy had closed the connection.
                    let split_at = if self.body_delay.get().is_zero() { list.len() } else { list.len() / 2 };
                    let (first, second) = list.split_at(split_at);
                    if !write_late(&mut stream, self.head_delay.get(), &format!("{head}{first}")).await
                        || !write_late(&mut stream, self.body_delay.get(), second).await
                    {
                        return;
                    }
                    self.written_generation.set(generation.max(self.written_generation.get()));
                }
                PollBehavior::Close => return,
                PollBehavior::Reject => {
                    let rejection = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(rejection).await.unwrap();
                }
                PollBehavior::Hang | PollBehavior::Truncate => {
                    let part = format!("{head}{}", &list[..list.len() / 2]);
                    let written = if behavior == PollBehavior::Truncate { part.as_bytes() } else { b"" };
                    stream.write_all(written).await.unwrap();
                    let _ = stream.read(&mut [0]).await; // open until the proxy cancels the poll
                    return;
                }
            }
        }
    }

    /// Waits until there was another poll after the first `count`.
    pub async fn wait_for_poll_after(&self, count: usize) {
        while self.poll_count.get() == count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Changes the list; returns its new generation.
    pub fn change(&self) -> u64 {
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }
}

/// Writes `text` after `delay`, whether or not the proxy has closed the connection; returns whether it was written.
async fn write_late(stream: &mut TcpStream, delay: Duration, text: &str) -> bool {
    tokio::time::sleep(delay).await;
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Starts a proxy's discovery client. Returns it and the last generation that it was notified of.
pub fn start_client(
    addresses: &[SocketAddr],
    polls_discovery: bool,
    seed: u64,
) -> (Rc<Discovery>, Rc<Cell<u64>>) {
    let settings = Settings {
        classes: vec![Class::default()],
        polls_discovery,
        poll_timeout: 10.0,
        ..Settings::default()
    };
    let proxy_settings = ProxySettings::default();
    let engine = Engine::start(settings.clone(), &proxy_settings, seed, 8);
    let discovery =
        Discovery::start(addresses.to_vec(), Default::default(), None, &proxy_settings, &settings, engine);
    let notified = Rc::new(Cell::new(0));
    let on_notified = notified.clone();
    discovery.on_list(move |generation| on_notified.set(generation));
    (discovery, notified)
}

/// Runs a part of a test on a `LocalSet` of its own, whose tasks end with it.
pub async fn run_local<T>(part: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(part).await
}

/// Waits for the notification of a generation; returns the elapsed time.
pub async fn wait_for(notified: &Cell<u64>, generation: u64) -> Duration {
    let started_at = Instant::now();
    while notified.get() < generation {
        assert!(started_at.elapsed() < MAX_TEST_WAIT, "no notification of generation {generation}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started_at.elapsed()
}

//! Clients of the soak: each sends one request after another on persistent connections, and may misbehave.

use super::ledger::{Class, ClientRequest, Outcome, SharedLedger, StalledPeer, lock_ledger};
use super::plan::ClientMisbehaviour;
use super::plan::MAX_BODY_BYTES;
use crate::http::{Conn, ReadError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// How much longer than its budget a client waits for an answer: an answer that late is useless, but not lost.
const ANSWER_GRACE: Duration = Duration::from_millis(700);
/// How long a stalled peer waits for the end of its connection: more than the 3 s that a proxy is allowed.
const STALLED_PEER_WAIT: Duration = Duration::from_secs(4);
/// The longest pause of a client between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// The pauses of [`ClientMisbehaviour::LongPauses`], in milliseconds: a proxy must not close a connection so early.
const LONG_PAUSE_MS: RangeInclusive<u64> = 200..=1200;

/// The proxies that clients connect to.
pub struct Front {
    /// The address of each proxy.
    pub addresses: RefCell<Vec<SocketAddr>>,
    /// Whether clients open new connections to each proxy.
    pub in_service: RefCell<Vec<bool>>,
}

impl Front {
    /// The first proxy in service, counted from `preferred`; none if there is none.
    fn pick(&self, preferred: usize) -> Option<usize> {
        let in_service = self.in_service.borrow();
        (0..in_service.len()).map(|n| (preferred + n) % in_service.len()).find(|n| in_service[*n])
    }
}

/// An idle connection: its proxy, and since when it is idle.
type IdleConnection = (usize, Conn, Instant);

/// The state that all clients share.
pub struct Clients {
    /// The proxies.
    pub front: Rc<Front>,
    /// Where the clients record their requests.
    pub ledger: SharedLedger,
    /// How they misbehave now, if at all.
    pub misbehaviour: Cell<Option<ClientMisbehaviour>>,
    /// Whether they are to end.
    pub is_stopped: Cell<bool>,
    /// The longest budget of a request, in seconds.
    pub deadline: f64,
    /// The number of ids used so far.
    pub used_ids: Cell<u64>,
}

impl Clients {
    fn next_id(&self) -> u64 {
        self.used_ids.set(self.used_ids.get() + 1);
        0x50a0_0000_0000 + self.used_ids.get()
    }

    fn request_text(&self, id: u64, class: Class, budget: f64) -> Vec<u8> {
        let method = if class == Class::Idempotent { "GET" } else { "POST" };
        let key =
            if class == Class::Keyed { format!("Idempotency-Key: {id:032x}\r\n") } else { String::new() };
        let (length, body) = match class {
            Class::Idempotent => (String::new(), String::new()),
            _ => ("Content-Length: 120\r\n".to_string(), "x".repeat(120)),
        };
        let remaining_ms = (budget * 1000.0) as u64;
        format!(
            "{method} /api HTTP/1.1\r\nHost: app\r\nX-Txn: {id:016x}\r\nX-Lane: {}\r\nX-Org: default\r\n\
             X-Remaining-Ms: {remaining_ms}\r\n{key}{length}\r\n{body}",
            class.name()
        )
        .into_bytes()
    }

    /// Runs one client until all clients are stopped.
    pub async fn run(self: Rc<Self>, preferred: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut idle_connection: Option<IdleConnection> = None;
        while !self.is_stopped.get() {
            tokio::time::sleep(self.pause(&mut rng)).await;
            if self.misbehaviour.get() == Some(ClientMisbehaviour::StopMidway) && rng.random_bool(0.1) {
                self.stop_midway(preferred).await;
                continue;
            }
            let class = [Class::Idempotent, Class::NonIdempotent, Class::Keyed][rng.random_range(0..3)];
            // A request that crosses the close of its connection is sent once more, on a new connection.
            for _ in 0..2 {
                let (is_retried, conn) =
                    self.send_request(preferred, idle_connection.take(), class, &mut rng).await;
                idle_connection = conn;
                if !is_retried {
                    break;
                }
            }
        }
    }

    /// The pause before the next request.
    fn pause(&self, rng: &mut SmallRng) -> Duration {
        let is_long = self.misbehaviour.get() == Some(ClientMisbehaviour::LongPauses) && rng.random_bool(0.5);
        Duration::from_millis(rng.random_range(if is_long { LONG_PAUSE_MS } else { 1..=MAX_PAUSE_MS }))
    }

    /// Makes one request; returns whether it is to be sent once more, and the connection if it stays open.
    async fn send_request(
        &self,
        preferred: usize,
        idle_connection: Option<IdleConnection>,
        class: Class,
        rng: &mut SmallRng,
    ) -> (bool, Option<IdleConnection>) {
        let idle_for = idle_connection.as_ref().map(|connection| connection.2.elapsed().as_secs_f64());
        let (proxy, mut conn) = match idle_connection {
            Some((proxy, conn, _)) => (proxy, conn),
            None => match self.connect(preferred).await {
                Some(new) => new,
                None => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    return (false, None);
                }
            },
        };
        let (id, budget) = (self.next_id(), rng.random_range(0.4..=1.0) * self.deadline);
        let text = self.request_text(id, class, budget);
        if !self.write(&mut conn, &text, rng).await {
            // An incompletely written request was never accepted.
            return (true, None);
        }
        let sent_at = Instant::now();
        let leaves_early = self.misbehaviour.get() == Some(ClientMisbehaviour::Leave) && rng.random_bool(0.3)
            || self.misbehaviour.get() == Some(ClientMisbehaviour::Pipeline) && rng.random_bool(0.1);
        let max_wait = if leaves_early {
            Duration::from_millis(rng.random_range(0..30))
        } else {
            Duration::from_secs_f64(budget) + ANSWER_GRACE
        };
        if self.misbehaviour.get() == Some(ClientMisbehaviour::Pipeline) && conn.write(b"G").await.is_err() {
            return (true, None);
        }
        let read_result = tokio::time::timeout(max_wait, conn.read()).await;
        let pipelined = self.misbehaviour.get() == Some(ClientMisbehaviour::Pipeline);
        let outcome = match &read_result {
            Ok(Ok(answer)) => {
                let is_own_body = answer.status() != 200 || answer.body == format!("{id:016x}").as_bytes();
                Outcome::Answered { status: answer.status(), is_own_body }
            }
            Ok(Err(ReadError::Closed)) => Outcome::Closed,
            Ok(Err(_)) if conn.is_clean() => Outcome::Closed,
            Ok(Err(_)) => Outcome::Truncated,
            Err(_) if leaves_early => Outcome::Abandoned,
            Err(_) => Outcome::TimedOut,
        };
        let ended_at = Instant::now();
        if outcome == Outcome::Abandoned {
            drop(conn);
            lock_ledger(&self.ledger).client_departures.push((id, Instant::now()));
            self.record(ClientRequest { id, proxy, class, sent_at, budget, idle_for, outcome, ended_at });
            return (false, None);
        }
        self.record(ClientRequest { id, proxy, class, sent_at, budget, idle_for, outcome, ended_at });
        let is_reusable = matches!(&read_result, Ok(Ok(answer)) if !answer.closes_connection())
            && !pipelined
            && conn.is_clean();
        (outcome == Outcome::Closed && idle_for.is_some(), is_reusable.then_some((proxy, conn, ended_at)))
    }

    fn record(&self, request: ClientRequest) {
        lock_ledger(&self.ledger).requests.push(request);
    }

    async fn connect(&self, preferred: usize) -> Option<(usize, Conn)> {
        let proxy = self.front.pick(preferred)?;
        let address = *self.front.addresses.borrow().get(proxy)?;
        let connect = tokio::time::timeout(Duration::from_secs(3), TcpStream::connect(address));
        let stream = connect.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some((proxy, Conn::new(stream)))
    }

    async fn write(&self, conn: &mut Conn, text: &[u8], rng: &mut SmallRng) -> bool {
        if self.misbehaviour.get() != Some(ClientMisbehaviour::Pieces) {
            return conn.write(text).await.is_ok();
        }
        let split_at = rng.random_range(1..text.len());
        if conn.write(&text[..split_at]).await.is_err() {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..80))).await;
        conn.write(&text[split_at..]).await.is_ok()
    }

    /// Sends half of a request and waits until the proxy answers or ends the connection.
    async fn stop_midway(&self, preferred: usize) {
        let Some(proxy) = self.front.pick(preferred) else { return };
        let text = self.request_text(self.next_id(), Class::NonIdempotent, self.deadline);
        self.stall_after(proxy, &text[..text.len() / 2]).await;
    }

    /// The beginning of a request: `head_bytes` or more of its head and, if given, `body_bytes` of its body.
    pub fn stalled_request(&self, head_bytes: usize, body_bytes: Option<usize>) -> Vec<u8> {
        let text = self.request_text(self.next_id(), Class::NonIdempotent, self.deadline);
        let text = String::from_utf8_lossy(&text);
        let (first_line, _) = text.split_once("\r\n").unwrap_or((&text, ""));
        let mut part =
            format!("{first_line}\r\nHost: app.svc\r\nContent-Length: {MAX_BODY_BYTES}\r\nX-Long: ");
        part.extend(std::iter::repeat_n('x', head_bytes.saturating_sub(part.len())));
        if let Some(body_bytes) = body_bytes {
            part.push_str("\r\n\r\n");
            part.extend(std::iter::repeat_n('x', body_bytes));
        }
        part.into_bytes()
    }

    /// Sends a part of a request and waits until the proxy answers or ends the connection.
    pub async fn stall_after(&self, proxy: usize, part: &[u8]) {
        let Some(address) = self.front.addresses.borrow().get(proxy).copied() else { return };
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let connected_at = Instant::now();
        let end = tokio::time::timeout(STALLED_PEER_WAIT, async {
            // An error means that the proxy has ended the connection, which reading reports too.
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, part).await;
            let _ = stream.read(&mut [0; 256]).await;
        });
        let ended_at = end.await.ok().map(|()| Instant::now());
        lock_ledger(&self.ledger).stalled_peers.push(StalledPeer { proxy, connected_at, ended_at });
    }
}

//! Clients of the soak: each sends one request after another on kept connections, in the manner of the moment.

use super::ledger::{BadPeer, ClientRequest, End, Lane, Shared, open};
use super::plan::Manner;
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

/// Beyond its time a client waits so much longer: an answer that late only earns nothing.
const GRACE: Duration = Duration::from_millis(700);
/// A peer that sends no whole request is owed an end within 3 s; it waits for longer, to see.
const BAD_PEER_WAITS: Duration = Duration::from_secs(4);
/// The pause of a client between two requests, at most.
const PAUSE_MS: u64 = 60;
/// The pause of a client that rests, in milliseconds: a proxy must not close its connection so early.
const REST_MS: RangeInclusive<u64> = 200..=1200;

/// Which proxies clients may go to, and where they are.
pub struct Front {
    /// Where each proxy listens.
    pub addresses: RefCell<Vec<SocketAddr>>,
    /// Whether new connections go to it.
    pub takes: RefCell<Vec<bool>>,
}

impl Front {
    /// A proxy that takes new connections, beginning at `wanted`.
    fn pick(&self, wanted: usize) -> Option<usize> {
        let takes = self.takes.borrow();
        (0..takes.len()).map(|n| (wanted + n) % takes.len()).find(|n| takes[*n])
    }
}

/// A connection that is kept: to which proxy, and since when it is idle.
type Kept = (usize, Conn, Instant);

/// What all clients share.
pub struct Clients {
    /// The front.
    pub front: Rc<Front>,
    /// What was seen.
    pub ledger: Shared,
    /// Their manner now.
    pub manner: Cell<Option<Manner>>,
    /// They end.
    pub over: Cell<bool>,
    /// The longest time that a request waits, in seconds.
    pub deadline: f64,
    /// Ids used so far.
    pub ids: Cell<u64>,
}

impl Clients {
    fn id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        0x50a0_0000_0000 + self.ids.get()
    }

    fn text(&self, id: u64, lane: Lane, budget: f64) -> Vec<u8> {
        let method = if lane == Lane::Safe { "GET" } else { "POST" };
        let key = if lane == Lane::Keyed { format!("Idempotency-Key: {id:032x}\r\n") } else { String::new() };
        let (length, body) = match lane {
            Lane::Safe => (String::new(), String::new()),
            _ => ("Content-Length: 120\r\n".to_string(), "x".repeat(120)),
        };
        let left = (budget * 1000.0) as u64;
        format!(
            "{method} /api HTTP/1.1\r\nHost: app\r\nX-Txn: {id:016x}\r\nX-Lane: {}\r\nX-Org: default\r\n\
             X-Remaining-Ms: {left}\r\n{key}{length}\r\n{body}",
            lane.name()
        )
        .into_bytes()
    }

    /// One client, until all are over.
    pub async fn play(self: Rc<Self>, home: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut kept: Option<Kept> = None;
        while !self.over.get() {
            tokio::time::sleep(self.pause(&mut rng)).await;
            if self.manner.get() == Some(Manner::StopMidway) && rng.random_bool(0.1) {
                self.stop_midway(home).await;
                continue;
            }
            let lane = [Lane::Safe, Lane::Unsafe, Lane::Keyed][rng.random_range(0..3)];
            // A close that crosses a request is followed by one more request, on a new connection.
            for _ in 0..2 {
                let (again, conn) = self.one(home, kept.take(), lane, &mut rng).await;
                kept = conn;
                if !again {
                    break;
                }
            }
        }
    }

    /// How long a client waits before its next request.
    fn pause(&self, rng: &mut SmallRng) -> Duration {
        let rests = self.manner.get() == Some(Manner::Rest) && rng.random_bool(0.5);
        Duration::from_millis(rng.random_range(if rests { REST_MS } else { 1..=PAUSE_MS }))
    }

    /// One request; whether it is to be made again, and the connection if it is kept.
    async fn one(
        &self,
        home: usize,
        kept: Option<Kept>,
        lane: Lane,
        rng: &mut SmallRng,
    ) -> (bool, Option<Kept>) {
        let idle_for = kept.as_ref().map(|kept| kept.2.elapsed().as_secs_f64());
        let (proxy, mut conn) = match kept {
            Some((proxy, conn, _)) => (proxy, conn),
            None => match self.connect(home).await {
                Some(new) => new,
                None => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    return (false, None);
                }
            },
        };
        let (id, budget) = (self.id(), rng.random_range(0.4..=1.0) * self.deadline);
        let text = self.text(id, lane, budget);
        if !self.write(&mut conn, &text, rng).await {
            // Not written whole: it was never taken.
            return (true, None);
        }
        let sent = Instant::now();
        let leaves = self.manner.get() == Some(Manner::Leave) && rng.random_bool(0.3)
            || self.manner.get() == Some(Manner::Pipeline) && rng.random_bool(0.1);
        let patience = if leaves {
            Duration::from_millis(rng.random_range(0..30))
        } else {
            Duration::from_secs_f64(budget) + GRACE
        };
        if self.manner.get() == Some(Manner::Pipeline) && conn.write(b"G").await.is_err() {
            return (true, None);
        }
        let read = tokio::time::timeout(patience, conn.read()).await;
        let pipelined = self.manner.get() == Some(Manner::Pipeline);
        let end = match &read {
            Ok(Ok(answer)) => {
                let own = answer.status() != 200 || answer.body == format!("{id:016x}").as_bytes();
                End::Answered { status: answer.status(), own }
            }
            Ok(Err(ReadError::Closed)) => End::Closed,
            Ok(Err(_)) if conn.is_clean() => End::Closed,
            Ok(Err(_)) => End::Cut,
            Err(_) if leaves => End::Given,
            Err(_) => End::Silent,
        };
        let ended = Instant::now();
        if end == End::Given {
            drop(conn);
            open(&self.ledger).left.push((id, Instant::now()));
            self.note(ClientRequest { id, proxy, lane, sent, budget, idle_for, end, ended });
            return (false, None);
        }
        self.note(ClientRequest { id, proxy, lane, sent, budget, idle_for, end, ended });
        let keeps = matches!(&read, Ok(Ok(answer)) if !answer.closes()) && !pipelined && conn.is_clean();
        (end == End::Closed && idle_for.is_some(), keeps.then_some((proxy, conn, ended)))
    }

    fn note(&self, one: ClientRequest) {
        open(&self.ledger).requests.push(one);
    }

    async fn connect(&self, home: usize) -> Option<(usize, Conn)> {
        let proxy = self.front.pick(home)?;
        let address = *self.front.addresses.borrow().get(proxy)?;
        let connecting = tokio::time::timeout(Duration::from_secs(3), TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some((proxy, Conn::new(stream)))
    }

    async fn write(&self, conn: &mut Conn, text: &[u8], rng: &mut SmallRng) -> bool {
        if self.manner.get() != Some(Manner::Pieces) {
            return conn.write(text).await.is_ok();
        }
        let cut = rng.random_range(1..text.len());
        if conn.write(&text[..cut]).await.is_err() {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..80))).await;
        conn.write(&text[cut..]).await.is_ok()
    }

    /// Sends a part of a request and stays, until the proxy ends it.
    async fn stop_midway(&self, home: usize) {
        let Some(proxy) = self.front.pick(home) else { return };
        let Some(address) = self.front.addresses.borrow().get(proxy).copied() else { return };
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let connected = Instant::now();
        let text = self.text(self.id(), Lane::Unsafe, self.deadline);
        let part = &text[..text.len() / 2];
        if tokio::io::AsyncWriteExt::write_all(&mut stream, part).await.is_err() {
            return;
        }
        let mut piece = [0; 256];
        let ended = tokio::time::timeout(BAD_PEER_WAITS, stream.read(&mut piece)).await;
        let ended = ended.ok().map(|_| Instant::now());
        open(&self.ledger).bad_peers.push(BadPeer { proxy, connected, ended });
    }
}

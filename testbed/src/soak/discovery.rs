//! The soak's discovery: one list, served by one agent for each proxy. Agents may stop answering, end watches and move.

use super::ledger::{SharedLedger, Span, lock_ledger};
use crate::http::{Conn, answer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long the old address of an agent that has moved keeps its connections open.
const RETIRED_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// A backend as it is listed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The backend's address.
    pub address: SocketAddr,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: &'static str,
    /// When it started, as Unix time in milliseconds; 0 for long ago.
    pub started_ms: f64,
}

/// The list and its agents.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    generation: watch::Sender<u64>,
    is_silent: Cell<bool>,
    /// By how many seconds each answer is late, if discovery is slow.
    delays: RefCell<Option<RangeInclusive<f64>>>,
    rng: RefCell<SmallRng>,
    /// Incremented to end all watches.
    resets: watch::Sender<u64>,
    ledger: SharedLedger,
}

/// The agent of a proxy at one address.
pub struct Agent {
    /// The address that it listens on.
    pub address: SocketAddr,
    is_retired: Rc<Cell<bool>>,
}

impl Discovery {
    /// A discovery with these entries, at generation 1; `seed` is that of the delays of its answers.
    pub fn new(entries: Vec<Entry>, ledger: SharedLedger, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::new(entries),
            generation: watch::channel(1).0,
            is_silent: Cell::new(false),
            delays: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            resets: watch::channel(0).0,
            ledger,
        })
    }

    /// Starts an agent for a proxy.
    ///
    /// # Errors
    /// The system's, where no port is available.
    pub async fn start_agent(self: &Rc<Self>, proxy: usize) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, is_retired) = (listener.local_addr()?, Rc::new(Cell::new(false)));
        let (serving, retired_flag) = (self.clone(), is_retired.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if retired_flag.get() {
                    return; // the listener is dropped, and new connections are refused
                }
                tokio::task::spawn_local(serving.clone().serve_connection(
                    stream,
                    proxy,
                    retired_flag.clone(),
                ));
            }
        });
        Ok(Agent { address, is_retired })
    }

    /// Retires the address of an agent: after a delay it accepts no new connections, and closes open ones.
    pub fn retire(&self, agent: &Agent) {
        let is_retired = agent.is_retired.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETIRED_CLOSE_DELAY).await;
            is_retired.set(true);
        });
    }

    /// Changes one entry, and returns the new generation.
    pub fn change(&self, backend: usize, change: impl FnOnce(&mut Entry)) -> u64 {
        if let Some(entry) = self.entries.borrow_mut().get_mut(backend) {
            change(entry);
        }
        self.generation.send_modify(|generation| *generation += 1);
        *self.generation.borrow()
    }

    /// Stops answering, or ends all watches and answers again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
        self.resets.send_modify(|resets| *resets += u64::from(!is_silent));
    }

    /// Makes each answer late by a time in seconds that is drawn from `delays`, or none.
    pub fn set_delays(&self, delays: Option<RangeInclusive<f64>>) {
        *self.delays.borrow_mut() = delays;
    }

    /// By how much the next answer is late.
    fn draw_delay(&self) -> Duration {
        let delays = self.delays.borrow();
        let delay = delays.as_ref().map(|range| self.rng.borrow_mut().random_range(range.clone()));
        Duration::from_secs_f64(delay.unwrap_or_default())
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Records a span in which discovery did not answer any of `proxies` proxies.
    pub fn record_outage(&self, proxies: usize, from: Instant, to: Instant) {
        lock_ledger(&self.ledger).discovery_outages.extend((0..proxies).map(|proxy| Span {
            proxy,
            from,
            to,
        }));
    }

    /// The whole list.
    pub fn list(&self) -> Value {
        let entries = self.entries.borrow();
        let listed = entries.iter().enumerate().filter(|(_, entry)| entry.lifecycle != "DELETED");
        let listed = listed.map(|(n, entry)| {
            json!({"instanceId": format!("b-{n}"), "hostPort": entry.address.to_string(), "zone": "a",
                   "machineType": "m", "cell": 0, "lifecycle": entry.lifecycle, "weight": 1.0,
                   "startedAtMs": entry.started_ms})
        });
        json!({"generation": *self.generation.borrow(), "reset": true, "instances": listed.collect::<Vec<_>>()})
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, proxy: usize, is_retired: Rc<Cell<bool>>) {
        let mut conn = Conn::new(stream);
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        loop {
            let message = tokio::select! {
                message = conn.read() => message,
                _ = resets.changed() => return,
            };
            let Ok(message) = message else { return };
            let (_, target) = message.method_target();
            let query_number = |name: &str| -> Option<u64> {
                let (_, query) = target.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let (since, wait) = (query_number("since").unwrap_or(0), query_number("timeout_ms").unwrap_or(0));
            let next_answer = async {
                let mut generation = self.generation.subscribe();
                let newer = generation.wait_for(|now| *now > since);
                // After the time-out, the answer is the unchanged list.
                let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
                while self.is_silent.get() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            // A slow answer has what was listed when it was made.
            let late_list = async {
                next_answer.await;
                let list = self.list();
                tokio::time::sleep(self.draw_delay()).await;
                list
            };
            let list = tokio::select! {
                list = late_list => list,
                _ = resets.changed() => return,
            };
            if is_retired.get() {
                return;
            }
            let bytes = answer(200, "OK", "Content-Type: application/json\r\n", list.to_string().as_bytes());
            if conn.write(&bytes).await.is_err() {
                return;
            }
            let generation = list["generation"].as_u64().unwrap_or(0);
            if let Some(notified) = lock_ledger(&self.ledger).notified.get_mut(proxy) {
                notified.push((generation, Instant::now()));
            }
        }
    }
}

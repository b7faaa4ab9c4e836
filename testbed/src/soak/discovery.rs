//! The soak's discovery: an agent for each proxy, over one list, that may fall silent, end its watches and move.

use super::ledger::{Shared, Span, open};
use crate::http::{Conn, answer};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long the old address of a discovery that has moved keeps its connections open.
const MOVED_CLOSE: Duration = Duration::from_millis(1500);

/// One backend as listed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it is.
    pub address: SocketAddr,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub lifecycle: &'static str,
    /// When it started, as Unix time in milliseconds; 0: long ago.
    pub started_ms: f64,
}

/// The list and its agents.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    generation: watch::Sender<u64>,
    silent: Cell<bool>,
    /// Goes up when all watches end.
    resets: watch::Sender<u64>,
    ledger: Shared,
}

/// One address of a proxy's agent.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    gone: Rc<Cell<bool>>,
}

impl Discovery {
    /// A discovery with this list at version 1.
    pub fn new(entries: Vec<Entry>, ledger: Shared) -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::new(entries),
            generation: watch::channel(1).0,
            silent: Cell::new(false),
            resets: watch::channel(0).0,
            ledger,
        })
    }

    /// Starts an agent for a proxy.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn agent(self: &Rc<Self>, proxy: usize) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, gone) = (listener.local_addr()?, Rc::new(Cell::new(false)));
        let (serving, is_gone) = (self.clone(), gone.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if is_gone.get() {
                    return; // the listener goes, and new connections are refused
                }
                tokio::task::spawn_local(serving.clone().serve(stream, proxy, is_gone.clone()));
            }
        });
        Ok(Agent { address, gone })
    }

    /// An agent's address is given up: it takes no new connection, and closes its open ones after a while.
    pub fn leave(&self, agent: &Agent) {
        let gone = agent.gone.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(MOVED_CLOSE).await;
            gone.set(true);
        });
    }

    /// Changes one entry; the new version.
    pub fn change(&self, backend: usize, change: impl FnOnce(&mut Entry)) -> u64 {
        if let Some(entry) = self.entries.borrow_mut().get_mut(backend) {
            change(entry);
        }
        self.generation.send_modify(|generation| *generation += 1);
        *self.generation.borrow()
    }

    /// Silent from now on, or not.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.resets.send_modify(|resets| *resets += u64::from(!silent));
    }

    /// Ends all watches.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Notes a span in which no proxy of `proxies` could hear.
    pub fn unheard(&self, proxies: usize, from: Instant, to: Instant) {
        open(&self.ledger).unheard.extend((0..proxies).map(|proxy| Span { proxy, from, to }));
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

    async fn serve(self: Rc<Self>, stream: TcpStream, proxy: usize, gone: Rc<Cell<bool>>) {
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
            let asked = |name: &str| -> Option<u64> {
                let (_, query) = target.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let (since, wait) = (asked("since").unwrap_or(0), asked("timeout_ms").unwrap_or(0));
            let news = async {
                let mut generation = self.generation.subscribe();
                let newer = generation.wait_for(|now| *now > since);
                // An answer without news says just that.
                let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
                while self.silent.get() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::select! {
                () = news => {}
                _ = resets.changed() => return,
            }
            if gone.get() {
                return;
            }
            let list = self.list();
            let bytes = answer(200, "OK", "Content-Type: application/json\r\n", list.to_string().as_bytes());
            if conn.write(&bytes).await.is_err() {
                return;
            }
            let generation = list["generation"].as_u64().unwrap_or(0);
            if let Some(notified) = open(&self.ledger).notified.get_mut(proxy) {
                notified.push((generation, Instant::now()));
            }
        }
    }
}

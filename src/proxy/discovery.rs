//! Discovery: the watch and fetch calls, and lists in the module's terms.

use super::backend::{self, Peer};
use super::engine::Engine;
use super::listcache::{self, ListCache};
use super::lists::{Lifecycle, RawEntry, RawList};
use super::types::{Clock, ListCall, Listed, News, WireSettings, zone_index};
use crate::{BackendId, Entry, Settings, Status, number_of};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;

/// Longest wait for news that a watch call asks for. What discovery has to tell counts as told 2 s after
/// that wait, and 6 s after it came up, arrived or not: a watch that falls silent, or a list that stops
/// short, must show early enough for a further call, which may meet with the same.
const MOST_WATCH: Duration = Duration::from_secs(2);
/// How much longer than that an answer may take to begin, and then to come whole: discovery is near.
const PATIENCE: Duration = Duration::from_millis(600);
/// Bounds of the wait after a call that failed, where the module doesn't say when to ask again.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// The same where discovery has several addresses: each wait is drawn from the whole backoff ("full jitter"), so
/// that proxies that lost the same node come to the next one spread over the first 300 ms, not together.
const SPREAD: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(1)];
/// Largest list taken in: some 6,000 backends. Read and turned into entries, it needs six times as much
/// memory, of the 32 MB that a proxy may have.
const MOST_BYTES: usize = 1 << 20;

#[derive(Debug, Error)]
enum CallError {
    #[error("no answer in time")]
    Late,
    #[error("the connection ended")]
    Broken,
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("changes up to {0} only, which are known")]
    Stale(u64),
}

/// Names of discovery in the module's terms.
#[derive(Debug)]
struct Translation {
    zones: Vec<String>,
    ids: HashMap<String, BackendId>,
    taken: HashMap<BackendId, String>,
}

impl Translation {
    /// A number for a backend's name, the same at every proxy: they share out the backends by it.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = BackendId(number_of(name));
        while self.taken.contains_key(&id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.taken.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    fn list(&mut self, raw: Vec<RawEntry>, clock: &Clock) -> Vec<Listed> {
        let listed = |raw: RawEntry| Listed {
            entry: Entry {
                id: self.id(&raw.instance_id),
                kind: number_of(&raw.machine_type),
                cell: raw.cell,
                zone: zone_index(&mut self.zones, &raw.zone),
                weight: raw.weight.filter(|w| w.is_finite() && *w >= 0.0).unwrap_or(1.0),
                status: match raw.lifecycle {
                    Lifecycle::Serving => Status::InService,
                    Lifecycle::Draining => Status::Draining,
                    Lifecycle::Deleted => Status::Gone,
                },
                started: (raw.started_at_ms > 0.0).then(|| clock.of_unix(raw.started_at_ms / 1000.0)),
            },
            address: raw.host_port,
        };
        raw.into_iter().map(listed).collect()
    }
}

/// Told of the revision of the list in force.
type ToldOfList = Box<dyn Fn(u64)>;

/// Keeps the engine's list fresh.
///
/// With one address, as the bench gives it, that agent is asked and asked again. With several, the nodes of
/// one list service, it begins at one drawn by its seed, so that the proxies share out over the nodes, and a call
/// that fails moves on to the next after a jittered backoff (`SPREAD`); a whole list older than the one known is refused there, since all nodes count one
/// revision and a node that is behind must not take the proxy back. While none answers, the last list holds.
pub struct Discovery {
    addresses: RefCell<Vec<SocketAddr>>,
    /// The place in `addresses` of the one asked now.
    current: Cell<usize>,
    /// For the jitter of backoffs; seeded from the proxy's seed.
    jitter: RefCell<SmallRng>,
    /// The address is a new one.
    moved: Notify,
    engine: Rc<Engine>,
    /// Told of the revision of the list that is in force.
    on_list: RefCell<Option<ToldOfList>>,
    names: RefCell<Translation>,
    generation: Cell<u64>,
    watching: Cell<bool>,
    /// How long a call waits for news: a discovery that has fallen silent shows after that.
    wait: Duration,
    /// The module says when to call again after a failure.
    asked: bool,
    /// Keeps the list on disk, where the configuration says so.
    cache: Option<Rc<RefCell<ListCache>>>,
}

impl Discovery {
    /// Hands the known list to the engine, and starts the watch where no one has to ask for it.
    pub fn start(
        addresses: Vec<SocketAddr>,
        known: RawList,
        cache: Option<ListCache>,
        wire: &WireSettings,
        settings: &Settings,
        engine: Rc<Engine>,
    ) -> Rc<Self> {
        let zones = wire.zones.clone();
        let names = Translation { zones, ids: HashMap::new(), taken: HashMap::new() };
        let seed = addresses
            .iter()
            .fold(u64::from(settings.me as u32), |h, a| h.rotate_left(7) ^ number_of(&a.to_string()) as u64);
        let mut jitter = SmallRng::seed_from_u64(seed);
        let current = if addresses.len() > 1 { jitter.random_range(0..addresses.len()) } else { 0 };
        let discovery = Rc::new(Self {
            addresses: RefCell::new(addresses),
            current: Cell::new(current),
            jitter: RefCell::new(jitter),
            moved: Notify::new(),
            on_list: RefCell::default(),
            names: RefCell::new(names),
            generation: Cell::new(known.generation),
            watching: Cell::new(false),
            wait: Duration::try_from_secs_f64(settings.ask_within).unwrap_or(MOST_WATCH).min(MOST_WATCH),
            asked: settings.must_watch,
            cache: cache.map(|cache| Rc::new(RefCell::new(cache))),
            engine,
        });
        if let Some(cache) = discovery.cache.clone() {
            tokio::task::spawn_local(listcache::keep(cache));
        }
        let asked = Rc::downgrade(&discovery);
        discovery.engine.set_discovery(move |call| {
            if let Some(discovery) = asked.upgrade() {
                match call {
                    ListCall::Watch(on) => discovery.watch(on),
                    ListCall::Fetch => discovery.fetch(),
                }
            }
        });
        let listed = discovery.names.borrow_mut().list(known.instances, discovery.engine.clock());
        discovery.engine.news(News::Remembered(listed));
        if !settings.must_watch {
            discovery.watch(true);
        }
        discovery
    }

    /// Discovery is at `addresses` from now on. A call that is out is made again there: the old
    /// address may have nothing more to tell.
    pub fn move_to(&self, addresses: Vec<SocketAddr>) {
        if self.addresses.replace(addresses.clone()) != addresses {
            self.current.set(0);
            self.moved.notify_one();
        }
    }

    /// Has `told` told of the revision of the list in force, now and with every answer.
    pub fn on_list(&self, told: impl Fn(u64) + 'static) {
        told(self.generation.get());
        *self.on_list.borrow_mut() = Some(Box::new(told));
    }

    /// The node asked now is behind: the next one is asked from now on.
    pub fn ask_elsewhere(&self) {
        if self.several() {
            self.current.set((self.current.get() + 1) % self.addresses.borrow().len());
            self.moved.notify_one();
        }
    }

    /// The address asked now.
    fn address(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[self.current.get() % addresses.len().max(1)]
    }

    /// Whether there are several nodes to fail over between.
    fn several(&self) -> bool {
        self.addresses.borrow().len() > 1
    }

    /// After a failed call: on to the next node, and the wait before asking it.
    fn fail_over(&self, backoff: Duration) -> Duration {
        if !self.several() {
            return backoff;
        }
        self.current.set((self.current.get() + 1) % self.addresses.borrow().len());
        backoff.mul_f64(self.jitter.borrow_mut().random_range(0.0..=1.0))
    }

    /// Bounds of the wait after a call that failed.
    fn backoffs(&self) -> [Duration; 2] {
        if self.several() { SPREAD } else { BACKOFF }
    }

    /// Begins a watch, if none is on, or ends it.
    pub fn watch(self: &Rc<Self>, on: bool) {
        if on && !self.watching.replace(true) {
            let this = self.clone();
            tokio::task::spawn_local(async move { this.watch_loop().await });
        } else if !on {
            self.watching.set(false);
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let answer = this.call("/api/targets", PATIENCE, &mut None).await;
            this.take(answer);
        });
    }

    /// One call after another: a gap between them would end the watch. Where lists are pushed,
    /// a call that failed is made again after a while; where they must be asked for, the module
    /// is told and says when.
    async fn watch_loop(self: Rc<Self>) {
        let mut peer = None;
        let mut backoff = self.backoffs()[0];
        while self.watching.get() {
            let (since, wait) = (self.generation.get(), self.wait.as_millis());
            let path = format!("/api/targets?since={since}&timeout_ms={wait}");
            let answer = tokio::select! {
                biased; // an answer that has come is taken in
                answer = self.call(&path, self.wait + PATIENCE, &mut peer) => answer,
                () = self.moved.notified() => {
                    (peer, backoff) = (None, self.backoffs()[0]);
                    continue;
                }
            };
            if !self.watching.get() {
                return;
            }
            let good = answer.is_ok();
            if !good && self.asked {
                // Over before the module is told: its next call begins a watch of its own.
                self.watching.set(false);
                return self.take(answer);
            }
            self.take(answer);
            if good {
                backoff = self.backoffs()[0];
            } else {
                // Another node is asked on a new connection.
                peer = if self.several() { None } else { peer };
                let wait = self.fail_over(backoff);
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = self.moved.notified() => backoff = self.backoffs()[0],
                }
                backoff = (2 * backoff).min(self.backoffs()[1]);
            }
        }
    }

    /// Takes in an answer; the last list is kept if there is none that makes sense.
    fn take(&self, answer: Result<RawList, CallError>) {
        match answer {
            Ok(list) => {
                self.generation.set(list.generation);
                if let Some(cache) = &self.cache {
                    cache.borrow_mut().take(&list);
                }
                let listed = self.names.borrow_mut().list(list.instances, self.engine.clock());
                let news = if list.reset { News::Full(listed) } else { News::Changes(listed) };
                self.engine.news(news);
                if let Some(told) = self.on_list.borrow().as_ref() {
                    told(self.generation.get());
                }
            }
            Err(error) => {
                eprintln!("discovery: {error}");
                if self.asked {
                    self.engine.news(News::Refused);
                }
            }
        }
    }

    /// One call, on the connection kept from the last one if there is one.
    async fn call(&self, path: &str, wait: Duration, kept: &mut Option<Peer>) -> Result<RawList, CallError> {
        let called = tokio::time::timeout(wait, async {
            let mut peer = match kept.take().and_then(|peer| peer.checked().ok()) {
                Some(peer) => peer,
                None => backend::connect(self.address(), PATIENCE).await.map_err(CallError::Connect)?,
            };
            let request = Request::get(path).header("host", self.address().to_string());
            let Ok(request) = request.body(Full::new(Bytes::new())) else {
                return Err(CallError::Status(0)); // a path of ours is always valid
            };
            let answer = peer.send(request).await.ok_or(CallError::Broken)?.map_err(|e| e.into_error())?;
            let (status, body) = (answer.status(), Limited::new(answer.into_body(), MOST_BYTES));
            let body = tokio::time::timeout(PATIENCE, peer.drive(body.collect()));
            let body = body.await.map_err(|_| CallError::Late)?.ok_or(CallError::Broken)?;
            let body = body.map_err(CallError::Body)?;
            if !status.is_success() {
                return Err(CallError::Status(status.as_u16()));
            }
            *kept = peer.checked().ok();
            let list: RawList = serde_json::from_slice(&body.to_bytes())?;
            // Taken in, old changes would bring back backends that have since drained. A discovery
            // that has begun anew tells the whole list; nodes of one list service count one revision,
            // and one that is behind is not taken in even whole.
            let anew = list.reset && !self.several();
            match anew || list.generation >= self.generation.get() {
                true => Ok(list),
                false => Err(CallError::Stale(list.generation)),
            }
        });
        called.await.unwrap_or(Err(CallError::Late))
    }
}

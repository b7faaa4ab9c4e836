//! Emulated backends on sockets: the I/O around [`Model`]. Each backend listens on its own port and speaks `PROTOCOL`
//! ("Proxies to backends"). On its event loop runs one task per connection, and one that advances the model's time.

mod shared;

pub use shared::{LinkFault, SharedState};

use crate::http::{Conn, Message, ReadError, answer};
use crate::links::abort;
use crate::model::{Done, Kind, Model, Rejection};
use crate::proxy_pool::ProxyPool;
use crate::record::Sent;
use crate::spec::{Class, Effect};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};

/// The work of a probe, in seconds of a core of speed 1 (brief: 0.093 to 0.19 ms).
const PROBE_WORK_S: f64 = 0.000_14;

/// The active faults of one backend, set by the timeline.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveFaults {
    /// The fraction of requests that fail at once.
    pub failure_share: f64,
    /// The delay of its load reports, in seconds.
    pub report_delay_s: f64,
    /// Whether its load reports always claim that it is idle.
    pub reports_idle: bool,
    /// Whether it is unresponsive: it accepts connections and answers nothing.
    pub is_unresponsive: bool,
}

/// One emulated backend. All its tasks run on one event loop.
pub struct Backend {
    /// Its index among the run's backends.
    pub index: usize,
    /// Its name in the list; each machine that replaces another has a new one.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its failure domain.
    pub failure_domain: u32,
    /// Its tier, from 0.
    pub tier: usize,
    /// Its kind.
    pub kind: Kind,
    shared: Rc<SharedState>,
    model: RefCell<Model>,
    wake: Notify,
    pending: RefCell<HashMap<u64, oneshot::Sender<Done>>>,
    open_connections: Cell<usize>,
    faults: Cell<ActiveFaults>,
    /// Load reports with the time at which each was made, in seconds of the run; oldest first.
    reports: RefCell<VecDeque<(f64, String)>>,
    error_count: Cell<u32>,
    report_interval_s: f64,
    rng: RefCell<SmallRng>,
    sent: RefCell<Sent>,
    /// The list revision that announced its drain, once it drains.
    drain_revision: Cell<Option<u64>>,
    /// Its sidecar proxy, if it calls a next tier.
    next_tier_proxy: RefCell<Option<Rc<ProxyPool>>>,
    dead: watch::Sender<bool>,
    address: Cell<Option<SocketAddr>>,
}

/// The configuration of a backend.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Its index among the run's backends.
    pub index: usize,
    /// Its name in the list.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its failure domain.
    pub failure_domain: u32,
    /// Its tier, from 0.
    pub tier: usize,
    /// Its kind.
    pub kind: Kind,
    /// The speed of each core.
    pub speed: f64,
    /// Whether it has just started, and is in slow start.
    pub cold: bool,
    /// The seed of its random choices.
    pub seed: u64,
    /// The port to listen on; 0 for any free port.
    pub port: u16,
}

impl Backend {
    /// Starts a backend on a loopback port; its tasks run until [`Backend::kill`].
    ///
    /// # Errors
    /// If the port is not available.
    pub async fn start(shared: Rc<SharedState>, config: BackendConfig) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", config.port)).await?;
        let address = listener.local_addr()?;
        let mut rng = SmallRng::seed_from_u64(config.seed);
        let [fast, slow] = config.kind.report_ms;
        let now = shared.record.now();
        let backend = Rc::new(Self {
            index: config.index,
            id: config.id,
            zone: config.zone,
            failure_domain: config.failure_domain,
            tier: config.tier,
            model: RefCell::new(Model::new(config.kind.clone(), config.speed, now, config.cold)),
            kind: config.kind,
            shared,
            wake: Notify::new(),
            pending: RefCell::default(),
            open_connections: Cell::new(0),
            faults: Cell::default(),
            reports: RefCell::default(),
            error_count: Cell::new(0),
            report_interval_s: rng.random_range(fast..=slow.max(fast)) / 1e3,
            rng: RefCell::new(rng),
            sent: RefCell::default(),
            drain_revision: Cell::new(None),
            next_tier_proxy: RefCell::default(),
            dead: watch::channel(false).0,
            address: Cell::new(Some(address)),
        });
        tokio::task::spawn_local(backend.clone().accept(listener));
        tokio::task::spawn_local(backend.clone().run_model());
        tokio::task::spawn_local(backend.clone().make_reports());
        Ok(backend)
    }

    /// The address on which it listens; `None` after [`Backend::kill`].
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Stops it as a crash does: connections are reset, new ones are refused, and requests in flight are lost.
    pub fn kill(&self) {
        self.dead.send_replace(true);
        self.address.set(None);
        self.pending.borrow_mut().clear();
        self.shared.in_flight[self.index].store(0, Ordering::Relaxed);
    }

    /// Whether it has been killed.
    pub fn is_dead(&self) -> bool {
        *self.dead.borrow()
    }

    /// Sets the proxy through which it calls the next tier.
    pub fn set_next_tier_proxy(&self, pool: Rc<ProxyPool>) {
        *self.next_tier_proxy.borrow_mut() = Some(pool);
    }

    /// Advances its model to the current time and changes it.
    pub fn change_model(&self, change: impl FnOnce(&mut Model)) {
        self.advance_model();
        change(&mut self.model.borrow_mut());
        self.wake.notify_one();
    }

    /// Changes its active faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut ActiveFaults)) {
        let mut faults = self.faults.get();
        change(&mut faults);
        self.faults.set(faults);
    }

    /// Sets the list revision that announced its drain.
    pub fn set_drain_revision(&self, revision: u64) {
        self.drain_revision.set(Some(revision));
    }

    /// The load that it received so far, and whether it has failed under load while cold.
    pub fn sent(&self) -> (Sent, bool) {
        (self.sent.borrow().clone(), self.model.borrow().fallen)
    }

    /// The speed of its cores without slowdowns.
    pub fn speed(&self) -> f64 {
        self.model.borrow().speed()
    }

    /// Records that it is listed from now on, or no longer.
    pub fn set_listed(&self, listed: bool) {
        let (now, mut sent) = (self.shared.record.now(), self.sent.borrow_mut());
        match (listed, sent.listed.last_mut()) {
            (true, Some([_, end])) if end.is_infinite() => {}
            (true, _) => sent.listed.push([now, f64::INFINITY]),
            (false, Some([_, end])) if end.is_infinite() => *end = now,
            (false, _) => {}
        }
    }

    /// Advances the model to the current time, and notifies the tasks whose work has ended.
    fn advance_model(&self) {
        let (mut done, was_fallen) = (Vec::new(), self.model.borrow().fallen);
        self.model.borrow_mut().advance(self.shared.record.now(), &mut done);
        if !was_fallen && self.model.borrow().fallen {
            let (id, max_multiple) = (self.id.clone(), self.kind.fall_multiple);
            self.shared.record.violation(|| {
                format!("cold backend {id} was sent more than {max_multiple} times its capacity")
            });
        }
        let mut pending = self.pending.borrow_mut();
        for done in done {
            if let Some(sender) = pending.remove(&done.job) {
                let _ = sender.send(done);
            }
        }
        self.shared.in_flight[self.index].store(self.model.borrow().in_flight(), Ordering::Relaxed);
    }

    async fn run_model(self: Rc<Self>) {
        let mut dead = self.dead.subscribe();
        while !*dead.borrow_and_update() {
            let next_event_at = self.model.borrow().next_event_at();
            let wait = Duration::from_secs_f64((next_event_at - self.shared.record.now()).clamp(0.0, 1.0));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wake.notified() => {}
                _ = dead.changed() => return,
            }
            self.advance_model();
        }
    }

    /// Makes a load report in each `report_interval_s`.
    async fn make_reports(self: Rc<Self>) {
        let mut dead = self.dead.subscribe();
        loop {
            let now = self.shared.record.now();
            let text = {
                let model = self.model.borrow();
                let eps = f64::from(self.error_count.replace(0)) / self.report_interval_s;
                match self.faults.get().reports_idle {
                    true => "{\"inflight\":0,\"queue\":0,\"eps\":0.0}".to_string(),
                    false => format!(
                        "{{\"inflight\":{},\"queue\":{},\"eps\":{eps:.2}}}",
                        model.in_flight(),
                        model.waiting()
                    ),
                }
            };
            {
                let mut reports = self.reports.borrow_mut();
                reports.push_back((now, text));
                // The first is the report in use: the latest one whose delay has passed. Older ones are removed.
                while reports.len() > 1 && reports[1].0 <= now - self.faults.get().report_delay_s {
                    reports.pop_front();
                }
            }
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(self.report_interval_s)) => {}
                _ = dead.changed() => return,
            }
        }
    }

    fn pressure_header(&self) -> String {
        let reports = self.reports.borrow();
        reports.front().map_or(String::new(), |(_, text)| format!("X-Pressure: {text}\r\n"))
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut dead = self.dead.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = dead.changed() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    self.sent.borrow_mut().connection(self.shared.record.now());
                    tokio::task::spawn_local(self.clone().connection(stream));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        let crowded = self.open_connections.get() > self.kind.connections;
        let mut conn = Conn::new(stream);
        let mut dead = self.dead.subscribe();
        let reset = tokio::select! {
            reset = self.serve(&mut conn, crowded) => reset,
            _ = dead.wait_for(|dead| *dead) => true,
        };
        if reset {
            abort(conn.stream());
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Serves one connection until it ends; returns whether to reset it.
    async fn serve(&self, conn: &mut Conn, crowded: bool) -> bool {
        let (idle, mut first) = (Duration::from_secs_f64(self.kind.idle_close), true);
        loop {
            let message = match tokio::time::timeout(idle, conn.read()).await {
                Ok(Ok(message)) => message,
                Ok(Err(ReadError::Malformed)) => {
                    let _ = conn.write(&answer(400, "Bad Request", "Connection: close\r\n", b"")).await;
                    return false;
                }
                Ok(Err(_)) | Err(_) => return false,
            };
            if self.faults.get().is_unresponsive {
                std::future::pending::<()>().await;
            }
            let handshake = if first { self.kind.handshake_ms / 1e3 } else { 0.0 };
            first = false;
            let Some(bytes) = self.respond(&message, handshake, crowded).await else { return true };
            if conn.write(&bytes).await.is_err() || message.closes_connection() || crowded {
                return false;
            }
        }
    }

    /// Returns the answer to one request; `None` resets its connection.
    async fn respond(&self, message: &Message, handshake: f64, crowded: bool) -> Option<Vec<u8>> {
        let (_, target) = message.method_target();
        let rejection = |status, reason: &str| answer(status, reason, "X-Turned-Away: 1\r\n", b"");
        if target.starts_with("/-/") {
            self.run_work(PROBE_WORK_S + handshake, f64::INFINITY).await.ok()?;
            return Some(answer(200, "OK", &self.pressure_header(), b"{}"));
        }
        let Some(txn) = message.header("x-txn").and_then(|t| u64::from_str_radix(t, 16).ok()) else {
            return Some(answer(404, "Not Found", "", b""));
        };
        let record = &self.shared.record;
        let Some(proxy) = record.proxy_of(txn) else {
            record.violation(|| format!("backend {} was sent {txn:016x}, which no client sent", self.id));
            return Some(answer(400, "Bad Request", "", b""));
        };
        let fault = self.shared.links.borrow().get(&(proxy, self.index)).copied();
        match fault {
            Some(LinkFault::Delay(seconds)) => tokio::time::sleep(Duration::from_secs_f64(seconds)).await,
            Some(LinkFault::SwallowRequests) => std::future::pending().await,
            Some(LinkFault::Reset) => return None,
            Some(LinkFault::Drop(one_in)) if txn.is_multiple_of(one_in.max(1)) => return None,
            _ => {}
        }
        self.check_drain(message, proxy);
        let lane = message.header("x-lane").unwrap_or("");
        let Some(class) = self.shared.classes.iter().find(|c| c.name == lane) else {
            return Some(answer(400, "Bad Request", "", b"no such class"));
        };
        let work = target.split_once("w=").and_then(|(_, w)| w.parse::<f64>().ok()).unwrap_or(0.0) / 1e6;
        let work_share = if self.tier == 0 { 1.0 } else { self.shared.tiers[self.tier - 1].work };
        let work = work * work_share;
        self.sent.borrow_mut().request(record.at(message.started_at), work);
        if crowded {
            self.sent.borrow_mut().rejected += 1;
            return Some(rejection(503, "Too Many Connections"));
        }
        let time_left = message.header("x-remaining-ms").and_then(|m| m.parse::<f64>().ok());
        let time_left = time_left.unwrap_or(60_000.0) / 1e3;
        let failure_share = self.faults.get().failure_share;
        if failure_share > 0.0 && self.rng.borrow_mut().random_bool(failure_share.min(1.0)) {
            self.error_count.set(self.error_count.get() + 1);
            return Some(answer(500, "Internal Server Error", &self.pressure_header(), b""));
        }
        let body = || format!("{txn:016x} served by {}", self.id).into_bytes();
        if class.effect == Effect::Guarded
            && let Some(key) = message.header("idempotency-key")
            && self.shared.is_repeat(self.failure_domain, key, class.window)
        {
            return Some(answer(200, "OK", &self.pressure_header(), &body()));
        }
        let deadline = record.now() + time_left;
        let result = self.run_work(work + handshake, deadline).await;
        let done = match result {
            Ok(done) => done,
            Err(reason) => {
                self.sent.borrow_mut().rejected += 1;
                return match reason {
                    Some(Rejection::Down) | None => None,
                    Some(Rejection::Full | Rejection::Draining) => {
                        Some(rejection(503, "Service Unavailable"))
                    }
                };
            }
        };
        if done.expired {
            return Some(rejection(504, "Gateway Timeout"));
        }
        if class.effect == Effect::SingleShot {
            record.record_execution(txn);
        }
        if !self.call_next_tier(message, class, deadline).await {
            self.error_count.set(self.error_count.get() + 1);
            return Some(answer(500, "Internal Server Error", &self.pressure_header(), b""));
        }
        match fault {
            Some(LinkFault::Delay(seconds)) => tokio::time::sleep(Duration::from_secs_f64(seconds)).await,
            Some(LinkFault::SwallowAnswers) => std::future::pending().await,
            _ => {}
        }
        Some(answer(200, "OK", &self.pressure_header(), &body()))
    }

    /// Runs work on the model; returns its end, or why it was rejected (`None`: the backend was killed meanwhile).
    async fn run_work(&self, work: f64, deadline: f64) -> Result<Done, Option<Rejection>> {
        self.advance_model();
        let job = self.shared.next_job.get();
        self.shared.next_job.set(job + 1);
        self.model.borrow_mut().arrive(job, work, deadline).map_err(Some)?;
        self.shared.in_flight[self.index].store(self.model.borrow().in_flight(), Ordering::Relaxed);
        let (sender, done) = oneshot::channel();
        self.pending.borrow_mut().insert(job, sender);
        self.wake.notify_one();
        done.await.map_err(|_| None)
    }

    /// Records a violation if a request began later than the grace period after its proxy was notified of the drain.
    fn check_drain(&self, message: &Message, proxy: usize) {
        let Some(revision) = self.drain_revision.get() else { return };
        let record = &self.shared.record;
        let grace = DRAIN_GRACE_MS.get() / 1e3;
        let Some(notified_at) = record.notified_at(proxy, revision).filter(|_| grace > 0.0) else { return };
        let delay = record.at(message.started_at) - notified_at;
        if delay > grace {
            let id = &self.id;
            record.violation(|| {
                format!("proxy {proxy} sent to {id} {delay:.3} s after it was notified of its drain")
            });
        }
    }

    /// Makes the tier's calls to the next tier through this backend's sidecar; returns whether all were served.
    async fn call_next_tier(&self, message: &Message, class: &Class, deadline: f64) -> bool {
        let pool = self.next_tier_proxy.borrow().clone();
        let (Some(pool), Some(tier)) = (pool, self.shared.tiers.get(self.tier)) else { return true };
        let has_extra_call = self.rng.borrow_mut().random_bool(tier.calls.fract());
        for call in 0..tier.calls as usize + usize::from(has_extra_call) {
            let time_left = deadline - self.shared.record.now();
            if time_left <= 0.0 || !pool.send_nested_call(message, class, call, time_left).await {
                return false;
            }
        }
        true
    }
}

thread_local! {
    /// The grace period of drains for the backends of this loop, in milliseconds; 0: not checked.
    pub static DRAIN_GRACE_MS: Cell<f64> = const { Cell::new(0.0) };
}

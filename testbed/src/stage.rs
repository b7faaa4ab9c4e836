//! The two event loops of a run: the backends run on one, the clients and their load balancer on the other. Each loop
//! has its state in a thread-local variable, and the thread of the run sends it jobs.

use crate::backend::{Backend, BackendConfig, DRAIN_GRACE_MS, SharedState};
use crate::client::{Arrival, Clients, Direct, LoadBalancer, packed};
use crate::proxy_pool::ProxyPool;
use crate::record::{Record, Sent};
use crate::rt::Loop;
use crate::spec::{Experiment, Oracle};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A machine that ran as a backend, and the load that it received.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name in the list.
    pub id: String,
    /// Its tier.
    pub tier: usize,
    /// Its weight in the list at its start.
    pub weight: f64,
    /// The total speed of its cores.
    pub speed: f64,
    /// The requests and connections that it received.
    pub sent: Sent,
}

thread_local! {
    static BACKENDS: RefCell<Option<Backends>> = const { RefCell::new(None) };
    static BALANCER: RefCell<Option<BalancerState>> = const { RefCell::new(None) };
}

/// The load balancer, and the flag that stops its clients.
type BalancerState = (Rc<LoadBalancer>, Rc<Cell<bool>>);

struct Backends {
    shared: Rc<SharedState>,
    /// The current machine of each index.
    current: Vec<Option<Rc<Backend>>>,
    /// Machines that drain after they were replaced.
    draining: Vec<Rc<Backend>>,
    /// Machines that were killed when they were replaced.
    former: Vec<Machine>,
    /// The connections to the next tier's proxy, of each index.
    pools: Vec<Option<Rc<ProxyPool>>>,
}

fn machine(backend: &Backend) -> Machine {
    let speed = backend.speed() * backend.kind.cores as f64;
    let (id, tier, weight) = (backend.id.clone(), backend.tier, backend.kind.weight);
    Machine { id, tier, weight, speed, sent: backend.sent().0 }
}

/// The event loop of the backends.
#[derive(Clone)]
pub struct BackendLoop(Loop);

impl BackendLoop {
    /// Starts the loop for as many backends as `in_flight` has counters.
    ///
    /// # Errors
    /// If the thread can't be created.
    pub fn start(
        record: Arc<Record>,
        experiment: &Experiment,
        in_flight: Arc<Vec<AtomicUsize>>,
    ) -> std::io::Result<Self> {
        let backend_loop = Self(Loop::start("backends")?);
        let (classes, tiers) = (experiment.classes.clone(), experiment.tiers.clone());
        let Oracle { drain_ms, .. } = experiment.oracle;
        let count = in_flight.len();
        backend_loop.0.spawn(move || async move {
            DRAIN_GRACE_MS.set(drain_ms);
            let shared = SharedState::new(record, classes, tiers, in_flight);
            let backends = Backends {
                shared,
                current: vec![None; count],
                draining: Vec::new(),
                former: Vec::new(),
                pools: vec![None; count],
            };
            BACKENDS.set(Some(backends));
        });
        Ok(backend_loop)
    }

    /// Starts a machine at its index and returns its address. The previous one is killed, or if `previous_drains`,
    /// still runs under its name until [`BackendLoop::kill`].
    pub fn start_backend(&self, config: BackendConfig, previous_drains: bool) -> Option<SocketAddr> {
        let index = config.index;
        let started = self.0.wait(move || async move {
            let shared = BACKENDS.with_borrow(|b| b.as_ref().map(|b| b.shared.clone()))?;
            let backend = Backend::start(shared, config).await.ok()?;
            BACKENDS.with_borrow_mut(|b| {
                let backends = b.as_mut()?;
                if let Some(pool) = &backends.pools[index] {
                    backend.set_next_tier_proxy(pool.clone());
                }
                let previous = backends.current[index].replace(backend.clone());
                match previous {
                    Some(previous) if previous_drains => backends.draining.push(previous),
                    Some(previous) => {
                        previous.kill();
                        backends.former.push(machine(&previous));
                    }
                    None => {}
                }
                backend.address()
            })
        });
        started.flatten()
    }

    /// Calls `action` with the machine of an index and with the shared state of all backends.
    pub fn with(&self, index: usize, action: impl FnOnce(&Rc<Backend>, &SharedState) + Send + 'static) {
        self.0.spawn(move || async move {
            BACKENDS.with_borrow(|b| {
                let backends = b.as_ref()?;
                action(backends.current.get(index)?.as_ref()?, &backends.shared);
                Some(())
            });
        });
    }

    /// Calls `action` with the machine of this name, current or draining.
    pub fn with_id(&self, id: &str, action: impl FnOnce(&Rc<Backend>) + Send + 'static) {
        let id = id.to_string();
        self.0.spawn(move || async move {
            BACKENDS.with_borrow(|b| {
                let backends = b.as_ref()?;
                action(backends.current.iter().flatten().chain(&backends.draining).find(|b| b.id == id)?);
                Some(())
            });
        });
    }

    /// Kills the machine of this name.
    pub fn kill(&self, id: &str) {
        self.with_id(id, |backend| {
            backend.set_listed(false);
            backend.kill();
        });
    }

    /// Sets the proxy through which the machine of an index calls the next tier.
    pub fn set_next_tier_proxy(&self, index: usize, proxy: usize, address: Option<SocketAddr>) {
        self.0.spawn(move || async move {
            BACKENDS.with_borrow_mut(|b| {
                let Some(backends) = b.as_mut() else { return };
                let record = backends.shared.record.clone();
                let pool = backends.pools[index].get_or_insert_with(|| ProxyPool::new(proxy, None, record));
                pool.set_address(address);
                if let Some(backend) = &backends.current[index] {
                    backend.set_next_tier_proxy(pool.clone());
                }
            });
        });
    }

    /// All machines: former ones first, then draining ones, then the current ones by index.
    pub fn machines(&self) -> Vec<Machine> {
        let all = self.0.wait(|| async {
            BACKENDS.with_borrow(|b| {
                let Some(backends) = b.as_ref() else { return Vec::new() };
                let running =
                    backends.draining.iter().chain(backends.current.iter().flatten()).map(|b| machine(b));
                backends.former.iter().cloned().chain(running).collect()
            })
        });
        all.unwrap_or_default()
    }
}

/// The event loop of the clients.
#[derive(Clone)]
pub struct ClientLoop(Loop);

impl ClientLoop {
    /// Starts the loop, with a load balancer for these proxies.
    ///
    /// # Errors
    /// If the thread can't be created.
    pub fn start(
        record: Arc<Record>,
        addresses: Vec<Option<SocketAddr>>,
        shares: Vec<f64>,
    ) -> std::io::Result<Self> {
        let client_loop = Self(Loop::start("clients")?);
        client_loop.0.spawn(move || async move {
            let pool =
                |(n, address): (usize, &Option<SocketAddr>)| ProxyPool::new(n, *address, record.clone());
            let pools = addresses.iter().enumerate().map(pool).collect();
            let alive = addresses.iter().map(Option::is_some).collect();
            BALANCER.set(Some((LoadBalancer::new(pools, alive, shares), Rc::default())));
        });
        Ok(client_loop)
    }

    /// Calls `action` with the load balancer.
    pub fn with(&self, action: impl FnOnce(&LoadBalancer) + Send + 'static) {
        self.0.spawn(move || async move {
            BALANCER.with_borrow(|b| b.as_ref().map(|(balancer, _)| action(balancer)));
        });
    }

    /// Sends the arrivals at their times; the receiver gets the lateness in microseconds once all have ended.
    pub fn send_arrivals(
        &self,
        record: Arc<Record>,
        experiment: Experiment,
        direct: Option<Direct>,
        arrivals: Vec<Arrival>,
    ) -> std::sync::mpsc::Receiver<Histogram<u64>> {
        let (lateness, receiver) = std::sync::mpsc::channel();
        self.0.spawn(move || async move {
            let Some((balancer, stop)) = BALANCER.with_borrow(Clone::clone) else { return };
            let clients = Rc::new(Clients { record, balancer, experiment: Rc::new(experiment), direct });
            let _ = lateness.send(clients.send_arrivals(arrivals, stop).await);
        });
        receiver
    }

    /// Stops sending arrivals.
    pub fn stop(&self) {
        self.0.spawn(|| async {
            BALANCER.with_borrow(|b| b.as_ref().map(|(_, stop)| stop.set(true)));
        });
    }

    /// The number of connections opened to proxies so far.
    pub fn opened(&self) -> u64 {
        let opened = self.0.wait(|| async {
            BALANCER.with_borrow(|b| {
                b.as_ref().map_or(0, |(balancer, _)| balancer.pools.iter().map(|p| p.opened.get()).sum())
            })
        });
        opened.unwrap_or(0)
    }
}

/// Sets the address of a backend for experiments without proxies; `None` if it is not listed.
pub fn set_direct_address(direct: Option<&Direct>, backend: usize, address: Option<SocketAddr>) {
    if let Some((stored, ..)) = direct.and_then(|d| d.backends.get(backend)) {
        stored.store(address.map_or(0, packed), Ordering::Relaxed);
    }
}

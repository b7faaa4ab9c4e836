//! The connections of a list-service node: how many may be open, and which idle one is closed for a new one. A peer
//! that only keeps connections open must not prevent proxies from reading their list.
//!
//! For each new connection that waits for capacity, one idle connection is evicted: the one that has been idle longest
//! or, where none is idle, the first that becomes idle. If a call has begun on an evicted connection meanwhile, the
//! connection answers that call before it is closed, and another one is evicted in its place.

use crate::os::descriptors;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of connections allowed in addition to those of watchers, for other nodes and writers.
const EXTRA_CONNECTIONS: usize = 256;
/// Number of descriptors reserved for files and for calls to other nodes.
const RESERVED_DESCRIPTORS: usize = 96;

/// All connections of a node.
pub struct Connections {
    max: usize,
    open: Cell<usize>,
    /// Open connections that have been notified of their eviction and have no call in progress.
    evicted: Cell<usize>,
    /// New connections that wait for capacity.
    waiting: Cell<usize>,
    /// The latest key in `idle`. Keys increase, so idle connections are ordered by when they became idle.
    last_idle_key: Cell<u64>,
    /// The connections that may be evicted, the longest idle first.
    idle: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    closed: Notify,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first call may be on its way, so the connection is not evicted yet.
    AwaitingFirstCall,
    /// A call is in progress.
    Busy,
    /// No call is in progress. Contains the connection's key in `Connections::idle`.
    Idle(u64),
    /// The connection is to be closed for a new one.
    Evicted,
}

struct ConnectionState {
    phase: Cell<Phase>,
    eviction: Notify,
}

/// One connection, counted until it is dropped.
pub struct Connection {
    connections: Rc<Connections>,
    state: Rc<ConnectionState>,
}

/// One new connection that waits for capacity, counted for as long as it waits.
struct WaitingGuard<'a>(&'a Cell<usize>);

impl<'a> WaitingGuard<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connections {
    /// Creates the capacity for this many watchers and [`EXTRA_CONNECTIONS`], as far as the limit on descriptors
    /// allows.
    pub fn for_watchers(watchers: usize) -> Rc<Self> {
        let allowed = descriptors::max_open_files().unwrap_or(usize::MAX);
        let available = allowed.saturating_sub(RESERVED_DESCRIPTORS);
        Self::with_capacity(available.clamp(1, watchers + EXTRA_CONNECTIONS))
    }

    /// Creates a capacity for `max` connections.
    pub fn with_capacity(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            open: Cell::new(0),
            evicted: Cell::new(0),
            waiting: Cell::new(0),
            last_idle_key: Cell::new(0),
            idle: RefCell::default(),
            closed: Notify::new(),
        })
    }

    /// Waits until there is capacity for one more connection; an idle one is evicted for it.
    pub async fn wait_for_capacity(&self) {
        let _waiting = WaitingGuard::new(&self.waiting);
        while self.open.get() >= self.max {
            self.evict_for_waiting();
            self.closed.notified().await;
        }
    }

    /// Counts a new connection that is idle.
    pub fn open(self: &Rc<Self>) -> Rc<Connection> {
        let connection = self.open_for_call();
        connection.set_idle();
        connection
    }

    /// Counts a new connection whose first call may be on its way.
    pub fn open_for_call(self: &Rc<Self>) -> Rc<Connection> {
        self.open.set(self.open.get() + 1);
        let state = ConnectionState { phase: Cell::new(Phase::AwaitingFirstCall), eviction: Notify::new() };
        Rc::new(Connection { connections: self.clone(), state: Rc::new(state) })
    }

    /// Evicts idle connections, the longest idle first, until enough are about to close for all waiting connections.
    fn evict_for_waiting(&self) {
        while self.open.get() + self.waiting.get() > self.max + self.evicted.get() {
            let Some((_, state)) = self.idle.borrow_mut().pop_first() else { return };
            state.phase.set(Phase::Evicted);
            self.evicted.set(self.evicted.get() + 1);
            state.eviction.notify_one();
        }
    }
}

impl Connection {
    /// Records that a call is in progress from now on.
    pub fn set_busy(&self) {
        let was_evicted = self.leave_phase() == Phase::Evicted;
        self.state.phase.set(Phase::Busy);
        if was_evicted {
            // This connection is closed only after its answer, which may take as long as a watch.
            self.connections.evict_for_waiting();
        }
    }

    /// Records that no call is in progress.
    pub fn set_idle(&self) {
        self.leave_phase();
        let key = self.connections.last_idle_key.get() + 1;
        self.connections.last_idle_key.set(key);
        self.state.phase.set(Phase::Idle(key));
        self.connections.idle.borrow_mut().insert(key, self.state.clone());
        self.connections.evict_for_waiting();
    }

    /// Ends the wait for the first call: a connection without a call is idle from now on.
    pub fn stop_awaiting_first_call(&self) {
        if self.state.phase.get() == Phase::AwaitingFirstCall {
            self.set_idle();
        }
    }

    /// Whether a call is in progress.
    pub fn is_busy(&self) -> bool {
        self.state.phase.get() == Phase::Busy
    }

    /// Waits until the connection is to be closed for a new one.
    pub async fn wait_for_eviction(&self) {
        self.state.eviction.notified().await;
    }

    /// Removes the connection from the count of its phase; returns the phase, which the caller replaces.
    fn leave_phase(&self) -> Phase {
        let phase = self.state.phase.get();
        match phase {
            Phase::Idle(key) => drop(self.connections.idle.borrow_mut().remove(&key)),
            Phase::Evicted => self.connections.evicted.set(self.connections.evicted.get() - 1),
            Phase::AwaitingFirstCall | Phase::Busy => {}
        }
        phase
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.leave_phase();
        self.connections.open.set(self.connections.open.get() - 1);
        self.connections.closed.notify_one();
    }
}

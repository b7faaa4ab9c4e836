//! Limits for the connections to all backends: how many may be open, how long they may be idle, and the memory for
//! responses on them.

use crate::proxy::memory::{MemoryPool, PeerMemory};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A non-idempotent request is only sent on a connection that has been idle for less than this fraction of the shortest
/// idle time after which a backend closed one. Backends may close idle connections before their idle timeout, and a
/// request that is sent while the backend closes the connection is lost.
const NON_IDEMPOTENT_REUSE_FRACTION: f64 = 0.5;

/// The budget of connections to backends.
pub struct ConnectionBudget {
    open: Cell<usize>,
    max: usize,
    /// The shortest time that a connection was idle before its backend closed it. There is one value for all backends,
    /// since those of a tier behave alike and each proxy rarely uses its connections to most of them.
    shortest_idle_lifetime: Cell<Duration>,
    /// The memory for responses.
    responses: Rc<MemoryPool>,
}

/// A permit for one open connection; dropping it returns it to the budget.
pub(super) struct ConnectionPermit(Rc<ConnectionBudget>);

impl ConnectionBudget {
    /// Returns a budget of `max` open connections whose responses may use any amount of memory.
    pub fn new(max: usize) -> Rc<Self> {
        Self::with_memory(max, PeerMemory::new(None).responses)
    }

    /// Returns a budget of `max` open connections whose responses use the memory of `responses`.
    pub fn with_memory(max: usize, responses: Rc<MemoryPool>) -> Rc<Self> {
        let shortest_idle_lifetime = Cell::new(Duration::MAX);
        Rc::new(Self { open: Cell::new(0), max, shortest_idle_lifetime, responses })
    }

    /// The memory for responses.
    pub fn responses(&self) -> &Rc<MemoryPool> {
        &self.responses
    }

    /// Whether the maximum number of connections is open.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.max
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns a permit for one more connection, or `None` if the budget is full.
    pub(super) fn acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        (!self.is_full()).then(|| {
            self.open.set(self.open.get() + 1);
            ConnectionPermit(self.clone())
        })
    }

    /// Whether a connection that has been idle for `idle` may carry a non-idempotent request.
    pub(super) fn may_carry_non_idempotent(&self, idle: Duration, recent_use: Duration) -> bool {
        idle < recent_use
            || idle.as_secs_f64()
                < NON_IDEMPOTENT_REUSE_FRACTION * self.shortest_idle_lifetime.get().as_secs_f64()
    }
}

impl ConnectionPermit {
    /// The memory for responses.
    pub(super) fn responses(&self) -> &Rc<MemoryPool> {
        self.0.responses()
    }

    /// Records that a backend closed a connection that had been idle for `idle`.
    pub(super) fn record_idle_lifetime(&self, idle: Duration) {
        let shortest = &self.0.shortest_idle_lifetime;
        shortest.set(shortest.get().min(idle));
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

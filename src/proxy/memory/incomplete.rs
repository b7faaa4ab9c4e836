//! The memory for requests, and the incomplete requests that give way when it is used up.

use super::pool::{MemoryPool, Reservation};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// An incomplete request may be aborted once it has not progressed for this long: longer than a round trip to a client
/// nearby, which sends a body in several windows.
const MIN_STALL: Duration = Duration::from_millis(20);

/// The position of an incomplete request among those that may be aborted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct AbortOrder {
    /// Whether it waits for memory itself, and not for its client. Such requests come last.
    waits_for_memory: bool,
    /// Increases whenever a request progresses.
    key: u64,
}

/// What is known of an incomplete request.
struct RequestState {
    /// The bytes that are released if it is aborted.
    held_bytes: Cell<usize>,
    progressed_at: Cell<Instant>,
    is_aborted: Cell<bool>,
    /// Woken when it is aborted.
    waker: RefCell<Waker>,
}

/// The memory for requests.
pub struct RequestMemory {
    pool: MemoryPool,
    /// The incomplete requests that have not been aborted.
    incomplete: RefCell<BTreeMap<AbortOrder, Rc<RequestState>>>,
    last_key: Cell<u64>,
    /// The number of aborted requests that have not released their memory yet.
    releasing: Cell<usize>,
}

/// An incomplete request that holds memory, or waits for it.
pub struct IncompleteRequest {
    memory: Rc<RequestMemory>,
    state: Rc<RequestState>,
    order: Cell<AbortOrder>,
}

impl RequestMemory {
    pub(super) fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            pool: MemoryPool::new(bytes),
            incomplete: RefCell::default(),
            last_key: Cell::default(),
            releasing: Cell::default(),
        })
    }

    /// The pool that requests reserve in.
    pub fn pool(&self) -> &MemoryPool {
        &self.pool
    }

    /// An incomplete request that holds nothing yet.
    pub fn incomplete(self: &Rc<Self>) -> IncompleteRequest {
        let state = Rc::new(RequestState {
            held_bytes: Cell::default(),
            progressed_at: Cell::new(Instant::now()),
            is_aborted: Cell::default(),
            waker: RefCell::new(Waker::noop().clone()),
        });
        IncompleteRequest { memory: self.clone(), state, order: Cell::default() }
    }

    /// Aborts the requests whose clients have stalled for longest until they release `bytes`, none that has progressed
    /// within [`MIN_STALL`]. If nothing else releases memory, requests that wait for it give way, one at a time.
    fn abort_stalled(&self, bytes: usize) {
        let mut released_bytes = 0;
        let mut incomplete = self.incomplete.borrow_mut();
        while released_bytes < bytes
            && let Some(stalled) = incomplete.first_entry()
            && stalled.get().progressed_at.get().elapsed() >= MIN_STALL
            && (!stalled.key().waits_for_memory || self.releasing.get() == 0)
        {
            let state = stalled.remove();
            self.releasing.set(self.releasing.get() + 1);
            released_bytes += state.held_bytes.get();
            state.is_aborted.set(true);
            state.waker.borrow().wake_by_ref();
        }
    }
}

impl IncompleteRequest {
    /// Records that bytes of the request have arrived, and how many bytes it holds. A request that holds nothing is not
    /// aborted.
    pub fn progressed(&self, held_bytes: usize) {
        self.state.held_bytes.set(held_bytes);
        match held_bytes {
            0 => self.leave(),
            _ => self.enter(false),
        }
    }

    /// Reserves `bytes` for the request. While they are not free, aborts requests that have stalled; this one may be
    /// among them.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        if let Some(reservation) = self.memory.pool.try_reserve(bytes) {
            return reservation;
        }
        if self.state.held_bytes.get() > 0 {
            self.enter(true);
        }
        let mut reserved = pin!(self.memory.pool.reserve(bytes));
        loop {
            self.memory.abort_stalled(bytes);
            if let Ok(reservation) = tokio::time::timeout(MIN_STALL, &mut reserved).await {
                return reservation;
            }
        }
    }

    /// Enters the request at the end of those that wait for memory, or of those that do not.
    fn enter(&self, waits_for_memory: bool) {
        if self.is_aborted() {
            return;
        }
        self.leave();
        self.memory.last_key.set(self.memory.last_key.get() + 1);
        self.order.set(AbortOrder { waits_for_memory, key: self.memory.last_key.get() });
        self.state.progressed_at.set(Instant::now());
        self.memory.incomplete.borrow_mut().insert(self.order.get(), self.state.clone());
    }

    fn leave(&self) {
        self.memory.incomplete.borrow_mut().remove(&self.order.get());
    }

    fn is_aborted(&self) -> bool {
        self.state.is_aborted.get()
    }

    /// Completes once the request has been aborted.
    pub fn poll_aborted(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_aborted() {
            return Poll::Ready(());
        }
        self.state.waker.borrow_mut().clone_from(cx.waker());
        Poll::Pending
    }
}

impl Drop for IncompleteRequest {
    fn drop(&mut self) {
        self.leave();
        if self.is_aborted() {
            self.memory.releasing.set(self.memory.releasing.get() - 1);
        }
    }
}

//! The connection pool of one backend, and the times when attempts to the backend must end.

use super::budget::{ConnectionBudget, ConnectionPermit};
use super::connection::{ConnectionEnd, UpstreamConnection};
use super::pending::{AwaitedConnection, PendingConnection};
use crate::Time;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// The fraction of the backends' idle timeout up to which a connection is reused. Close to the timeout, a request could
/// be sent while the backend closes the connection, and be lost.
const REUSE_FRACTION: f64 = 0.7;
/// How long a connection is not reused after a response. A faulty backend may send a second response some milliseconds
/// after the first, which would be taken for the response to the next request.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(20);
/// The upper bound of the idle time that counts as recent use. A recently used connection may carry any request.
const MAX_RECENT_USE: Duration = Duration::from_millis(100);
/// The idle time that counts as recent use, as a fraction of the backends' idle timeout.
const RECENT_USE_FRACTION: f64 = 0.1;
/// The lower bound of the idle time that counts as recent use, since idle connections are checked at that interval.
const MIN_RECENT_USE: Duration = Duration::from_millis(10);

/// The idle time up to which a connection counts as recently used, if backends close idle connections after
/// `idle_close` at the latest. Idle connections are checked at this interval, so their lifetime is known to this
/// precision.
pub fn recent_use(idle_close: Duration) -> Duration {
    idle_close.mul_f64(RECENT_USE_FRACTION).clamp(MIN_RECENT_USE, MAX_RECENT_USE)
}

/// A connection with its permit.
pub(super) type PooledConnection = (UpstreamConnection, ConnectionPermit);

struct IdleConnection {
    upstream: UpstreamConnection,
    permit: ConnectionPermit,
    since: Instant,
    /// How long it had been idle at the last check.
    idle_at_last_check: Duration,
    /// Whether it has carried a response, which an unsolicited one may follow.
    has_response: bool,
}

impl IdleConnection {
    fn new(upstream: UpstreamConnection, permit: ConnectionPermit, has_response: bool) -> Self {
        Self { upstream, permit, since: Instant::now(), idle_at_last_check: Duration::ZERO, has_response }
    }

    /// Whether the time in which a late response may arrive on it is over.
    fn is_settled(&self) -> bool {
        !self.has_response || self.since.elapsed() >= LATE_RESPONSE_WINDOW
    }

    /// Returns the connection unless it has ended. If the backend closed it when it was no longer recently used,
    /// records in the budget how long it was idle.
    fn checked(self, recent_use: Duration) -> Option<Self> {
        let Self { upstream, permit, since, idle_at_last_check, has_response } = self;
        match upstream.checked() {
            Ok(upstream) => {
                let idle_at_last_check = since.elapsed();
                Some(Self { upstream, permit, since, idle_at_last_check, has_response })
            }
            Err(end) => {
                // A connection that ended sooner was closed right after its response, not for its idle time.
                if end == ConnectionEnd::Closed && idle_at_last_check >= recent_use {
                    permit.record_idle_lifetime(idle_at_last_check);
                }
                None
            }
        }
    }
}

/// A backend: its address, its connections, and when attempts to it must end.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Connections that are being established and that no attempt waits for any more.
    abandoned: RefCell<Vec<PendingConnection>>,
    /// When sending stops, if the backend is draining or removed.
    send_cutoff: Cell<Option<Time>>,
    /// When the grace period of the drain or removal ends.
    grace_deadline: Cell<Option<Time>>,
    is_removed: Cell<bool>,
    /// Incremented when the existing connections must no longer be reused.
    epoch: Cell<u64>,
    budget: Rc<ConnectionBudget>,
    connect_timeout: Duration,
    max_idle: Duration,
    recent_use: Duration,
}

impl Endpoint {
    /// Returns the endpoint of a backend at `address` that closes idle connections after `idle_close`.
    pub fn new(
        address: SocketAddr,
        budget: Rc<ConnectionBudget>,
        connect_timeout: Duration,
        idle_close: Duration,
    ) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            abandoned: RefCell::default(),
            send_cutoff: Cell::new(None),
            grace_deadline: Cell::new(None),
            is_removed: Cell::new(false),
            epoch: Cell::new(0),
            budget,
            connect_timeout,
            max_idle: idle_close.mul_f64(REUSE_FRACTION),
            recent_use: recent_use(idle_close),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    pub(super) fn send_cutoff(&self) -> Option<Time> {
        self.send_cutoff.get()
    }

    pub(super) fn grace_deadline(&self) -> Option<Time> {
        self.grace_deadline.get()
    }

    /// Applies the current list entry: the address and, if the backend is draining or removed, when sending stops.
    pub fn update(&self, address: SocketAddr, send_cutoff: Option<Time>) {
        if self.address.replace(address) != address || send_cutoff.is_some() {
            self.close_idle();
        }
        // A repeated announcement of the same drain doesn't extend the grace period.
        let earlier = self.send_cutoff.get().filter(|_| send_cutoff.is_some());
        self.send_cutoff.set(earlier.or(send_cutoff));
        self.grace_deadline.set(self.grace_deadline.get().filter(|_| send_cutoff.is_some()));
        self.is_removed.set(false);
    }

    /// Marks the backend as removed from the list; sending stops at `send_cutoff`.
    pub fn remove(&self, send_cutoff: Time) {
        self.update(self.address.get(), Some(send_cutoff));
        self.is_removed.set(true);
    }

    /// Whether the backend was removed and no attempt on it is in flight.
    pub fn is_finished(self: &Rc<Self>) -> bool {
        self.is_removed.get() && Rc::strong_count(self) == 1
    }

    /// Closes the idle connections, and those in use as soon as they become idle.
    pub fn close_idle(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.idle.borrow_mut().clear();
        self.abandoned.borrow_mut().clear();
    }

    /// Sets when the grace period of a draining or removed backend ends; later calls do not extend it.
    pub fn set_grace_deadline(&self, deadline: Time) {
        if self.send_cutoff.get().is_some() {
            self.grace_deadline.set(self.grace_deadline.get().or(Some(deadline)));
        }
    }

    /// Closes connections that have been idle for too long or that the backend has closed.
    pub fn evict_expired(&self) {
        self.collect_abandoned();
        let is_fresh = |idle: &IdleConnection| idle.since.elapsed() < self.max_idle;
        let checked = |idle: IdleConnection| idle.checked(self.recent_use);
        let kept = self.idle.take().into_iter().filter(is_fresh).filter_map(checked).collect();
        self.idle.replace(kept);
    }

    /// Closes an abandoned connection, or else the one that has been idle longest. Returns whether there was one.
    pub fn evict_one(&self) -> bool {
        if self.abandoned.borrow_mut().pop().is_some() {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        !idle.is_empty() && {
            drop(idle.remove(0));
            true
        }
    }

    /// Stores a connection for reuse if it is usable and belongs to the current epoch.
    pub(super) fn store(&self, (upstream, permit): PooledConnection, epoch: u64, has_response: bool) {
        if let Ok(upstream) = upstream.checked()
            && self.epoch.get() == epoch
        {
            self.idle.borrow_mut().push(IdleConnection::new(upstream, permit, has_response));
        }
    }

    /// Adds a connection that is being established and that no attempt waits for any more.
    pub(super) fn abandon(&self, pending: PendingConnection) {
        self.abandoned.borrow_mut().push(pending);
    }

    /// Removes and returns the most recently used idle connection that may carry the request.
    fn pop_idle(&self, is_non_idempotent: bool) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let may_carry = |idle: &IdleConnection| {
            !is_non_idempotent || self.budget.may_carry_non_idempotent(idle.since.elapsed(), self.recent_use)
        };
        let index = idle.iter().rposition(|idle| idle.is_settled() && may_carry(idle))?;
        Some(idle.remove(index))
    }

    /// Removes and returns a reusable idle connection, if there is one. Closes unusable ones that it finds.
    fn reusable_idle(&self, is_non_idempotent: bool) -> Option<PooledConnection> {
        self.collect_abandoned();
        while let Some(idle) = self.pop_idle(is_non_idempotent) {
            if idle.since.elapsed() < self.max_idle
                && let Some(idle) = idle.checked(self.recent_use)
            {
                return Some((idle.upstream, idle.permit));
            }
        }
        None
    }

    /// Returns an idle or a new connection for an attempt with this deadline, or `None` if there is none within the
    /// connect timeout. A connection that is still being established then stays in the pool: if it is established by
    /// the deadline, it serves other requests, since the backend has already borne its cost.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        is_non_idempotent: bool,
        deadline: Instant,
    ) -> Option<PooledConnection> {
        if let Some(reused) = self.reusable_idle(is_non_idempotent) {
            return Some(reused);
        }
        let mut awaited = AwaitedConnection::begin(self, self.budget.acquire()?, deadline);
        let timeout_at = Instant::now() + self.connect_timeout;
        loop {
            let next_check = (Instant::now() + LATE_RESPONSE_WINDOW).min(timeout_at);
            let established = tokio::time::timeout_at(next_check, awaited.established()).await;
            if let Ok(established) = established {
                return established;
            }
            // Another request's connection may become idle before this one is established.
            if let Some(reused) = self.reusable_idle(is_non_idempotent) {
                return Some(reused);
            }
            if next_check == timeout_at {
                return None;
            }
        }
    }

    /// Stores abandoned connections that have been established, and cancels those past their deadline.
    fn collect_abandoned(&self) {
        let mut cx = Context::from_waker(Waker::noop());
        for mut pending in self.abandoned.take() {
            match pending.poll(&mut cx) {
                Poll::Pending if Instant::now() < pending.deadline => {
                    self.abandoned.borrow_mut().push(pending);
                }
                Poll::Ready(Ok(upstream)) if pending.address == self.address.get() => {
                    self.store((upstream, pending.permit), pending.epoch, false);
                }
                Poll::Pending | Poll::Ready(_) => {}
            }
        }
    }
}

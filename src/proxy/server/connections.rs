//! The open connections of clients: their number, which of them are idle, and those with bytes to send.

use crate::proxy::shared_stream::UnsentGauge;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How long clients may expect a connection to stay open behind an answer.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// All open connections of clients.
pub(super) struct ClientConnections {
    max: usize,
    open: Cell<usize>,
    /// The number of connections accepted so far.
    accepted: Cell<u64>,
    /// Notified when a connection is closed.
    closed: Notify,
    /// Counts the connections with bytes of an answer that the system has not taken yet.
    unsent: UnsentGauge,
    /// The eviction signals of idle connections that carry no request now and have carried none, or that are being closed;
    /// the one that has been idle longest has the lowest key.
    unused: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// The same of those between two requests, with when they became idle.
    between_requests: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
    last_idle_key: Cell<u64>,
    /// Whether idle connections are to be closed.
    is_closing: watch::Sender<bool>,
}

impl ClientConnections {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max,
            open: Cell::default(),
            accepted: Cell::default(),
            closed: Notify::new(),
            unsent: UnsentGauge::default(),
            unused: RefCell::default(),
            between_requests: RefCell::default(),
            last_idle_key: Cell::default(),
            is_closing: watch::Sender::new(false),
        }
    }

    /// The number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether the maximum number of connections is open.
    pub(super) fn is_full(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Whether no connection is accepted even to be rejected.
    pub(super) fn is_beyond_overflow(&self) -> bool {
        self.open.get() >= self.max + self.max / super::OVERFLOW
    }

    /// Whether an answer waits to be taken by the system.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        self.unsent.get() > 0
    }

    pub(super) fn unsent_gauge(&self) -> UnsentGauge {
        self.unsent.clone()
    }

    /// Counts a new connection; returns its number.
    pub(super) fn opened(&self) -> u64 {
        self.open.set(self.open.get() + 1);
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        number
    }

    /// Stops counting a connection.
    pub(super) fn closed(&self) {
        self.open.set(self.open.get() - 1);
        self.closed.notify_one();
    }

    /// Waits until a connection is closed.
    pub(super) async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    /// Marks a connection as idle from now on, between two requests or not; returns its key among the idle ones.
    pub(super) fn add_idle(&self, eviction: Rc<Notify>, is_between_requests: bool) -> u64 {
        let key = self.last_idle_key.get() + 1;
        self.last_idle_key.set(key);
        match is_between_requests {
            true => drop(self.between_requests.borrow_mut().insert(key, (Instant::now(), eviction))),
            false => drop(self.unused.borrow_mut().insert(key, eviction)),
        }
        key
    }

    pub(super) fn remove_idle(&self, key: u64) {
        self.unused.borrow_mut().remove(&key);
        self.between_requests.borrow_mut().remove(&key);
    }

    /// Evicts the connection that has been idle longest, of those that may be closed now: a client that has sent a request
    /// may send the next one for a while. Returns whether there was one.
    pub(super) fn evict_longest_idle(&self) -> bool {
        let unused = self.unused.borrow_mut().pop_first().map(|(_, eviction)| eviction);
        let longest = unused.or_else(|| self.pop_long_idle());
        longest.is_some_and(|eviction| {
            eviction.notify_one();
            true
        })
    }

    fn pop_long_idle(&self) -> Option<Rc<Notify>> {
        let mut between_requests = self.between_requests.borrow_mut();
        let longest = between_requests.first_entry()?;
        let (since, _) = longest.get();
        (since.elapsed() >= MIN_IDLE_TIME).then(|| longest.remove().1)
    }

    /// Has idle connections closed, and those in use as soon as they are idle.
    pub(super) fn close_idle(&self) {
        self.is_closing.send_replace(true);
    }

    /// Whether idle connections are to be closed, as it changes.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }
}

//! The open connections of clients: their number, which of them are idle, and those with bytes to send.

use crate::proxy::shared_stream::UnsentGauge;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

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
    /// The eviction signals of idle connections; the one that has been idle longest has the lowest key.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
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
            idle: RefCell::default(),
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

    /// Marks a connection as idle from now on; returns its key among the idle ones.
    pub(super) fn add_idle(&self, eviction: Rc<Notify>) -> u64 {
        let key = self.last_idle_key.get() + 1;
        self.last_idle_key.set(key);
        self.idle.borrow_mut().insert(key, eviction);
        key
    }

    pub(super) fn remove_idle(&self, key: u64) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Evicts the connection that has been idle longest; returns whether there was one.
    pub(super) fn evict_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.is_some_and(|(_, eviction)| {
            eviction.notify_one();
            true
        })
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

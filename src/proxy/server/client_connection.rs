//! A client's connection: whether a request on it is in flight, since when it is idle, and its lingering close.

use super::Server;
use super::body::MAX_DISCARDED_BYTES;
use crate::proxy::shared_stream::{SharedStream, Unread};
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::CloseReason;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may go on sending after the proxy has closed its side, so that it sees the end before a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a connection that makes room for another.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(50);

/// A client's connection. It is counted as open until it is dropped.
pub(super) struct ClientConnection {
    pub(super) server: Rc<Server>,
    /// Identifies the connection in the log.
    pub(super) number: u64,
    /// Its key among the idle connections.
    idle_key: Cell<u64>,
    /// Whether a request on it is in flight.
    is_busy: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Notified when it is to make room for another connection.
    eviction: Rc<Notify>,
}

impl ClientConnection {
    /// Counts a new connection, which is idle at first.
    pub(super) fn open(server: Rc<Server>) -> Self {
        let number = server.connections.opened();
        tracing::debug!(connection = number, open = server.connections.open(), "connection accepted");
        let client = Self {
            server,
            number,
            idle_key: Cell::default(),
            is_busy: Cell::default(),
            idle_since: Cell::new(Instant::now()),
            eviction: Rc::default(),
        };
        client.set_idle();
        client
    }

    /// No request on the connection is in flight, from now on.
    pub(super) fn set_idle(&self) {
        let connections = &self.server.connections;
        self.is_busy.set(false);
        self.idle_since.set(Instant::now());
        connections.remove_idle(self.idle_key.get()); // it is already idle when it begins to linger
        self.idle_key.set(connections.add_idle(self.eviction.clone()));
    }

    /// A request on the connection is in flight, from now on.
    pub(super) fn set_busy(&self) {
        self.is_busy.set(true);
        self.server.connections.remove_idle(self.idle_key.get());
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Waits until the connection is to make room for another.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits until no request has been in flight, and no answer unsent, for this long.
    pub(super) async fn idle_for(&self, timeout: Duration, stream: &SharedStream) {
        loop {
            if self.is_busy.get() || stream.has_unsent_bytes() {
                self.idle_since.set(Instant::now());
            }
            let answered_at = self.idle_since.get();
            let idle_since = stream.sent_at().map_or(answered_at, |sent_at| sent_at.max(answered_at));
            let deadline = idle_since + timeout;
            if Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep_until(deadline).await;
        }
    }

    /// Records that the connection is closed now, by either side.
    pub(super) fn record_close(&self, stream: &SharedStream, reason: CloseReason) {
        metrics::count(CountedEvent::ConnectionClosed(reason));
        let (connection, in_hand) = (self.number, self.is_busy.get());
        tracing::debug!(connection, reason = reason.label(), in_hand, "connection closed");
        if self.is_busy.get() {
            let is_closed_by_client =
                stream.has_read_end() || matches!(stream.unread(), Unread::End | Unread::Broken);
            self.server.engine.guard().connection_closed_in_flight(is_closed_by_client);
        }
    }

    /// Lingering close. The connection stays counted meanwhile, and is idle, so that it can be evicted.
    pub(super) async fn linger(&self, stream: SharedStream, reason: CloseReason) {
        self.set_idle();
        let is_evicted = reason == CloseReason::Evicted;
        let timeout = if is_evicted { EVICTED_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        tokio::select! {
            _ = tokio::time::timeout(timeout, stream.drain(MAX_DISCARDED_BYTES)) => {}
            () = self.evicted() => {}
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.set_busy();
        self.server.connections.closed();
    }
}

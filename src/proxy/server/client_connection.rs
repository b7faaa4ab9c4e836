//! A client's connection: whether a request is in flight on it, how long it has been idle, and its lingering close.

use super::Server;
use super::body::MAX_DISCARDED_BYTES;
use super::connections::ConnectionState;
use crate::proxy::memory::HeadMemory;
use crate::proxy::shared_stream::{SharedStream, Unread};
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::CloseReason;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a client may continue to send after the proxy has closed its side, so that the client reads the end of
/// the stream before it gets a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// [`LINGER_TIMEOUT`] for an evicted connection.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(50);

/// A client's connection. It is counted as open until it is dropped.
pub(super) struct ClientConnection {
    pub(super) server: Rc<Server>,
    pub(super) stream: SharedStream,
    state: Rc<ConnectionState>,
}

impl ClientConnection {
    /// Registers a new connection, which is idle at first.
    pub(super) fn open(server: Rc<Server>, stream: TcpStream) -> Self {
        let head = HeadMemory::of_requests(server.engine.memory().request_heads.clone());
        let stream = SharedStream::of_client(stream, server.connections.unsent_gauge(), head);
        let state = server.connections.add(stream.clone());
        Self { server, stream, state }
    }

    /// Identifies the connection in the log.
    pub(super) fn number(&self) -> u64 {
        self.state.number()
    }

    /// Records that a request on the connection is in flight. Returns whether the request may be served.
    pub(super) fn begin_request(&self) -> bool {
        self.server.connections.request_began(&self.state)
    }

    /// Records that no request on the connection is in flight. Returns whether the connection is closed after the
    /// answer.
    pub(super) fn end_request(&self) -> bool {
        self.server.connections.request_ended(&self.state);
        self.server.connections.closes_after_answer(&self.state)
    }

    /// Whether a request is in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.state.is_busy()
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.state.evicted().await;
    }

    /// Waits until no request has been in flight and no answer has been unsent for `timeout`.
    pub(super) async fn idle_for(&self, timeout: Duration) {
        loop {
            let deadline = self.state.idle_since() + timeout;
            if Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep_until(deadline).await;
        }
    }

    /// Records that the connection has been closed, by either side.
    pub(super) fn record_close(&self, reason: CloseReason) {
        metrics::count(CountedEvent::ConnectionClosed(reason));
        let (connection, in_hand) = (self.number(), self.is_busy());
        tracing::debug!(connection, reason = reason.label(), in_hand, "connection closed");
        if in_hand {
            let is_closed_by_client =
                self.stream.has_read_end() || matches!(self.stream.unread(), Unread::End | Unread::Broken);
            self.server.engine.guard().connection_closed_in_flight(is_closed_by_client);
        }
    }

    /// Marks the connection to be closed after requests that have arrived are answered.
    pub(super) fn begin_closing(&self) {
        self.server.connections.closing_began(&self.state);
    }

    /// Does a lingering close. The connection counts as open meanwhile; the close is cut short if too many connections
    /// are open.
    pub(super) async fn linger(&self, reason: CloseReason) {
        self.server.connections.linger_began(&self.state);
        let is_evicted = reason == CloseReason::Evicted;
        let timeout = if is_evicted { EVICTED_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        tokio::select! {
            _ = tokio::time::timeout(timeout, self.stream.clone().drain(MAX_DISCARDED_BYTES)) => {}
            () = self.state.linger_aborted() => {}
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.server.connections.remove(&self.state);
    }
}

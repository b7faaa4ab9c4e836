//! A client's connection: whether a request on it is in flight, since when it is idle, and its lingering close.

use super::Server;
use super::body::MAX_DISCARDED_BYTES;
use super::connections::ConnectionState;
use crate::proxy::shared_stream::{SharedStream, Unread};
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::CloseReason;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a client may go on sending after the proxy has closed its side, so that it sees the end before a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a connection that makes room for another.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(50);

/// A client's connection. It is counted as open until it is dropped.
pub(super) struct ClientConnection {
    pub(super) server: Rc<Server>,
    pub(super) stream: SharedStream,
    state: Rc<ConnectionState>,
}

impl ClientConnection {
    /// Counts a new connection, which is idle at first.
    pub(super) fn open(server: Rc<Server>, stream: TcpStream) -> Self {
        let stream = SharedStream::with_gauge(stream, server.connections.unsent_gauge());
        let state = server.connections.add(stream.clone());
        Self { server, stream, state }
    }

    /// Identifies the connection in the log.
    pub(super) fn number(&self) -> u64 {
        self.state.number()
    }

    /// A request on the connection is in flight, from now on. Returns whether it may be served.
    pub(super) fn begin_request(&self) -> bool {
        self.server.connections.request_began(&self.state)
    }

    /// No request on the connection is in flight, from now on. Returns whether the connection is to end with the answer.
    pub(super) fn end_request(&self) -> bool {
        self.server.connections.request_ended(&self.state);
        self.server.connections.ends_with_answer(&self.state)
    }

    /// Whether a request is in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.state.is_busy()
    }

    /// Waits until the connection is to make room for another.
    pub(super) async fn evicted(&self) {
        self.state.evicted().await;
    }

    /// Waits until no request has been in flight, and no answer unsent, for this long.
    pub(super) async fn idle_for(&self, timeout: Duration) {
        loop {
            let deadline = self.state.idle_since() + timeout;
            if Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep_until(deadline).await;
        }
    }

    /// Records that the connection is closed now, by either side.
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

    /// The connection is to be closed, once what has arrived is answered.
    pub(super) fn begin_closing(&self) {
        self.server.connections.closing_began(&self.state);
    }

    /// Lingering close. The connection is open meanwhile, and lingers no longer where too many are open.
    pub(super) async fn linger(&self, reason: CloseReason) {
        self.server.connections.linger_began(&self.state);
        let is_evicted = reason == CloseReason::Evicted;
        let timeout = if is_evicted { EVICTED_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        tokio::select! {
            _ = tokio::time::timeout(timeout, self.stream.clone().drain(MAX_DISCARDED_BYTES)) => {}
            () = self.state.aborted() => {}
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.server.connections.remove(&self.state);
    }
}

//! Connections that are being established.

use super::budget::ConnectionPermit;
use super::connection::{UpstreamConnection, connect_to_backend};
use super::pool::{Endpoint, PooledConnection};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A connection that is being established.
pub(super) struct PendingConnection {
    connecting: Pin<Box<dyn Future<Output = io::Result<UpstreamConnection>>>>,
    pub(super) address: SocketAddr,
    pub(super) permit: ConnectionPermit,
    /// When it is cancelled.
    pub(super) deadline: Instant,
    /// The endpoint's epoch when the connect was started.
    pub(super) epoch: u64,
}

impl PendingConnection {
    fn begin(endpoint: &Endpoint, permit: ConnectionPermit, deadline: Instant) -> Self {
        let address = endpoint.address();
        let timeout = endpoint.connect_timeout().max(deadline.saturating_duration_since(Instant::now()));
        let connecting = Box::pin(connect_to_backend(address, timeout, permit.responses().clone()));
        Self { connecting, address, permit, deadline, epoch: endpoint.epoch() }
    }

    /// Polls the connecting future.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<UpstreamConnection>> {
        self.connecting.as_mut().poll(cx)
    }
}

/// A connection that an attempt waits for. If this is dropped before the connection is established, the endpoint's pool
/// takes over the pending connection.
pub(super) struct AwaitedConnection {
    endpoint: Rc<Endpoint>,
    pending: Option<PendingConnection>,
}

impl AwaitedConnection {
    pub(super) fn begin(endpoint: &Rc<Endpoint>, permit: ConnectionPermit, deadline: Instant) -> Self {
        let pending = PendingConnection::begin(endpoint, permit, deadline);
        Self { endpoint: endpoint.clone(), pending: Some(pending) }
    }

    /// Waits until the connection is established; returns `None` if that fails.
    pub(super) async fn established(&mut self) -> Option<PooledConnection> {
        loop {
            let pending = self.pending.as_mut()?;
            let upstream = pending.connecting.as_mut().await;
            let PendingConnection { address, permit, deadline, .. } = self.pending.take()?;
            let upstream = upstream.ok()?;
            if self.endpoint.address() == address {
                return Some((upstream, permit));
            }
            // The backend's address has changed, and the old one may belong to another backend by now.
            self.pending = Some(PendingConnection::begin(&self.endpoint, permit, deadline));
        }
    }
}

impl Drop for AwaitedConnection {
    fn drop(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.endpoint.abandon(pending);
        }
    }
}

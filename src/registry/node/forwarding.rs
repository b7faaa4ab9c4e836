//! Calls that are forwarded to another node.

use super::Node;
use crate::http_client::{CallError, HttpClient};
use crate::registry::raft::NodeId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::time::Duration;

/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CLIENTS: usize = 32;

/// Idle clients of other nodes, whose last call succeeded.
#[derive(Default)]
pub(super) struct IdleClients(RefCell<Vec<(NodeId, HttpClient)>>);

impl IdleClients {
    fn acquire(&self, node: NodeId) -> Option<HttpClient> {
        let mut idle = self.0.borrow_mut();
        let index = idle.iter().position(|(peer, _)| *peer == node)?;
        Some(idle.swap_remove(index).1)
    }

    fn release(&self, node: NodeId, client: HttpClient) {
        let mut idle = self.0.borrow_mut();
        if idle.len() < MAX_IDLE_CLIENTS {
            idle.push((node, client));
        }
    }
}

impl Node {
    /// Forwards a request to another node.
    ///
    /// # Errors
    /// See [`CallError`]; `Connect` where the node is not in the configuration or the request was not sent.
    pub async fn forward(
        &self,
        peer: NodeId,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let mut client = match self.idle_clients.acquire(peer) {
            Some(client) => client,
            None => HttpClient::new(*self.peers.get(&peer).ok_or_else(|| {
                CallError::Connect(std::io::Error::other(format!("node {peer} is not configured")))
            })?),
        };
        let reply = client.call(request, timeout).await?;
        self.idle_clients.release(peer, client);
        Ok(reply)
    }
}

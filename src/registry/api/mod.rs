//! The list service's HTTP/1.1 API: dispatch of the calls by path, and a module for each group of calls.
//!
//! - `endpoints`, `leases`, `sessions`, `settings`, `renewals`, `fleet` and `cluster` each describe their calls.
//! - `writes` commits writes to the log, and `forward` forwards calls to the leader.
//! - `error` and `reply` build the answers to all calls.
//!
//! A write is answered `{"revision":N}` once it is committed on a quorum and durable there; a rejected write is
//! answered `{"error":"…"}` and changes nothing. Every node answers reads and watches of the list and the agreement
//! from its own store, even while it is cut off from the others: `X-List-Age-Ms` in each answer is the time since the
//! node last had contact with the leader or, on the leader, with a quorum. The port is meant for the fleet's own
//! network.

mod bodies;
mod cluster;
mod endpoints;
mod error;
mod fleet;
mod forward;
mod join;
mod leases;
mod query;
mod renewals;
mod reply;
mod sessions;
mod settings;
mod settings_view;
mod state;
mod writes;

use super::node::Node;
use super::store::{Command, StoreError};
use bytes::Bytes;
use error::RequestError;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use reply::Reply;
use state::ApiState;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The header with the age of the node's state, in milliseconds ([`Node::staleness`]).
const AGE_HEADER: &str = "x-list-age-ms";

/// The API of one node.
#[derive(Clone)]
pub struct Api {
    state: Rc<ApiState>,
}

impl Api {
    /// Creates the API of `node`: at most `max_watchers` watches wait at once (more are rejected with 503), and a write
    /// that takes longer than `write_timeout` is answered 503.
    pub fn new(node: Rc<Node>, max_watchers: usize, write_timeout: Duration) -> Self {
        Self { state: Rc::new(ApiState::new(node, max_watchers, write_timeout)) }
    }

    /// Answers one call.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if let Some(reason) = self.state.node.failure() {
            return RequestError::NodeFailed(reason).into();
        }
        let path = request.uri().path().to_string();
        if request.method() == Method::POST
            && let Some(call) = path.strip_prefix(cluster::RAFT_PATH_PREFIX)
        {
            return cluster::raft(&self.state, call, request).await.unwrap_or_else(Reply::from);
        }
        let mut reply = match request.method().clone() {
            Method::GET => self.get(&path, &request).await,
            Method::POST if path.starts_with("/v1/") => self.post(&path, request).await,
            _ => Err(RequestError::UnknownCall(path)),
        }
        .unwrap_or_else(Reply::from);
        reply
            .headers_mut()
            .insert(AGE_HEADER, HeaderValue::from(self.state.node.staleness().as_millis() as u64));
        reply
    }

    async fn get(&self, path: &str, request: &Request<Incoming>) -> Result<Reply, RequestError> {
        let state = &self.state;
        let query = request.uri().query().unwrap_or("");
        match path {
            "/api/targets" => endpoints::list(state, query).await,
            "/v1/agreed" => settings::agreed(state, query).await,
            "/v1/settings" => settings::settings(state, query),
            "/v1/settings/history" => Ok(settings::history(state)),
            "/v1/fleet" => fleet::fleet(state, forward::is_forwarded(request.headers())).await,
            "/v1/status" => Ok(cluster::status(state)),
            "/-/ready" => Ok(reply::json(StatusCode::OK, "{}")),
            "/raft/joined" => cluster::join_status(state, query),
            _ => Err(RequestError::UnknownCall(path.to_string())),
        }
    }

    async fn post(&self, path: &str, request: Request<Incoming>) -> Result<Reply, RequestError> {
        let forwarded = forward::is_forwarded(request.headers());
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| RequestError::BodyTooLarge("64 KiB"))?.to_bytes();
        match renewals::parse(path, &body) {
            Some(call) => renewals::renew(&self.state, call?, forwarded).await,
            None => writes::write(&self.state, path, body, forwarded).await,
        }
    }

    /// Submits this node's command to join to whichever node leads.
    ///
    /// # Errors
    /// `Joined` where the cluster rejects this node's log; `Unknown` with the reason where it is not acknowledged yet.
    pub async fn submit_join(&self, command: Command) -> Result<(), StoreError> {
        join::submit(&self.state, command).await
    }
}

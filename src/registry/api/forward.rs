//! Calls that a node forwards to the leader.
//!
//! Renewals are forwarded in batches: those that arrive while a batch is in flight are sent together in the next one,
//! so the number of a node's calls to the leader does not grow with the fleet.

use crate::http_client::CallError;
use crate::registry::liveness::Renewals;
use crate::registry::node::{Node, RenewalOutcome};
use crate::registry::raft::NodeId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The header that marks a forwarded call, so that it is not forwarded again.
const FORWARDED_HEADER: &str = "x-passed-on";
/// The path of a batch of renewals.
pub(super) const KEEPALIVE_PATH: &str = "/v1/keepalive";
/// Maximum number of renewals in one call, and in one batch.
pub(super) const MAX_RENEWALS: usize = 256;
/// Maximum number of renewal calls waiting to be forwarded.
const MAX_QUEUED_CALLS: usize = 4_096;
/// How long the leader may take to answer a batch. A caller that would wait longer should renew at another node, which
/// may still reach the leader.
const BATCH_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether another node has forwarded this call.
pub(super) fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARDED_HEADER)
}

/// Builds the request that forwards a call.
///
/// # Errors
/// Where `path` is not valid in a request.
pub(super) fn request(
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let request = Request::builder().method(method).uri(path);
    request.header("host", "list").header(FORWARDED_HEADER, "1").body(Full::new(body))
}

/// The result of a batch of renewals, which each call in the batch receives.
pub(super) type ForwardResult = Result<Rc<RenewalOutcome>, ForwardError>;

/// Why forwarded renewals were not answered.
#[derive(Clone, Debug)]
pub(super) enum ForwardError {
    /// They were not applied; another node may lead by now.
    NotApplied,
    /// They may have been applied; the text is the reason why this is unknown.
    Unknown(String),
}

struct QueuedCall {
    renewals: Renewals,
    reply: oneshot::Sender<ForwardResult>,
}

/// Renewal calls that wait until the leader has answered the previous batch.
pub(super) struct ForwardQueue {
    node: Rc<Node>,
    batch_timeout: Duration,
    queued: RefCell<VecDeque<QueuedCall>>,
    /// Whether a task is forwarding the queue.
    forwarding: Cell<bool>,
}

impl ForwardQueue {
    /// Creates an empty queue whose batches `node` forwards.
    pub(super) fn new(node: Rc<Node>, write_timeout: Duration) -> Self {
        let batch_timeout = BATCH_TIMEOUT.min(write_timeout);
        Self { node, batch_timeout, queued: RefCell::default(), forwarding: Cell::new(false) }
    }

    /// Forwards renewals to the leader, in one batch with others that wait.
    ///
    /// # Errors
    /// See [`ForwardError`].
    pub(super) async fn forward(self: &Rc<Self>, renewals: Renewals) -> ForwardResult {
        let (reply, reply_receiver) = oneshot::channel();
        {
            let mut queued = self.queued.borrow_mut();
            if queued.len() >= MAX_QUEUED_CALLS {
                return Err(ForwardError::Unknown("too many renewals wait".into()));
            }
            queued.push_back(QueuedCall { renewals, reply });
        }
        if !self.forwarding.replace(true) {
            let queue = self.clone();
            tokio::task::spawn_local(async move { queue.forward_batches().await });
        }
        reply_receiver.await.unwrap_or_else(|_| Err(ForwardError::Unknown("the batch broke off".into())))
    }

    /// Forwards batches until no call waits.
    async fn forward_batches(&self) {
        loop {
            let (batch, callers) = self.next_batch();
            if callers.is_empty() {
                self.forwarding.set(false);
                return;
            }
            let forwarded = match self.node.leader().filter(|leader| *leader != self.node.id()) {
                Some(leader) => self.forward_batch(leader, &batch).await,
                None => Err(ForwardError::NotApplied),
            };
            for caller in callers {
                // Fails where the caller's call was aborted.
                let _ = caller.send(forwarded.clone());
            }
        }
    }

    /// Removes the calls that have waited longest, as many as fit into one batch.
    fn next_batch(&self) -> (Renewals, Vec<oneshot::Sender<ForwardResult>>) {
        let (mut batch, mut callers) = (Renewals::default(), Vec::new());
        let mut queued = self.queued.borrow_mut();
        while queued.front().is_some_and(|call| batch.len() + call.renewals.len() <= MAX_RENEWALS) {
            let Some(QueuedCall { renewals, reply }) = queued.pop_front() else { break };
            batch.append(renewals);
            callers.push(reply);
        }
        (batch, callers)
    }

    async fn forward_batch(&self, leader: NodeId, batch: &Renewals) -> ForwardResult {
        let unknown =
            |reason: &dyn Display| ForwardError::Unknown(format!("passed on to node {leader}: {reason}"));
        let body = serde_json::to_vec(batch).map_err(|error| unknown(&error))?;
        let request = request(Method::POST, KEEPALIVE_PATH, body.into()).map_err(|error| unknown(&error))?;
        match self.node.forward(leader, request, self.batch_timeout).await {
            Ok(answer) if answer.status() == StatusCode::OK => {
                serde_json::from_slice(answer.body()).map(Rc::new).map_err(|error| unknown(&error))
            }
            Ok(answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST => Err(ForwardError::NotApplied),
            Err(CallError::Connect(_)) => Err(ForwardError::NotApplied),
            Ok(answer) => Err(unknown(&answer.status())),
            Err(error) => Err(unknown(&error)),
        }
    }
}

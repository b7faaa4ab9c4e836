//! Calls about the cluster itself: its members, the Raft calls of other nodes, and the state of this node.
//!
//! - `POST /v1/cluster/forget {"node"}` removes a node whose disk is lost from the members; the node rejoins when it is
//!   started with an empty directory and `join = true`. `POST /v1/cluster/join` is called by the joining node itself.
//! - `GET /v1/status` answers with the node's number, leader, members and revision, the age of its state in
//!   milliseconds, and the numbers of listed backends, of waiting watches and of backends that it has expired.
//! - `/raft/…` is for other nodes ([`crate::registry::raft::network`]).

use super::bodies::Numbered as MemberCall;
use super::error::RequestError;
use super::query;
use super::reply::{self, Reply};
use super::state::ApiState;
use crate::http_client::CallError;
use crate::registry::raft::NodeId;
use crate::registry::raft::network;
use crate::registry::store::Command;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Serialize;
use std::collections::BTreeSet;

/// Path prefix of the calls about members.
pub(super) const PATH_PREFIX: &str = "/v1/cluster/";
/// The path of the call by which a node joins.
pub(super) const JOIN_PATH: &str = "/v1/cluster/join";
/// Path prefix of the Raft calls of other nodes.
pub(super) const RAFT_PATH_PREFIX: &str = "/raft/";

#[derive(Serialize)]
struct StatusReply {
    node: NodeId,
    leader: Option<NodeId>,
    members: BTreeSet<NodeId>,
    revision: u64,
    entries: usize,
    age_ms: u64,
    watching: usize,
    expired: u64,
}

/// Parses the body of the call whose path is [`PATH_PREFIX`] followed by `call`.
pub(super) fn command(call: &str, body: &[u8]) -> Result<Command, RequestError> {
    let MemberCall { node, incarnation } = serde_json::from_slice(body)?;
    match (call, incarnation) {
        ("join", Some(incarnation)) => Ok(Command::Join { node, incarnation }),
        ("join", None) => Err(RequestError::MissingField("incarnation")),
        ("forget", _) => Ok(Command::Forget { node }),
        _ => Err(RequestError::UnknownCall(format!("{PATH_PREFIX}{call}"))),
    }
}

/// Answers with the state of this node.
pub(super) fn status(state: &ApiState) -> Reply {
    let node = &state.node;
    let (entries, revision) = {
        let store = node.store();
        (store.len(), store.revision())
    };
    reply::ok(&StatusReply {
        node: node.id(),
        leader: node.leader(),
        members: node.members(),
        revision,
        entries,
        age_ms: node.staleness().as_millis() as u64,
        watching: state.watches.count(),
        expired: node.expired_count(),
    })
}

/// Answers with the incarnation of the log with which a node takes part, and whether this node belongs to a cluster.
pub(super) fn join_status(state: &ApiState, query: &str) -> Result<Reply, RequestError> {
    let node = query::number(query, "node")?.unwrap_or(0);
    Ok(reply::ok(&state.node.join_status(node)))
}

/// Answers a Raft call of another node; `call` is the path without [`RAFT_PATH_PREFIX`].
pub(super) async fn raft(
    state: &ApiState,
    call: &str,
    request: Request<Incoming>,
) -> Result<Reply, RequestError> {
    let raft = state.node.raft().ok_or(RequestError::NotAdmitted)?;
    let body = Limited::new(request.into_body(), network::MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|_| RequestError::BodyTooLarge("8 MiB"))?.to_bytes();
    if call == "vote" && !state.node.may_vote() {
        return Err(RequestError::MayNotVote);
    }
    let answer = network::handle_call(raft, state.node.durable_log(), call, &body).await.map_err(
        |error| match error {
            CallError::Status(_) => RequestError::UnknownCall(format!("{RAFT_PATH_PREFIX}{call}")),
            error => RequestError::RaftCall(error),
        },
    )?;
    if call == "append" {
        state.node.record_leader_contact();
    }
    Ok(reply::json(StatusCode::OK, answer))
}

//! Writes: calls that are committed to the replicated log before they are answered.
//!
//! A node that does not lead forwards a write to the leader. Without a leader it waits for one to be elected, until the
//! write times out. It then answers 503 with `"outcome":"none"` where the write was not applied and will not be, as in
//! a minority, or with `"outcome":"unknown"` where it may have been applied or may still be.

use super::error::RequestError;
use super::reply::{self, Reply};
use super::settings_view::VersionView;
use super::state::ApiState;
use super::{cluster, endpoints, forward, leases, sessions};
use crate::agreement::state::{AgreementError, CommandOutcome, RequiredRevisions};
use crate::http_client::CallError;
use crate::registry::node::ProposeError;
use crate::registry::raft::{Applied, NodeId};
use crate::registry::store::{Command, StoreError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum size of a command as JSON, in bytes: together with the log's framing it still fits into a record. A longer
/// one would stop the node that logs it.
const MAX_COMMAND_BYTES: usize = 60 << 10;

/// The reply to a write: the result of its command.
#[derive(Default, Serialize)]
struct WriteReply {
    revision: u64,
    /// The granted fencing token.
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<u64>,
    /// The opened session.
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    slot: Option<u32>,
    /// The revision of the agreement's latest change.
    #[serde(skip_serializing_if = "Option::is_none")]
    agreed: Option<u64>,
    /// The revision of the list's latest change.
    #[serde(skip_serializing_if = "Option::is_none")]
    list: Option<u64>,
    /// The sessions that were not renewed, and why.
    #[serde(skip_serializing_if = "Option::is_none")]
    lost: Option<BTreeMap<u64, String>>,
    /// The published settings version.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
}

impl From<Applied> for WriteReply {
    fn from(applied: Applied) -> Self {
        let reply = Self { revision: applied.revision, token: applied.token, ..Self::default() };
        match applied.outcome {
            CommandOutcome::Opened { session, slot, required: latest } => {
                Self { session: Some(session), slot: Some(slot), ..reply.with_latest(latest) }
            }
            CommandOutcome::Renewed { lost, required: latest } => {
                Self { lost: Some(lost), ..reply.with_latest(latest) }
            }
            CommandOutcome::Published(version) => Self { version: Some(version), ..reply },
            CommandOutcome::Nothing => reply,
        }
    }
}

impl WriteReply {
    fn with_latest(self, latest: RequiredRevisions) -> Self {
        Self { agreed: Some(latest.agreed), list: Some(latest.list), ..self }
    }
}

/// Parses the body of a write to `path` into its command.
fn parse(path: &str, body: &[u8]) -> Result<Command, RequestError> {
    if let Some(call) = path.strip_prefix(leases::PATH_PREFIX) {
        return leases::command(call, body);
    }
    if let Some(call) = path.strip_prefix(cluster::PATH_PREFIX) {
        return cluster::command(call, body);
    }
    if path == sessions::SETTINGS_PATH || path.starts_with(sessions::PATH_PREFIX) {
        return Ok(Command::ChangeAgreement { change: sessions::change(path, body)?, at_ms: 0 });
    }
    match path {
        "/v1/register" => endpoints::registration(body),
        _ => endpoints::instance_command(path, body),
    }
}

/// Commits a write on this node or at the leader. A call that another node has `forwarded` is not forwarded again.
pub(super) async fn write(
    state: &ApiState,
    path: &str,
    body: Bytes,
    forwarded: bool,
) -> Result<Reply, RequestError> {
    let command = parse(path, &body)?;
    if serde_json::to_vec(&command).map_or(usize::MAX, |json| json.len()) > MAX_COMMAND_BYTES {
        return Err(RequestError::WriteTooLarge);
    }
    let _write = state.begin_write()?;
    let deadline = Instant::now() + state.write_timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(RequestError::NoLeaderForWrite);
        }
        let leader = match propose(state, &command, remaining).await {
            Ok(applied) => return Ok(reply::ok(&WriteReply::from(applied))),
            Err(ProposeError::NotLeader(leader)) => leader,
            Err(ProposeError::Rejected(error)) => return Err(rejection(state, error)),
            Err(error) => return Err(RequestError::NotAcknowledged(error)),
        };
        if forwarded {
            return Err(RequestError::NotLeader);
        }
        if let Some(leader) = leader
            && let Some(reply) = forward_to(state, leader, path, &body, remaining).await?
        {
            return Ok(reply);
        }
        state.node.wait_for_raft_change().await;
    }
}

/// Proposes a command to this node, and makes the change of members that the command requires.
async fn propose(state: &ApiState, command: &Command, timeout: Duration) -> Result<Applied, ProposeError> {
    let node = &state.node;
    if let Command::Forget { node: former } = command
        && node.leader() == Some(node.id())
    {
        node.remove_member(*former).await.map_err(|error| ProposeError::Failed(error.to_string()))?;
    }
    let applied = node.propose(command.clone(), timeout).await?;
    if let Command::Join { node: joining, .. } = command {
        node.add_member(*joining).await.map_err(|error| ProposeError::Failed(error.to_string()))?;
    }
    Ok(applied)
}

/// Forwards a write; returns the leader's reply, or `None` where that node did not accept the write: another one may
/// lead by now.
async fn forward_to(
    state: &ApiState,
    leader: NodeId,
    path: &str,
    body: &Bytes,
    timeout: Duration,
) -> Result<Option<Reply>, RequestError> {
    let request = forward::request(Method::POST, path, body.clone())?;
    match state.node.forward(leader, request, timeout).await {
        Ok(answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST => Ok(None),
        Err(CallError::Connect(_)) => Ok(None),
        Ok(answer) => Ok(Some(answer.map(Full::new))),
        Err(error) => Err(RequestError::ForwardFailed { leader, error }),
    }
}

fn rejection(state: &ApiState, error: StoreError) -> RequestError {
    match error {
        StoreError::Agreement(error @ AgreementError::Conflict { head, .. }) => {
            let store = state.node.store();
            let head = VersionView::with_document(head, store.agreement());
            RequestError::Conflict { error, head: head.map(Box::new) }
        }
        error => RequestError::Rejected(error),
    }
}

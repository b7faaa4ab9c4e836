//! Calls between list-service nodes: Raft's requests, sent as JSON with `POST /raft/…` over HTTP/1.1 to the port that
//! serves the API.

use super::log::{AppendRange, Log};
use super::quorum_lease::QuorumLease;
use super::{NodeId, Raft, TypeConfig};
use crate::http_client::{CallError, HttpClient, post_json};
use hyper::StatusCode;
use openraft::error::{
    Infallible, InstallSnapshotError, RPCError, RaftError, RemoteError, Timeout, Unreachable,
};
use openraft::network::{Backoff, RPCOption, RPCTypes};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{EmptyNode, RaftNetwork, RaftNetworkFactory};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum body of a call between nodes, in bytes: enough for 100 entries, the maximum of one call, of up to 64 KiB
/// each, or for a chunk of a snapshot as JSON numbers.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of a snapshot sent in one call; as JSON they take about four times as many.
pub const SNAPSHOT_CHUNK_BYTES: u64 = 256 << 10;
/// How long to wait before calling an unreachable peer again.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A node's log, with the limits on how long the node waits until appended entries are durable in it.
#[derive(Clone)]
pub struct DurableLog {
    /// The node's log.
    pub log: Log,
    /// How long an acknowledgement of all entries waits for a sync; after that it covers the entries that are durable.
    pub full_ack_timeout: Duration,
    /// A leader whose log waits longer than this for a sync does not call other nodes, so that another node is elected.
    pub max_leader_stall: Duration,
}

/// Creates the clients with which one node's Raft calls the other nodes.
pub struct Network {
    /// The address at which this node reaches each other node.
    pub peers: Arc<BTreeMap<NodeId, SocketAddr>>,
    /// This node.
    pub node: NodeId,
    /// Records which calls that this node sent as the leader have been acknowledged.
    pub quorum_lease: QuorumLease,
    /// This node's log.
    pub durable_log: DurableLog,
}

impl RaftNetworkFactory<TypeConfig> for Network {
    type Network = PeerClient;

    async fn new_client(&mut self, target: NodeId, _: &EmptyNode) -> PeerClient {
        PeerClient {
            node: self.node,
            target,
            client: self.peers.get(&target).copied().map(HttpClient::new),
            quorum_lease: self.quorum_lease.clone(),
            durable_log: self.durable_log.clone(),
        }
    }
}

/// Raft's client of one other node.
pub struct PeerClient {
    node: NodeId,
    target: NodeId,
    /// `None` if the configuration does not name the node.
    client: Option<HttpClient>,
    quorum_lease: QuorumLease,
    durable_log: DurableLog,
}

/// Why one of Raft's calls failed; `E` is the error with which the other node may answer.
type CallFailure<E> = RPCError<NodeId, EmptyNode, RaftError<NodeId, E>>;

fn unreachable<E: std::error::Error>(error: CallError) -> CallFailure<E> {
    RPCError::Unreachable(Unreachable::new(&error))
}

impl PeerClient {
    async fn call<A, E>(
        &mut self,
        action: RPCTypes,
        path: &str,
        request: &impl Serialize,
        option: &RPCOption,
    ) -> Result<A, CallFailure<E>>
    where
        A: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let timeout = option.hard_ttl();
        let Some(client) = &mut self.client else {
            return Err(unreachable(CallError::Status(StatusCode::NOT_FOUND)));
        };
        let request = post_json(path, request).map_err(unreachable)?;
        let reply = match client.call(request, timeout).await {
            Ok(reply) if reply.status().is_success() => reply,
            Ok(reply) => return Err(unreachable(CallError::Status(reply.status()))),
            Err(CallError::Timeout) => {
                let (id, target) = (self.node, self.target);
                return Err(RPCError::Timeout(Timeout { action, id, target, timeout }));
            }
            Err(error) => return Err(unreachable(error)),
        };
        let result: Result<A, RaftError<NodeId, E>> =
            serde_json::from_slice(reply.body()).map_err(|e| unreachable(e.into()))?;
        result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

impl RaftNetwork<TypeConfig> for PeerClient {
    async fn append_entries(
        &mut self,
        request: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, CallFailure<Infallible>> {
        let DurableLog { log, full_ack_timeout, max_leader_stall } = self.durable_log.clone();
        if log.sync_pending_for() > max_leader_stall {
            return Err(unreachable(CallError::Timeout));
        }
        let (term, sent_at) = (request.vote.leader_id().term, Instant::now());
        let reply = self.call(RPCTypes::AppendEntries, "/raft/append", &request, &option).await?;
        if !matches!(reply, AppendEntriesResponse::HigherVote(_)) {
            self.quorum_lease.record_acknowledgement(self.target, term, sent_at);
        }
        let acknowledged = match reply {
            AppendEntriesResponse::Success => AppendRange::of(&request),
            AppendEntriesResponse::PartialSuccess(last) => {
                AppendRange { previous: request.prev_log_id, last }
            }
            AppendEntriesResponse::Conflict | AppendEntriesResponse::HigherVote(_) => return Ok(reply),
        };
        match (log.acknowledge(acknowledged, full_ack_timeout).await, reply) {
            (Some(AppendEntriesResponse::Success), reply) => Ok(reply),
            (Some(partial), _) => Ok(partial),
            (None, _) => Err(unreachable(CallError::Timeout)),
        }
    }

    async fn install_snapshot(
        &mut self,
        request: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<NodeId>, CallFailure<InstallSnapshotError>> {
        self.call(RPCTypes::InstallSnapshot, "/raft/snapshot", &request, &option).await
    }

    async fn vote(
        &mut self,
        request: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, CallFailure<Infallible>> {
        self.call(RPCTypes::Vote, "/raft/vote", &request, &option).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(PEER_RETRY_INTERVAL))
    }
}

/// Handles a call from another node's Raft and returns the body of the reply; `call` is the last part of its path.
///
/// # Errors
/// `Json` if the body is not a request of that call, `Status` if there is no such call, `Timeout` if the
/// entries could not be made durable.
pub async fn handle_call(
    raft: &Raft,
    durable_log: &DurableLog,
    call: &str,
    body: &[u8],
) -> Result<Vec<u8>, CallError> {
    Ok(match call {
        "append" => {
            let request: AppendEntriesRequest<TypeConfig> = serde_json::from_slice(body)?;
            let range = AppendRange::of(&request);
            let reply = match raft.append_entries(request).await {
                Ok(AppendEntriesResponse::Success) => {
                    let acknowledged = durable_log.log.acknowledge(range, durable_log.full_ack_timeout).await;
                    Ok(acknowledged.ok_or(CallError::Timeout)?)
                }
                reply => reply,
            };
            serde_json::to_vec(&reply)?
        }
        "vote" => serde_json::to_vec(&raft.vote(serde_json::from_slice(body)?).await)?,
        "snapshot" => serde_json::to_vec(&raft.install_snapshot(serde_json::from_slice(body)?).await)?,
        _ => return Err(CallError::Status(StatusCode::NOT_FOUND)),
    })
}

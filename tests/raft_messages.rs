//! The messages between list-service nodes in their wire format. Nodes of two builds exchange messages while a
//! cluster is upgraded one node at a time, so each build must read and write every format here.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use linkhatch_proxy::registry::node::membership::JoinStatus;
use linkhatch_proxy::registry::raft::log::Log;
use linkhatch_proxy::registry::raft::network::{DurableLog, Network, PeerClient};
use linkhatch_proxy::registry::raft::quorum_lease::QuorumLease;
use linkhatch_proxy::registry::raft::{NodeId, TypeConfig};
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::network::RPCOption;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{EmptyNode, RaftNetwork, RaftNetworkFactory};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One message per line: its kind, a space and its JSON, as the build before this one wrote it.
const MESSAGES: &str = include_str!("fixtures/raft/messages.txt");
const CALLER: NodeId = 2;
const TARGET: NodeId = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The recorded messages of one kind.
fn recorded(kind: &str) -> Vec<&'static str> {
    let messages: Vec<&str> =
        MESSAGES.lines().filter_map(|line| line.strip_prefix(kind)?.strip_prefix(' ')).collect();
    assert!(!messages.is_empty(), "no message of kind {kind}");
    messages
}

fn parse<T: DeserializeOwned>(message: &str) -> T {
    serde_json::from_str(message).unwrap_or_else(|error| panic!("{error}: {message}"))
}

/// Reads each message of one kind and asserts that it is written again byte for byte.
fn assert_round_trips<T: DeserializeOwned + Serialize>(kind: &str) {
    for message in recorded(kind) {
        let written = serde_json::to_string(&parse::<T>(message)).expect("a message serializes");
        assert_eq!(written, message, "{kind}");
    }
}

type SnapshotReply = Result<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>>;

#[test]
fn messages_between_nodes_keep_their_form() {
    assert_round_trips::<VoteRequest<NodeId>>("vote_request");
    assert_round_trips::<Result<VoteResponse<NodeId>, RaftError<NodeId>>>("vote_reply");
    assert_round_trips::<AppendEntriesRequest<TypeConfig>>("append_request");
    assert_round_trips::<Result<AppendEntriesResponse<NodeId>, RaftError<NodeId>>>("append_reply");
    assert_round_trips::<InstallSnapshotRequest<TypeConfig>>("snapshot_request");
    assert_round_trips::<SnapshotReply>("snapshot_reply");
    assert_round_trips::<JoinStatus>("joined_reply");
}

/// A node that answers every call with the same body and records the calls.
struct RecordingNode {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<(String, String)>>>,
}

impl RecordingNode {
    async fn start(reply: &'static str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let address = listener.local_addr().expect("a bound address");
        let calls: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
        let recorded = calls.clone();
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let service = service_fn(move |request| record_call(request, recorded.clone(), reply));
            let http = hyper::server::conn::http1::Builder::new();
            // The caller closes the connection when the test is done with it.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
        Self { address, calls }
    }

    /// A client of this node, as Raft uses it.
    async fn client(&self) -> PeerClient {
        let peers = Arc::new(BTreeMap::from([(TARGET, self.address)]));
        let durable_log = DurableLog {
            log: Log::in_memory(CALLER),
            full_ack_timeout: CALL_TIMEOUT,
            max_leader_stall: CALL_TIMEOUT,
        };
        let mut network = Network { peers, node: CALLER, quorum_lease: QuorumLease::default(), durable_log };
        network.new_client(TARGET, &EmptyNode {}).await
    }

    /// Asserts that the node was called exactly once, on `path` with `body`.
    fn assert_called_once(&self, path: &str, body: &str) {
        let calls = self.calls.lock().expect("not poisoned");
        assert_eq!(*calls, [(format!("POST {path}"), body.to_string())]);
    }
}

async fn record_call(
    request: Request<Incoming>,
    calls: Arc<Mutex<Vec<(String, String)>>>,
    reply: &'static str,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let call = format!("{} {}", request.method(), request.uri());
    let body = request.into_body().collect().await.expect("a complete body").to_bytes();
    let body = String::from_utf8(body.to_vec()).expect("a body in UTF-8");
    calls.lock().expect("not poisoned").push((call, body));
    Ok(Response::new(Full::new(Bytes::from(reply))))
}

/// The value inside the `Ok` of a reply, as the client's types serialize it.
fn ok_value(reply: &str) -> &str {
    reply.strip_prefix("{\"Ok\":").and_then(|rest| rest.strip_suffix('}')).expect("a successful reply")
}

fn rpc_option() -> RPCOption {
    RPCOption::new(CALL_TIMEOUT)
}

#[tokio::test]
async fn a_node_requests_votes_on_the_vote_path() {
    let (request, reply) = (recorded("vote_request")[0], recorded("vote_reply")[0]);
    let node = RecordingNode::start(reply).await;
    let answer = node.client().await.vote(parse(request), rpc_option()).await.expect("a reply");
    node.assert_called_once("/raft/vote", request);
    assert_eq!(serde_json::to_string(&answer).expect("serializes"), ok_value(reply));
}

#[tokio::test]
async fn a_node_appends_entries_on_the_append_path() {
    for request in recorded("append_request") {
        let reply = recorded("append_reply")[0];
        let node = RecordingNode::start(reply).await;
        let answer = node.client().await.append_entries(parse(request), rpc_option()).await.expect("a reply");
        node.assert_called_once("/raft/append", request);
        assert_eq!(serde_json::to_string(&answer).expect("serializes"), ok_value(reply));
    }
}

#[tokio::test]
async fn a_node_sends_snapshot_chunks_on_the_snapshot_path() {
    let (request, reply) = (recorded("snapshot_request")[0], recorded("snapshot_reply")[0]);
    let node = RecordingNode::start(reply).await;
    let answer = node.client().await.install_snapshot(parse(request), rpc_option()).await.expect("a reply");
    node.assert_called_once("/raft/snapshot", request);
    assert_eq!(serde_json::to_string(&answer).expect("serializes"), ok_value(reply));
}

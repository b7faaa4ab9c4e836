//! The call by which this node joins its cluster.

use super::bodies::Numbered as MemberCall;
use super::cluster::JOIN_PATH;
use super::reply::{self, Reply};
use super::state::ApiState;
use super::writes;
use crate::registry::store::{Command, StoreError};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use std::time::Duration;

/// How long one attempt of the call may take.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Submits `command`, which is a `Join`, to whichever node leads.
///
/// # Errors
/// `Joined` where the cluster rejects this node's log; `Unknown` with the reason where it is not acknowledged yet.
pub(super) async fn submit(state: &ApiState, command: Command) -> Result<(), StoreError> {
    let Command::Join { node, incarnation } = command else {
        return Err(StoreError::Unknown("not a command to join".into()));
    };
    let body = reply::sorted_json(&MemberCall { node, incarnation: Some(incarnation) });
    if state.node.leader().is_none() {
        return submit_to_peers(state, node, body).await;
    }
    let writing = writes::write(state, JOIN_PATH, body, false);
    let status = match tokio::time::timeout(JOIN_TIMEOUT, writing).await {
        Ok(written) => written.unwrap_or_else(Reply::from).status(),
        Err(_) => StatusCode::GATEWAY_TIMEOUT,
    };
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::CONFLICT => Err(StoreError::OtherLogJoined(node)),
        status => Err(StoreError::Unknown(format!("status {status}"))),
    }
}

/// Submits the call to the other nodes, which forward it: a node that is not a member yet may not know the leader,
/// because no node calls it.
async fn submit_to_peers(state: &ApiState, node: u64, body: Bytes) -> Result<(), StoreError> {
    for peer in state.node.peers() {
        let request = Request::post(JOIN_PATH).header("host", "list").body(body.clone().into());
        let answer = state.node.forward(peer, request.unwrap_or_default(), JOIN_TIMEOUT).await;
        match answer.map(|answer| answer.status()) {
            Ok(StatusCode::OK) => return Ok(()),
            Ok(StatusCode::CONFLICT) => return Err(StoreError::OtherLogJoined(node)),
            _ => {}
        }
    }
    Err(StoreError::Unknown("no other node acknowledged the call to join".into()))
}

//! Calls for the endpoint list: the list and its watch for proxies, and the writes of backends and operators.
//!
//! - `GET /api/targets` answers with the complete list. With `since=N&timeout_ms=T` it waits up to T ms (at most
//!   60,000) for a change after revision N. A watch that ends without a change gets the revision with no entries; if N
//!   is ahead of this node's revision, it gets 503 instead, never an older revision.
//! - `POST /v1/register` takes an instance in the form that it has in the list, plus `ttlMs`.
//! - `POST /v1/deregister` and `/v1/drain` take `{"instanceId"}`, and `/v1/weight` takes `{"instanceId","weight"}`.

use super::bodies::Named as InstanceCall;
use super::error::RequestError;
use super::query::Watch;
use super::reply::{self, Reply};
use super::state::ApiState;
use crate::registry::store::{Command, Instance, WatchEvent};
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;

/// Unknown fields are ignored: serde has no `deny_unknown_fields` with `flatten`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Registration {
    #[serde(flatten)]
    instance: Instance,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct ListReply<'a> {
    #[serde(rename = "generation")]
    revision: u64,
    reset: bool,
    instances: &'a [Instance],
}

/// Parses a registration.
pub(super) fn registration(body: &[u8]) -> Result<Command, RequestError> {
    let Registration { instance, ttl_ms } = serde_json::from_slice(body)?;
    Ok(Command::Register { instance, ttl_ms, at_ms: 0 })
}

/// Parses a call for one listed instance.
pub(super) fn instance_command(path: &str, body: &[u8]) -> Result<Command, RequestError> {
    let InstanceCall { instance_id, weight } = serde_json::from_slice(body)?;
    match (path, weight) {
        ("/v1/deregister", None) => Ok(Command::Deregister { instance_id }),
        ("/v1/drain", None) => Ok(Command::Drain { instance_id }),
        ("/v1/weight", Some(weight)) => Ok(Command::SetWeight { instance_id, weight }),
        ("/v1/weight", None) => Err(RequestError::MissingField("weight")),
        (_, Some(_)) => Err(RequestError::UnexpectedWeight),
        _ => Err(RequestError::UnknownCall(path.to_string())),
    }
}

/// Answers a read or a watch of the list.
pub(super) async fn list(state: &ApiState, query: &str) -> Result<Reply, RequestError> {
    let Watch { since, max_wait } = Watch::from_query(query)?;
    let Some(since) = since else {
        let complete = state.node.store().full_list();
        return Ok(reply::json(StatusCode::OK, event_body(&complete)));
    };
    let _watch = state.begin_watch()?;
    let changed = state.node.wait_for_list_change(since, max_wait).await;
    let revision = state.node.revision();
    if changed {
        return Ok(reply::json(StatusCode::OK, changes_body(state, since)));
    }
    if since > revision {
        return Err(RequestError::ListBehind { at: revision, since });
    }
    Ok(reply::json(StatusCode::OK, event_body(&WatchEvent::empty(revision))))
}

/// The JSON of the changes since a revision.
fn changes_body(state: &ApiState, since: u64) -> Bytes {
    let store = state.node.store();
    let revision = store.revision();
    let make = || {
        let event = store.changes_since(since).unwrap_or_else(|| WatchEvent::empty(revision));
        Ok::<_, Infallible>(event_body(&event))
    };
    match state.list_event_body.get_or_make((since, revision), make) {
        Ok(body) => body,
    }
}

fn event_body(event: &WatchEvent) -> Bytes {
    let WatchEvent { revision, reset, instances } = event;
    reply::sorted_json(&ListReply { revision: *revision, reset: *reset, instances })
}

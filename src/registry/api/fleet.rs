//! `GET /v1/fleet`: the live sessions and those that have ended, from the leader's state.

use super::error::RequestError;
use super::forward;
use super::reply::{self, Reply};
use super::state::ApiState;
use crate::agreement::MembersView;
use crate::agreement::state::{EndedSession, Renewal, Session};
use crate::registry::node::renewal::SessionView as SessionState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode};
use serde::Serialize;

const FLEET_PATH: &str = "/v1/fleet";

#[derive(Serialize)]
struct FleetReply<'a> {
    revision: u64,
    #[serde(rename = "list")]
    list_revision: u64,
    committed: u64,
    offered: Option<u64>,
    members: MembersView,
    sessions: Vec<SessionView<'a>>,
    ended: Vec<EndedView<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct SessionView<'a> {
    session: u64,
    name: &'a str,
    slot: u32,
    ttl_ms: u64,
    #[serde(rename = "said")]
    last_renewal: Renewal,
    /// Milliseconds until the session expires unless renewed; none where this node does not accept renewals.
    left_ms: Option<u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct EndedView<'a> {
    session: u64,
    name: &'a str,
    slot: u32,
    #[serde(rename = "said")]
    last_renewal: Renewal,
    #[serde(rename = "why")]
    reason: &'a str,
    ago_ms: u64,
}

/// Answers with the leader's state of the fleet, since only the leader accepts renewals. Where the leader is not
/// reached or another node has `forwarded` the call, answers with this node's state.
pub(super) async fn fleet(state: &ApiState, forwarded: bool) -> Result<Reply, RequestError> {
    let leader = state.node.leader().filter(|leader| *leader != state.node.id() && !forwarded);
    if let Some(leader) = leader {
        let request = forward::request(Method::GET, FLEET_PATH, Bytes::new())?;
        if let Ok(answer) = state.node.forward(leader, request, state.write_timeout).await
            && answer.status() == StatusCode::OK
        {
            return Ok(answer.map(Full::new));
        }
    }
    Ok(local_reply(state))
}

fn local_reply(state: &ApiState) -> Reply {
    let now_ms = state.node.log_time();
    let store = state.node.store();
    let agreement = store.agreement();
    let sessions = agreement.sessions().iter();
    reply::ok(&FleetReply {
        revision: store.revision(),
        list_revision: store.list_revision(),
        committed: agreement.committed(),
        offered: agreement.offered(),
        members: MembersView::from(agreement.members()),
        sessions: sessions.map(|(id, session)| session_view(state, *id, session, now_ms)).collect(),
        ended: agreement.ended().iter().map(|ended| ended_view(ended, now_ms)).collect(),
    })
}

fn session_view<'a>(state: &ApiState, id: u64, session: &'a Session, now_ms: u64) -> SessionView<'a> {
    let SessionState { last_report, remaining_ms } = state.node.session_view(id, session, now_ms);
    SessionView {
        session: id,
        name: &session.name,
        slot: session.slot,
        ttl_ms: session.ttl_ms,
        last_renewal: last_report,
        left_ms: remaining_ms,
    }
}

fn ended_view(ended: &EndedSession, now_ms: u64) -> EndedView<'_> {
    EndedView {
        session: ended.session,
        name: &ended.name,
        slot: ended.slot,
        last_renewal: ended.last_renewal,
        reason: &ended.reason,
        ago_ms: now_ms.saturating_sub(ended.ended_at_ms),
    }
}

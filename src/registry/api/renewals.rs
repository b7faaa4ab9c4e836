//! Renewals: one call renews everything that one machine keeps alive (backends, grants of leases, sessions). It is
//! answered from the leader's memory ([`crate::registry::liveness`]).
//!
//! `POST /v1/keepalive {"instances":["…"],"grants":[{"name","token"}],"sessions":[…]}` is answered
//! `{"revision","agreed","list","lost":{…}}`, where `lost` lists what was not renewed: backends to register again, and
//! grants and sessions that are no longer valid. `/v1/heartbeat`, `/v1/lease/keepalive` and `/v1/session/renew` renew
//! one kind each, and are answered with an error where something is lost.
//!
//! Only the acknowledgement of an offered settings version is written to the log.

use super::error::RequestError;
use super::forward::{ForwardError, KEEPALIVE_PATH, MAX_RENEWALS};
use super::reply::{self, Reply};
use super::state::ApiState;
use crate::agreement::state::{Command as Change, Renewal};
use crate::registry::liveness::{Lost, Renewals};
use crate::registry::node::{ProposeError, RenewalOutcome};
use crate::registry::store::{Command, GrantId, StoreError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Heartbeat {
    instance_id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SeveralSessions {
    renewals: Vec<Renewal>,
}

/// The text of `expecting` is an error text of the API.
#[derive(Deserialize)]
#[serde(untagged, expecting = "data did not match any variant of untagged enum SessionRenewals")]
enum SessionCall {
    Several(SeveralSessions),
    One(Renewal),
}

/// A renewal call.
pub(super) struct RenewalCall {
    renewals: Renewals,
    /// Whether the reply lists what is lost; otherwise a loss is answered with an error.
    reports_lost: bool,
}

#[derive(Serialize)]
struct RenewalReply<'a> {
    revision: u64,
    agreed: u64,
    list: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    lost: Option<&'a Lost>,
}

/// Parses a renewal call; `None` where the path is that of another call.
pub(super) fn parse(path: &str, body: &[u8]) -> Option<Result<RenewalCall, RequestError>> {
    let renewals = match path {
        KEEPALIVE_PATH => parse_keepalive(body),
        "/v1/heartbeat" => parse_heartbeat(body),
        "/v1/lease/keepalive" => parse_grant(body),
        "/v1/session/renew" => parse_sessions(body),
        _ => return None,
    };
    Some(renewals.map(|renewals| RenewalCall { renewals, reports_lost: path == KEEPALIVE_PATH }))
}

fn parse_keepalive(body: &[u8]) -> Result<Renewals, RequestError> {
    let renewals: Renewals = serde_json::from_slice(body)?;
    if renewals.len() > MAX_RENEWALS {
        return Err(RequestError::TooManyRenewals(MAX_RENEWALS));
    }
    Ok(renewals)
}

fn parse_heartbeat(body: &[u8]) -> Result<Renewals, RequestError> {
    let Heartbeat { instance_id } = serde_json::from_slice(body)?;
    Ok(Renewals { instances: vec![instance_id], ..Renewals::default() })
}

fn parse_grant(body: &[u8]) -> Result<Renewals, RequestError> {
    let grant: GrantId = serde_json::from_slice(body)?;
    Ok(Renewals { grants: vec![grant], ..Renewals::default() })
}

fn parse_sessions(body: &[u8]) -> Result<Renewals, RequestError> {
    let sessions = match serde_json::from_slice(body)? {
        SessionCall::Several(SeveralSessions { renewals }) => renewals,
        SessionCall::One(renewal) => vec![renewal],
    };
    Ok(Renewals { sessions, ..Renewals::default() })
}

/// Renews the items of a call, on this node where it leads, otherwise at the leader. A call that another node has
/// `forwarded` is not forwarded again.
pub(super) async fn renew(
    state: &ApiState,
    call: RenewalCall,
    forwarded: bool,
) -> Result<Reply, RequestError> {
    let deadline = Instant::now() + state.write_timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(RequestError::NoLeaderForRenewal);
        }
        let leader = match state.node.renew(&call.renewals) {
            Ok(renewed) => return acknowledge(state, &call, renewed, remaining).await,
            Err(ProposeError::NotLeader(leader)) => leader,
            Err(error) => return Err(RequestError::RenewalFailed(error)),
        };
        if forwarded {
            return Err(RequestError::NotLeader);
        }
        if leader.is_some() {
            match state.forward_queue.forward(call.renewals.clone()).await {
                Ok(renewed) => {
                    return renewal_reply(&call, &renewed, &lost_of_call(&call.renewals, &renewed.lost));
                }
                Err(ForwardError::NotApplied) => {}
                Err(ForwardError::Unknown(reason)) => return Err(RequestError::RenewalForwardFailed(reason)),
            }
        }
        state.node.wait_for_raft_change().await;
    }
}

/// Commits the acknowledgements of settings versions that came with renewals, and answers the call.
async fn acknowledge(
    state: &ApiState,
    call: &RenewalCall,
    mut renewed: RenewalOutcome,
    timeout: Duration,
) -> Result<Reply, RequestError> {
    let renewals: Vec<Renewal> = {
        let store = state.node.store();
        let sessions = store.agreement().sessions();
        let is_new = |renewal: &&Renewal| {
            sessions.get(&renewal.session).is_some_and(|session| renewal.acknowledged > session.acknowledged)
        };
        call.renewals.sessions.iter().filter(is_new).copied().collect()
    };
    if !renewals.is_empty() {
        let command = Command::ChangeAgreement { change: Change::Renew { renewals }, at_ms: 0 };
        let applied = state.node.propose(command, timeout).await;
        renewed.merge(applied.map_err(RequestError::NotAcknowledged)?);
    }
    renewal_reply(call, &renewed, &renewed.lost)
}

/// The part of a batch's losses that concerns the `renewals` of one of its calls.
fn lost_of_call(renewals: &Renewals, lost: &Lost) -> Lost {
    let sessions: BTreeSet<u64> = renewals.sessions.iter().map(|renewal| renewal.session).collect();
    Lost {
        instances: lost.instances.iter().filter(|id| renewals.instances.contains(id)).cloned().collect(),
        grants: lost.grants.iter().filter(|grant| renewals.grants.contains(grant)).cloned().collect(),
        sessions: lost
            .sessions
            .iter()
            .filter(|(id, _)| sessions.contains(id))
            .map(|(id, reason)| (*id, reason.clone()))
            .collect(),
    }
}

fn renewal_reply(call: &RenewalCall, renewed: &RenewalOutcome, lost: &Lost) -> Result<Reply, RequestError> {
    if !call.reports_lost {
        check_nothing_lost(lost)?;
    }
    Ok(reply::ok(&RenewalReply {
        revision: renewed.revision,
        agreed: renewed.agreed,
        list: renewed.list,
        lost: call.reports_lost.then_some(lost),
    }))
}

fn check_nothing_lost(lost: &Lost) -> Result<(), RequestError> {
    if let Some(id) = lost.instances.first() {
        return Err(StoreError::Unknown(id.clone()).into());
    }
    if let Some(grant) = lost.grants.first() {
        return Err(StoreError::Lost(grant.name.clone()).into());
    }
    match lost.sessions.values().next() {
        Some(reason) => Err(RequestError::SessionLost(reason.clone())),
        None => Ok(()),
    }
}

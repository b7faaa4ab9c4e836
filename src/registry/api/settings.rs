//! Reads of the agreement: the members, the committed and the offered settings, and the settings' versions.
//!
//! - `GET /v1/agreed` answers with [`AgreementView`]; with `since=R&timeout_ms=T` it waits up to T ms (at most 60,000)
//!   for a change after revision R. `have=V,W` omits the documents of those versions.
//! - `GET /v1/settings` answers with the head, the committed and the offered version, or with `version=V` with that
//!   version. `GET /v1/settings/history` answers with every version without its document, latest first.

use super::error::RequestError;
use super::query::{self, Watch};
use super::reply::{self, Reply};
use super::settings_view::VersionView;
use super::state::ApiState;
use crate::agreement::state::Agreement;
use crate::agreement::{AgreementView, MembersView, SettingsView};
use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

#[derive(Serialize)]
struct SettingsReply {
    head: Option<VersionView>,
    committed: u64,
    offered: Option<u64>,
}

#[derive(Serialize)]
struct HistoryReply {
    versions: Vec<VersionView>,
}

/// Answers a read or a watch of the agreement.
pub(super) async fn agreed(state: &ApiState, query: &str) -> Result<Reply, RequestError> {
    let Watch { since, max_wait } = Watch::from_query(query)?;
    let omitted_list = query::text(query, "have").unwrap_or("").to_string();
    if let Some(since) = since {
        let _watch = state.begin_watch()?;
        state.node.wait_for_agreement_change(since, max_wait).await;
    }
    let store = state.node.store();
    let agreement = store.agreement();
    let at = agreement.latest_change();
    if let Some(since) = since.filter(|since| *since > at) {
        return Err(RequestError::AgreementBehind { at, since });
    }
    let omitted: Vec<u64> = omitted_list.split(',').filter_map(|version| version.parse().ok()).collect();
    let make = || agreement_body(agreement, &omitted);
    let body = state.agreement_body.get_or_make((at, omitted_list), make)?;
    Ok(reply::json(StatusCode::OK, body))
}

/// The JSON of the agreement, without the documents of the versions that the watcher has.
fn agreement_body(agreement: &Agreement, omitted: &[u64]) -> Result<Bytes, RequestError> {
    let settings_view = |version: u64| {
        let document = agreement.version(version)?.document.clone();
        Some(SettingsView { version, document: Some(document).filter(|_| !omitted.contains(&version)) })
    };
    let agreed = AgreementView {
        revision: agreement.latest_change(),
        members: MembersView::from(agreement.members()),
        committed: settings_view(agreement.committed()),
        offered: agreement.offered().and_then(settings_view),
    };
    Ok(serde_json::to_vec(&agreed)?.into())
}

/// Answers with one version, or with the head.
pub(super) fn settings(state: &ApiState, query: &str) -> Result<Reply, RequestError> {
    let version = query::number(query, "version")?;
    let store = state.node.store();
    let agreement = store.agreement();
    if let Some(version) = version {
        let view = VersionView::with_document(version, agreement);
        return Ok(reply::ok(&view.ok_or(RequestError::UnknownVersion(version))?));
    }
    Ok(reply::ok(&SettingsReply {
        head: VersionView::with_document(agreement.head(), agreement),
        committed: agreement.committed(),
        offered: agreement.offered(),
    }))
}

/// Answers with every retained version, latest first.
pub(super) fn history(state: &ApiState) -> Reply {
    let store = state.node.store();
    let agreement = store.agreement();
    let versions = agreement.versions().iter().rev();
    let versions = versions.map(|(number, version)| VersionView::summary(*number, version, agreement));
    reply::ok(&HistoryReply { versions: versions.collect() })
}

//! The calls for sessions of proxies and for the settings that are written to the log.
//!
//! - `POST /v1/session/open {"name","ttlMs","holds"}` is answered `{"revision","session","slot","agreed","list"}`, or
//!   409 with `"hold":V` where the proxy must have version V first.
//! - `POST /v1/session/close {"session"}` ends a session; `POST /v1/session/refuse {"session"?,"name","version","why"}`
//!   reports that a proxy cannot apply a version.
//! - `POST /v1/settings {"parent","by","note"?,"document"}` publishes a version. It is answered
//!   `{"revision","version"}`, 400 with the `"key"` that is wrong, or 409 with the `"head"` where the parent is not the
//!   head.
//! - `POST /v1/session/renew` is a renewal ([`super::renewals`]).

use super::bodies::Refuse as RejectVersion;
use super::error::RequestError;
use crate::agreement::document::Document;
use crate::agreement::state::Command as Change;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::sync::Arc;

/// Path prefix of the calls for sessions.
pub(super) const PATH_PREFIX: &str = "/v1/session/";
/// The path of a publication.
pub(super) const SETTINGS_PATH: &str = "/v1/settings";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Open {
    name: String,
    ttl_ms: u64,
    #[serde(default)]
    holds: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Close {
    session: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    parent: u64,
    by: String,
    #[serde(default)]
    note: String,
    document: Box<RawValue>,
}

/// Parses a call for a session or the settings.
pub(super) fn change(path: &str, body: &[u8]) -> Result<Change, RequestError> {
    match path {
        "/v1/session/open" => {
            let Open { name, ttl_ms, holds } = serde_json::from_slice(body)?;
            Ok(Change::Open { name, ttl_ms, acknowledged: holds })
        }
        "/v1/session/close" => {
            let Close { session } = serde_json::from_slice(body)?;
            Ok(Change::Close { session })
        }
        "/v1/session/refuse" => {
            let RejectVersion { session, name, version, reason } = serde_json::from_slice(body)?;
            Ok(Change::Refuse { session, name, version, reason })
        }
        SETTINGS_PATH => {
            let Publish { parent, by, note, document } = serde_json::from_slice(body)?;
            let document = Arc::new(Document::parse(document.get().as_bytes())?);
            Ok(Change::Publish { parent, by, note, document, unix_ms: 0 })
        }
        _ => Err(RequestError::UnknownCall(path.to_string())),
    }
}

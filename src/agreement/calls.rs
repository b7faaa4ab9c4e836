//! The bodies of a session's calls to the list service. A renewal's body is [`super::state::Renewal`].

use super::state::RequiredRevisions;
use serde::{Deserialize, Serialize};

/// `POST /v1/session/open`: opens a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct OpenRequest<'a> {
    /// The proxy's name.
    pub name: &'a str,
    /// The session's TTL, in milliseconds.
    pub ttl_ms: u64,
    /// The latest settings version that the proxy has and can apply.
    #[serde(rename = "holds")]
    pub acknowledged: u64,
}

/// The reply to a granted [`OpenRequest`].
#[derive(Debug, Deserialize)]
pub struct OpenReply {
    /// The session.
    pub session: u64,
    /// Its slot.
    pub slot: u32,
    /// The revisions that the proxy must have applied to be attached.
    #[serde(flatten)]
    pub required: RequiredRevisions,
}

/// `POST /v1/session/refuse`: the proxy can't apply a version.
#[derive(Debug, Serialize)]
pub struct RefuseRequest<'a> {
    /// Its session, if it has one.
    pub session: Option<u64>,
    /// Its name.
    pub name: &'a str,
    /// The version.
    pub version: u64,
    /// Why the proxy can't apply it.
    #[serde(rename = "why")]
    pub reason: &'a str,
}

/// `POST /v1/session/close`: ends a session.
#[derive(Debug, Serialize)]
pub struct CloseRequest {
    /// The session.
    pub session: u64,
}

/// The reply to a rejected call.
#[derive(Debug, Default, Deserialize)]
pub struct ErrorReply {
    /// The human-readable reason.
    #[serde(default)]
    pub error: String,
}

//! The fields of the list service's replies that the commands read. `--json` prints replies unchanged.
//!
//! A missing field gets its default, so that the commands work with nodes of other builds.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Converts a reply to its type; returns the default if the reply does not match the type.
pub fn typed<T: DeserializeOwned + Default>(reply: &Value) -> T {
    T::deserialize(reply).unwrap_or_default()
}

/// A rejection.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    pub error: Option<String>,
    /// `unknown` where the node does not know whether a write was done.
    pub outcome: Option<String>,
}

/// The reply to a publication.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct PublishReply {
    pub version: Option<u64>,
}

/// The reply to a publication whose parent is not the head.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ConflictReply {
    pub error: Option<String>,
    pub head: VersionReply,
}

/// A version of the settings.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct VersionReply {
    pub version: Option<u64>,
    pub parent: Option<u64>,
    pub by: Option<String>,
    pub note: Option<String>,
    /// Its status.
    #[serde(rename = "fate")]
    pub status: String,
    /// Why it was withdrawn.
    #[serde(rename = "why")]
    pub reason: Option<String>,
}

/// The history, latest first.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct HistoryReply {
    pub versions: Vec<VersionReply>,
}

/// The status of the fleet.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct FleetReply {
    pub revision: Option<u64>,
    #[serde(rename = "list")]
    pub list_revision: u64,
    #[serde(rename = "committed")]
    pub committed_version: u64,
    #[serde(rename = "offered")]
    pub offered_version: Option<u64>,
    pub members: MembersReply,
    pub sessions: Vec<SessionReply>,
    pub ended: Vec<EndedReply>,
}

/// The membership.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct MembersReply {
    pub slots: String,
}

/// A live session.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct SessionReply {
    pub session: u64,
    pub name: String,
    pub slot: u32,
    #[serde(rename = "said")]
    pub last_renewal: RenewalReply,
    /// Milliseconds until it expires; `None` on a node that does not accept renewals.
    #[serde(rename = "leftMs")]
    pub remaining_ms: Option<u64>,
}

/// The state that a proxy reported with its last renewal.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RenewalReply {
    #[serde(rename = "holds")]
    pub held_version: u64,
    #[serde(rename = "inForce")]
    pub active_version: u64,
    #[serde(rename = "members")]
    pub members_revision: u64,
    #[serde(rename = "list")]
    pub list_revision: u64,
}

/// An ended session.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct EndedReply {
    pub session: u64,
    pub name: String,
    pub slot: u32,
    #[serde(rename = "why")]
    pub reason: String,
    /// Milliseconds since it ended.
    pub ago_ms: u64,
}

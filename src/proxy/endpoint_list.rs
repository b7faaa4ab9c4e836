//! The endpoint list in the format that discovery, the configuration file and the list cache share.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint list: either complete or only the changes.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The revision of the list.
    pub(super) generation: u64,
    /// Whether the list is complete; otherwise it contains only the entries that changed.
    pub(super) reset: bool,
    pub(super) instances: Vec<ListEntry>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry {
    pub(super) instance_id: String,
    pub(super) host_port: SocketAddr,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) machine_type: String,
    #[serde(default, rename = "cell")]
    pub(super) failure_domain: u32,
    pub(super) lifecycle: Lifecycle,
    pub(super) weight: Option<f64>,
    #[serde(default)]
    pub(super) started_at_ms: f64,
}

impl ListEntry {
    /// Whether the entry reports that the backend was removed.
    pub(super) fn is_removed(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Deleted)
    }
}

/// The state of a backend in an endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

//! Lists as discovery writes them (`PROTOCOL`, "Discovery"): what configuration, discovery and the list cache
//! share.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list as discovery writes it.
#[derive(Debug, Default, Deserialize)]
pub struct RawList {
    pub(super) generation: u64,
    pub(super) reset: bool,
    pub(super) instances: Vec<RawEntry>,
}

/// One entry of a list as discovery writes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RawEntry {
    pub(super) instance_id: String,
    pub(super) host_port: SocketAddr,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) machine_type: String,
    #[serde(default)]
    pub(super) cell: u32,
    pub(super) lifecycle: Lifecycle,
    pub(super) weight: Option<f64>,
    #[serde(default)]
    pub(super) started_at_ms: f64,
}

impl RawEntry {
    /// Whether it says that the backend is off the list.
    pub(super) fn is_gone(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Deleted)
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

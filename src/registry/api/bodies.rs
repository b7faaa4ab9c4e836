//! Bodies of calls whose type names are part of the API: serde puts a type's name into its error texts, which callers
//! receive. The modules that use these types import them under more descriptive names.

use crate::registry::raft::NodeId;
use serde::{Deserialize, Serialize};

/// The body of a call for one listed instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub(super) struct Named {
    pub(super) instance_id: String,
    #[serde(default)]
    pub(super) weight: Option<f64>,
}

/// The body of a call about one node of the cluster.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Numbered {
    pub(super) node: NodeId,
    /// The incarnation of the node's log; needed in a call to join.
    #[serde(default)]
    pub(super) incarnation: Option<u64>,
}

/// The body of the call by which a proxy reports that it cannot apply a settings version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Refuse {
    /// The proxy's session, if it has one.
    #[serde(default)]
    pub(super) session: Option<u64>,
    /// The proxy's name.
    pub(super) name: String,
    pub(super) version: u64,
    #[serde(rename = "why")]
    pub(super) reason: String,
}

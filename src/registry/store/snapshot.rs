//! Snapshots of the store. They are stored: a field's name never changes, and a new field has a default.

use super::Store;
use super::endpoint::{EndpointList, ListedInstance};
use super::lease::Leases;
use crate::agreement::state::Agreement;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All of a store except the changes retained for watches: a restored node answers each watcher once with the complete
/// list.
#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    revision: u64,
    #[serde(rename = "listed")]
    endpoints: BTreeMap<String, ListedInstance>,
    clock_ms: u64,
    #[serde(default)]
    leases: Leases,
    #[serde(default, rename = "nodes")]
    node_incarnations: BTreeMap<u64, u64>,
    #[serde(default)]
    list_revision: u64,
    #[serde(default)]
    agreement: Agreement,
    #[serde(default, rename = "lapse_by_command")]
    expires_by_command: bool,
}

impl Snapshot {
    /// The snapshot of an empty store, at revision 1.
    pub(super) fn empty() -> Self {
        Self {
            revision: 1,
            endpoints: BTreeMap::new(),
            clock_ms: 0,
            leases: Leases::new(),
            node_incarnations: BTreeMap::new(),
            list_revision: 0,
            agreement: Agreement::default(),
            expires_by_command: false,
        }
    }
}

impl Store {
    /// A snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            endpoints: self.endpoints.entries().clone(),
            clock_ms: self.clock_ms,
            leases: self.leases.clone(),
            node_incarnations: self.node_incarnations.clone(),
            list_revision: self.endpoints.last_change_revision(),
            agreement: self.agreement.clone(),
            expires_by_command: self.expires_by_command,
        }
    }

    /// Restores a store from a snapshot.
    pub fn restore(snapshot: Snapshot) -> Self {
        Self {
            revision: snapshot.revision,
            endpoints: EndpointList::restore(snapshot.endpoints, snapshot.list_revision),
            clock_ms: snapshot.clock_ms,
            leases: snapshot.leases,
            node_incarnations: snapshot.node_incarnations,
            agreement: snapshot.agreement,
            expires_by_command: snapshot.expires_by_command,
        }
    }
}

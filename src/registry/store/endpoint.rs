//! The endpoint list: the listed backends with their TTLs, and the changes from which watches are answered.

use super::history::ChangeHistory;
use super::lease::Expiry;
use super::{MAX_NAME_LEN, StoreError, check_name, check_ttl};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of entries listed at once.
pub const MAX_ENTRIES: usize = 6_000;
/// The maximum size of all entries as JSON, in bytes, so that the complete list stays below the 1 MiB that a proxy
/// reads: it leaves a byte per entry for draining (`DRAINING` is longer than `SERVING`), and some for the enclosing
/// object.
pub const MAX_LIST_BYTES: usize = (1 << 20) - (8 << 10);
/// The largest weight of a backend.
const MAX_WEIGHT: f64 = 1_000.0;

/// The state of a backend, as proxies read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// Takes new requests.
    Serving,
    /// Completes the requests that it has and takes no new ones.
    Draining,
    /// Removed; appears only in changes and is never stored.
    Deleted,
}

/// One backend as a proxy reads it: the `instances` objects of `GET /api/targets`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its id, the same for every proxy.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its machine type.
    #[serde(default)]
    pub machine_type: String,
    /// Its failure domain.
    #[serde(default)]
    pub cell: u32,
    /// Serving, draining or deleted.
    pub lifecycle: Lifecycle,
    /// Its share of the traffic relative to other backends, in (0, 1000].
    pub weight: f64,
    /// Its last start as Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A listed backend with its TTL, as a snapshot stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ListedInstance {
    instance: Instance,
    ttl_ms: u64,
    expires_at_ms: u64,
}

impl ListedInstance {
    fn expiry(&self) -> Expiry {
        Expiry { ttl_ms: self.ttl_ms, expires_at_ms: self.expires_at_ms }
    }
}

/// An answer to a watch: the changes since its revision, or the complete list.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// The watcher's revision after it has applied the event.
    pub revision: u64,
    /// Whether `instances` is the complete list; otherwise it contains the changed entries, including `DELETED` ones.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

impl WatchEvent {
    /// An event without entries: nothing has changed up to `revision`.
    pub fn empty(revision: u64) -> Self {
        Self { revision, reset: false, instances: Vec::new() }
    }
}

/// The listed backends by id. Methods that change an entry increment `revision`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EndpointList {
    entries: BTreeMap<String, ListedInstance>,
    /// Size of all entries as JSON, in bytes.
    pub(super) json_bytes: usize,
    /// The revision of the latest change; 0 before any.
    last_change_revision: u64,
    history: ChangeHistory,
}

impl EndpointList {
    /// Restores a list from a snapshot, without the changes before it.
    pub(super) fn restore(entries: BTreeMap<String, ListedInstance>, last_change_revision: u64) -> Self {
        let json_bytes = entries.values().map(|listed| json_size(&listed.instance)).sum();
        Self { entries, json_bytes, last_change_revision, history: ChangeHistory::default() }
    }

    pub(super) fn entries(&self) -> &BTreeMap<String, ListedInstance> {
        &self.entries
    }

    pub(super) fn last_change_revision(&self) -> u64 {
        self.last_change_revision
    }

    pub(super) fn expiries(&self) -> impl Iterator<Item = (&str, Expiry)> {
        self.entries.iter().map(|(id, listed)| (id.as_str(), listed.expiry()))
    }

    pub(super) fn expiry(&self, instance_id: &str) -> Option<Expiry> {
        self.entries.get(instance_id).map(ListedInstance::expiry)
    }

    /// Lists a backend that [`check_registration`] accepts, or replaces its entry.
    pub(super) fn register(
        &mut self,
        instance: &Instance,
        ttl_ms: u64,
        at_ms: u64,
        revision: &mut u64,
    ) -> Result<(), StoreError> {
        let previous = self.entries.get(&instance.instance_id);
        let previous_bytes = previous.map_or(0, |listed| json_size(&listed.instance));
        let json_bytes = self.json_bytes + json_size(instance) - previous_bytes;
        if (previous.is_none() && self.entries.len() >= MAX_ENTRIES) || json_bytes > MAX_LIST_BYTES {
            return Err(StoreError::Full);
        }
        // A new TTL counts as a change too, so that every change written to disk creates a revision.
        let unchanged =
            previous.is_some_and(|listed| listed.instance == *instance && listed.ttl_ms == ttl_ms);
        self.json_bytes = json_bytes;
        let listed = ListedInstance { instance: instance.clone(), ttl_ms, expires_at_ms: at_ms + ttl_ms };
        self.entries.insert(instance.instance_id.clone(), listed);
        if !unchanged {
            self.record_change(instance.clone(), revision);
        }
        Ok(())
    }

    /// Renews a backend for its TTL from `at_ms`.
    pub(super) fn renew(&mut self, instance_id: &str, at_ms: u64) -> Result<(), StoreError> {
        let listed = self.find(instance_id)?;
        listed.expires_at_ms = listed.expires_at_ms.max(at_ms + listed.ttl_ms);
        Ok(())
    }

    pub(super) fn set_weight(
        &mut self,
        instance_id: &str,
        weight: f64,
        revision: &mut u64,
    ) -> Result<(), StoreError> {
        check_weight(weight)?;
        let before = self.find(instance_id)?.instance.clone();
        let instance = Instance { weight, ..before.clone() };
        let json_bytes = self.json_bytes + json_size(&instance) - json_size(&before);
        if json_bytes > MAX_LIST_BYTES {
            return Err(StoreError::Full);
        }
        if before.weight != weight {
            self.json_bytes = json_bytes;
            self.find(instance_id)?.instance.weight = weight;
            self.record_change(instance, revision);
        }
        Ok(())
    }

    pub(super) fn drain(&mut self, instance_id: &str, revision: &mut u64) -> Result<(), StoreError> {
        let listed = self.find(instance_id)?;
        if listed.instance.lifecycle == Lifecycle::Draining {
            return Ok(());
        }
        let bytes_before = json_size(&listed.instance);
        listed.instance.lifecycle = Lifecycle::Draining;
        let instance = listed.instance.clone();
        self.json_bytes += json_size(&instance) - bytes_before;
        self.record_change(instance, revision);
        Ok(())
    }

    /// Removes an entry; returns whether it was listed.
    pub(super) fn remove(&mut self, instance_id: &str, revision: &mut u64) -> bool {
        let Some(mut removed) = self.entries.remove(instance_id) else { return false };
        self.json_bytes -= json_size(&removed.instance);
        removed.instance.lifecycle = Lifecycle::Deleted;
        self.record_change(removed.instance, revision);
        true
    }

    /// The complete list at `revision`.
    pub(super) fn complete(&self, revision: u64) -> WatchEvent {
        let instances = self.entries.values().map(|listed| listed.instance.clone()).collect();
        WatchEvent { revision, reset: true, instances }
    }

    /// The answer to a watch since revision `since` at `revision`, if there is one: see
    /// [`super::Store::changes_since`].
    pub(super) fn changes_since(&self, since: u64, revision: u64) -> Option<WatchEvent> {
        if since >= revision {
            return None;
        }
        if !self.history.is_complete_since(since, revision) {
            return Some(self.complete(revision));
        }
        // Revisions that changed no entry, such as grants of leases, wake no watcher.
        let instances = self.history.latest_since(since);
        (!instances.is_empty()).then_some(WatchEvent { revision, reset: false, instances })
    }

    /// Whether [`EndpointList::changes_since`] has an answer.
    pub(super) fn has_changes_since(&self, since: u64, revision: u64) -> bool {
        since < revision
            && (!self.history.is_complete_since(since, revision) || self.history.has_change_after(since))
    }

    fn find(&mut self, instance_id: &str) -> Result<&mut ListedInstance, StoreError> {
        self.entries.get_mut(instance_id).ok_or_else(|| StoreError::Unknown(instance_id.to_string()))
    }

    fn record_change(&mut self, instance: Instance, revision: &mut u64) {
        *revision += 1;
        self.last_change_revision = *revision;
        self.history.push(*revision, instance);
    }
}

/// Checks a registration's values.
pub(super) fn check_registration(instance: &Instance, ttl_ms: u64) -> Result<(), StoreError> {
    check_ttl(ttl_ms)?;
    check_weight(instance.weight)?;
    check_name("instanceId", &instance.instance_id, 1..=MAX_NAME_LEN)?;
    check_name("zone", &instance.zone, 0..=MAX_NAME_LEN)?;
    check_name("machineType", &instance.machine_type, 0..=MAX_NAME_LEN)?;
    if instance.lifecycle == Lifecycle::Deleted || instance.host_port.port() == 0 {
        return Err(StoreError::InvalidRegistration);
    }
    Ok(())
}

fn check_weight(weight: f64) -> Result<(), StoreError> {
    if weight > 0.0 && weight <= MAX_WEIGHT { Ok(()) } else { Err(StoreError::InvalidWeight(weight)) }
}

/// Size of an entry in the list with its comma, in bytes.
fn json_size(instance: &Instance) -> usize {
    // An entry always serializes; one that did not would count as the maximum size of a list.
    serde_json::to_vec(instance).map_or(MAX_LIST_BYTES, |json| json.len() + 1)
}

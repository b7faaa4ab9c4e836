//! Translates endpoint lists from discovery into the balancer's form: names become ids, and wall-clock times become
//! times of the proxy's clock.

use crate::proxy::clock::Clock;
use crate::proxy::endpoint_list::{EndpointList, Lifecycle, ListEntry};
use crate::proxy::settings::zone_index;
use crate::proxy::watch_event::ListedEndpoint;
use crate::{BackendId, EndpointEntry, EndpointStatus, Time, name_hash};
use std::collections::{HashMap, HashSet};

/// The longest delay between a backend's start and its first listing by discovery, in seconds.
const MAX_LIST_DELAY_S: Time = 4.0;

/// The ids and start times of the known backends, by name.
#[derive(Debug)]
pub(super) struct Translation {
    zones: Vec<String>,
    ids: HashMap<String, BackendId>,
    names: HashMap<BackendId, String>,
    /// Whether two names have had the same hash. From then on ids depend on all previous names, so none is forgotten.
    has_collided: bool,
    /// When each backend started.
    starts: HashMap<String, StartTime>,
    /// When the last answer was applied.
    pub(super) last_answer_at: Option<Time>,
}

/// When a backend started.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// The announced Unix time, in milliseconds.
    announced_ms: f64,
    /// The time by the proxy's clock.
    at: Time,
}

impl Translation {
    pub(super) fn new(zones: Vec<String>) -> Self {
        Self {
            zones,
            ids: HashMap::new(),
            names: HashMap::new(),
            has_collided: false,
            starts: HashMap::new(),
            last_answer_at: None,
        }
    }

    /// The id for a backend's name. It is the same at every proxy, since the proxies divide the backends by id.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = BackendId(name_hash(name));
        while self.names.contains_key(&id) {
            id = BackendId(id.0.wrapping_add(1));
            self.has_collided = true;
        }
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// When a backend started, by the proxy's clock. The wall clock may be wrong on either machine, so the announced
    /// time is bounded by observations: no start is in the future, and a start that has changed, or is announced for
    /// the first time, is not before the previous response. A start outside these bounds counts as now, which is the
    /// safe side. Starts in the first response are accepted, because there are no earlier observations.
    fn start_time(&mut self, name: &str, announced_ms: f64, clock: &Clock) -> Option<Time> {
        if announced_ms <= 0.0 {
            self.starts.remove(name);
            return None;
        }
        if let Some(known) = self.starts.get(name).filter(|known| known.announced_ms == announced_ms) {
            return Some(known.at);
        }
        let (announced, now) = (clock.from_unix(announced_ms / 1000.0), clock.now());
        let earliest = self.last_answer_at.unwrap_or(Time::NEG_INFINITY);
        let is_possible = announced >= earliest - MAX_LIST_DELAY_S && announced <= now;
        let at = if is_possible { announced.max(earliest) } else { now };
        self.starts.insert(name.to_string(), StartTime { announced_ms, at });
        Some(at)
    }

    /// Translates a list, then forgets the names that it removes.
    pub(super) fn translate(&mut self, list: EndpointList, clock: &Clock) -> Vec<ListedEndpoint> {
        let removed = self.removed_by(&list);
        let listed = list.instances.into_iter().map(|entry| self.endpoint(entry, clock)).collect();
        self.forget(&removed);
        listed
    }

    /// The names that the list removes.
    fn removed_by(&self, list: &EndpointList) -> HashSet<String> {
        let entries = &list.instances;
        if list.reset {
            let listed: HashSet<&String> = entries.iter().map(|entry| &entry.instance_id).collect();
            return self.ids.keys().filter(|name| !listed.contains(name)).cloned().collect();
        }
        let removed = entries.iter().filter(|entry| entry.is_removed());
        removed.map(|entry| entry.instance_id.clone()).collect()
    }

    fn endpoint(&mut self, entry: ListEntry, clock: &Clock) -> ListedEndpoint {
        let translated = EndpointEntry {
            id: self.id(&entry.instance_id),
            machine_type: name_hash(&entry.machine_type),
            failure_domain: entry.failure_domain,
            zone: zone_index(&mut self.zones, &entry.zone),
            weight: entry.weight.filter(|weight| weight.is_finite() && *weight >= 0.0).unwrap_or(1.0),
            status: match entry.lifecycle {
                Lifecycle::Serving => EndpointStatus::InService,
                Lifecycle::Draining => EndpointStatus::Draining,
                Lifecycle::Deleted => EndpointStatus::Removed,
            },
            started_at: self.start_time(&entry.instance_id, entry.started_at_ms, clock),
        };
        ListedEndpoint { entry: translated, address: entry.host_port }
    }

    /// Forgets removed names. A name that is listed again gets the same id as before.
    fn forget(&mut self, removed: &HashSet<String>) {
        self.starts.retain(|name, _| !removed.contains(name));
        if !self.has_collided {
            let ids = removed.iter().filter_map(|name| self.ids.remove(name));
            ids.for_each(|id| drop(self.names.remove(&id)));
        }
    }
}

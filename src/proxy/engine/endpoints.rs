//! The table of the backends' endpoints, and how watch events change it.

use crate::proxy::settings::ProxySettings;
use crate::proxy::upstream::{ConnectionBudget, Endpoint};
use crate::proxy::watch_event::{ListedEndpoint, WatchEvent};
use crate::{BackendId, EndpointStatus, Time};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// The fraction of a backend's grace period after which attempts that were planned earlier are no longer sent to it.
const SEND_GRACE_FRACTION: f64 = 0.5;

/// The endpoints of all listed backends, and of removed ones with attempts in flight.
pub(super) struct EndpointTable {
    endpoints: HashMap<BackendId, Rc<Endpoint>>,
    budget: Rc<ConnectionBudget>,
    connect_timeout: Duration,
    idle_close: Duration,
    /// How long a backend may still receive attempts after it is announced as draining or removed, in seconds.
    drain_grace: Time,
}

impl EndpointTable {
    pub(super) fn new(settings: &ProxySettings, budget: Rc<ConnectionBudget>) -> Self {
        Self {
            endpoints: HashMap::new(),
            budget,
            connect_timeout: settings.connect_timeout,
            idle_close: settings.idle_close,
            drain_grace: settings.drain_grace.as_secs_f64(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(super) fn get(&self, backend: BackendId) -> Option<Rc<Endpoint>> {
        self.endpoints.get(&backend).cloned()
    }

    pub(super) fn all(&self) -> Vec<Rc<Endpoint>> {
        self.endpoints.values().cloned().collect()
    }

    /// Closes the idle connections to a backend.
    pub(super) fn close_idle(&self, backend: BackendId) {
        self.endpoints.get(&backend).into_iter().for_each(|endpoint| endpoint.close_idle());
    }

    /// Closes a connection that no attempt uses, if the maximum number of connections is open.
    pub(super) fn make_room(&self) {
        if self.budget.is_full() {
            let _ = self.endpoints.values().any(|endpoint| endpoint.evict_one());
        }
    }

    /// Applies a watch event; returns the endpoints that it lists.
    pub(super) fn apply<'a>(&mut self, event: &'a WatchEvent, now: Time) -> &'a [ListedEndpoint] {
        let listed: &[ListedEndpoint] = match event {
            WatchEvent::Snapshot(list) | WatchEvent::Cached(list) => {
                self.remove_unlisted(list, now);
                list
            }
            WatchEvent::Changes(list) => list,
            WatchEvent::PollFailed => &[],
        };
        for endpoint in listed {
            self.update(endpoint, now);
        }
        self.endpoints.retain(|_, endpoint| !endpoint.is_finished());
        listed
    }

    fn remove_unlisted(&self, list: &[ListedEndpoint], now: Time) {
        let ids: HashSet<BackendId> = list.iter().map(|listed| listed.entry.id).collect();
        let is_unlisted = |id: &BackendId| !ids.contains(id);
        for (_, endpoint) in self.endpoints.iter().filter(|(id, _)| is_unlisted(id)) {
            endpoint.remove(now + SEND_GRACE_FRACTION * self.drain_grace);
            endpoint.set_grace_deadline(now + self.drain_grace);
        }
    }

    fn update(&mut self, ListedEndpoint { entry, address }: &ListedEndpoint, now: Time) {
        let is_out_of_service = entry.status != EndpointStatus::InService;
        let send_cutoff = is_out_of_service.then_some(now + SEND_GRACE_FRACTION * self.drain_grace);
        let new = || {
            let budget = self.budget.clone();
            Rc::new(Endpoint::new(*address, budget, self.connect_timeout, self.idle_close))
        };
        let endpoint = self.endpoints.entry(entry.id).or_insert_with(new);
        endpoint.update(*address, send_cutoff);
        if let (EndpointStatus::Removed, Some(send_cutoff)) = (entry.status, send_cutoff) {
            endpoint.remove(send_cutoff);
        }
        endpoint.set_grace_deadline(now + self.drain_grace);
    }
}

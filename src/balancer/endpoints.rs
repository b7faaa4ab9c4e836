//! The table of backends: their entries in the endpoint list, their observed state, and which are in service.

use super::estimators::Clock;
use super::health::BackendHealth;
use super::slow_start::SlowStartBudget;
use super::types::{BackendId, EndpointEntry, EndpointStatus, Time};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The index of a backend in the [`EndpointTable`]. The index of a forgotten backend is reused.
pub(super) type BackendIndex = usize;

/// A backend and its state.
#[derive(Debug)]
pub(super) struct Backend {
    /// Its entry in the endpoint list.
    pub entry: EndpointEntry,
    /// The number of this proxy's outstanding attempts.
    pub in_flight: usize,
    pub health: BackendHealth,
    pub slow_start: SlowStartBudget,
    /// When it was last removed from the list.
    removed_at: Time,
}

impl Backend {
    fn new(entry: EndpointEntry, now: Time) -> Self {
        let (health, slow_start) = (BackendHealth::new(), SlowStartBudget::new(now));
        Self { entry, in_flight: 0, health, slow_start, removed_at: now }
    }
}

/// The backends that an attempt may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Scope {
    All,
    Zone(u32),
    FailureDomain(u32),
}

impl Scope {
    /// Whether the backend of `entry` is in this scope.
    pub fn contains(self, entry: &EndpointEntry) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone(zone) => entry.zone == zone,
            Scope::FailureDomain(domain) => entry.failure_domain == domain,
        }
    }
}

/// All listed backends, and those that were removed but are not yet forgotten.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    backends: Vec<Backend>,
    by_id: HashMap<BackendId, BackendIndex>,
    /// Indexes of forgotten backends.
    vacant: Vec<BackendIndex>,
    /// Backends in service, in ascending order.
    in_service: Vec<BackendIndex>,
    /// The backends in service, by zone and by failure domain.
    in_scope: HashMap<Scope, Vec<BackendIndex>>,
}

impl EndpointTable {
    /// The number of backends, without forgotten ones.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn index_of(&self, id: BackendId) -> Option<BackendIndex> {
        self.by_id.get(&id).copied()
    }

    /// The backends in service, in ascending order.
    pub fn in_service(&self) -> &[BackendIndex] {
        &self.in_service
    }

    /// The backends of `scope` in service; none if there are none.
    pub fn in_scope(&self, scope: Scope) -> Option<&[BackendIndex]> {
        match scope {
            Scope::All => Some(&self.in_service),
            _ => self.in_scope.get(&scope).map(Vec::as_slice),
        }
    }

    /// Marks all backends as removed from the list: a snapshot follows.
    pub fn mark_all_removed(&mut self, now: Time) {
        for backend in &mut self.backends {
            if backend.entry.status != EndpointStatus::Removed {
                (backend.entry.status, backend.removed_at) = (EndpointStatus::Removed, now);
            }
        }
    }

    /// Adds or updates a backend.
    pub fn apply(&mut self, entry: &EndpointEntry, now: Time) -> BackendIndex {
        let index = self.index_of(entry.id).unwrap_or_else(|| self.insert(entry, now));
        let backend = &mut self.backends[index];
        if backend.entry.started_at != entry.started_at {
            backend.health.reset_slowness();
            backend.slow_start = SlowStartBudget::new(now);
        }
        if entry.status == EndpointStatus::Removed && backend.entry.status != EndpointStatus::Removed {
            backend.removed_at = now;
        }
        backend.entry = entry.clone();
        index
    }

    fn insert(&mut self, entry: &EndpointEntry, now: Time) -> BackendIndex {
        let backend = Backend::new(entry.clone(), now);
        let index = self.vacant.pop().unwrap_or(self.backends.len());
        match self.backends.get_mut(index) {
            Some(vacant) => *vacant = backend,
            None => self.backends.push(backend),
        }
        self.by_id.insert(entry.id, index);
        index
    }

    /// Forgets idle backends that were removed more than an averaging window ago.
    pub fn forget_removed(&mut self, clock: Clock) {
        let (backends, vacant) = (&self.backends, &mut self.vacant);
        let oldest = clock.now - clock.window;
        self.by_id.retain(|_, index| {
            let backend = &backends[*index];
            let is_retained = backend.entry.status != EndpointStatus::Removed
                || backend.in_flight > 0
                || backend.removed_at > oldest;
            if !is_retained {
                vacant.push(*index);
            }
            is_retained
        });
        vacant.sort_unstable(); // the map's order is random
    }

    /// Updates the backends in service and returns the previous ones.
    pub fn refresh_in_service(&mut self) -> Vec<BackendIndex> {
        let previous = std::mem::take(&mut self.in_service);
        let is_in_service = |index: &BackendIndex| self.has_status(*index, EndpointStatus::InService);
        self.in_service = (0..self.backends.len()).filter(is_in_service).collect();
        self.in_scope.clear();
        for &index in &self.in_service {
            let entry = &self.backends[index].entry;
            for scope in [Scope::Zone(entry.zone), Scope::FailureDomain(entry.failure_domain)] {
                self.in_scope.entry(scope).or_default().push(index);
            }
        }
        previous
    }

    /// Whether a backend has a status.
    pub fn has_status(&self, index: BackendIndex, status: EndpointStatus) -> bool {
        self.backends[index].entry.status == status
    }
}

impl Index<BackendIndex> for EndpointTable {
    type Output = Backend;

    fn index(&self, index: BackendIndex) -> &Backend {
        &self.backends[index]
    }
}

impl IndexMut<BackendIndex> for EndpointTable {
    fn index_mut(&mut self, index: BackendIndex) -> &mut Backend {
        &mut self.backends[index]
    }
}

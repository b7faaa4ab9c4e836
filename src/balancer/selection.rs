//! Selection of a backend by the power of two choices: two random members of the subset are drawn, and the
//! one with the lower load is chosen.

use super::endpoints::{Backend, BackendIndex, EndpointTable, Scope};
use super::estimators::{Clock, DecayingRate};
use super::health::HealthModel;
use super::slow_start::capacity_fraction;
use super::subset::{MIN_SUBSET_SIZE, Subset, is_costly_cross_zone};
use super::types::{EndpointStatus, Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The additional relative load of a backend in another zone, if crossing zones has the cost of a whole
/// request.
const CROSS_ZONE_LOAD_FACTOR: f64 = 40.0;
/// The age in seconds above which a list may not show that a backend is draining: discovery assumes that
/// every proxy knows of that after 6 s.
const MAX_LIST_AGE: Time = 4.0;
/// While the list is stale, a backend with this many consecutive rejections counts as draining; one that is
/// merely full accepts requests in between.
const DRAINING_REJECTION_THRESHOLD: u32 = 2;
/// The number of draws from the backends outside of the subset.
const DRAWS_OUTSIDE_SUBSET: usize = 2 * MIN_SUBSET_SIZE;

/// A selected backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub backend: BackendIndex,
    /// The other backend drawn.
    pub alternate: Option<BackendIndex>,
}

/// The state that a selection depends on.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    pub endpoints: &'a mut EndpointTable,
    pub subset: &'a Subset,
    pub health: &'a HealthModel,
    pub served_rate: &'a mut DecayingRate,
    /// How long discovery has not answered; 0 while it answers.
    pub discovery_outage: Time,
    pub settings: &'a Settings,
    pub clock: Clock,
    pub rng: &'a mut SmallRng,
}

impl Selection<'_> {
    /// Selects a backend in `scope` that is not among `tried`: the alternate of the previous attempt if it
    /// can be used, a member of the subset, or any backend in service.
    pub fn choose(
        &mut self,
        scope: Scope,
        tried: &[BackendIndex],
        alternate: Option<BackendIndex>,
    ) -> Option<Choice> {
        if let Some(backend) = alternate.filter(|b| scope.contains(&self.endpoints[*b].entry))
            && !tried.contains(&backend)
            && self.is_usable(backend)
        {
            return Some(Choice { backend, alternate: None });
        }
        let mut pool = self.subset.members().to_vec();
        pool.retain(|b| {
            scope.contains(&self.endpoints[*b].entry) && !tried.contains(b) && self.is_usable(*b)
        });
        if pool.is_empty() {
            pool = self.draw_outside_subset(scope, tried)?;
        }
        if self.is_list_stale()
            && let Some(responding) = self.recently_responding(scope, tried, &pool)
        {
            pool = responding;
        }
        self.choose_of_two(pool)
    }

    fn draw_outside_subset(&mut self, scope: Scope, tried: &[BackendIndex]) -> Option<Vec<BackendIndex>> {
        let mut pool = Vec::new();
        let candidates = self.endpoints.in_scope(scope)?;
        for _ in 0..DRAWS_OUTSIDE_SUBSET {
            let drawn = *candidates.get(self.rng.random_range(0..candidates.len().max(1)))?;
            if !tried.contains(&drawn) && !pool.contains(&drawn) {
                pool.push(drawn);
            }
        }
        pool.retain(|backend| self.is_usable(*backend));
        Some(pool)
    }

    /// The backends that have responded recently: while the list is stale, only these are certain not to
    /// drain. None if there are none.
    fn recently_responding(
        &mut self,
        scope: Scope,
        tried: &[BackendIndex],
        pool: &[BackendIndex],
    ) -> Option<Vec<BackendIndex>> {
        let since = self.clock.now - MAX_LIST_AGE;
        let has_responded = |backend: &Backend| backend.health.last_response_at > since;
        let mut responding = pool.to_vec();
        responding.retain(|b| has_responded(&self.endpoints[*b]));
        if responding.is_empty() {
            responding = self.endpoints.in_service().to_vec();
            responding.retain(|b| {
                let backend = &self.endpoints[*b];
                has_responded(backend) && scope.contains(&backend.entry) && !tried.contains(b)
            });
            responding.retain(|b| self.is_usable(*b));
        }
        (!responding.is_empty()).then_some(responding)
    }

    /// Draws two of the backends whose load is at most the mean. If any backend could be drawn, both might be
    /// overloaded slow machines.
    fn choose_of_two(&mut self, mut pool: Vec<BackendIndex>) -> Option<Choice> {
        let mean = pool.iter().map(|backend| self.load(*backend)).sum::<f64>() / pool.len() as f64;
        let rounding = f64::EPSILON * (16 + pool.len()) as f64; // error of a sum of this length
        pool.retain(|backend| self.load(*backend) <= mean * (1.0 + rounding));
        let first = pool.swap_remove(self.random_index(pool.len())?);
        let Some(second) = self.random_index(pool.len()).map(|drawn| pool[drawn]) else {
            return Some(Choice { backend: first, alternate: None });
        };
        Some(match self.load(second) < self.load(first) {
            true => Choice { backend: second, alternate: Some(first) },
            false => Choice { backend: first, alternate: Some(second) },
        })
    }

    fn random_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    /// The load of a backend with one more attempt of this proxy, divided by its weight. A backend that fails
    /// fast or hangs has few attempts in flight, so the load is multiplied by its slowness.
    fn load(&self, backend: BackendIndex) -> f64 {
        let Backend { entry, health, in_flight, .. } = &self.endpoints[backend];
        let cross_zone = match is_costly_cross_zone(entry, self.settings) {
            true => 1.0 + CROSS_ZONE_LOAD_FACTOR * self.settings.cross_zone_cost,
            false => 1.0,
        };
        let slowness = self.health.slowness(health, entry.machine_type, self.clock);
        cross_zone * (in_flight + 1) as f64 * slowness / entry.weight.max(f64::MIN_POSITIVE)
    }

    /// Whether a backend is in service and, in slow start, within this proxy's budget.
    fn is_usable(&mut self, index: BackendIndex) -> bool {
        if !self.endpoints.has_status(index, EndpointStatus::InService) || self.may_be_draining(index) {
            return false;
        }
        let capacity = capacity_fraction(&self.endpoints[index].entry, self.clock.now, self.settings);
        if capacity >= 1.0 {
            return true;
        }
        if !self.subset.members().contains(&index) {
            return false; // only members have a budget
        }
        self.served_rate.decay(self.clock);
        let normal_rate = self.served_rate.per_second() / self.subset.members().len().max(1) as f64;
        let budget = &mut self.endpoints[index].slow_start;
        budget.admits(self.clock.now, normal_rate, capacity, self.settings, self.rng)
    }

    fn may_be_draining(&self, index: BackendIndex) -> bool {
        self.is_list_stale()
            && self.endpoints[index].health.consecutive_rejections >= DRAINING_REJECTION_THRESHOLD
    }

    fn is_list_stale(&self) -> bool {
        self.discovery_outage > MAX_LIST_AGE
    }
}

//! Deterministic subsetting: which backends this proxy uses. The proxies are grouped into rounds. Each round
//! shuffles the backends and divides them among its proxies, so that all backends are in about the same
//! number of subsets. The subset grows with the load.

use super::endpoints::{BackendIndex, EndpointTable};
use super::estimators::{DecayingRate, MeanDeviation};
use super::types::{BackendId, EndpointEntry, Settings, Time};

/// The minimum size of a subset: beside an outlier and a backend in slow start, two backends remain to choose
/// from.
pub(super) const MIN_SUBSET_SIZE: usize = 4;
/// The number of members per request in flight.
const MEMBERS_PER_REQUEST: f64 = 1.0;
/// The number of members per request in flight where connections have a cost.
const MEMBERS_PER_REQUEST_COSTLY_CONNECTIONS: f64 = 0.25;
/// The time that the send rate must cover before the subset grows, as a fraction of the averaging window.
const MIN_RATE_SPAN: f64 = 0.5;
/// The minimum number of members in other zones where crossing zones has a cost.
const MIN_CROSS_ZONE_MEMBERS: usize = 2;

/// Whether an attempt to a backend crosses zones and crossing zones has a cost.
pub(super) fn is_costly_cross_zone(entry: &EndpointEntry, settings: &Settings) -> bool {
    settings.cross_zone_cost > 0.0 && entry.zone != settings.zone
}

/// The backends that this proxy uses.
#[derive(Debug, Default)]
pub(super) struct Subset {
    members: Vec<BackendIndex>,
    /// The highest number of members that the load has required so far.
    size_for_load: usize,
}

impl Subset {
    pub fn members(&self) -> &[BackendIndex] {
        &self.members
    }

    /// Raises the required size to match the expected number of requests in flight; returns whether it rose.
    pub fn update_load(
        &mut self,
        sent_rate: &DecayingRate,
        latency: &MeanDeviation,
        window: Time,
        settings: &Settings,
    ) -> bool {
        if sent_rate.span() <= MIN_RATE_SPAN * window {
            return false;
        }
        let per_request = match settings.costly_connections {
            true => MEMBERS_PER_REQUEST_COSTLY_CONNECTIONS,
            false => MEMBERS_PER_REQUEST,
        };
        let required = (per_request * sent_rate.per_second() * latency.mean) as usize;
        let has_grown = required > self.size_for_load;
        self.size_for_load = self.size_for_load.max(required);
        has_grown
    }

    /// Recomputes the members from the backends in service, and retains previous members where possible.
    /// Where crossing zones has a cost, most members are in the proxy's zone.
    pub fn recompute(&mut self, previous: &[BackendIndex], endpoints: &EndpointTable, settings: &Settings) {
        let in_service = endpoints.in_service();
        let is_local = |backend: &&BackendIndex| !is_costly_cross_zone(&endpoints[**backend].entry, settings);
        let (local, cross_zone): (Vec<BackendIndex>, Vec<BackendIndex>) =
            in_service.iter().partition(is_local);
        // Every backend must be in at least one subset.
        let min_size = MIN_SUBSET_SIZE.max(in_service.len().div_ceil(settings.proxy_count.max(1)));
        let min_cross_zone = MIN_CROSS_ZONE_MEMBERS.max(min_size - MIN_CROSS_ZONE_MEMBERS);
        let size = min_size.max(self.size_for_load);
        let mut assigned = assign(local, min_size, size, endpoints, settings);
        assigned.extend(assign(cross_zone, min_cross_zone, 0, endpoints, settings));
        self.migrate(&assigned, previous, in_service);
    }

    /// Replaces members by assigned backends: first those that are out of service, then as many unassigned
    /// ones as exceed the size.
    fn migrate(&mut self, assigned: &[BackendIndex], previous: &[BackendIndex], in_service: &[BackendIndex]) {
        let size = assigned.len();
        self.members.retain(|member| in_service.binary_search(member).is_ok());
        for backend in assigned {
            let is_new = previous.binary_search(backend).is_err();
            if !self.members.contains(backend) && (is_new || self.members.len() < size) {
                self.members.push(*backend);
            }
        }
        while self.members.len() > size {
            let surplus = self.members.iter().position(|member| !assigned.contains(member));
            self.members.remove(surplus.unwrap_or(0));
        }
    }
}

/// The part of `backends` assigned to this proxy: `size` of them, but at least `min`. Each round shuffles
/// them differently.
fn assign(
    mut backends: Vec<BackendIndex>,
    min: usize,
    size: usize,
    endpoints: &EndpointTable,
    settings: &Settings,
) -> Vec<BackendIndex> {
    let count = backends.len();
    let base = min.min(count);
    let subsets_per_round = count.div_ceil(base.max(1)).max(1);
    let round = settings.proxy_index / subsets_per_round;
    let position = settings.proxy_index % subsets_per_round;
    // The last round may have fewer proxies, whose parts are spread evenly.
    let remaining = settings.proxy_count.saturating_sub(round * subsets_per_round);
    let proxies_in_round = subsets_per_round.min(remaining).max(1);
    let start = position * count / proxies_in_round;
    backends.sort_by_cached_key(|backend| (hash(endpoints[*backend].entry.id, round as u64), *backend));
    (0..size.max(base).min(count)).map(|offset| backends[(start + offset) % count]).collect()
}

/// Hashes an id with a different result for each round (the finalizer of SplitMix64).
fn hash(id: BackendId, round: u64) -> u64 {
    let mut z = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

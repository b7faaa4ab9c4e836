//! Admission: tenant quotas, and which requests are rejected under overload. Requests with the lowest
//! priority weight per second of work are shed first, and only at the entry tier, where no work has been done
//! yet.

use super::estimators::{Clock, DecayingRate, TokenBucket};
use super::latency::LatencyBaseline;
use super::types::{DynamicSettings, FleetPosition, Settings, ShedOrder, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The time for which an unused quota accrues, in seconds: quotas are set per second.
const QUOTA_BURST_DURATION: Time = 1.0;

/// This proxy's part of a tenant's quota.
#[derive(Debug)]
struct TenantQuota {
    per_second: f64,
    tokens: TokenBucket,
}

impl TenantQuota {
    fn new(per_second: f64, now: Time) -> Self {
        Self { per_second, tokens: TokenBucket::new(max_tokens(per_second), now) }
    }

    fn is_used_up(&mut self, now: Time) -> bool {
        self.tokens.refill(now, self.per_second, max_tokens(self.per_second)) < 1.0
    }
}

fn max_tokens(per_second: f64) -> f64 {
    (per_second * QUOTA_BURST_DURATION).max(1.0)
}

/// Requests that have the same weight: those of one class, either within or over their tenants' quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PriorityGroup {
    class: usize,
    is_over_quota: bool,
}

/// Tenant quotas and arrival rates.
#[derive(Debug)]
pub(super) struct Admission {
    quotas: Vec<TenantQuota>,
    /// The arrivals of each class: within and over the quotas of their tenants.
    arrivals: Vec<[DecayingRate; 2]>,
    shed_order: ShedOrder,
    /// The number of proxies that may exist.
    max_proxies: usize,
}

impl Admission {
    pub fn new(now: Time, settings: &Settings) -> Self {
        let proxies = settings.proxy_count.max(1) as f64;
        Self {
            quotas: settings.quotas.iter().map(|quota| TenantQuota::new(quota / proxies, now)).collect(),
            arrivals: vec![[DecayingRate::new(now); 2]; settings.classes.len()],
            shed_order: ShedOrder::default(),
            max_proxies: settings.proxy_count,
        }
    }

    /// Applies new settings. Without a position the proxy has only its part of the fallback quotas.
    pub fn apply(&mut self, settings: &DynamicSettings, position: Option<FleetPosition>) {
        self.shed_order = settings.shed_order;
        let live = position.map_or(0, |position| position.count);
        let max_proxies = self.max_proxies.max(live).max(1) as f64;
        let limits = settings.quotas.iter().zip(&settings.fallback_quotas);
        for (tenant, (quota, fallback)) in self.quotas.iter_mut().zip(limits) {
            let above_fallback = match position {
                Some(position) => (quota - fallback).max(0.0) / position.count.max(1) as f64,
                None => 0.0,
            };
            tenant.per_second = fallback / max_proxies + above_fallback;
        }
    }

    /// Counts an arrival, and determines whether its tenant's quota is used up. Only admitted requests use
    /// the quota: clients retry rejected ones, which under overload would put every tenant over its quota.
    pub fn record_arrival(&mut self, class: usize, tenant: Option<usize>, clock: Clock) -> PriorityGroup {
        let quota = tenant.and_then(|tenant| self.quotas.get_mut(tenant));
        let is_over_quota = quota.is_some_and(|quota| quota.is_used_up(clock.now));
        self.arrivals[class][usize::from(is_over_quota)].record(clock);
        PriorityGroup { class, is_over_quota }
    }

    /// Charges an admitted request to its tenant's quota.
    pub fn charge(&mut self, tenant: Option<usize>) {
        if let Some(quota) = tenant.and_then(|tenant| self.quotas.get_mut(tenant)) {
            quota.tokens.tokens = (quota.tokens.tokens - 1.0).max(0.0);
        }
    }

    /// Whether a request is admitted. A fraction `overload` of all requests is shed, in ascending order of
    /// weight.
    pub fn admits(
        &self,
        group: PriorityGroup,
        overload: f64,
        settings: &Settings,
        latency: &LatencyBaseline,
        clock: Clock,
        rng: &mut SmallRng,
    ) -> bool {
        if settings.tier > 0 || overload <= 0.0 || self.shed_order == ShedOrder::Never {
            return true;
        }
        let weight_of = |group| self.weight(group, settings, latency);
        let weight = weight_of(group);
        let (mut below, mut equal, mut total) = (0.0, 0.0, 0.0);
        for (class, rates) in self.arrivals.iter().enumerate() {
            for (is_over_quota, rate) in [false, true].into_iter().zip(rates) {
                let mut rate = *rate;
                rate.decay(clock);
                let rate = rate.per_second();
                let other = weight_of(PriorityGroup { class, is_over_quota });
                total += rate;
                below += if other < weight { rate } else { 0.0 };
                equal += if other == weight { rate } else { 0.0 };
            }
        }
        let rank = (below + equal * rng.random::<f64>()) / total.max(f64::MIN_POSITIVE);
        rank >= overload
    }

    /// The priority weight of a request per second of work.
    fn weight(&self, group: PriorityGroup, settings: &Settings, latency: &LatencyBaseline) -> f64 {
        if self.shed_order == ShedOrder::Uniform {
            return 1.0;
        }
        let quota_factor = if group.is_over_quota { settings.over_quota_weight } else { 1.0 };
        let work = latency.class(group.class).mean.max(settings.min_time_step);
        quota_factor * settings.classes[group.class].priority_weight / work
    }
}

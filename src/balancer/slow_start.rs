//! Slow start: the capacity of a backend that has just started, and how many requests this proxy may send to
//! it until it has its full capacity.

#[cfg(test)]
mod tests;

use super::estimators::TokenBucket;
use super::types::{EndpointEntry, Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The load that all proxies together send to a backend in slow start, as a fraction of the load that would
/// overload it.
const TARGET_LOAD_FRACTION: f64 = 0.4;

/// The fraction of its full capacity that a backend has; 1 once slow start is over.
pub(super) fn capacity_fraction(entry: &EndpointEntry, now: Time, settings: &Settings) -> f64 {
    let (min, duration) = (settings.slow_start_min_capacity, settings.slow_start_duration);
    let progress = entry.started_at.map_or(1.0, |started| ((now - started) / duration).clamp(0.0, 1.0));
    if progress < 1.0 { min + (1.0 - min) * progress } else { 1.0 }
}

/// The number of requests that may be sent to a backend in slow start.
#[derive(Debug)]
pub(super) struct SlowStartBudget(TokenBucket);

impl SlowStartBudget {
    pub fn new(now: Time) -> Self {
        Self(TokenBucket::new(0.0, now))
    }

    /// Deducts a request that is sent from the budget.
    pub fn spend(&mut self) {
        self.0.tokens -= 1.0;
    }

    /// Whether a request may be sent to a backend with the capacity fraction `capacity`, to which this proxy
    /// would send `normal_rate` requests per second at full capacity.
    pub fn admits(
        &mut self,
        now: Time,
        normal_rate: f64,
        capacity: f64,
        settings: &Settings,
        rng: &mut SmallRng,
    ) -> bool {
        let rate = normal_rate * capacity * (TARGET_LOAD_FRACTION * settings.overload_factor);
        // A fraction of a token is not saved but becomes a whole token with that probability: if all proxies
        // saved up, many would send a request at the same time.
        let tokens = self.0.refill(now, rate, rate * settings.overload_duration);
        self.0.tokens = if tokens >= 1.0 { tokens } else { f64::from(rng.random::<f64>() < tokens) };
        self.0.tokens >= 1.0
    }
}

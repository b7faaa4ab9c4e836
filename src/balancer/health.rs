//! The health of backends: how slow each is relative to the latency baseline. Observations decay towards the
//! mean of the machine type, so that a backend that was slow is tried again.

use super::estimators::{Clock, MeanDeviation};
use super::types::Time;
use std::collections::HashMap;

/// The weight of a sample in a backend's slowness.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The slowness recorded for a failed attempt, and the maximum of any sample.
const FAILURE_SLOWNESS: f64 = 8.0;
/// The number of samples that a machine type starts with, all of them with slowness 1.
const MACHINE_TYPE_PRIOR_SAMPLES: f64 = 5.0;
/// The time constant of the decay of an observation, as a fraction of the averaging window.
const DECAY_WINDOW_FRACTION: f64 = 0.5;

/// The observed health of one backend.
#[derive(Debug)]
pub(super) struct BackendHealth {
    /// The response time relative to the baseline at `updated_at`; 1 is normal.
    slowness: f64,
    updated_at: Time,
    /// When it last served an attempt.
    pub last_response_at: Time,
    /// The number of consecutive attempts that it rejected or that could not connect to it.
    pub consecutive_rejections: u32,
}

impl BackendHealth {
    /// The health of a backend without observations.
    pub fn new() -> Self {
        Self {
            slowness: 1.0,
            updated_at: f64::NEG_INFINITY,
            last_response_at: f64::NEG_INFINITY,
            consecutive_rejections: 0,
        }
    }

    /// Discards the observed slowness, because the backend has restarted.
    pub fn reset_slowness(&mut self) {
        self.updated_at = f64::NEG_INFINITY;
    }
}

/// The slowness of machine types, which is combined with the observations of each backend.
#[derive(Debug, Default)]
pub(super) struct HealthModel {
    machine_types: HashMap<u32, MeanDeviation>,
}

impl HealthModel {
    /// The slowness of a backend of `machine_type`; 1 is normal.
    pub fn slowness(&self, health: &BackendHealth, machine_type: u32, clock: Clock) -> f64 {
        let age = (clock.now - health.updated_at) / (DECAY_WINDOW_FRACTION * clock.window);
        let typical = self.machine_types.get(&machine_type).map_or(1.0, |slowness| slowness.mean);
        typical + (health.slowness - typical) * (-age).exp()
    }

    /// Records the time that an attempt took, or has waited so far, relative to the latency baseline.
    pub fn record_latency(
        &mut self,
        health: &mut BackendHealth,
        machine_type: u32,
        relative_latency: f64,
        clock: Clock,
    ) {
        let current = self.slowness(health, machine_type, clock);
        let prior = MeanDeviation { samples: MACHINE_TYPE_PRIOR_SAMPLES, mean: 1.0, deviation: 0.0 };
        self.machine_types.entry(machine_type).or_insert(prior).record(
            relative_latency,
            FAILURE_SLOWNESS,
            false,
        );
        update(health, current, relative_latency, clock);
    }

    /// Records that an attempt failed.
    pub fn record_failure(&self, health: &mut BackendHealth, machine_type: u32, clock: Clock) {
        let current = self.slowness(health, machine_type, clock);
        update(health, current, FAILURE_SLOWNESS, clock);
    }
}

fn update(health: &mut BackendHealth, current: f64, sample: f64, clock: Clock) {
    health.slowness = current + SAMPLE_WEIGHT * (sample.min(FAILURE_SLOWNESS) - current);
    health.updated_at = clock.now;
}

//! The overload estimate: how far the number of requests in flight exceeds the number expected by Little's
//! law from the send rate and the latency baseline. A short excess may be chance but a lasting one is not, so
//! the tolerance decreases as the mean deviation grows.

use super::endpoints::{BackendIndex, EndpointTable};
use super::estimators::{Clock, MeanDeviation, RELIABLE_SAMPLES};
use super::health::HealthModel;
use super::latency::max_baseline;
use super::requests::RequestTable;
use super::slow_start::capacity_fraction;
use super::types::{Class, Settings, Time};

/// The deviation that is tolerated at first, in square roots of the expected number in flight.
const MAX_TOLERANCE: f64 = 1.5;
/// The tolerated deviation when the deviation lasts, in square roots of the expected number in flight.
const MIN_TOLERANCE: f64 = 0.8;
/// The decrease of the tolerance per unit of mean deviation beyond [`TOLERATED_MEAN_DEVIATION`].
const TOLERANCE_SLOPE: f64 = 2.0;
/// The mean deviation up to which the tolerance has its maximum.
const TOLERATED_MEAN_DEVIATION: f64 = 0.4;
/// The time over which the deviation is averaged, as a fraction of the averaging window.
const DEVIATION_WINDOW_FRACTION: f64 = 0.15;
/// The smallest unit of deviation, as a fraction of the expected number: at a busy proxy the root of that
/// number is small in proportion to it.
const MIN_UNIT_FRACTION: f64 = 0.35;
/// The weight of the root of the actual number in the unit of deviation: counts vary upwards by more than the
/// root of their mean.
const SKEW_WEIGHT: f64 = 0.5;
/// If all requests in flight are answered within this fraction of the shortest latency objective there is no
/// overload, however many they are: where responses take a millisecond, a short stall admits many at once.
const NEGLIGIBLE_WAIT_FRACTION: f64 = 0.1;
/// A subset member this many times slower than the fastest is an outlier and does not indicate the load of
/// the fleet.
const OUTLIER_SLOWNESS_RATIO: f64 = 2.5;

/// The load at one instant.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    /// Requests in flight, as [`in_flight_estimate`] counts them.
    in_flight_estimate: f64,
    /// All requests in flight.
    active: usize,
    /// The total time that all requests in flight have waited.
    total_wait: Time,
    /// The number of backends in service; those in slow start count by their capacity fraction.
    available_capacity: f64,
    /// Requests sent per second.
    send_rate: f64,
}

impl LoadSample {
    pub fn new(
        requests: &RequestTable,
        endpoints: &EndpointTable,
        in_flight_estimate: f64,
        send_rate: f64,
        now: Time,
        settings: &Settings,
    ) -> Self {
        let capacity = |backend: &BackendIndex| capacity_fraction(&endpoints[*backend].entry, now, settings);
        Self {
            in_flight_estimate,
            active: requests.active(),
            total_wait: requests.total_wait(now),
            available_capacity: endpoints.in_service().iter().map(capacity).sum::<f64>(),
            send_rate,
        }
    }
}

/// The number of attempts in flight at subset members that are not outliers, and of rejected requests that
/// wait for a retry. It is at most the number of requests in flight, so that retries do not add to it.
pub(super) fn in_flight_estimate(
    members: &[BackendIndex],
    endpoints: &EndpointTable,
    health: &HealthModel,
    requests: &RequestTable,
    clock: Clock,
) -> f64 {
    let slowness = |member: &BackendIndex| {
        let backend = &endpoints[*member];
        health.slowness(&backend.health, backend.entry.machine_type, clock)
    };
    let best = members.iter().map(slowness).fold(f64::INFINITY, f64::min);
    let healthy = members.iter().filter(|member| slowness(member) <= OUTLIER_SLOWNESS_RATIO * best);
    let attempts = healthy.map(|member| endpoints[*member].in_flight).sum::<usize>() + requests.rejected();
    attempts.min(requests.active()) as f64
}

/// The state of the overload estimate.
#[derive(Debug)]
pub(super) struct OverloadEstimator {
    mean_deviation: f64,
    /// The available capacity, averaged over the window that the send rate is averaged over.
    mean_capacity: f64,
    updated_at: Time,
}

impl OverloadEstimator {
    pub fn new(now: Time) -> Self {
        Self { mean_deviation: 0.0, mean_capacity: 0.0, updated_at: now }
    }

    /// Adds a sample and returns the overload: 0 within the tolerance, 1 from twice the tolerance on.
    pub fn update(
        &mut self,
        sample: &LoadSample,
        latency: &MeanDeviation,
        classes: &[Class],
        clock: Clock,
    ) -> f64 {
        let capacity_ratio = self.update_capacity(sample.available_capacity, clock);
        let response_time = expected_response_time(sample, latency, classes);
        let in_flight = sample.in_flight_estimate;
        let expected_at_mean_capacity = sample.send_rate * response_time;
        let expected = capacity_ratio * expected_at_mean_capacity;
        let skew = (in_flight.sqrt() - expected_at_mean_capacity.max(1.0).sqrt()).max(0.0);
        let root = expected.max(1.0).sqrt() + SKEW_WEIGHT * skew;
        let deviation = (in_flight - expected) / root.max(MIN_UNIT_FRACTION * expected);
        let decay = (-(clock.now - self.updated_at) / (DEVIATION_WINDOW_FRACTION * clock.window)).exp();
        self.mean_deviation = deviation + (self.mean_deviation - deviation) * decay;
        self.updated_at = clock.now;
        if is_wait_low(sample, latency, response_time, classes) {
            return 0.0;
        }
        let narrowing = TOLERANCE_SLOPE * (self.mean_deviation - TOLERATED_MEAN_DEVIATION);
        let tolerance = (MAX_TOLERANCE - narrowing).clamp(MIN_TOLERANCE, MAX_TOLERANCE);
        (deviation / tolerance - 1.0).clamp(0.0, 1.0)
    }

    /// The ratio of the available capacity to its mean, at most 1: with fewer backends than the send rate was
    /// measured with, fewer requests in flight are normal.
    fn update_capacity(&mut self, available: f64, clock: Clock) -> f64 {
        let decay = match self.mean_capacity > 0.0 {
            true => (-(clock.now - self.updated_at) / clock.window).exp(),
            false => 0.0,
        };
        self.mean_capacity = available + (self.mean_capacity - available) * decay;
        (available / self.mean_capacity.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// The baseline response time. The first samples are those of the fastest responses, so while there are few
/// samples the waits of the requests in flight are added.
fn expected_response_time(sample: &LoadSample, latency: &MeanDeviation, classes: &[Class]) -> Time {
    let unreliability = (1.0 - latency.samples / RELIABLE_SAMPLES).max(0.0);
    let waiting = unreliability * sample.total_wait / latency.samples.max(1.0);
    let longest_objective = classes.iter().map(|class| class.latency_objective).fold(0.0, f64::max);
    (latency.mean + waiting).min(max_baseline(longest_objective))
}

/// Whether the requests in flight are answered almost at once: their mean wait and the expected work per
/// backend are both at most [`NEGLIGIBLE_WAIT_FRACTION`] of the shortest objective.
fn is_wait_low(sample: &LoadSample, latency: &MeanDeviation, response_time: Time, classes: &[Class]) -> bool {
    let shortest_objective =
        classes.iter().map(|class| class.latency_objective).fold(f64::INFINITY, f64::min);
    let max_wait = NEGLIGIBLE_WAIT_FRACTION * shortest_objective;
    let mean_wait = sample.total_wait / sample.active.max(1) as f64;
    latency.samples >= RELIABLE_SAMPLES
        && mean_wait <= max_wait
        && sample.in_flight_estimate * response_time <= max_wait * sample.available_capacity
}

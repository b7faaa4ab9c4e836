//! The latency baseline: the response times at normal load, by class and over all classes, and the expected
//! response time of a request relative to its class, based on the client's estimate of its work.

use super::estimators::MeanDeviation;
use super::types::{Class, Time};

/// The baseline is at most this fraction of the latency objective: a higher mean indicates an overload.
const MAX_OBJECTIVE_FRACTION: f64 = 0.25;
/// The fraction of a response time that does not depend on the work of the request.
const FIXED_FRACTION: f64 = 0.5;

/// The highest mean response time that counts as normal for a latency objective.
pub(super) fn max_baseline(latency_objective: Time) -> Time {
    MAX_OBJECTIVE_FRACTION * latency_objective
}

/// Normal response times and work estimates.
#[derive(Debug)]
pub(super) struct LatencyBaseline {
    classes: Vec<MeanDeviation>,
    overall: MeanDeviation,
    work_estimates: Vec<MeanDeviation>,
}

impl LatencyBaseline {
    pub fn new(class_count: usize) -> Self {
        Self {
            classes: vec![MeanDeviation::default(); class_count],
            overall: MeanDeviation::default(),
            work_estimates: vec![MeanDeviation::default(); class_count],
        }
    }

    /// The response times of a class, each divided by the relative size of the request.
    pub fn class(&self, class: usize) -> &MeanDeviation {
        &self.classes[class]
    }

    /// The response times over all classes.
    pub fn overall(&self) -> &MeanDeviation {
        &self.overall
    }

    /// The ratio of `elapsed`, a response time of `class` divided by the request's relative size, to the
    /// baseline; none while there is no baseline.
    pub fn relative_latency(&self, class: usize, elapsed: Time) -> Option<f64> {
        let baseline = self.classes[class].mean;
        if baseline <= 0.0 { None } else { Some(elapsed / baseline) }
    }

    /// Records the response time of a request of `class` with the relative size `size`.
    pub fn record(&mut self, class: usize, settings: &Class, elapsed: Time, size: f64, overloaded: bool) {
        let max_mean = max_baseline(settings.latency_objective);
        self.classes[class].record(elapsed / size, max_mean, overloaded);
        self.overall.record(elapsed, max_mean, overloaded);
    }

    /// Records a work estimate and returns the relative size of the request: its expected response time
    /// divided by the mean of its class.
    pub fn relative_size(&mut self, class: usize, work_estimate: Option<Time>) -> f64 {
        let Some(work) = work_estimate.filter(|work| *work > 0.0) else {
            return 1.0;
        };
        let estimates = &mut self.work_estimates[class];
        estimates.record(work, f64::INFINITY, false);
        FIXED_FRACTION + (1.0 - FIXED_FRACTION) * work / estimates.mean
    }
}

//! Retries: when, with which probability and to which backends an unanswered or failed request is sent again.
//!
//! The mechanism is that of Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP
//! Overload": each request has timers with doubling intervals, and when one fires the request is sent again
//! with probability p. p decreases as the number of unanswered requests rises from the number sent in T1 at
//! the average rate to a multiple of that. By Little's law the number of unanswered requests divided by the
//! send rate is the mean wait, so p compares the mean wait with T1.

#[cfg(test)]
mod tests;

use super::endpoints::Scope;
use super::estimators::MeanDeviation;
use super::requests::{InFlightRequest, RequestSlot};
use super::types::{Class, DeduplicationScope, Idempotency, Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::{Key, KeyData};

/// The minimum of p, as in the paper: it allows retries of lost messages.
const MIN_PROBABILITY: f64 = 0.1;
/// The ratio of the two thresholds between which p decreases. It is lower than the paper's 3, as a retry
/// costs the work of a whole request.
const THRESHOLD_RATIO: f64 = 1.5;
/// The minimum of the lower threshold, in requests: at a proxy with little traffic a single request would
/// otherwise lower its own p.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// The time over which the send rate is averaged, in T1s of the class with the longest latency objective.
const AVERAGING_WINDOW_T1S: f64 = 20.0;
/// T1 is the mean response time plus this many mean deviations, as in TCP's retransmission timeout.
const T1_DEVIATIONS: f64 = 4.0;
/// T1 is at most this fraction of the time left, so that a retry can still be answered.
const T1_MAX_FRACTION: f64 = 0.4;
/// Timers vary by this fraction, so that failed requests of many proxies are not retried at the same time.
const T1_JITTER: f64 = 0.1;
/// A request is not sent if less than this fraction of its expected response time is left.
const MIN_TIME_FRACTION: f64 = 0.6;

/// The timers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestTimer {
    /// A retry is due.
    Retry,
    /// The final answer is due.
    Deadline,
    /// The quiet period of the request's ordering key is over.
    QuietPeriodOver,
}

impl RequestTimer {
    /// The token of this timer of a request. It is above 0 and is not reused for later requests.
    pub fn token(self, slot: RequestSlot) -> u64 {
        let kind = match self {
            Self::Retry => 0,
            Self::Deadline => 1,
            Self::QuietPeriodOver => 2,
        };
        1 + (slot.data().as_ffi() << 2 | kind)
    }

    /// The timer and request of a token above 0.
    pub fn from_token(token: u64) -> Option<(Self, RequestSlot)> {
        let timer = match (token - 1) & 3 {
            0 => Self::Retry,
            1 => Self::Deadline,
            2 => Self::QuietPeriodOver,
            _ => return None,
        };
        Some((timer, RequestSlot::from(KeyData::from_ffi((token - 1) >> 2))))
    }
}

/// The time over which rates are averaged.
pub(super) fn averaging_window(classes: &[Class], min_objective: Time) -> Time {
    let longest = classes.iter().map(|class| class.latency_objective).fold(min_objective, f64::max);
    AVERAGING_WINDOW_T1S * T1_MAX_FRACTION * longest
}

/// T1: the time to the first retry of a request that has `time_left`.
pub(super) fn t1(baseline: &MeanDeviation, relative_size: f64, time_left: Time, settings: &Settings) -> Time {
    let max = T1_MAX_FRACTION * time_left;
    let estimate = (baseline.mean + T1_DEVIATIONS * baseline.deviation) * relative_size;
    (if baseline.samples > 0.0 { estimate.min(max) } else { max }).max(settings.min_time_step)
}

/// The shortest time left with which a request of `relative_size` is sent.
pub(super) fn min_time_left(baseline: &MeanDeviation, relative_size: f64) -> Time {
    MIN_TIME_FRACTION * baseline.mean * relative_size
}

/// The p of the paper, reduced by `overload`.
pub(super) fn probability(unanswered: usize, send_rate: f64, t1: Time, overload: f64) -> f64 {
    let lower = (send_rate * t1).max(MIN_LOWER_THRESHOLD);
    let upper = THRESHOLD_RATIO * lower;
    let excess = ((unanswered as f64 - lower) / (upper - lower)).clamp(0.0, 1.0);
    let probability = 1.0 - (1.0 - MIN_PROBABILITY) * excess;
    (probability * (1.0 - overload)).max(MIN_PROBABILITY)
}

/// When the request's next retry timer fires: T1 after the request started, then 2 T1, 4 T1 ... after the
/// previous timer. None if no further retry is possible.
pub(super) fn next_timer_at(
    request: &InFlightRequest,
    max_attempts: usize,
    rng: &mut SmallRng,
) -> Option<Time> {
    let jitter = 1.0 + T1_JITTER * (2.0 * rng.random::<f64>() - 1.0);
    let t1_multiple = 2f64.powi(request.retry_timers_fired + 1) - 1.0;
    let at = request.started_at + request.t1 * jitter * t1_multiple;
    (at < request.deadline && request.attempts.len() < max_attempts).then_some(at)
}

/// The backends that the next attempt of a request may be sent to; none if it must not be sent.
pub(super) fn allowed_scope(request: &InFlightRequest, settings: &Settings, now: Time) -> Option<Scope> {
    if request.attempts.len() >= settings.max_attempts || now >= request.deadline {
        return None;
    }
    if !settings.hedged_requests && request.has_outstanding_attempt() {
        return None;
    }
    let Some(first) = request.first_possibly_executed() else {
        return Some(Scope::All);
    };
    match settings.classes[request.class].idempotency {
        Idempotency::Idempotent => Some(Scope::All),
        Idempotency::NonIdempotent => None,
        Idempotency::IdempotencyKey { window, .. } if now >= first.sent_at + window => None,
        Idempotency::IdempotencyKey { scope, .. } => Some(match scope {
            DeduplicationScope::All => Scope::All,
            DeduplicationScope::Zone => Scope::Zone(first.zone),
            DeduplicationScope::FailureDomain => Scope::FailureDomain(first.failure_domain),
        }),
    }
}

/// The end of the idempotency window of a request whose last attempt is sent now. It also applies to the
/// first attempt, as a retry may be executed before the connection of the first attempt is established.
pub(super) fn send_deadline(request: &InFlightRequest, settings: &Settings, now: Time) -> Option<Time> {
    match settings.classes[request.class].idempotency {
        Idempotency::IdempotencyKey { window, .. } => {
            Some(request.first_possibly_executed().map_or(now, |first| first.sent_at) + window)
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

/// Whether clients may retry a request that was not answered.
pub(super) fn is_safe_to_retry(request: &InFlightRequest, settings: &Settings) -> bool {
    match settings.classes[request.class].idempotency {
        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => true,
        _ => request.first_possibly_executed().is_none(),
    }
}

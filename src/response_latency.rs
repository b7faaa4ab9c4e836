//! How late the responses of a service are, as one client observes it, and the timeout that follows from it.

use std::time::Duration;

/// The timeout is this multiple of the estimated latency, so that usual variation does not exceed it.
const TIMEOUT_FACTOR: f64 = 1.5;
/// The maximum number of times that an [`AdaptiveTimeout`] doubles.
const MAX_DOUBLINGS: u32 = 8;
/// The longest first timeout of a renewal, for any TTL.
const MAX_FIRST_RENEWAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest timeout of a renewal, for any TTL.
const MAX_RENEWAL_TIMEOUT: Duration = Duration::from_secs(10);

/// An estimate of the time that a service takes for a response, without the time for which a call asks it to wait. It
/// follows an increase at once, and halves with each response that is faster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseLatency {
    estimate: Duration,
}

impl ResponseLatency {
    /// Records a response that arrived `elapsed` after its call was sent; the call asked the service to wait up to
    /// `wait` for changes.
    pub fn observe(&mut self, elapsed: Duration, wait: Duration) {
        self.estimate = match elapsed.checked_sub(wait) {
            Some(beyond_wait) => beyond_wait.max(self.estimate / 2),
            // There was a change during the wait: the service took at most the whole time.
            None => self.estimate.min(elapsed),
        };
    }

    /// The timeout of the next response, at least `min` and at most `max`.
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        self.estimate.mul_f64(TIMEOUT_FACTOR).min(max).max(min)
    }
}

/// The timeout of calls that are made one after another. It follows the observed latency, and doubles with each call in
/// a row that was not answered in time, so that the responses of a service that is slow each time arrive.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    min: Duration,
    max: Duration,
    latency: ResponseLatency,
    /// The number of calls in a row that were not answered in time.
    timeouts: u32,
}

impl AdaptiveTimeout {
    /// A timeout between `min` and `max`, first `min`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, latency: ResponseLatency::default(), timeouts: 0 }
    }

    /// The timeout of the calls that keep a lease or a session with this TTL. Renewals follow one another, so one that
    /// takes less than half of the holder's validity is followed by another in time; half of the TTL is more than that.
    pub fn for_renewals(ttl: Duration, renewal_interval: Duration) -> Self {
        Self::new(renewal_interval.min(MAX_FIRST_RENEWAL_TIMEOUT), (ttl / 2).min(MAX_RENEWAL_TIMEOUT))
    }

    /// The timeout of the next call.
    pub fn current(&self) -> Duration {
        let timeout = self.latency.timeout(self.min, self.max);
        timeout.saturating_mul(1 << self.timeouts.min(MAX_DOUBLINGS)).min(self.max)
    }

    /// Records a response that arrived `elapsed` after its call was sent.
    pub fn answered(&mut self, elapsed: Duration) {
        self.latency.observe(elapsed, Duration::ZERO);
        self.timeouts = 0;
    }

    /// Records a call that was not answered in time.
    pub fn timed_out(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}

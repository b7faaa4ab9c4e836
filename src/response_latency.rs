//! How late the responses of a service are, as one client observes it, and the timeout that follows from it.

use std::time::Duration;

/// The timeout is this multiple of the estimated latency, so that usual variation does not exceed it.
const TIMEOUT_FACTOR: f64 = 1.5;

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
        self.estimate.mul_f64(TIMEOUT_FACTOR).clamp(min, max)
    }
}

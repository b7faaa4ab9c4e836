//! Running estimates of what the balancer observes: a token bucket, a decaying rate, and a mean with its
//! mean deviation. They have no clock; the caller passes the time.

#[cfg(test)]
mod tests;

use super::types::Time;

/// The number of samples from which a [`MeanDeviation`] is reliable.
pub(super) const RELIABLE_SAMPLES: f64 = 10.0;
/// The weight of a sample in a [`MeanDeviation`] with many samples.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// The factor on the weight of a sample under overload: if the baseline followed the waits of an overload,
/// the overload would go undetected.
const OVERLOAD_WEIGHT_FACTOR: f64 = 0.05;

/// The current time, and the time over which averages are taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// The current time.
    pub now: Time,
    /// The averaging window.
    pub window: Time,
}

/// Tokens that accrue at a rate, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// The balance as of the last refill.
    pub tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens`.
    pub fn new(tokens: f64, now: Time) -> Self {
        Self { tokens, updated_at: now }
    }

    /// Adds the tokens accrued since the last call, at `rate` per second, and returns the balance.
    pub fn refill(&mut self, now: Time, rate: f64, max_tokens: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.updated_at).max(0.0)).min(max_tokens);
        self.updated_at = now;
        self.tokens
    }
}

/// A rate of events that decays exponentially; until a window has passed it is the plain mean rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingRate {
    count: f64,
    span: Time,
    updated_at: Time,
}

impl DecayingRate {
    /// Creates a rate without events that is observed from `now` on.
    pub fn new(now: Time) -> Self {
        Self { count: 0.0, span: 0.0, updated_at: now }
    }

    /// Applies the decay of past events up to the current time.
    pub fn decay(&mut self, clock: Clock) {
        let remaining = (-(clock.now - self.updated_at).max(0.0) / clock.window).exp();
        self.count *= remaining;
        self.span = self.span * remaining + clock.window * (1.0 - remaining);
        self.updated_at = clock.now;
    }

    /// Counts an event.
    pub fn record(&mut self, clock: Clock) {
        self.decay(clock);
        self.count += 1.0;
    }

    /// The rate at the last call of `decay` or `record`.
    pub fn per_second(&self) -> f64 {
        if self.span > 0.0 { self.count / self.span } else { 0.0 }
    }

    /// The time that the estimate covers, at most a window.
    pub fn span(&self) -> Time {
        self.span
    }
}

/// A mean and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanDeviation {
    pub samples: f64,
    pub mean: f64,
    pub deviation: f64,
}

impl MeanDeviation {
    /// Adds a sample; the mean never exceeds `max_mean`.
    pub fn record(&mut self, sample: f64, max_mean: f64, overloaded: bool) {
        self.samples += 1.0;
        let reduced = overloaded && self.samples > RELIABLE_SAMPLES;
        let factor = if reduced { OVERLOAD_WEIGHT_FACTOR } else { 1.0 };
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / self.samples) * factor;
        self.deviation += weight * ((sample - self.mean).abs() - self.deviation);
        self.mean = (self.mean + weight * (sample - self.mean)).min(max_mean);
    }
}

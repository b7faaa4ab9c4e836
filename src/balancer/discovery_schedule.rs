//! When a proxy polls discovery: after a random delay at the start, and with a backoff after failures, so
//! that the polls of a whole fleet do not overload discovery.
//!
//! If polls arrive faster than discovery can answer them one after another, it answers none in time. Failed
//! polls are repeated, so this state persists. The poll rate of each proxy is therefore limited according to
//! the number of proxies ([`POLLS_PER_SECOND`]). Discovery assumes that every proxy knows of a change after
//! 6 s. A proxy whose poll is lost just before discovery recovers polls again within `MAX_SPACING * (1 +
//! SPACING_JITTER)` = 5.1 s.

#[cfg(test)]
mod tests;

use super::types::{Settings, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// The longest delay of the first poll, in seconds. It leaves enough of the 6 s for a poll that times out
/// after 1.5 s, the backoff and an answer.
const MAX_FIRST_DELAY: Time = 2.3;
/// The longest delay of the first poll, as a fraction of [`Settings::poll_timeout`].
const FIRST_DELAY_FRACTION: f64 = 0.5;
/// The mean backoff after the first failure in a small fleet, in seconds; it doubles up to the maximum.
const MIN_BACKOFF: Time = 0.3;
/// The longest mean backoff in a small fleet, in seconds.
const MAX_BACKOFF: Time = 0.7;
/// The mean first backoff is at most this fraction of [`Settings::poll_timeout`].
const BACKOFF_FRACTION: f64 = 0.1;
/// The number of failed polls after which the backoff stops doubling.
const MAX_DOUBLINGS: u32 = 8;
/// The total rate of polls of all proxies of a tier while polls fail, per second.
const POLLS_PER_SECOND: f64 = 10.0;
/// The longest mean time from the start of a failed poll to the start of the next, in seconds.
const MAX_SPACING: Time = 4.6;
/// The spacing varies by this fraction, so that proxies whose polls failed together do not poll together
/// again.
const SPACING_JITTER: f64 = 0.1;
/// The response timeout in a small fleet, in seconds.
const MIN_RESPONSE_TIMEOUT: Time = 1.4;
/// The longest response timeout, in seconds.
const MAX_RESPONSE_TIMEOUT: Time = 2.5;
/// The response timeout as a fraction of the spacing. If a poll is cancelled before discovery drops it, the
/// work of discovery for it is wasted.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.55;

/// The mean time between the starts of two failed polls of one proxy among `proxies`, in seconds.
fn spacing(proxies: usize) -> Time {
    (proxies as f64 / POLLS_PER_SECOND).min(MAX_SPACING)
}

/// How long one proxy among `proxies` waits for the answer to a poll, in seconds, in addition to the time for
/// which the poll asks discovery to wait for changes.
pub fn response_timeout(proxies: usize) -> Time {
    (RESPONSE_TIMEOUT_FRACTION * spacing(proxies)).clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
}

/// The schedule of the polls of one proxy.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    /// See [`Settings::polls_discovery`].
    is_polled: bool,
    /// Whether the first poll was scheduled.
    is_started: bool,
    /// See [`Settings::poll_timeout`].
    poll_timeout: Time,
    last_poll_at: Time,
    /// The number of consecutive failed polls.
    failures: u32,
    /// When the last answer arrived or, before the first, the proxy started.
    last_contact: Time,
    has_answered: bool,
}

impl DiscoverySchedule {
    /// Creates the schedule of a proxy that starts at `now`.
    pub fn new(now: Time, settings: &Settings) -> Self {
        Self {
            is_polled: settings.polls_discovery,
            is_started: false,
            poll_timeout: settings.poll_timeout,
            last_poll_at: now,
            failures: 0,
            last_contact: now,
            has_answered: false,
        }
    }

    /// The delay of the first poll, random because proxies often start together. None after the first call,
    /// or if discovery is not polled.
    pub fn first_delay(&mut self, rng: &mut SmallRng) -> Option<Time> {
        if !self.is_polled || self.is_started {
            return None;
        }
        self.is_started = true;
        Some(rng.random::<f64>() * MAX_FIRST_DELAY.min(FIRST_DELAY_FRACTION * self.poll_timeout))
    }

    /// Records that a poll starts.
    pub fn poll_started(&mut self, now: Time) {
        self.last_poll_at = now;
    }

    /// Records that a poll was answered.
    pub fn poll_answered(&mut self, now: Time) {
        self.failures = 0;
        self.last_contact = now;
        self.has_answered = true;
    }

    /// The time since the last contact while polls fail or before the first is answered, as the list that a
    /// process starts with may be old; 0 otherwise.
    pub fn outage_duration(&self, now: Time) -> Time {
        let is_out_of_contact = self.is_polled && (self.failures > 0 || !self.has_answered);
        if is_out_of_contact { now - self.last_contact } else { 0.0 }
    }

    /// Records that a poll of one proxy among `proxies` failed, and returns the backoff before the next.
    pub fn poll_failed(&mut self, now: Time, proxies: usize, rng: &mut SmallRng) -> Time {
        let first = MIN_BACKOFF.min(BACKOFF_FRACTION * self.poll_timeout);
        let doubled = first * f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        let backoff = doubled.min(MAX_BACKOFF) * (0.5 + rng.random::<f64>());
        let spaced = if self.failures == 0 {
            // The watches of all proxies break together: the polls that follow are spread over the whole
            // spacing.
            spacing(proxies) * rng.random::<f64>()
        } else {
            let jitter = rng.random_range(1.0 - SPACING_JITTER..=1.0 + SPACING_JITTER);
            spacing(proxies) * jitter - (now - self.last_poll_at).max(0.0)
        };
        self.failures = self.failures.saturating_add(1);
        backoff.max(spaced)
    }
}

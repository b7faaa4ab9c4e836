//! The clock of the proxy: seconds on the monotonic clock since the proxy started.

use crate::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock that the balancer, the engine and the guard use. Its times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The Unix time of `start`, in seconds.
    unix_start: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix_start }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a Unix time, in seconds. The wall clock is read once, at the start, so the same input has the same
    /// result for as long as the proxy runs.
    pub fn from_unix(&self, unix: Time) -> Time {
        unix - self.unix_start
    }

    /// Converts an instant; an instant before the start is converted to 0.
    pub fn time_of(&self, instant: Instant) -> Time {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// The instant of a time of this clock; the start if the time is negative.
    pub fn instant_of(&self, time: Time) -> Instant {
        self.start + Duration::try_from_secs_f64(time).unwrap_or_default()
    }
}

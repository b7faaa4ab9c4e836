//! The clock by which a process measures its leases.

use std::time::{Duration, Instant};

/// A clock that runs at `rate` times real time, so that a fault test can make it fast or slow; 1.0 in production.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    rate: f64,
}

impl Clock {
    /// Makes a clock that shows the real time now.
    pub fn start(rate: f64) -> Self {
        Self { start: Instant::now(), rate }
    }

    /// The current time of this clock.
    pub fn now(&self) -> Instant {
        self.start + self.start.elapsed().mul_f64(self.rate)
    }

    /// Waits until `duration` has passed on this clock.
    pub async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration.div_f64(self.rate)).await;
    }
}

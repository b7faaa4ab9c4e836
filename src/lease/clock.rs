//! A process's clock as its leases count it.

use std::time::{Duration, Instant};

/// Real time run at `rate`, so that a fault test can make it fast or slow; 1.0 in service.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    rate: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start(rate: f64) -> Self {
        Self { start: Instant::now(), rate }
    }

    /// The time by it.
    pub fn now(&self) -> Instant {
        self.start + self.start.elapsed().mul_f64(self.rate)
    }

    /// Waits for `local` to pass on it.
    pub async fn sleep(&self, local: Duration) {
        tokio::time::sleep(local.div_f64(self.rate)).await;
    }
}

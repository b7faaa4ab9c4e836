//! The log's clock: the leader timestamps commands with it, and TTLs are measured by it.
//!
//! It is not the time of day, which can jump. It counts the time during which there was a leader: a leader continues
//! from the latest applied timestamp at the rate of its monotonic clock, and counts at most `max_step`
//! ([`LogClock::new`]) between two readings, which are made at least once per expiry interval. Therefore
//! - it runs faster than real time at most by the rate error of the leader's clock, and nothing expires early because a
//!   clock jumped, a machine slept, or a stopped process (SIGSTOP) continued;
//! - time without a leader does not count, so entries and leases expire later by at least the length of an election. An
//!   election can thus delay a new grant of a lease, but never make it earlier.

use std::time::Duration;

/// The log's clock on one node. It returns log time in milliseconds, which starts at 0 for an empty log.
#[derive(Clone, Copy, Debug)]
pub struct LogClock {
    /// The log's time at `last_reading`.
    now: Duration,
    /// The latest reading of the monotonic clock.
    last_reading: Duration,
    max_step: Duration,
}

impl LogClock {
    /// Creates a clock at log time 0 that counts at most `max_step` between two readings; `monotonic` is the time since
    /// any fixed instant by the node's monotonic clock.
    pub fn new(monotonic: Duration, max_step: Duration) -> Self {
        Self { now: Duration::ZERO, last_reading: monotonic, max_step }
    }

    /// Advances the clock on the leader and returns the time of its next command, in milliseconds; `applied_ms` is the
    /// latest applied timestamp. Where the monotonic clock did not advance or went back, no time is counted.
    pub fn advance_as_leader(&mut self, monotonic: Duration, applied_ms: u64) -> u64 {
        let elapsed = monotonic.saturating_sub(self.last_reading).min(self.max_step);
        self.last_reading = monotonic;
        self.now = (self.now + elapsed).max(Duration::from_millis(applied_ms));
        self.now.as_millis() as u64
    }

    /// Sets the clock of a node that does not lead to the latest applied timestamp; as a leader it would continue from
    /// there.
    pub fn advance_as_follower(&mut self, monotonic: Duration, applied_ms: u64) {
        (self.now, self.last_reading) = (Duration::from_millis(applied_ms), monotonic);
    }
}

#[cfg(test)]
mod tests;

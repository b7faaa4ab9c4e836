//! The timeline of a run: its scheduled steps.

use super::fleet::Target;
use std::collections::BTreeMap;

/// A scheduled step of a run.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A fault of the experiment, by index, begins: at one target, or at all of its group.
    ApplyFault(usize, Option<Target>),
    /// A fault ends at these targets.
    LiftFault(usize, Vec<Target>),
    /// The load balancer begins or stops to send requests to a proxy.
    SetProxyInRotation {
        /// The proxy.
        proxy: usize,
        /// Whether the load balancer sends it requests.
        alive: bool,
    },
    /// A drained backend of a tier, by id, ends and leaves the list.
    RemoveBackend {
        /// Its tier.
        tier: usize,
        /// Its id.
        id: String,
    },
    /// A backend stops for a moment, and again each second.
    Freeze {
        /// The slot of the backend.
        slot: usize,
        /// How long it stops, in seconds.
        duration: f64,
        /// When it is stopped for the last time, in seconds of the run.
        ends_at: f64,
    },
    /// A process on the machine of a backend uses a part of its processor, every other second.
    NoisyNeighbour {
        /// The slot of the backend.
        slot: usize,
        /// The part of the processor that is used.
        part: f64,
        /// When this ends, in seconds of the run.
        ends_at: f64,
        /// Whether the part is used in the next second.
        active: bool,
    },
}

/// The scheduled steps, ordered by their time and then by when they were scheduled.
#[derive(Default)]
pub(super) struct Timeline {
    /// The steps by time in microseconds and number.
    steps: BTreeMap<(u64, u64), Step>,
    scheduled: u64,
}

impl Timeline {
    /// Schedules a step at a time of the run, in seconds.
    pub fn schedule(&mut self, seconds: f64, step: Step) {
        self.scheduled += 1;
        self.steps.insert((micros(seconds), self.scheduled), step);
    }

    /// Removes and returns the next step that is due at `now`, in seconds of the run.
    pub fn pop_due(&mut self, now: f64) -> Option<Step> {
        let due = micros(now);
        let entry = self.steps.first_entry().filter(|entry| entry.key().0 <= due)?;
        Some(entry.remove())
    }

    /// When the next step is due, in seconds of the run; infinity where there is none.
    pub fn next_at(&self) -> f64 {
        self.steps.first_key_value().map_or(f64::INFINITY, |((micros, _), _)| *micros as f64 / 1e6)
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

//! The queueing model of one emulated backend: a state machine without I/O whose time is set by its caller. It follows
//! the brief ("Servers", "Boxes in detail", "Seen in service").
//!
//! Time is in seconds from the start of the run; work is in seconds of a core of speed 1. A backend has `cores`
//! servers with one queue, first come first served. All cores work at the same rate, the product of their speed and of
//! the current slowdowns (cold, neighbour, overload, freeze). [`Model::advance`] ends work at the exact time that the
//! rate gives, whenever it is called, so that the lateness of the caller does not add up; waits in its figures are
//! those of the model.

use serde::Deserialize;
use std::collections::VecDeque;

/// The properties of a kind of backend, from `[[backends]]` of an experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// Its name, which is listed as the machine type.
    pub name: String,
    /// The number of backends of this kind.
    pub count: usize,
    /// The number of cores: requests that run at once.
    pub cores: usize,
    /// The range from which the speed of a backend's cores is drawn; 1 is the reference speed.
    pub speed: [f64; 2],
    /// Its weight in the list.
    pub weight: f64,
    /// The maximum number of waiting requests; further ones are rejected.
    pub queue: usize,
    /// The maximum number of connections; requests on further ones are rejected.
    pub connections: usize,
    /// The work of a new connection, in milliseconds, added to its first request.
    pub handshake_ms: f64,
    /// The idle timeout of its connections, in seconds.
    pub idle_close: f64,
    /// The range from which the interval of its load reports is drawn, in milliseconds.
    pub report_ms: [f64; 2],
    /// Whether it is cold when it starts during a run.
    pub cold: bool,
    /// The fraction of its capacity that it has when it starts cold.
    pub cold_share: f64,
    /// Seconds from a cold start until it is warm.
    pub warm_after: f64,
    /// While cold, it fails if it is sent more than this multiple of its capacity for `tip_after`.
    pub fall_multiple: f64,
    /// Seconds for which it must be sent that much to fail.
    pub tip_after: f64,
    /// The number of waiting requests per core above which it counts as overloaded.
    #[serde(rename = "swamped")]
    pub overload_threshold: f64,
    /// Seconds of overload after which it becomes slower.
    #[serde(rename = "swamped_after")]
    pub overload_after: f64,
    /// The factor by which it is then slower.
    #[serde(rename = "swamped_slower")]
    pub overload_slowdown: f64,
    /// When the slowdown ends, in seconds: after being mostly idle for the first, at the latest after the second.
    #[serde(rename = "swamped_until")]
    pub overload_until: [f64; 2],
    /// Whether requests never queue and take the time of their work at any load: a delay, not a server.
    #[serde(rename = "ample")]
    pub is_delay_only: bool,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: "box".into(),
            count: 1,
            cores: 1,
            speed: [1.0, 1.0],
            weight: 1.0,
            queue: 64,
            connections: 600,
            handshake_ms: 1.0,
            idle_close: 30.0,
            report_ms: [48.0, 200.0],
            cold: true,
            cold_share: 0.31,
            warm_after: 8.8,
            fall_multiple: 4.0,
            tip_after: 3.0,
            overload_threshold: 8.0,
            overload_after: 2.0,
            overload_slowdown: 3.0,
            overload_until: [3.6, 25.0],
            is_delay_only: false,
        }
    }
}

/// Why a request is rejected before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full.
    Full,
    /// The backend drains.
    Draining,
    /// The backend has failed, or is not running.
    Down,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// Its number, given on arrival.
    pub job: u64,
    /// When it ended, in seconds of the run.
    pub at: f64,
    /// How long it waited in the queue, in seconds.
    pub waited: f64,
    /// Whether it was still queued at its deadline, so that it never ran.
    pub expired: bool,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    job: u64,
    arrived_at: f64,
    /// If it is still queued then, it does not run.
    deadline: f64,
    work: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    work_left: f64,
    started_at: f64,
}

/// Remaining work, in seconds, that counts as none: above the precision of an `f64` time of some days, so that time
/// advances.
const WORK_TOLERANCE_S: f64 = 1e-9;
/// The interval at which slow changes (warming, overload) are computed, in seconds.
const TICK_S: f64 = 0.05;

/// The state of one backend.
#[derive(Clone, Debug)]
pub struct Model {
    kind: Kind,
    speed: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    /// The time up to which it has been advanced.
    now: f64,
    next_tick: f64,
    /// When it started, if it is cold.
    cold_since: Option<f64>,
    /// The work that arrived in each of the last ticks, and the capacity of each, to decide whether a cold backend
    /// fails.
    offered: VecDeque<(f64, f64)>,
    /// The work that arrived since the last tick.
    arrived_work: f64,
    /// The fraction of each core that a neighbour does not use.
    available_share: f64,
    frozen: bool,
    overloaded_for: f64,
    overloaded_since: Option<f64>,
    idle_for: f64,
    speed_factor: f64,
    /// Whether it has failed under load while cold.
    pub fallen: bool,
    /// Whether it rejects new requests.
    pub draining: bool,
}

impl Model {
    /// A backend of `kind` whose cores run at `speed`, at time `now`; `cold` if it has just started.
    pub fn new(kind: Kind, speed: f64, now: f64, cold: bool) -> Self {
        let cold_since = (cold && kind.cold).then_some(now);
        Self {
            kind,
            speed,
            running: Vec::new(),
            waiting: VecDeque::new(),
            now,
            next_tick: now + TICK_S,
            cold_since,
            offered: VecDeque::new(),
            arrived_work: 0.0,
            available_share: 1.0,
            frozen: false,
            overloaded_for: 0.0,
            overloaded_since: None,
            idle_for: 0.0,
            speed_factor: 1.0,
            fallen: false,
            draining: false,
        }
    }

    /// The number of requests in flight: waiting and running.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it is cold: not yet warm after its start.
    pub fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// The speed of its cores without slowdowns.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Its current capacity, in work per second.
    pub fn capacity(&self) -> f64 {
        self.rate() * self.kind.cores as f64
    }

    /// The fraction of its full rate that it reaches while cold; 1 if warm.
    fn warmth(&self) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let progress = ((self.now - since) / self.kind.warm_after).clamp(0.0, 1.0);
        self.kind.cold_share + (1.0 - self.kind.cold_share) * progress
    }

    fn rate(&self) -> f64 {
        if self.frozen || self.fallen {
            return 0.0;
        }
        self.speed * self.speed_factor * self.available_share * self.warmth() / self.slowdown()
    }

    fn slowdown(&self) -> f64 {
        if self.overloaded_since.is_some() { self.kind.overload_slowdown } else { 1.0 }
    }

    /// Slows all cores to this fraction of their speed (a fault).
    pub fn slow_to(&mut self, fraction: f64) {
        self.speed_factor = fraction;
    }

    /// Sets the fraction of the machine that a neighbour does not use.
    pub fn set_available_share(&mut self, share: f64) {
        self.available_share = share;
    }

    /// Stops all cores, or resumes them.
    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Adds a request at the time to which the model has been advanced; `work` is in seconds of a core of speed 1,
    /// `deadline` in seconds of the run.
    ///
    /// # Errors
    /// Why it is rejected.
    pub fn arrive(&mut self, job: u64, work: f64, deadline: f64) -> Result<(), Rejection> {
        if self.fallen {
            return Err(Rejection::Down);
        }
        // All work that is sent can make a cold backend fail, whether or not it is rejected.
        self.arrived_work += work;
        if self.draining {
            return Err(Rejection::Draining);
        }
        let job = Job { job, arrived_at: self.now, deadline, work };
        if self.kind.is_delay_only || self.running.len() < self.kind.cores {
            self.running.push(Running { job, work_left: work, started_at: self.now });
        } else if self.waiting.len() >= self.kind.queue {
            return Err(Rejection::Full);
        } else {
            self.waiting.push_back(job);
        }
        Ok(())
    }

    /// The time of the next event, if no request arrives before.
    pub fn next_event_at(&self) -> f64 {
        let rate = self.rate();
        let ends = self.running.iter().map(|r| r.work_left / rate).fold(f64::INFINITY, f64::min);
        (self.now + ends).min(self.next_tick)
    }

    /// Advances the time to `to`; requests that end are added to `done`, in order of time.
    pub fn advance(&mut self, to: f64, done: &mut Vec<Done>) {
        while self.now < to {
            let at = self.next_event_at().min(to).max(self.now);
            let work_done = (at - self.now) * self.rate();
            self.now = at;
            for running in &mut self.running {
                running.work_left -= work_done;
            }
            let mut n = 0;
            while n < self.running.len() {
                if self.running[n].work_left > WORK_TOLERANCE_S {
                    n += 1;
                    continue;
                }
                let Running { job, started_at, .. } = self.running.swap_remove(n);
                done.push(Done { job: job.job, at, waited: started_at - job.arrived_at, expired: false });
            }
            while self.running.len() < self.kind.cores {
                let Some(job) = self.waiting.pop_front() else { break };
                if job.deadline <= at {
                    done.push(Done { job: job.job, at, waited: at - job.arrived_at, expired: true });
                } else {
                    self.running.push(Running { job, work_left: job.work, started_at: at });
                }
            }
            if at >= self.next_tick {
                self.next_tick = at + TICK_S;
                self.tick(done);
            }
        }
    }

    /// Computes the slow changes: warming, failing while cold, and the slowdown under overload.
    fn tick(&mut self, done: &mut Vec<Done>) {
        if self.cold_since.is_some_and(|since| self.now - since >= self.kind.warm_after) {
            self.cold_since = None;
        }
        if self.is_cold() && !self.fallen {
            self.offered.push_back((self.arrived_work, self.capacity() * TICK_S));
            let ticks = (self.kind.tip_after / TICK_S) as usize;
            if self.offered.len() > ticks {
                self.offered.pop_front();
            }
            let (sent, capacity) = self.offered.iter().fold((0.0, 0.0), |s, o| (s.0 + o.0, s.1 + o.1));
            if self.offered.len() >= ticks && sent > self.kind.fall_multiple * capacity {
                self.fallen = true;
                let in_flight = self.running.drain(..).map(|r| r.job).chain(self.waiting.drain(..));
                done.extend(in_flight.map(|j| Done { job: j.job, at: self.now, waited: 0.0, expired: true }));
            }
        } else {
            self.offered.clear();
        }
        self.arrived_work = 0.0;
        let cores = self.kind.cores as f64;
        let overloaded = self.waiting.len() as f64 > self.kind.overload_threshold * cores;
        self.overloaded_for = if overloaded { self.overloaded_for + TICK_S } else { 0.0 };
        let idle = (self.running.len() as f64) < 0.5 * cores && self.waiting.is_empty();
        self.idle_for = if idle { self.idle_for + TICK_S } else { 0.0 };
        match self.overloaded_since {
            None if self.overloaded_for >= self.kind.overload_after => self.overloaded_since = Some(self.now),
            Some(since) => {
                let [idle_for, max_duration] = self.kind.overload_until;
                if self.idle_for >= idle_for || self.now - since >= max_duration {
                    self.overloaded_since = None;
                }
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;

//! Evaluates attempts: response times, failures and rejections of backends.

use super::Balancer;
use super::endpoints::BackendIndex;
use super::overload::{LoadSample, in_flight_estimate};
use super::requests::{Attempt, RequestSlot};
use super::types::{Action, AttemptEnded, Outcome, Time};

/// The state of an outstanding attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outstanding {
    /// It waits for a response.
    Waiting,
    /// The deadline of its request has passed.
    TimedOut,
}

impl Balancer {
    /// Records the outcome of an attempt at a backend. `slot` is that of its request; none if the request
    /// already has its final answer.
    pub(super) fn observe_outcome(
        &mut self,
        index: BackendIndex,
        slot: Option<RequestSlot>,
        ended: &AttemptEnded,
        actions: &mut Vec<Action>,
    ) {
        use Outcome::{
            BadRequest, Cancelled, ConnectFailed, Error, NotSent, Rejected, Reset, Served, Timeout,
        };
        let backend = &mut self.endpoints[index];
        backend.in_flight = backend.in_flight.saturating_sub(1);
        match ended.outcome {
            Rejected | ConnectFailed => backend.health.consecutive_rejections += 1,
            Served | Error => backend.health.consecutive_rejections = 0,
            Timeout | Reset | Cancelled | NotSent | BadRequest => {}
        }
        self.close_idle_if_draining(index, actions);
        let Some(slot) = slot else { return };
        match ended.outcome {
            Served => self.observe_response(index, slot, ended.elapsed),
            Cancelled | NotSent | BadRequest => {}
            Error | Rejected | Timeout | ConnectFailed | Reset => {
                self.observe_failure(index);
            }
        }
    }

    fn observe_response(&mut self, index: BackendIndex, slot: RequestSlot, elapsed: Time) {
        self.endpoints[index].health.last_response_at = self.clock.now;
        self.served_rate.record(self.clock);
        self.observe_latency(index, slot, elapsed);
        let is_overloaded = self.update_overload() > 0.0;
        let (class, size) = (self.requests[slot].class, self.requests[slot].relative_size);
        self.latency.record(class, &self.settings.classes[class], elapsed, size, is_overloaded);
    }

    /// Records that an attempt at a backend took `elapsed`, or has waited for that long.
    fn observe_latency(&mut self, index: BackendIndex, slot: RequestSlot, elapsed: Time) {
        let request = &self.requests[slot];
        let elapsed = elapsed / request.relative_size;
        if let Some(relative) = self.latency.relative_latency(request.class, elapsed) {
            let backend = &mut self.endpoints[index];
            let machine_type = backend.entry.machine_type;
            self.health.record_latency(&mut backend.health, machine_type, relative, self.clock);
        }
    }

    /// Records that an attempt at a backend failed.
    fn observe_failure(&mut self, index: BackendIndex) {
        let backend = &mut self.endpoints[index];
        self.health.record_failure(&mut backend.health, backend.entry.machine_type, self.clock);
    }

    /// Records a wait or a failure for each outstanding attempt whose backend has not responded to any
    /// request since the attempt was sent. Returns whether the backend of any outstanding attempt has
    /// responded.
    pub(super) fn observe_outstanding(&mut self, slot: RequestSlot, state: Outstanding) -> bool {
        let mut is_backend_responding = false;
        for number in 0..self.requests[slot].attempts.len() {
            let Attempt { backend, sent_at, outcome, .. } = self.requests[slot].attempts[number];
            if outcome.is_some() {
                continue;
            }
            if self.endpoints[backend].health.last_response_at > sent_at {
                is_backend_responding = true;
                continue;
            }
            match state {
                Outstanding::Waiting => self.observe_latency(backend, slot, self.clock.now - sent_at),
                Outstanding::TimedOut => self.observe_failure(backend),
            }
        }
        is_backend_responding
    }

    /// Updates the overload estimate; see [`super::overload`].
    pub(super) fn update_overload(&mut self) -> f64 {
        self.sent_rate.decay(self.clock);
        let in_flight = in_flight_estimate(
            self.subset.members(),
            &self.endpoints,
            &self.health,
            &self.requests,
            self.clock,
        );
        let sample = LoadSample::new(
            &self.requests,
            &self.endpoints,
            in_flight,
            self.sent_rate.per_second(),
            self.clock.now,
            &self.settings,
        );
        self.overload.update(&sample, self.latency.overall(), &self.settings.classes, self.clock)
    }
}

//! The attempts in flight: sent when the balancer decides so, ended by their outcome, a timeout or a cancellation.

use super::timers::TimerKey;
use super::{Answer, Engine, QueuedEvent, State};
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::proxy::upstream::{self, AttemptLimits, AttemptResult};
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::{AttemptKind, DropReason};
use crate::{AttemptEnded, BackendId, Event, Outcome, RequestId, Time};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// An attempt that the balancer has decided on.
pub(super) struct PlannedAttempt {
    pub(super) id: RequestId,
    pub(super) backend: BackendId,
    /// How long to wait for the response, in seconds; 0 means until the request's deadline.
    pub(super) timeout: Time,
    /// The latest time at which it may be sent.
    pub(super) send_deadline: Option<Time>,
}

/// An attempt that was sent or is waiting for its connection.
struct InFlightAttempt {
    backend: BackendId,
    forwarded: Rc<ForwardedRequest>,
    sent_at: Time,
    /// Whether any of the request may have been written.
    is_written: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// All attempts in flight, by request and number.
pub(super) struct InFlightAttempts(HashMap<(RequestId, usize), InFlightAttempt>);

impl InFlightAttempts {
    pub(super) fn new() -> Self {
        Self(HashMap::new())
    }

    /// Whether any of the request may have been written on this attempt.
    pub(super) fn is_written(&self, id: RequestId, attempt: usize) -> bool {
        self.0.get(&(id, attempt)).is_some_and(|attempt| attempt.is_written.get())
    }
}

impl Engine {
    /// Starts an attempt, or reports to the balancer that it cannot be sent.
    pub(super) fn send_attempt(&self, state: &mut State, planned: PlannedAttempt, now: Time) {
        let PlannedAttempt { id, backend, timeout, send_deadline } = planned;
        let endpoint = state.endpoints.get(backend);
        let max_attempts = self.max_attempts.get();
        let request = state.requests.get_mut(id).filter(|request| request.attempts_sent < max_attempts);
        let (Some(request), Some(endpoint), Some(engine)) = (request, endpoint, self.weak_self.upgrade())
        else {
            return drop_attempt(state, id, backend);
        };
        state.endpoints.make_room();
        let number = request.attempts_sent;
        request.attempts_sent += 1;
        let kind = if number == 0 { AttemptKind::First } else { AttemptKind::Retry };
        metrics::count(CountedEvent::AttemptSent(kind));
        let reason = kind.label();
        tracing::debug!(%id, attempt = number, backend = backend.0, reason, timeout, "attempt sent");
        let deadline = if timeout == 0.0 { request.deadline } else { (now + timeout).min(request.deadline) };
        let is_written = Rc::new(Cell::new(false));
        let forwarded = request.forwarded.clone();
        let limits = AttemptLimits { deadline, send_deadline, number };
        let exchange =
            upstream::send_attempt(endpoint, forwarded.clone(), self.clock, limits, is_written.clone());
        let task = tokio::task::spawn_local(async move {
            let result = exchange.await;
            engine.attempt_completed(id, number, result);
        });
        let task = task.abort_handle();
        let in_flight = InFlightAttempt { backend, forwarded, sent_at: now, is_written, task };
        state.attempts.0.insert((id, number), in_flight);
        self.set_timer(state, deadline, TimerKey::Attempt(id, number));
    }

    fn attempt_completed(&self, id: RequestId, attempt: usize, result: AttemptResult) {
        let mut state = self.state();
        self.end_attempt(&mut state, id, attempt, result);
        self.decide(state);
    }

    /// Reports the end of an attempt to the balancer, at most once, and sends the client the first response.
    pub(super) fn end_attempt(&self, state: &mut State, id: RequestId, number: usize, result: AttemptResult) {
        let Some(attempt) = state.attempts.0.remove(&(id, number)) else {
            return; // it has already ended
        };
        attempt.task.abort();
        let AttemptResult { outcome, response } = result;
        metrics::count(CountedEvent::AttemptEnded(outcome));
        attempt.forwarded.history.attempt_ended(number, outcome);
        let label = outcome.label();
        tracing::debug!(%id, attempt = number, backend = attempt.backend.0, outcome = label, "attempt ended");
        if let Some(response) = response
            && let Some(request) = state.requests.finish(id)
        {
            metrics::observe_wait(self.clock.now() - request.received_at);
            // If the client has disconnected, its drop guard reports that.
            let _ = request.answer.send(Answer::Served(response));
        }
        state.events.push_back(QueuedEvent::Event(Event::AttemptEnded(AttemptEnded {
            id,
            backend: attempt.backend,
            attempt: number,
            outcome,
            elapsed: self.clock.now() - attempt.sent_at,
            request_done: !state.requests.contains(id),
        })));
    }
}

/// Reports to the balancer that an attempt cannot be sent.
fn drop_attempt(state: &mut State, id: RequestId, backend: BackendId) {
    let attempt = state.requests.attempts_sent(id);
    let reason = DropReason::NotInFlight;
    metrics::count(CountedEvent::AttemptDropped(reason));
    tracing::debug!(%id, attempt, backend = backend.0, reason = reason.label(), "attempt not sent");
    state.events.push_back(QueuedEvent::Event(Event::AttemptEnded(AttemptEnded {
        id,
        backend,
        attempt,
        outcome: Outcome::NotSent,
        elapsed: 0.0,
        request_done: !state.requests.contains(id),
    })));
}

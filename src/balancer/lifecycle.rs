//! The lifecycle of a request: it arrives, is admitted or rejected, may be queued by its ordering key, is
//! sent and retried, and gets exactly one final answer.

use super::Balancer;
use super::endpoints::BackendIndex;
use super::observation::Outstanding;
use super::requests::{Attempt, InFlightRequest, RequestSlot};
use super::retry::{self, RequestTimer};
use super::selection::Selection;
use super::types::{Action, AttemptEnded, Outcome, Request, RequestId, Time};
use crate::telemetry::reason::Rejection;

/// The margin before the client's timeout, in time steps: the answer must be sent before the timeout, and
/// timers fire once per time step.
const TIMEOUT_MARGIN_STEPS: f64 = 2.0;

impl Balancer {
    /// Admits a request and starts or queues it, or rejects it.
    pub(super) fn request_arrived(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class];
        let mut time_left = request.timeout - TIMEOUT_MARGIN_STEPS * self.settings.min_time_step;
        if class.late_weight <= 0.0 {
            time_left = time_left.min(class.latency_objective);
        }
        let ordering_key = request.key.filter(|_| class.ordered);
        let relative_size = self.latency.relative_size(request.class, request.work_estimate);
        let group = self.admission.record_arrival(request.class, request.tenant, self.clock);
        let baseline = self.latency.class(request.class);
        let t1 = retry::t1(baseline, relative_size, time_left, &self.settings);
        let ahead = ordering_key.map_or(0, |key| self.ordering.queue_len(key));
        if time_left <= retry::min_time_left(baseline, relative_size + ahead as f64) {
            return self.reject(request.id, t1, Rejection::InsufficientTime, actions);
        }
        let overload = self.update_overload();
        let Self { admission, settings, latency, rng, .. } = self;
        if !admission.admits(group, overload, settings, latency, self.clock, rng) {
            return self.reject(request.id, t1, Rejection::Overload, actions);
        }
        self.admission.charge(request.tenant);
        let deadline = self.clock.now + time_left;
        let slot = self.requests.insert(InFlightRequest {
            id: request.id,
            class: request.class,
            started_at: self.clock.now,
            relative_size,
            deadline,
            t1,
            retry_timers_fired: 0,
            retry_timer_set: false,
            attempts: Vec::new(),
            ordering_key,
            is_queued: ordering_key.is_some(),
            is_rejected: false,
            alternate: None,
        });
        actions.push(Action::SetTimer { at: deadline, token: RequestTimer::Deadline.token(slot) });
        match ordering_key {
            Some(key) => {
                self.ordering.push(key, slot, self.clock.now);
                self.start_next(key, actions);
            }
            None => self.start(slot, actions),
        }
    }

    /// Sends the first attempt and sets the first retry timer.
    fn start(&mut self, slot: RequestSlot, actions: &mut Vec<Action>) {
        self.set_retry_timer(slot, actions);
        self.sent_rate.record(self.clock);
        if self.update_subset_size() {
            self.recompute_subset();
        }
        if !self.send(slot, actions) && !self.requests[slot].retry_timer_set {
            self.finish_unserved(slot, actions);
        }
    }

    /// Starts the next request of an ordering key, if the key is free and its quiet period is over.
    fn start_next(&mut self, key: u64, actions: &mut Vec<Action>) {
        let Some(next) = self.ordering.next(key) else { return };
        let (slot, now) = (next.slot, self.clock.now);
        let request = &self.requests[slot];
        if !request.is_queued {
            return;
        }
        if now < next.quiet_until {
            let token = RequestTimer::QuietPeriodOver.token(slot);
            return actions.push(Action::SetTimer { at: next.quiet_until, token });
        }
        let time_left = request.deadline - now;
        let baseline = self.latency.class(request.class);
        let t1 = retry::t1(baseline, request.relative_size, time_left, &self.settings);
        let is_too_late = time_left <= retry::min_time_left(baseline, request.relative_size);
        self.requests.leave_queue(slot, now, t1);
        match is_too_late {
            true => self.finish_unserved(slot, actions),
            false => self.start(slot, actions),
        }
    }

    fn set_retry_timer(&mut self, slot: RequestSlot, actions: &mut Vec<Action>) {
        let request = &mut self.requests[slot];
        let at = retry::next_timer_at(request, self.settings.max_attempts, &mut self.rng);
        request.retry_timer_set = at.is_some();
        if let Some(at) = at {
            actions.push(Action::SetTimer { at, token: RequestTimer::Retry.token(slot) });
        }
    }

    /// Handles a timer of a request.
    pub(super) fn timer_fired(&mut self, token: u64, actions: &mut Vec<Action>) {
        let Some((timer, slot)) = RequestTimer::from_token(token) else { return };
        let Some(request) = self.requests.get(slot) else {
            return; // the request has its final answer
        };
        match timer {
            RequestTimer::QuietPeriodOver => {
                if let Some(key) = request.ordering_key {
                    self.start_next(key, actions);
                }
            }
            RequestTimer::Deadline => {
                // The request is removed before its attempt times out, so a hung backend is detected here.
                self.observe_outstanding(slot, Outstanding::TimedOut);
                self.finish_unserved(slot, actions);
            }
            RequestTimer::Retry => self.retry_due(slot, actions),
        }
    }

    /// Sends a retry, if one is allowed, with the probability of [`retry::probability`].
    fn retry_due(&mut self, slot: RequestSlot, actions: &mut Vec<Action>) {
        self.requests[slot].retry_timers_fired += 1;
        self.set_retry_timer(slot, actions);
        // If the backend has responded to other requests since the attempt was sent, this request merely
        // takes long. A retry would double the work of the longest requests, which would overload a busy
        // fleet.
        let is_backend_responding = self.observe_outstanding(slot, Outstanding::Waiting);
        self.sent_rate.decay(self.clock);
        let overload = self.update_overload();
        let request = &self.requests[slot];
        let send_rate = self.sent_rate.per_second();
        let probability = retry::probability(self.requests.active(), send_rate, request.t1, overload);
        if !is_backend_responding
            && retry::allowed_scope(request, &self.settings, self.clock.now).is_some()
            && self.random_bool(probability)
        {
            self.send(slot, actions);
        }
        let request = &self.requests[slot];
        if !request.retry_timer_set && !request.has_outstanding_attempt() {
            self.finish_unserved(slot, actions);
        }
    }

    /// Sends an attempt if one is allowed and a backend can be selected; returns whether it was sent.
    fn send(&mut self, slot: RequestSlot, actions: &mut Vec<Action>) -> bool {
        let now = self.clock.now;
        let request = &mut self.requests[slot];
        let Some(scope) = retry::allowed_scope(request, &self.settings, now) else {
            return false;
        };
        let tried: Vec<BackendIndex> = request.attempts.iter().map(|attempt| attempt.backend).collect();
        let alternate = request.alternate.take();
        let mut selection = Selection {
            endpoints: &mut self.endpoints,
            subset: &self.subset,
            health: &self.health,
            served_rate: &mut self.served_rate,
            discovery_outage: self.discovery.outage_duration(now),
            settings: &self.settings,
            clock: self.clock,
            rng: &mut self.rng,
        };
        let Some(choice) = selection.choose(scope, &tried, alternate) else {
            return false;
        };
        request.alternate = choice.alternate;
        let backend = &mut self.endpoints[choice.backend];
        backend.in_flight += 1;
        backend.slow_start.spend();
        let (failure_domain, zone) = (backend.entry.failure_domain, backend.entry.zone);
        let attempt = Attempt { backend: choice.backend, failure_domain, zone, sent_at: now, outcome: None };
        self.requests.add_attempt(slot, attempt);
        let request = &self.requests[slot];
        actions.push(Action::Send {
            id: request.id,
            backend: backend.entry.id,
            timeout: request.deadline - now,
            send_deadline: retry::send_deadline(request, &self.settings, now),
        });
        true
    }

    /// Handles the end of an attempt, whose request may already have its final answer.
    pub(super) fn attempt_ended(&mut self, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let slot = self.requests.slot(ended.id);
        if let Some(backend) = self.endpoints.index_of(ended.backend) {
            self.observe_outcome(backend, slot, &ended, actions);
        }
        let detached_key = self.ordering.attempt_ended(ended.id, ended.attempt);
        let key = slot.map_or(detached_key, |slot| self.requests[slot].ordering_key);
        if let Some(key) = key
            && matches!(ended.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
        {
            // One time step longer, because clocks are rounded.
            let quiet_until =
                self.clock.now + self.settings.ordering_quiet_period + self.settings.min_time_step;
            self.ordering.start_quiet_period(key, quiet_until);
        }
        match (slot, detached_key) {
            (Some(slot), _) => self.request_attempt_ended(slot, &ended, actions),
            (None, Some(key)) => self.start_next(key, actions),
            (None, None) => {}
        }
    }

    /// Handles the end of an attempt whose request has no final answer yet.
    fn request_attempt_ended(&mut self, slot: RequestSlot, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.requests[slot].attempts.get_mut(ended.attempt) {
            attempt.outcome = Some(ended.outcome);
        }
        if ended.request_done {
            return self.finish(slot, Some(ended.attempt), actions);
        }
        if ended.outcome == Outcome::BadRequest {
            actions.push(Action::Fail { id: ended.id });
            return self.finish(slot, Some(ended.attempt), actions);
        }
        if self.requests[slot].has_outstanding_attempt() {
            return;
        }
        if matches!(ended.outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            self.requests.set_rejected(slot);
        }
        let request = &self.requests[slot];
        let may_retry = retry::allowed_scope(request, &self.settings, self.clock.now).is_some();
        if !request.retry_timer_set || !may_retry {
            self.finish_unserved(slot, actions);
        }
    }

    /// Removes a request whose response has begun, or whose client has disconnected.
    pub(super) fn finish_by_id(&mut self, id: RequestId, answered: Option<usize>, actions: &mut Vec<Action>) {
        if let Some(slot) = self.requests.slot(id) {
            self.finish(slot, answered, actions);
        }
    }

    /// Ends a request that was not served: rejects it if clients may safely retry it, and fails it otherwise.
    fn finish_unserved(&mut self, slot: RequestSlot, actions: &mut Vec<Action>) {
        let request = &self.requests[slot];
        let (id, t1) = (request.id, request.t1);
        match retry::is_safe_to_retry(request, &self.settings) {
            true => self.reject(id, t1, Rejection::NoResponse, actions),
            false => actions.push(Action::Fail { id }),
        }
        self.finish(slot, None, actions);
    }

    fn reject(&self, id: RequestId, t1: Time, reason: Rejection, actions: &mut Vec<Action>) {
        let retry_after = Some(t1.min(self.settings.max_retry_after)).filter(|wait| *wait > 0.0);
        actions.push(Action::Reject { id, retry_after, reason });
    }

    /// Removes a request, and cancels its outstanding attempts other than the one that answered. This closes
    /// their connections: where connections have a cost, the attempts continue, as most of their work is
    /// done.
    fn finish(&mut self, slot: RequestSlot, answered: Option<usize>, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(slot) else { return };
        if self.settings.can_cancel && !self.settings.costly_connections {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() && answered != Some(number) {
                    actions.push(Action::Cancel { id: request.id, attempt: number });
                }
            }
        }
        if let Some(key) = request.ordering_key {
            self.ordering.request_done(key, slot, &request);
            self.start_next(key, actions);
        }
    }

    /// Limits the deadlines of all requests to `deadline`.
    pub(super) fn limit_deadlines(&mut self, deadline: Time, actions: &mut Vec<Action>) {
        for (slot, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > deadline) {
            request.deadline = deadline;
            actions.push(Action::SetTimer { at: deadline, token: RequestTimer::Deadline.token(slot) });
        }
    }
}

//! Checks the invariants of the proxy immediately before it acts: before it sends an attempt, closes a client's
//! connection or exits.
//!
//! The guard's decisions are pure functions of the time and the state that it is given. For each [`Invariant`] it
//! counts the violations that it *prevented*, and those that it *detected* although it had permitted the act, for
//! example because the process was suspended between reading its clock and writing. A detected violation is always
//! logged. If `LINKHATCH_STRICT` is set, as in the soak test, a violation that the program itself caused aborts the
//! process.

use crate::balancer::types::{Idempotency, Outcome, Time};
use crate::telemetry::metrics::{self, CountedEvent};
pub use crate::telemetry::reason::Invariant;
use std::cell::{Cell, RefCell};

/// The tolerance, in seconds, by which an attempt may be written after its send deadline, and by which the time
/// announced to a backend may exceed the client's remaining time.
pub const DEADLINE_TOLERANCE_S: Time = 0.15;

/// The attempts of one request that the decision to retry it depends on.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    idempotency: Cell<Option<Idempotency>>,
    /// Attempts that may have been executed: their number, and when they were sent.
    possibly_executed: RefCell<Vec<(usize, Time)>>,
}

impl AttemptHistory {
    /// The history of a new request.
    pub fn new(idempotency: Idempotency) -> Self {
        Self { idempotency: Cell::new(Some(idempotency)), possibly_executed: RefCell::default() }
    }

    /// Records how an attempt ended.
    pub fn attempt_ended(&self, attempt: usize, outcome: Outcome) {
        use Outcome::{BadRequest, ConnectFailed, NotSent, Rejected};
        if matches!(outcome, Rejected | ConnectFailed | NotSent | BadRequest) {
            self.forget(attempt);
        }
    }

    fn forget(&self, attempt: usize) {
        self.possibly_executed.borrow_mut().retain(|(number, _)| *number != attempt);
    }

    /// When the first of the other attempts that may have been executed was sent.
    fn first_other_sent_at(&self, attempt: usize) -> Option<Time> {
        let attempts = self.possibly_executed.borrow();
        let others = attempts.iter().filter(|(number, _)| *number != attempt);
        others.map(|(_, sent_at)| *sent_at).reduce(Time::min)
    }
}

/// An attempt just before it is sent. All times are readings of one clock, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState<'a> {
    /// Its number among the attempts of its request.
    pub number: usize,
    /// The other attempts of its request.
    pub history: &'a AttemptHistory,
    /// The time from which nothing is sent to its backend, if the backend is draining or removed.
    pub send_cutoff: Option<Time>,
    /// The end of that backend's grace period.
    pub grace_deadline: Option<Time>,
    /// The time from which it must not be sent, as a duplicate may be executed from then on.
    pub send_deadline: Option<Time>,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Whether the client has disconnected.
    pub client_disconnected: bool,
    /// Whether the request has its final answer.
    pub request_done: bool,
}

/// The permission to send one attempt.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    number: usize,
    grace_deadline: Option<Time>,
    send_deadline: Option<Time>,
    deadline: Time,
    remaining: Time,
}

impl Permit {
    /// The client's remaining time, in seconds, as announced to the backend.
    pub fn remaining(&self) -> Time {
        self.remaining
    }
}

/// Checks the invariants, and counts violations.
#[derive(Debug, Default)]
pub struct Guard {
    prevented: [Cell<u64>; Invariant::ALL.len()],
    violated: [Cell<u64>; Invariant::ALL.len()],
    is_strict: bool,
}

impl Guard {
    /// Makes a guard; a strict one aborts the process at the first violation that the program itself caused.
    pub fn new(is_strict: bool) -> Self {
        Self { is_strict, ..Self::default() }
    }

    /// The number of prevented violations of the invariant.
    pub fn prevented(&self, invariant: Invariant) -> u64 {
        self.prevented[invariant as usize].get()
    }

    /// The number of detected violations of the invariant.
    pub fn violated(&self, invariant: Invariant) -> u64 {
        self.violated[invariant as usize].get()
    }

    fn prevent(&self, invariant: Invariant) -> Invariant {
        let count = &self.prevented[invariant as usize];
        count.set(count.get() + 1);
        metrics::count(CountedEvent::ViolationPrevented(invariant));
        invariant
    }

    /// Counts and logs a violation. `late_by` is how late the act was, in seconds; 0 if it does not depend on the time.
    fn report_violation(&self, invariant: Invariant, late_by: Time) {
        let count = &self.violated[invariant as usize];
        count.set(count.get() + 1);
        metrics::count(CountedEvent::ViolationDetected(invariant));
        tracing::error!(target: "violation", promise = invariant.label(), late_by, "invariant violated");
        // A late act may have been delayed by the system, which is not in itself a fault of this program.
        if self.is_strict && late_by <= 0.0 {
            std::process::abort();
        }
    }

    /// Permits an attempt to be sent now.
    ///
    /// # Errors
    /// The invariant that the attempt would violate.
    pub fn admit(&self, now: Time, attempt: AttemptState<'_>) -> Result<Permit, Invariant> {
        let AttemptState { number, history, grace_deadline, send_deadline, deadline, .. } = attempt;
        if attempt.request_done || now >= deadline {
            return Err(self.prevent(Invariant::Answered));
        }
        if attempt.client_disconnected {
            return Err(self.prevent(Invariant::ClientGone));
        }
        if send_deadline.is_some_and(|send_deadline| now >= send_deadline) {
            return Err(self.prevent(Invariant::Window));
        }
        if attempt.send_cutoff.is_some_and(|cutoff| now >= cutoff) {
            return Err(self.prevent(Invariant::Drain));
        }
        match (history.idempotency.get(), history.first_other_sent_at(number)) {
            (Some(Idempotency::NonIdempotent), Some(_)) => return Err(self.prevent(Invariant::Repeat)),
            (Some(Idempotency::IdempotencyKey { window, .. }), Some(first)) if now >= first + window => {
                return Err(self.prevent(Invariant::Window));
            }
            _ => {}
        }
        history.possibly_executed.borrow_mut().push((number, now));
        let remaining = (deadline - now).max(0.0);
        Ok(Permit { number, grace_deadline, send_deadline, deadline, remaining })
    }

    /// Detects whether a permitted attempt was sent too late; it was handed to the system at or before `now`.
    pub fn attempt_written(&self, now: Time, permit: &Permit) {
        if let Some(grace_deadline) = permit.grace_deadline.filter(|deadline| now > *deadline) {
            self.report_violation(Invariant::Drain, now - grace_deadline);
        }
        let is_late = |deadline: &Time| now > *deadline + DEADLINE_TOLERANCE_S;
        if let Some(send_deadline) = permit.send_deadline.filter(is_late) {
            self.report_violation(Invariant::Window, now - send_deadline);
        }
        let excess = permit.remaining - (permit.deadline - now);
        if excess > DEADLINE_TOLERANCE_S {
            self.report_violation(Invariant::Deadline, excess);
        }
    }

    /// Revokes a permit whose attempt was not sent.
    pub fn attempt_not_written(&self, history: &AttemptHistory, permit: &Permit) {
        history.forget(permit.number);
    }

    /// Records that a client's connection is closed while a request on it is in flight.
    pub fn connection_closed_in_flight(&self, is_closed_by_client: bool) {
        if !is_closed_by_client {
            self.report_violation(Invariant::Close, 0.0);
        }
    }

    /// Whether the process may exit: not while answers are pending and clients still wait for them.
    pub fn may_exit(&self, answers_pending: bool, clients_waiting: bool) -> bool {
        let may_exit = !(answers_pending && clients_waiting);
        if !may_exit {
            self.prevent(Invariant::Exit);
        }
        may_exit
    }

    /// Records that the process exits.
    pub fn process_exits(&self, answers_pending: bool, clients_waiting: bool) {
        if answers_pending && clients_waiting {
            self.report_violation(Invariant::Exit, 0.0);
        }
    }
}

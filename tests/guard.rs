//! The guard's checks before sending, retrying, closing and exiting, with time as an argument.

use linkhatch_proxy::guard::{AttemptHistory, AttemptState, Guard, Invariant};
use linkhatch_proxy::{DeduplicationScope, Idempotency, Outcome};

const KEYED: Idempotency = Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: 5.0 };

fn attempt(number: usize, history: &AttemptHistory) -> AttemptState<'_> {
    AttemptState {
        number,
        history,
        send_cutoff: None,
        grace_deadline: None,
        send_deadline: None,
        deadline: 20.0,
        client_disconnected: false,
        request_done: false,
    }
}

fn counts(count: impl Fn(Invariant) -> u64) -> Vec<(Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant))).filter(|(_, n)| *n > 0).collect()
}

#[test]
fn each_time_limit_of_an_attempt_is_exact() {
    let history = AttemptHistory::new(Idempotency::Idempotent);
    let plain = attempt(0, &history);
    for (case, invariant, before, at) in [
        (AttemptState { deadline: 3.0, ..plain }, Invariant::Answered, 2.999, 3.0),
        (AttemptState { send_deadline: Some(3.0), ..plain }, Invariant::Window, 2.999, 3.0),
        (AttemptState { send_cutoff: Some(3.0), ..plain }, Invariant::Drain, 2.999, 3.0),
    ] {
        let guard = Guard::new(false);
        assert!(guard.admit(before, case).is_ok(), "{invariant:?}");
        assert_eq!(guard.admit(at, case).err(), Some(invariant));
        assert_eq!(counts(|kind| guard.prevented(kind)), [(invariant, 1)]);
    }
    let guard = Guard::new(false);
    let disconnected = AttemptState { client_disconnected: true, ..plain };
    assert_eq!(guard.admit(1.0, disconnected).err(), Some(Invariant::ClientGone));
    let answered = AttemptState { request_done: true, ..plain };
    assert_eq!(guard.admit(1.0, answered).err(), Some(Invariant::Answered));
    assert_eq!(counts(|kind| guard.violated(kind)), []);
}

#[test]
fn non_idempotent_requests_are_retried_only_if_they_were_not_executed() {
    let guard = Guard::new(false);
    for (outcome, may_retry) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::BadRequest, true),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
        (Outcome::Error, false),
        (Outcome::Cancelled, false),
    ] {
        let history = AttemptHistory::new(Idempotency::NonIdempotent);
        let _ = guard.admit(0.0, attempt(0, &history)).expect("the first attempt");
        assert_eq!(
            guard.admit(0.1, attempt(1, &history)).err(),
            Some(Invariant::Repeat),
            "the first attempt is in flight"
        );
        history.attempt_ended(0, outcome);
        assert_eq!(guard.admit(0.2, attempt(1, &history)).is_ok(), may_retry, "{outcome:?}");
    }
}

#[test]
fn keyed_requests_are_retried_within_the_window_of_the_first_possible_execution() {
    let guard = Guard::new(false);
    let history = AttemptHistory::new(KEYED);
    let _ = guard.admit(1.0, attempt(0, &history)).expect("the first attempt");
    let _ = guard.admit(5.9, attempt(1, &history)).expect("within the window");
    assert_eq!(guard.admit(6.0, attempt(2, &history)).err(), Some(Invariant::Window));
    history.attempt_ended(0, Outcome::Rejected);
    let _ = guard.admit(6.0, attempt(2, &history)).expect("the first attempt was not executed");
}

#[test]
fn an_attempt_that_was_not_written_counts_as_not_executed() {
    let guard = Guard::new(false);
    let history = AttemptHistory::new(Idempotency::NonIdempotent);
    let permit = guard.admit(0.0, attempt(0, &history)).expect("the first attempt");
    guard.attempt_not_written(&history, &permit);
    let _ = guard.admit(0.1, attempt(0, &history)).expect("sent on another connection");
}

/// The violations of an attempt that was admitted at 0.9 s and written at `written_at`.
fn violations_of(case: AttemptState<'_>, written_at: f64) -> Vec<(Invariant, u64)> {
    let guard = Guard::new(false);
    let permit = guard.admit(0.9, case).expect("in time");
    guard.attempt_written(written_at, &permit);
    counts(|kind| guard.violated(kind))
}

#[test]
fn late_writes_of_admitted_attempts_are_detected() {
    let history = AttemptHistory::new(Idempotency::Idempotent);
    let plain = attempt(0, &history);
    let draining = AttemptState { send_cutoff: Some(1.0), grace_deadline: Some(1.02), ..plain };
    assert_eq!(violations_of(draining, 1.01), []);
    assert_eq!(violations_of(draining, 1.03), [(Invariant::Drain, 1)]);
    let keyed = AttemptState { send_deadline: Some(0.901), ..plain };
    assert_eq!(violations_of(keyed, 1.04), []);
    assert_eq!(violations_of(keyed, 1.052), [(Invariant::Window, 1), (Invariant::Deadline, 1)]);
    // All of the remaining time was announced to the backend.
    assert_eq!(violations_of(plain, 1.04), []);
    assert_eq!(violations_of(plain, 1.06), [(Invariant::Deadline, 1)]);
}

#[test]
fn a_process_with_pending_answers_may_not_exit_while_clients_wait() {
    let guard = Guard::new(false);
    assert!(guard.may_exit(false, true) && guard.may_exit(true, false));
    assert!(!guard.may_exit(true, true));
    assert_eq!(counts(|kind| guard.prevented(kind)), [(Invariant::Exit, 1)]);
    guard.process_exits(true, true);
    guard.connection_closed_in_flight(true);
    guard.connection_closed_in_flight(false);
    assert_eq!(counts(|kind| guard.violated(kind)), [(Invariant::Close, 1), (Invariant::Exit, 1)]);
}

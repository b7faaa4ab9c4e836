//! Checks the invariants of the decisions on random valid event sequences. A test shows that the checker
//! finds planted violations.

mod common;
use common::endpoint;
use linkhatch_proxy::telemetry::reason::Rejection;
use linkhatch_proxy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

#[derive(Clone, Debug)]
struct ObservedAttempt {
    failure_domain: u32,
    zone: u32,
    sent_at: Time,
    outcome: Option<Outcome>,
    ended_at: Time,
}

struct ObservedRequest {
    class: usize,
    key: Option<u64>,
    deadline: Time,
    attempts: Vec<ObservedAttempt>,
    is_done: bool,
}

/// Checks the events and actions of a balancer.
struct Checker {
    settings: Settings,
    open: HashMap<u64, ObservedRequest>,
    list: HashMap<u32, EndpointEntry>,
    /// Draining backends whose idle connections are open, and the time of the last update or outcome.
    idle_open_since: HashMap<u32, Time>,
    violations: Vec<String>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            open: HashMap::new(),
            list: HashMap::new(),
            idle_open_since: HashMap::new(),
            violations: vec![],
        }
    }

    fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// The violation of the ordering if this request is sent now. Ids ascend in order of arrival.
    fn order_violation(&self, now: Time, id: u64) -> Option<&'static str> {
        let ordered = |o: &&ObservedRequest| self.settings.classes[o.class].ordered && o.key.is_some();
        let key = self.open.get(&id).filter(ordered)?.key;
        for earlier in self.open.iter().filter(|(i, o)| **i < id && ordered(o) && o.key == key) {
            let is_in_quiet_period = |attempt: &ObservedAttempt| {
                matches!(attempt.outcome, Some(Outcome::Timeout | Outcome::Reset | Outcome::Cancelled))
                    && now < attempt.ended_at + self.settings.ordering_quiet_period
            };
            if !earlier.1.is_done || earlier.1.attempts.iter().any(|t| t.outcome.is_none()) {
                return Some("order: an earlier request is not done");
            }
            if earlier.1.attempts.iter().any(is_in_quiet_period) {
                return Some("order: the quiet period is not over");
            }
        }
        None
    }

    /// Records that a backend was listed or had an outcome: if it is draining, its idle connections must be
    /// closed.
    fn backend_listed_or_used(&mut self, now: Time, backend: u32) {
        if self.list.get(&backend).is_some_and(|e| e.status == EndpointStatus::Draining) {
            self.idle_open_since.insert(backend, now);
        } else {
            self.idle_open_since.remove(&backend);
        }
    }

    fn check_idle_connections(&mut self, now: Time) {
        let timeout = self.settings.idle_release_timeout.unwrap_or(f64::INFINITY);
        if self.idle_open_since.values().any(|since| now > since + timeout) {
            self.idle_open_since.clear();
            self.report("drain: connections left open".into());
        }
    }

    fn check_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::CloseIdleConnections(backend) => {
                self.idle_open_since.remove(&backend.0);
            }
            Action::Send { id, backend, timeout, .. } => {
                let Some(entry) = self.list.get(&backend.0).cloned() else {
                    return self.report(format!("sent to unknown {backend:?}"));
                };
                if entry.status != EndpointStatus::InService {
                    self.report(format!("drain: sent to {backend:?}"));
                }
                if !timeout.is_finite() || *timeout <= 0.0 {
                    self.report(format!("timeout {timeout}"));
                }
                let settings = self.settings.clone();
                if let Some(violation) = self.order_violation(now, id.0) {
                    self.report(violation.into());
                }
                let Some(open) = self.open.get_mut(&id.0) else {
                    return self.report(format!("sent unknown {id:?}"));
                };
                let mut found = Vec::new();
                if open.is_done {
                    found.push("sent after the final answer");
                }
                if open.attempts.len() >= settings.max_attempts {
                    found.push("too many attempts");
                }
                if !settings.hedged_requests && open.attempts.iter().any(|t| t.outcome.is_none()) {
                    found.push("two attempts at once");
                }
                if let Some(first) = open.attempts.iter().find(|t| may_have_executed(t)) {
                    match settings.classes[open.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            found.push("non-idempotent request sent twice");
                        }
                        Idempotency::IdempotencyKey { scope, window } => {
                            let is_in_scope = match scope {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => first.zone == entry.zone,
                                DeduplicationScope::FailureDomain => {
                                    first.failure_domain == entry.failure_domain
                                }
                            };
                            if !is_in_scope || now > first.sent_at + window {
                                found.push("keyed request outside its scope or window");
                            }
                        }
                    }
                }
                open.attempts.push(ObservedAttempt {
                    failure_domain: entry.failure_domain,
                    zone: entry.zone,
                    sent_at: now,
                    outcome: None,
                    ended_at: 0.0,
                });
                found.into_iter().for_each(|v| self.violations.push(v.to_string()));
            }
            Action::Reject { id, .. } => {
                let is_safe_to_retry = self.open.get(&id.0).is_some_and(|open| {
                    let is_always_safe = matches!(
                        self.settings.classes[open.class].idempotency,
                        Idempotency::Idempotent
                            | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
                    );
                    is_always_safe || !open.attempts.iter().any(may_have_executed)
                });
                if !is_safe_to_retry {
                    self.report(format!("rejected {id:?}, which may have been executed"));
                }
                self.check_answer(now, id.0);
            }
            Action::Fail { id } => self.check_answer(now, id.0),
            Action::Cancel { .. } if !self.settings.can_cancel => self.report("cancel forbidden".into()),
            Action::SetTimer { at, .. } if !at.is_finite() => self.report("timer at an invalid time".into()),
            _ => {}
        }
    }

    fn check_answer(&mut self, now: Time, id: u64) {
        match self.open.get_mut(&id) {
            Some(open) if !open.is_done => {
                open.is_done = true;
                if now > open.deadline {
                    self.report(format!("{id} answered late"));
                }
            }
            _ => self.report(format!("{id} answered twice or never received")),
        }
    }

    fn check_all_answered(&mut self) {
        let unanswered: Vec<u64> = self.open.iter().filter(|(_, o)| !o.is_done).map(|(id, _)| *id).collect();
        unanswered.into_iter().for_each(|id| self.report(format!("{id} not answered")));
    }
}

fn may_have_executed(t: &ObservedAttempt) -> bool {
    !matches!(t.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, tenant: usize, key: u64, timeout: f64 },
    End { index: usize, outcome: usize },
    Disconnect { index: usize },
    Wait(f64),
    Change { backend: u32, status: usize, restarted: bool },
    Snapshot { missing: u32 },
    PollFailed,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..2usize, 0..3u64, -0.1..2.0f64).prop_map(|(class, tenant, key, timeout)| Step::Request { class, tenant, key, timeout }),
        6 => (0..50usize, 0..8usize).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => (0..50usize).prop_map(|index| Step::Disconnect { index }),
        8 => (0.0..0.3f64).prop_map(Step::Wait),
        2 => (1..8u32, 0..3usize, any::<bool>()).prop_map(|(backend, status, restarted)| Step::Change { backend, status, restarted }),
        1 => (1..8u32).prop_map(|missing| Step::Snapshot { missing }),
        1 => Just(Step::PollFailed),
    ]
}

fn settings(hedged_requests: bool, cancel: bool, tier: usize) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 0.8,
        deadline: 2.0,
        late_weight: 0.0,
        priority_weight: 1.0,
        idempotency,
        ordered: false,
    };
    let keyed = |scope, window| Idempotency::IdempotencyKey { scope, window };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            Class { late_weight: 0.3, ordered: true, ..class(Idempotency::NonIdempotent) },
            class(keyed(DeduplicationScope::All, 0.6)),
            class(keyed(DeduplicationScope::Zone, 0.5)),
            Class { ordered: true, ..class(keyed(DeduplicationScope::FailureDomain, 0.4)) },
        ],
        quotas: vec![2.0, 100.0],
        over_quota_weight: 0.1,
        hedged_requests,
        can_cancel: cancel,
        tier,
        max_attempts: 3,
        max_retry_after: 1.0,
        polls_discovery: true,
        ordering_quiet_period: 0.2,
        idle_release_timeout: Some(0.1),
        ..Settings::default()
    }
}

fn run_steps(steps: &[Step], settings: Settings, seed: u64) -> Vec<String> {
    const OUTCOMES: [Outcome; 8] = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let mut checker = Checker::new(settings.clone());
    let mut balancer = Balancer::new(0.0, seed, settings);
    let mut now = 0.0;
    let mut timers: Vec<(Time, u64)> = Vec::new();
    let mut outstanding: Vec<(u64, usize, u32)> = Vec::new();
    let mut list: Vec<EndpointEntry> =
        (1..8).map(|i| EndpointEntry { failure_domain: i % 3, zone: i % 2, ..endpoint(i) }).collect();
    let mut next = 0;
    let mut all = vec![Step::Snapshot { missing: 0 }];
    all.extend_from_slice(steps);
    all.push(Step::Wait(5.0));
    for step in all {
        let mut due: Vec<Event<'_>> = Vec::new();
        let entries;
        match step {
            Step::Request { class, tenant, key, timeout } => {
                next += 1;
                let key = (key > 0).then_some(key);
                let deadline = now + timeout.max(0.0);
                let open = ObservedRequest { class, key, deadline, attempts: vec![], is_done: false };
                checker.open.insert(next, open);
                let id = RequestId(next);
                due.push(Event::Request(Request {
                    id,
                    class,
                    tenant: Some(tenant),
                    key,
                    timeout,
                    work_estimate: None,
                }));
            }
            Step::End { index, outcome } if !outstanding.is_empty() => {
                let (id, attempt, backend) = outstanding.remove(index % outstanding.len());
                checker.backend_listed_or_used(now, backend);
                let open = checker.open.get_mut(&id).unwrap();
                open.attempts[attempt].outcome = Some(OUTCOMES[outcome]);
                open.attempts[attempt].ended_at = now;
                open.is_done |= OUTCOMES[outcome] == Outcome::Served;
                let elapsed = now - open.attempts[attempt].sent_at;
                let (id, backend, outcome, is_done) =
                    (RequestId(id), BackendId(backend), OUTCOMES[outcome], open.is_done);
                due.push(Event::AttemptEnded(AttemptEnded {
                    id,
                    backend,
                    attempt,
                    outcome,
                    elapsed,
                    request_done: is_done,
                }));
            }
            Step::Disconnect { index } if next > 0 => {
                let id = 1 + index as u64 % next;
                checker.open.get_mut(&id).unwrap().is_done = true;
                due.push(Event::ClientDisconnected(RequestId(id)));
            }
            Step::End { .. } | Step::Disconnect { .. } => {}
            Step::Wait(span) => {
                let until = now + span;
                while let Some(i) = (0..timers.len())
                    .filter(|i| timers[*i].0 <= until)
                    .min_by(|a, b| timers[*a].0.total_cmp(&timers[*b].0))
                {
                    let (at, token) = timers.remove(i);
                    now = at.max(now);
                    let mut actions = Vec::new();
                    balancer.handle(now, Event::Timer(token), &mut actions);
                    apply(&actions, now, &mut checker, &mut timers, &mut outstanding);
                }
                now = until;
            }
            Step::Change { backend, status, restarted } => {
                let e = &mut list[backend as usize - 1];
                e.status =
                    [EndpointStatus::InService, EndpointStatus::Draining, EndpointStatus::Removed][status];
                e.started_at = restarted.then_some(now);
                checker.list.insert(backend, e.clone());
                checker.backend_listed_or_used(now, backend);
                entries = vec![e.clone()];
                due.push(Event::Endpoints(EndpointUpdate::Changes(&entries)));
            }
            Step::Snapshot { missing } => {
                entries = list.iter().filter(|e| e.id.0 != missing).cloned().collect::<Vec<_>>();
                checker.list.values_mut().for_each(|e| e.status = EndpointStatus::Removed);
                checker.idle_open_since.clear();
                entries.iter().for_each(|e| {
                    checker.list.insert(e.id.0, e.clone());
                    checker.backend_listed_or_used(now, e.id.0);
                });
                due.push(Event::Endpoints(EndpointUpdate::Snapshot(&entries)));
            }
            Step::PollFailed => due.push(Event::Endpoints(EndpointUpdate::PollFailed)),
        }
        for event in due {
            let mut actions = Vec::new();
            balancer.handle(now, event, &mut actions);
            apply(&actions, now, &mut checker, &mut timers, &mut outstanding);
        }
    }
    checker.check_all_answered();
    if balancer.open_requests() > 0 {
        checker.report("state of finished requests is retained".into());
    }
    checker.violations
}

fn apply(
    actions: &[Action],
    now: Time,
    checker: &mut Checker,
    timers: &mut Vec<(Time, u64)>,
    outstanding: &mut Vec<(u64, usize, u32)>,
) {
    checker.check_idle_connections(now);
    for action in actions {
        checker.check_action(now, action);
        match action {
            Action::SetTimer { at, token } => timers.push((*at, *token)),
            Action::Send { id, backend, .. } => {
                let attempt = checker.open.get(&id.0).map_or(0, |o| o.attempts.len() - 1);
                outstanding.push((id.0, attempt, backend.0));
            }
            _ => {}
        }
    }
}

#[test]
fn invariants_hold_for_random_event_sequences() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let event_sequences =
        (prop::collection::vec(step(), 1..150), any::<bool>(), any::<bool>(), 0..2usize, any::<u64>());
    runner
        .run(&event_sequences, |(steps, hedged_requests, cancel, tier, seed)| {
            let violations = run_steps(&steps, settings(hedged_requests, cancel, tier), seed);
            prop_assert!(violations.is_empty(), "{violations:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_checker_finds_planted_violations() {
    let plant = |class: usize, actions: &[(Time, Action)]| {
        let mut checker = Checker::new(settings(false, false, 0));
        checker.list.insert(1, EndpointEntry { failure_domain: 1, ..endpoint(1) });
        checker.list.insert(2, EndpointEntry { failure_domain: 2, ..endpoint(2) });
        checker.list.insert(3, EndpointEntry { status: EndpointStatus::Draining, ..endpoint(3) });
        for id in 1..3 {
            checker.open.insert(
                id,
                ObservedRequest { class, key: Some(9), deadline: 1.0, attempts: vec![], is_done: id == 2 },
            );
        }
        actions.iter().for_each(|(now, action)| checker.check_action(*now, action));
        checker.check_all_answered();
        checker.violations
    };
    let id = RequestId(1);
    let send = |to| Action::Send { id, backend: BackendId(to), timeout: 0.5, send_deadline: None };
    assert_eq!(
        plant(
            0,
            &[(0.0, send(1)), (0.5, Action::Reject { id, retry_after: None, reason: Rejection::Overload })]
        )
        .len(),
        0
    );
    assert_eq!(plant(0, &[(0.0, send(1))]), ["1 not answered"]);
    assert_eq!(plant(0, &[(1.5, Action::Fail { id })]), ["1 answered late"]);
    assert_eq!(plant(0, &[(0.1, Action::Fail { id }), (0.2, Action::Fail { id })]).len(), 1);
    assert_eq!(plant(0, &[(0.1, Action::Fail { id }), (0.2, send(1))]), ["sent after the final answer"]);
    assert!(plant(0, &[(0.1, send(3)), (0.2, Action::Fail { id })])[0].starts_with("drain"));
    let twice = [(0.0, send(1)), (0.1, send(2)), (0.2, Action::Fail { id })];
    assert_eq!(plant(1, &twice), ["two attempts at once", "non-idempotent request sent twice"]);
    assert_eq!(plant(4, &twice), ["two attempts at once", "keyed request outside its scope or window"]);
    let late = [(0.0, send(1)), (0.5, send(1)), (0.6, Action::Fail { id })];
    assert_eq!(plant(4, &late), ["two attempts at once", "keyed request outside its scope or window"]);
    // Ordering: the second request of a key is sent while the first is open, has an outstanding attempt, or
    // has just timed out.
    let mut checker = Checker::new(settings(true, true, 0));
    checker.list.insert(1, endpoint(1));
    for id in 1..3 {
        checker.open.insert(
            id,
            ObservedRequest { class: 1, key: Some(9), deadline: 9.0, attempts: vec![], is_done: false },
        );
    }
    checker.check_action(0.0, &send(1));
    let second = Action::Send { id: RequestId(2), backend: BackendId(1), timeout: 0.5, send_deadline: None };
    assert_eq!(checker.order_violation(0.1, 2), Some("order: an earlier request is not done"));
    checker.check_action(0.2, &Action::Fail { id });
    assert_eq!(checker.order_violation(0.2, 2), Some("order: an earlier request is not done"));
    let first = &mut checker.open.get_mut(&1).unwrap().attempts[0];
    (first.outcome, first.ended_at) = (Some(Outcome::Timeout), 0.3);
    checker.check_action(0.4, &second);
    assert_eq!(checker.violations, ["order: the quiet period is not over"]);
    assert_eq!(checker.order_violation(0.51, 2), None);
    // Idle connections to a draining backend stay open after the update of the list or a later outcome.
    checker.list.insert(1, EndpointEntry { status: EndpointStatus::Draining, ..endpoint(1) });
    checker.backend_listed_or_used(1.0, 1);
    checker.check_idle_connections(1.05);
    checker.check_action(1.05, &Action::CloseIdleConnections(BackendId(1)));
    checker.check_idle_connections(1.2);
    assert_eq!(checker.violations.len(), 1);
    checker.backend_listed_or_used(1.3, 1);
    checker.check_idle_connections(1.5);
    assert_eq!(checker.violations[1], "drain: connections left open");
    let rejected =
        [(0.0, send(1)), (0.6, Action::Reject { id, retry_after: None, reason: Rejection::Overload })];
    assert!(plant(1, &rejected)[0].contains("which may have been executed"));
}

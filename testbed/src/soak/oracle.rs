//! Checks a run from outside of the program, by what clients, backends and discovery observed.

use super::ledger::{Attempt, Class, ClientRequest, Drain, Ledger, Outcome, ResourcePeak, Span};
use super::plan::Plan;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// The settings of the soak's proxies that the checks depend on; times are in seconds.
pub mod settings {
    /// The grace period of a drain.
    pub const DRAIN_GRACE_S: f64 = 0.25;
    /// The window of the idempotency keys.
    pub const WINDOW_S: f64 = 3.0;
    /// How long a backend is in slow start.
    pub const COLD_S: f64 = 3.0;
    /// The fraction of its capacity that a backend has at the beginning of slow start.
    pub const COLD_SHARE: f64 = 0.1;
    /// A backend in slow start fails when it receives this multiple of its capacity for `TIP_AFTER_S`.
    pub const FALL_MULTIPLE: f64 = 3.0;
    /// How long the load must exceed that multiple for the backend to fail.
    pub const TIP_AFTER_S: f64 = 1.0;
}

/// How far two readings of the clock for one event may differ on a busy machine, in seconds.
const CLOCK_TOLERANCE_S: f64 = 0.05;
/// A proxy counts as notified of a change this long after the change, or after discovery answers again, in seconds.
const NOTIFICATION_TIMEOUT_S: f64 = 6.0;
/// How long after its client left an attempt may still begin, in seconds.
const CANCEL_TOLERANCE_S: f64 = 0.1;
/// How much more than the remaining time a proxy may report to a backend, in seconds.
const DEADLINE_TOLERANCE_S: f64 = 0.15;
/// How long after the end of its budget a request may be answered, in seconds.
const LATE_ANSWER_TOLERANCE_S: f64 = 0.5;
/// How long a client must have seen a connection idle before a proxy may close it, in seconds; the tolerance for the
/// client's clock is subtracted.
const MIN_IDLE_TIMEOUT_S: f64 = 1.8;
/// How soon a proxy must answer or disconnect a peer that stops in the middle of a request, in seconds.
const STALLED_PEER_TIMEOUT_S: f64 = 3.0;
/// The capacity of a warm backend as a multiple of the mean load of the run's backends.
const CAPACITY_OVER_LOAD: f64 = 1.5;
/// An overloaded cold start counts only if more than this part of the load came from proxies that were notified of it.
const MIN_NOTIFIED_PART: f64 = 2.0 / 3.0;
/// The minimum fraction of requests that must be served in any run.
const MIN_SERVED_FRACTION: f64 = 0.3;
/// The minimum load of a backend that is warm again, as a fraction of the mean load.
const MIN_LOAD_FRACTION: f64 = 0.15;
/// Fractions of this many requests or fewer are not checked.
const MAX_UNCHECKED_REQUESTS: usize = 200;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: &'static str,
    /// What was observed.
    pub description: String,
}

/// Checks one run that began at `start`.
pub struct Oracle<'a> {
    ledger: &'a Ledger,
    plan: &'a Plan,
    start: Instant,
    requests: HashMap<u64, &'a ClientRequest>,
    attempts: BTreeMap<u64, Vec<&'a Attempt>>,
}

impl<'a> Oracle<'a> {
    /// An oracle for a plan and the observations of its run.
    pub fn new(plan: &'a Plan, ledger: &'a Ledger, start: Instant) -> Self {
        let mut attempts: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &ledger.attempts {
            attempts.entry(attempt.id).or_default().push(attempt);
        }
        let requests = ledger.requests.iter().map(|request| (request.id, request)).collect();
        Self { ledger, plan, start, requests, attempts }
    }

    /// Returns all violations.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> = self
            .ledger
            .violations
            .iter()
            .map(|description| Violation { rule: "seen", description: description.clone() })
            .collect();
        violations.extend(self.ledger.requests.iter().filter_map(|request| self.lost_request(request)));
        violations.extend(self.attempts.values().filter_map(|attempts| self.duplicate_run(attempts)));
        violations.extend(self.ledger.attempts.iter().filter_map(|attempt| self.excess_deadline(attempt)));
        violations.extend(self.attempts_after_departure());
        violations.extend(self.ledger.drains.iter().flat_map(|drain| self.sent_to_draining(drain)));
        violations.extend(self.unclosed_peers());
        violations.extend(self.exceeded_limits());
        violations.extend(self.check_cold_starts());
        violations.extend(self.too_few_served());
        violations
    }

    fn format_time(&self, instant: Instant) -> String {
        format!("{:.3} s", instant.saturating_duration_since(self.start).as_secs_f64())
    }

    fn suspended_for(&self, proxy: usize, from: Instant, to: Instant) -> f64 {
        let of_proxy = self.ledger.suspended.iter().filter(|span| span.proxy == proxy);
        of_proxy.map(|span| span.overlap(from, to)).sum()
    }

    fn was_killed(&self, proxy: usize, from: Instant, to: Instant) -> bool {
        let of_proxy = |span: &&Span| span.proxy == proxy;
        self.ledger.killed.iter().filter(of_proxy).any(|span| span.from <= to && span.to >= from)
    }

    fn lost_request(&self, request: &ClientRequest) -> Option<Violation> {
        if request.outcome == Outcome::Abandoned
            || self.was_killed(request.proxy, request.sent_at, request.ended_at)
        {
            return None;
        }
        let elapsed = request.ended_at.duration_since(request.sent_at).as_secs_f64();
        let allowed = request.budget
            + LATE_ANSWER_TOLERANCE_S
            + self.suspended_for(request.proxy, request.sent_at, request.ended_at)
            + CLOCK_TOLERANCE_S;
        let was_forwarded = self.attempts.contains_key(&request.id);
        let reason = match request.outcome {
            Outcome::Answered { is_own_body: false, .. } => "answered with a body that is not its own",
            Outcome::Answered { status: 200, .. } if !was_forwarded => {
                "answered with 200, but no backend received it"
            }
            Outcome::Answered { .. } if elapsed > allowed => "answered too late",
            Outcome::Answered { .. } | Outcome::Abandoned | Outcome::Unreachable => return None,
            Outcome::Closed if !was_forwarded && self.may_have_crossed(request) => return None,
            Outcome::Closed if was_forwarded => {
                "connection closed without an answer after the request was forwarded"
            }
            Outcome::Closed => "connection closed without an answer, although it was not to be closed",
            Outcome::Truncated => "answer truncated",
            Outcome::TimedOut => "no answer in time",
        };
        let description = format!(
            "{:016x} ({}) at proxy {}, sent at {}: {reason} after {elapsed:.3} s",
            request.id,
            request.class.name(),
            request.proxy,
            self.format_time(request.sent_at)
        );
        Some(Violation { rule: "lost", description })
    }

    /// Whether a proxy may have closed the connection of a request before it read the request: a persistent connection
    /// because the proxy stopped or the connection was idle for long, a new one while idle connections fill the proxy.
    fn may_have_crossed(&self, request: &ClientRequest) -> bool {
        let overlaps = |span: &Span| {
            span.proxy == request.proxy && span.from <= request.ended_at && span.to >= request.sent_at
        };
        if request.idle_for.is_none() && self.ledger.crowded.iter().any(overlaps) {
            return true;
        }
        let of_proxy = |span: &&Span| span.proxy == request.proxy;
        let mut stop_spans = self.ledger.stopped.iter().filter(of_proxy);
        let was_stopped = stop_spans.any(|span| span.from <= request.ended_at && span.to >= request.sent_at);
        request.idle_for.is_some_and(|idle_for| was_stopped || idle_for >= MIN_IDLE_TIMEOUT_S)
    }

    fn duplicate_run(&self, attempts: &[&Attempt]) -> Option<Violation> {
        let id = attempts.first()?.id;
        let may_have_run: Vec<&&Attempt> = attempts.iter().filter(|attempt| !attempt.is_rejected).collect();
        let class = self.requests.get(&id).map_or(Class::Idempotent, |request| request.class);
        let first = may_have_run.iter().map(|attempt| attempt.started_at).min()?;
        let window = Duration::from_secs_f64(settings::WINDOW_S + CLOCK_TOLERANCE_S);
        let is_violation = match class {
            Class::Idempotent => false,
            Class::NonIdempotent => may_have_run.len() > 1,
            Class::Keyed => may_have_run.iter().any(|attempt| attempt.started_at > first + window),
        };
        let description = format!("{id:016x} ({}) may have run {} times", class.name(), may_have_run.len());
        is_violation.then_some(Violation { rule: "duplicate", description })
    }

    fn excess_deadline(&self, attempt: &Attempt) -> Option<Violation> {
        let request = self.requests.get(&attempt.id)?;
        let elapsed = attempt.started_at.saturating_duration_since(request.sent_at).as_secs_f64();
        let suspended =
            self.suspended_for(request.proxy, request.sent_at, attempt.started_at + Duration::from_millis(1));
        let excess = attempt.remaining_s - (request.budget - elapsed);
        let description = || {
            format!(
                "{:016x}: reported {excess:.3} s more than the remaining time, at {}",
                attempt.id,
                self.format_time(attempt.started_at)
            )
        };
        (excess > DEADLINE_TOLERANCE_S + CLOCK_TOLERANCE_S + suspended)
            .then(|| Violation { rule: "deadline", description: description() })
    }

    fn attempts_after_departure(&self) -> Vec<Violation> {
        let check = |(id, left_at): &(u64, Instant)| {
            let request = self.requests.get(id)?;
            let attempts = self.attempts.get(id)?;
            let last = attempts.iter().map(|attempt| attempt.started_at).max()?;
            let delay = last.checked_duration_since(*left_at)?.as_secs_f64();
            let allowed =
                CANCEL_TOLERANCE_S + CLOCK_TOLERANCE_S + self.suspended_for(request.proxy, *left_at, last);
            let description = || {
                format!(
                    "{id:016x}: attempt {delay:.3} s after its client left at {}",
                    self.format_time(*left_at)
                )
            };
            (delay > allowed).then(|| Violation { rule: "lost", description: description() })
        };
        self.ledger.client_departures.iter().filter_map(check).collect()
    }

    /// When a proxy counts as notified of a change.
    fn notified_at(&self, proxy: usize, drain: &Drain) -> Instant {
        let sent = self.ledger.notified.get(proxy).into_iter().flatten();
        let sent = sent.filter(|(generation, _)| *generation >= drain.generation).map(|(_, at)| *at).min();
        let mut reachable = drain.changed_at;
        let mut spans: Vec<&Span> =
            self.ledger.discovery_outages.iter().filter(|span| span.proxy == proxy).collect();
        spans.sort_by_key(|span| span.from);
        for span in spans {
            if span.from <= reachable && span.to > reachable {
                reachable = span.to;
            }
        }
        let latest = reachable + Duration::from_secs_f64(NOTIFICATION_TIMEOUT_S);
        sent.map_or(latest, |sent| sent.min(latest))
    }

    fn sent_to_draining(&self, drain: &Drain) -> Vec<Violation> {
        let mut violations = Vec::new();
        for attempt in self.ledger.attempts.iter().filter(|attempt| attempt.backend == drain.backend) {
            let Some(request) = self.requests.get(&attempt.id) else { continue };
            if drain.restored_at.is_some_and(|restored_at| attempt.started_at >= restored_at) {
                continue;
            }
            let notified_at = self.notified_at(request.proxy, drain);
            let Some(delay) = attempt.started_at.checked_duration_since(notified_at) else { continue };
            let suspended = self.suspended_for(request.proxy, notified_at, attempt.started_at);
            if delay.as_secs_f64() > settings::DRAIN_GRACE_S + CLOCK_TOLERANCE_S + suspended {
                let description = format!(
                    "{:016x} from proxy {} to backend {} {:.3} s after it was notified of the drain, at {}",
                    attempt.id,
                    request.proxy,
                    drain.backend,
                    delay.as_secs_f64(),
                    self.format_time(attempt.started_at)
                );
                violations.push(Violation { rule: "drain", description });
            }
        }
        violations
    }

    fn unclosed_peers(&self) -> Vec<Violation> {
        let is_violation = |peer: &&super::ledger::StalledPeer| {
            let end_or_never = peer.ended_at.unwrap_or(peer.connected_at + Duration::from_secs(60));
            let observed_until =
                peer.ended_at.unwrap_or(peer.connected_at + Duration::from_secs_f64(STALLED_PEER_TIMEOUT_S));
            let suspended = self.suspended_for(peer.proxy, peer.connected_at, observed_until);
            let elapsed = end_or_never.duration_since(peer.connected_at).as_secs_f64();
            elapsed > STALLED_PEER_TIMEOUT_S + CLOCK_TOLERANCE_S + suspended
                && !self.was_killed(peer.proxy, peer.connected_at, observed_until)
        };
        let description = |peer: &super::ledger::StalledPeer| {
            format!(
                "a peer of proxy {} that stopped in the middle of a request at {} was not disconnected",
                peer.proxy,
                self.format_time(peer.connected_at)
            )
        };
        let unclosed = self.ledger.stalled_peers.iter().filter(is_violation);
        unclosed.map(|peer| Violation { rule: "bad peer", description: description(peer) }).collect()
    }

    /// Processes that used more memory or more descriptors than they may: the platform would have killed them.
    fn exceeded_limits(&self) -> Vec<Violation> {
        let limits = self.plan.limits;
        let exceeds = |peak: &ResourcePeak| {
            peak.memory_kb > limits.memory_mb << 10 || peak.descriptors > limits.sockets
        };
        let exceeding = self.ledger.resources.iter().filter(|(_, peak)| exceeds(peak));
        let violation = |((proxy, _), peak): (&(usize, u32), &ResourcePeak)| Violation {
            rule: "crash",
            description: format!(
                "proxy {proxy} used {} of {} kB of memory and {} of {} descriptors",
                peak.memory_kb,
                limits.memory_mb << 10,
                peak.descriptors,
                limits.sockets
            ),
        };
        exceeding.map(violation).collect()
    }

    /// The mean load of a backend, in attempts per second.
    fn mean_load(&self) -> f64 {
        self.ledger.attempts.len() as f64 / self.plan.seconds / self.plan.backends as f64
    }

    fn check_cold_starts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let capacity = CAPACITY_OVER_LOAD * self.mean_load();
        for start in &self.ledger.cold_starts {
            let since = |at: Instant| Some(at.checked_duration_since(start.started_at)?.as_secs_f64());
            let of_backend = |attempt: &&Attempt| attempt.backend == start.backend;
            // When each attempt came, and whether its proxy had been notified of the cold start.
            let timed =
                |attempt: &Attempt| Some((since(attempt.started_at)?, self.was_notified(attempt, start)));
            let mut sent: Vec<(f64, bool)> =
                self.ledger.attempts.iter().filter(of_backend).filter_map(timed).collect();
            sent.sort_by(|a, b| a.0.total_cmp(&b.0));
            let times: Vec<f64> = sent.iter().map(|(at, _)| *at).collect();
            let cold = times.iter().filter(|t| **t < settings::COLD_S - settings::TIP_AFTER_S);
            let first_overload = cold.into_iter().find_map(|from| {
                let progress = from / settings::COLD_S;
                let ramp = settings::COLD_SHARE + (1.0 - settings::COLD_SHARE) * progress;
                let expected = settings::FALL_MULTIPLE * ramp * capacity * settings::TIP_AFTER_S;
                let allowed = if expected < 30.0 {
                    expected + 3.0 * expected.sqrt() + 3.0
                } else {
                    expected + 2.0 * expected.sqrt() + 2.0
                };
                let window = *from..from + settings::TIP_AFTER_S;
                let in_window = sent.iter().filter(|(at, _)| window.contains(at));
                let received = in_window.clone().count() as f64;
                let notified = in_window.filter(|(_, was_notified)| *was_notified).count() as f64;
                let is_over = received > allowed && notified > MIN_NOTIFIED_PART * received;
                is_over.then(|| {
                    format!(
                        "{received} attempts, {notified} of them from notified proxies, where {allowed:.0} \
                         are allowed, {from:.2} s after it"
                    )
                })
            });
            violations.extend(first_overload.map(|description| Violation {
                rule: "failback",
                description: format!(
                    "backend {} at {}: {description}",
                    start.backend,
                    self.format_time(start.started_at)
                ),
            }));
            violations.extend(self.starved(start.backend, start.started_at, &times));
        }
        violations
    }

    /// Whether the proxy of an attempt had been notified of a cold start before the attempt.
    fn was_notified(&self, attempt: &Attempt, start: &super::ledger::ColdStart) -> bool {
        let notified =
            self.requests.get(&attempt.id).and_then(|request| self.ledger.notified.get(request.proxy));
        let mut notified = notified.into_iter().flatten();
        notified.any(|(generation, at)| *generation >= start.generation && *at <= attempt.started_at)
    }

    /// Checks that a backend which is warm again receives load.
    fn starved(&self, backend: usize, started_at: Instant, times: &[f64]) -> Option<Violation> {
        let end = self.start + Duration::from_secs_f64(self.plan.seconds);
        let from = settings::COLD_S + 1.0;
        let span = end.saturating_duration_since(started_at).as_secs_f64() - from;
        let disturbed = self.ledger.drains.iter().any(|drain| drain.backend == backend)
            || self
                .plan
                .faults
                .iter()
                .any(|fault| matches!(fault.kind, super::plan::FaultKind::Backends { .. }));
        let received = times.iter().filter(|t| **t > from).count() as f64;
        let min_received = MIN_LOAD_FRACTION * self.mean_load() * span;
        let is_starved = !disturbed && span > 2.0 && min_received > 20.0 && received < min_received;
        let description = format!(
            "backend {backend}, warm again, received {received} attempts, less than {min_received:.0}"
        );
        is_starved.then_some(Violation { rule: "starved", description })
    }

    fn too_few_served(&self) -> Option<Violation> {
        let counted: Vec<&ClientRequest> =
            self.ledger.requests.iter().filter(|request| request.outcome != Outcome::Abandoned).collect();
        let served = counted
            .iter()
            .filter(|request| matches!(request.outcome, Outcome::Answered { status: 200, .. }))
            .count();
        let too_little = counted.len() > MAX_UNCHECKED_REQUESTS
            && (served as f64) < MIN_SERVED_FRACTION * counted.len() as f64;
        let complete: HashSet<u64> = self.ledger.without_length.iter().copied().collect();
        let forwarded = complete.iter().filter(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| matches!(request.outcome, Outcome::Answered { status: 200, .. }))
        });
        let forwarded = forwarded.count();
        if complete.len() > MAX_UNCHECKED_REQUESTS && forwarded * 2 < complete.len() {
            let description =
                format!("{forwarded} of {} answers without a length reached their clients", complete.len());
            return Some(Violation { rule: "no length", description });
        }
        let description = format!("only {served} of {} requests served", counted.len());
        too_little.then_some(Violation { rule: "served", description })
    }
}

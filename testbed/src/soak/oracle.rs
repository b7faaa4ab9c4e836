//! Judges a play from outside of the program, by what clients, backends and discovery have seen.

use super::ledger::{Arrival, ClientRequest, Drain, End, Lane, Ledger, Span};
use super::plan::Plan;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// The settings of the soak's proxies that the rules are figured with, in seconds where they are times.
pub mod settings {
    /// Grace of a drain.
    pub const DRAIN_GRACE: f64 = 0.25;
    /// Window of keyed requests.
    pub const WINDOW: f64 = 3.0;
    /// A started backend is cold for so long,
    pub const COLD: f64 = 3.0;
    /// with this part of its capacity at first,
    pub const COLD_SHARE: f64 = 0.1;
    /// and falls when it gets this multiple of what it can do
    pub const FALL_MULTIPLE: f64 = 3.0;
    /// in such a time.
    pub const TIP_AFTER: f64 = 1.0;
}

/// What may lie between two clocks' readings of one event on a busy machine, in seconds.
const SLACK: f64 = 0.05;
/// A proxy counts as notified of a change this long after discovery had it and could be reached.
const NOTIFICATION_TIMEOUT: f64 = 6.0;
/// An attempt may begin so long after its client left.
const LEFT: f64 = 0.1;
/// A passed deadline may be over what is left by so much.
const DEADLINE_SLACK: f64 = 0.15;
/// An answer may come so long after its time.
const LATE: f64 = 0.5;
/// A proxy may close a connection that has been idle for so long, less what its client's clock may be off.
const IDLE_CLOSE: f64 = 1.8;
/// A peer that sends no whole request is owed an end within this.
const BAD_PEER: f64 = 3.0;
/// A warm backend's capacity over the load that the play's backends bear in the mean.
const CAPACITY_OVER_LOAD: f64 = 1.5;
/// A fall counts where more than this part came from proxies that had been notified of the start.
const MIN_NOTIFIED_PART: f64 = 2.0 / 3.0;
/// Least part of the requests that is served in any play.
const LEAST_SERVED: f64 = 0.3;
/// Least part of the mean that a backend gets which is warm again.
const LEAST_SHARE: f64 = 0.15;
/// Requests and arrivals under which shares say nothing.
const MEANINGFUL: usize = 200;

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub what: String,
}

/// Judges one play that began at `start`.
pub struct Oracle<'a> {
    ledger: &'a Ledger,
    plan: &'a Plan,
    start: Instant,
    requests: HashMap<u64, &'a ClientRequest>,
    arrivals: BTreeMap<u64, Vec<&'a Arrival>>,
}

impl<'a> Oracle<'a> {
    /// An oracle over what was seen.
    pub fn new(plan: &'a Plan, ledger: &'a Ledger, start: Instant) -> Self {
        let mut arrivals: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &ledger.arrivals {
            arrivals.entry(arrival.id).or_default().push(arrival);
        }
        let requests = ledger.requests.iter().map(|one| (one.id, one)).collect();
        Self { ledger, plan, start, requests, arrivals }
    }

    /// All that was broken.
    pub fn judge(&self) -> Vec<Break> {
        let mut broken: Vec<Break> =
            self.ledger.broken.iter().map(|what| Break { rule: "seen", what: what.clone() }).collect();
        broken.extend(self.ledger.requests.iter().filter_map(|one| self.lost(one)));
        broken.extend(self.arrivals.values().filter_map(|of_one| self.run_twice(of_one)));
        broken.extend(self.ledger.arrivals.iter().filter_map(|arrival| self.deadline(arrival)));
        broken.extend(self.after_leaving());
        broken.extend(self.ledger.drains.iter().flat_map(|drain| self.sent_to_draining(drain)));
        broken.extend(self.bad_peers());
        broken.extend(self.cold_starts());
        broken.extend(self.served_too_little());
        broken
    }

    fn at(&self, instant: Instant) -> String {
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

    fn lost(&self, one: &ClientRequest) -> Option<Break> {
        if one.end == End::Given || self.was_killed(one.proxy, one.sent, one.ended) {
            return None;
        }
        let took = one.ended.duration_since(one.sent).as_secs_f64();
        let allowed = one.budget + LATE + self.suspended_for(one.proxy, one.sent, one.ended) + SLACK;
        let was_sent_on = self.arrivals.contains_key(&one.id);
        let why = match one.end {
            End::Answered { own: false, .. } => "answered with what is not its own",
            End::Answered { status: 200, .. } if !was_sent_on => "served, and no backend has seen it",
            End::Answered { .. } if took > allowed => "answered too late",
            End::Answered { .. } | End::Given | End::Unreachable => return None,
            End::Closed if !was_sent_on && self.may_have_crossed(one) => return None,
            End::Closed if was_sent_on => "closed with no answer after it was sent on",
            End::Closed => "closed with no answer, on a connection that was not to be closed",
            End::Cut => "its answer broke off",
            End::Silent => "no answer in its time",
        };
        let what = format!(
            "{:016x} ({}) at proxy {}, sent at {}: {why} after {took:.3} s",
            one.id,
            one.lane.name(),
            one.proxy,
            self.at(one.sent)
        );
        Some(Break { rule: "lost", what })
    }

    /// Whether a close may have crossed a request on a kept connection: the proxy stopped, or it had been idle for long.
    /// While idle clients fill a proxy it may also shut new connections unread.
    fn may_have_crossed(&self, one: &ClientRequest) -> bool {
        let fills = |span: &Span| span.proxy == one.proxy && span.from <= one.ended && span.to >= one.sent;
        if one.idle_for.is_none() && self.ledger.crowded.iter().any(fills) {
            return true;
        }
        let of_proxy = |span: &&Span| span.proxy == one.proxy;
        let mut stops = self.ledger.stopped.iter().filter(of_proxy);
        let stops = stops.any(|span| span.from <= one.ended && span.to >= one.sent);
        one.idle_for.is_some_and(|idle_for| stops || idle_for >= IDLE_CLOSE)
    }

    fn run_twice(&self, arrivals: &[&Arrival]) -> Option<Break> {
        let id = arrivals.first()?.id;
        let may_have_run: Vec<&&Arrival> = arrivals.iter().filter(|arrival| !arrival.turned_away).collect();
        let lane = self.requests.get(&id).map_or(Lane::Safe, |one| one.lane);
        let first = may_have_run.iter().map(|arrival| arrival.began).min()?;
        let window = Duration::from_secs_f64(settings::WINDOW + SLACK);
        let broken = match lane {
            Lane::Safe => false,
            Lane::Unsafe => may_have_run.len() > 1,
            Lane::Keyed => may_have_run.iter().any(|arrival| arrival.began > first + window),
        };
        let what = format!("{id:016x} ({}) came to {} backends", lane.name(), may_have_run.len());
        broken.then_some(Break { rule: "duplicate", what })
    }

    fn deadline(&self, arrival: &Arrival) -> Option<Break> {
        let one = self.requests.get(&arrival.id)?;
        let passed = arrival.began.saturating_duration_since(one.sent).as_secs_f64();
        let suspended = self.suspended_for(one.proxy, one.sent, arrival.began + Duration::from_millis(1));
        let over = arrival.passed_timeout - (one.budget - passed);
        let what = || {
            format!("{:016x}: told {over:.3} s more than is left, at {}", arrival.id, self.at(arrival.began))
        };
        (over > DEADLINE_SLACK + SLACK + suspended).then(|| Break { rule: "deadline", what: what() })
    }

    fn after_leaving(&self) -> Vec<Break> {
        let late = |(id, left): &(u64, Instant)| {
            let one = self.requests.get(id)?;
            let of_one = self.arrivals.get(id)?;
            let last = of_one.iter().map(|arrival| arrival.began).max()?;
            let by = last.checked_duration_since(*left)?.as_secs_f64();
            let allowed = LEFT + SLACK + self.suspended_for(one.proxy, *left, last);
            let what =
                || format!("{id:016x}: an attempt {by:.3} s after its client left at {}", self.at(*left));
            (by > allowed).then(|| Break { rule: "lost", what: what() })
        };
        self.ledger.left.iter().filter_map(late).collect()
    }

    /// When a proxy counts as notified of a change.
    fn notified_at(&self, proxy: usize, drain: &Drain) -> Instant {
        let written = self.ledger.notified.get(proxy).into_iter().flatten();
        let written =
            written.filter(|(generation, _)| *generation >= drain.generation).map(|(_, at)| *at).min();
        let mut reachable = drain.at;
        let mut spans: Vec<&Span> = self.ledger.unheard.iter().filter(|span| span.proxy == proxy).collect();
        spans.sort_by_key(|span| span.from);
        for span in spans {
            if span.from <= reachable && span.to > reachable {
                reachable = span.to;
            }
        }
        let latest = reachable + Duration::from_secs_f64(NOTIFICATION_TIMEOUT);
        written.map_or(latest, |written| written.min(latest))
    }

    fn sent_to_draining(&self, drain: &Drain) -> Vec<Break> {
        let mut broken = Vec::new();
        for arrival in self.ledger.arrivals.iter().filter(|arrival| arrival.backend == drain.backend) {
            let Some(one) = self.requests.get(&arrival.id) else { continue };
            if drain.until.is_some_and(|until| arrival.began >= until) {
                continue;
            }
            let notified_at = self.notified_at(one.proxy, drain);
            let Some(late) = arrival.began.checked_duration_since(notified_at) else { continue };
            let suspended = self.suspended_for(one.proxy, notified_at, arrival.began);
            if late.as_secs_f64() > settings::DRAIN_GRACE + SLACK + suspended {
                let what = format!(
                    "{:016x} from proxy {} to backend {} {:.3} s after the news that it drains, at {}",
                    arrival.id,
                    one.proxy,
                    drain.backend,
                    late.as_secs_f64(),
                    self.at(arrival.began)
                );
                broken.push(Break { rule: "drain", what });
            }
        }
        broken
    }

    fn bad_peers(&self) -> Vec<Break> {
        let left = |peer: &&super::ledger::BadPeer| {
            let until = peer.ended.unwrap_or(peer.connected + Duration::from_secs(60));
            let seen = peer.ended.unwrap_or(peer.connected + Duration::from_secs_f64(BAD_PEER));
            let suspended = self.suspended_for(peer.proxy, peer.connected, seen);
            let took = until.duration_since(peer.connected).as_secs_f64();
            took > BAD_PEER + SLACK + suspended && !self.was_killed(peer.proxy, peer.connected, seen)
        };
        let what = |peer: &super::ledger::BadPeer| {
            format!(
                "a peer of proxy {} that stopped midway at {} was left",
                peer.proxy,
                self.at(peer.connected)
            )
        };
        let left = self.ledger.bad_peers.iter().filter(left);
        left.map(|peer| Break { rule: "bad peer", what: what(peer) }).collect()
    }

    /// Requests a second that a backend gets in the mean.
    fn mean_load(&self) -> f64 {
        self.ledger.arrivals.len() as f64 / self.plan.seconds / self.plan.backends as f64
    }

    fn cold_starts(&self) -> Vec<Break> {
        let mut broken = Vec::new();
        let capacity = CAPACITY_OVER_LOAD * self.mean_load();
        for start in &self.ledger.cold_starts {
            let since = |at: Instant| Some(at.checked_duration_since(start.at)?.as_secs_f64());
            let of_backend = |arrival: &&Arrival| arrival.backend == start.backend;
            // When each came, and whether its proxy had been notified of the start.
            let came = |arrival: &Arrival| Some((since(arrival.began)?, self.knew(arrival, start)));
            let mut sent: Vec<(f64, bool)> =
                self.ledger.arrivals.iter().filter(of_backend).filter_map(came).collect();
            sent.sort_by(|a, b| a.0.total_cmp(&b.0));
            let times: Vec<f64> = sent.iter().map(|(at, _)| *at).collect();
            let cold = times.iter().filter(|t| **t < settings::COLD - settings::TIP_AFTER);
            let worst = cold.into_iter().find_map(|from| {
                let warmth = from / settings::COLD;
                let ramp = settings::COLD_SHARE + (1.0 - settings::COLD_SHARE) * warmth;
                let n = settings::FALL_MULTIPLE * ramp * capacity * settings::TIP_AFTER;
                let budget = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
                let window = *from..from + settings::TIP_AFTER;
                let in_window = sent.iter().filter(|(at, _)| window.contains(at));
                let got = in_window.clone().count() as f64;
                let notified = in_window.filter(|(_, knew)| *knew).count() as f64;
                let is_over = got > budget && notified > MIN_NOTIFIED_PART * got;
                is_over.then(|| {
                    format!("{got}, {notified} of them notified, where {budget:.0} are taken, {from:.2} s after it")
                })
            });
            broken.extend(worst.map(|what| Break {
                rule: "failback",
                what: format!("backend {} at {}: {what}", start.backend, self.at(start.at)),
            }));
            broken.extend(self.starved(start.backend, start.at, &times));
        }
        broken
    }

    /// Whether the proxy of an attempt had been notified of a cold start by then.
    fn knew(&self, arrival: &Arrival, start: &super::ledger::ColdStart) -> bool {
        let notified = self.requests.get(&arrival.id).and_then(|one| self.ledger.notified.get(one.proxy));
        let mut notified = notified.into_iter().flatten();
        notified.any(|(generation, at)| *generation >= start.generation && *at <= arrival.began)
    }

    /// A backend that is warm again and gets next to nothing.
    fn starved(&self, backend: usize, at: Instant, times: &[f64]) -> Option<Break> {
        let end = self.start + Duration::from_secs_f64(self.plan.seconds);
        let from = settings::COLD + 1.0;
        let span = end.saturating_duration_since(at).as_secs_f64() - from;
        let disturbed = self.ledger.drains.iter().any(|drain| drain.backend == backend)
            || self.plan.faults.iter().any(|t| matches!(t.kind, super::plan::Kind::Backends { .. }));
        let got = times.iter().filter(|t| **t > from).count() as f64;
        let wanted = LEAST_SHARE * self.mean_load() * span;
        let is_starved = !disturbed && span > 2.0 && wanted > 20.0 && got < wanted;
        let what = format!("backend {backend}, warm again, got {got} where {wanted:.0} is little");
        is_starved.then_some(Break { rule: "starved", what })
    }

    fn served_too_little(&self) -> Option<Break> {
        let counted: Vec<&ClientRequest> =
            self.ledger.requests.iter().filter(|one| one.end != End::Given).collect();
        let served =
            counted.iter().filter(|one| matches!(one.end, End::Answered { status: 200, .. })).count();
        let too_little = counted.len() > MEANINGFUL && (served as f64) < LEAST_SERVED * counted.len() as f64;
        let whole: HashSet<u64> = self.ledger.without_length.iter().copied().collect();
        let passed = whole.iter().filter(|id| {
            self.requests.get(id).is_some_and(|one| matches!(one.end, End::Answered { status: 200, .. }))
        });
        let passed = passed.count();
        if whole.len() > MEANINGFUL && passed * 2 < whole.len() {
            let what = format!("{passed} of {} answers without a length were passed on", whole.len());
            return Some(Break { rule: "no length", what });
        }
        let what = format!("only {served} of {} served", counted.len());
        too_little.then_some(Break { rule: "served", what })
    }
}

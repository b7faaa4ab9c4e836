//! The record of a run: the end of each request, the load of each backend per tenth of a second, the list revisions of
//! each proxy with their times, and the violations. It is written from all event loops and read at the end.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The length of one bin of a backend's load, in seconds.
pub const BIN_S: f64 = 0.1;
/// Maximum number of violations whose text is recorded; all are counted.
pub const MAX_VIOLATION_TEXTS: usize = 200;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// Status 200 with the complete answer to this request.
    Served,
    /// Status 429 or 503.
    Refused,
    /// Another answer, or a timeout.
    Failed,
    /// Its proxy was killed, stopped or cut off during the request.
    Died,
    /// Its client left early.
    Left,
    /// A proxy that was up did not answer it.
    Lost,
}

/// The end of one request.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// When it was due, in seconds from the start.
    pub at: f64,
    /// The index of its class.
    pub class: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Seconds from its due time to its end.
    pub latency: f64,
    /// The number of its attempts.
    pub attempts: usize,
}

/// An attempt that got no answer.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAttempt {
    /// The index of the request in `ends`.
    pub request: usize,
    /// The index of the proxy.
    pub proxy: usize,
    /// Its start and end, in seconds of the run.
    pub span: [f64; 2],
}

/// The requests and connections that one backend received.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// Requests in each bin.
    pub requests: Vec<u32>,
    /// The work of the requests in each bin, in seconds.
    pub work: Vec<f32>,
    /// New connections in each bin.
    pub connections: Vec<u32>,
    /// The number of requests that it rejected.
    pub rejected: u64,
    /// The spans in which it was listed as serving, in seconds; open spans end at infinity.
    pub listed: Vec<[f64; 2]>,
}

fn add<T: Default + Clone + std::ops::AddAssign>(bins: &mut Vec<T>, at: f64, value: T) {
    let bin = (at.max(0.0) / BIN_S) as usize;
    if bin >= bins.len() {
        bins.resize(bin + 1, T::default());
    }
    bins[bin] += value;
}

impl Sent {
    /// Adds a request of `work` seconds that arrived at `at`.
    pub fn request(&mut self, at: f64, work: f64) {
        add(&mut self.requests, at, 1);
        add(&mut self.work, at, work as f32);
    }

    /// Adds a connection that was accepted at `at`.
    pub fn connection(&mut self, at: f64) {
        add(&mut self.connections, at, 1);
    }

    /// Whether it was listed during the whole span.
    pub fn listed_for(&self, from: f64, to: f64) -> bool {
        self.listed.iter().any(|[a, b]| *a <= from && *b >= to)
    }
}

/// The record of a run.
#[derive(Debug)]
pub struct Record {
    /// Time 0 of the run.
    pub start: Instant,
    /// The proxy to which each request id was sent.
    proxies_by_txn: Mutex<HashMap<u64, usize>>,
    ends: Mutex<Vec<End>>,
    broken: Mutex<Vec<BrokenAttempt>>,
    /// Ids of executed requests that must not be executed again.
    executed: Mutex<HashSet<u64>>,
    /// For each proxy: the revisions of which it was notified, with their times.
    revisions: Mutex<Vec<Vec<(u64, f64)>>>,
    /// The revisions that the list service acknowledged, with their times.
    acknowledged: Mutex<BTreeMap<u64, f64>>,
    violations: Mutex<Vec<String>>,
    violation_count: AtomicU64,
    /// For each proxy: the spans in which it was dead, stopped or cut off from its clients.
    down: Mutex<Vec<Vec<[f64; 2]>>>,
    next_txn: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Record {
    /// A record for a run with this number of proxies that starts at `start`.
    pub fn new(start: Instant, proxies: usize) -> Arc<Self> {
        Arc::new(Self {
            start,
            proxies_by_txn: Mutex::default(),
            ends: Mutex::default(),
            broken: Mutex::default(),
            executed: Mutex::default(),
            revisions: Mutex::new(vec![Vec::new(); proxies]),
            acknowledged: Mutex::default(),
            violations: Mutex::default(),
            violation_count: AtomicU64::new(0),
            down: Mutex::new(vec![Vec::new(); proxies]),
            next_txn: AtomicU64::new(1),
        })
    }

    /// Seconds since the start; negative before it.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The instant of a time of the run, in seconds since the start.
    pub fn instant(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds.max(0.0))
    }

    /// An instant as seconds since the start.
    pub fn at(&self, instant: Instant) -> f64 {
        match instant.checked_duration_since(self.start) {
            Some(since) => since.as_secs_f64(),
            None => -(self.start - instant).as_secs_f64(),
        }
    }

    /// Returns a new request id for a request to `proxy`.
    pub fn txn(&self, proxy: usize) -> u64 {
        let txn = self.next_txn.fetch_add(1, Ordering::Relaxed);
        lock(&self.proxies_by_txn).insert(txn, proxy);
        txn
    }

    /// The proxy to which a request id was sent.
    pub fn proxy_of(&self, txn: u64) -> Option<usize> {
        lock(&self.proxies_by_txn).get(&txn).copied()
    }

    /// Records the execution of a request that must not be executed twice.
    pub fn record_execution(&self, txn: u64) {
        if !lock(&self.executed).insert(txn) {
            self.violation(|| format!("request {txn:016x} ran twice, which its class forbids"));
        }
    }

    /// Records a violation: something that must not happen.
    pub fn violation(&self, text: impl FnOnce() -> String) {
        self.violation_count.fetch_add(1, Ordering::Relaxed);
        let mut all = lock(&self.violations);
        if all.len() < MAX_VIOLATION_TEXTS {
            all.push(format!("{:.3} s: {}", self.now(), text()));
        }
    }

    /// The number of violations, and the texts of the first ones.
    pub fn violations(&self) -> (u64, Vec<String>) {
        (self.violation_count.load(Ordering::Relaxed), lock(&self.violations).clone())
    }

    /// Records the end of a request; `broken` are its attempts that got no answer, by proxy and span.
    pub fn end(&self, end: End, broken: &[(usize, [f64; 2])]) {
        let mut ends = lock(&self.ends);
        let index = ends.len();
        ends.push(end);
        drop(ends);
        let attempts =
            broken.iter().map(|(proxy, span)| BrokenAttempt { request: index, proxy: *proxy, span: *span });
        lock(&self.broken).extend(attempts);
    }

    /// Records that a proxy was notified of a revision.
    pub fn add_revision(&self, proxy: usize, revision: u64) {
        let now = self.now();
        if let Some(revisions) = lock(&self.revisions).get_mut(proxy)
            && revisions.last().is_none_or(|(last, _)| *last < revision)
        {
            revisions.push((revision, now));
        }
    }

    /// When a proxy was notified of a revision or a later one.
    pub fn notified_at(&self, proxy: usize, revision: u64) -> Option<f64> {
        let all = lock(&self.revisions);
        let revisions = all.get(proxy)?;
        let first = revisions.partition_point(|(r, _)| *r < revision);
        revisions.get(first).map(|(_, at)| *at)
    }

    /// For each proxy: the revisions of which it was notified, with their times.
    pub fn revisions(&self) -> Vec<Vec<(u64, f64)>> {
        lock(&self.revisions).clone()
    }

    /// Records that the list service acknowledged a revision.
    pub fn acknowledge(&self, revision: u64) {
        lock(&self.acknowledged).entry(revision).or_insert_with(|| self.now());
    }

    /// The revisions that the list service acknowledged, with their times.
    pub fn acknowledged(&self) -> BTreeMap<u64, f64> {
        lock(&self.acknowledged).clone()
    }

    /// Records that a proxy is down, that is, dead or unreachable, from now on.
    pub fn down(&self, proxy: usize) {
        let now = self.now();
        if let Some(spans) = lock(&self.down).get_mut(proxy)
            && spans.last().is_none_or(|[_, end]| end.is_finite())
        {
            spans.push([now, f64::INFINITY]);
        }
    }

    /// Records that a proxy is up again.
    pub fn up(&self, proxy: usize) {
        let now = self.now();
        if let Some([_, end]) = lock(&self.down).get_mut(proxy).and_then(|s| s.last_mut())
            && end.is_infinite()
        {
            *end = now;
        }
    }

    /// Whether a proxy was down, or had just come up again, at some time in a span.
    pub fn was_down(&self, proxy: usize, span: [f64; 2]) -> bool {
        const RECOVERY_S: f64 = 0.5;
        let all = lock(&self.down);
        all.get(proxy)
            .is_some_and(|spans| spans.iter().any(|[a, b]| *a <= span[1] && *b + RECOVERY_S >= span[0]))
    }

    /// The ends of all requests. Requests without an answer from a proxy that was up count as lost, and as violations
    /// if `one_end` is set.
    pub fn ends(&self, one_end: bool) -> Vec<End> {
        let mut ends = lock(&self.ends).clone();
        for broken in lock(&self.broken).iter() {
            if self.was_down(broken.proxy, broken.span) {
                continue;
            }
            if let Some(end) = ends.get_mut(broken.request) {
                end.outcome = Outcome::Lost;
            }
            if one_end {
                let [from, to] = broken.span;
                self.violation(|| {
                    format!(
                        "proxy {} did not answer a request sent at {from:.3} s until {to:.3} s",
                        broken.proxy
                    )
                });
            }
        }
        ends
    }
}

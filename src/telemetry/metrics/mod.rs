//! The metrics of this process: counters by reason, a histogram and gauges.
//!
//! Nothing is counted until [`serve`] serves the metrics. Names, help texts and label values are an
//! interface: dashboards and alerts depend on them.

mod endpoint;

pub use endpoint::serve;

use super::reason::{AttemptKind, CloseReason, DropReason, Invariant, PollOutcome, Rejection};
use crate::balancer::types::Outcome;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// The upper bound of the first bucket of request durations, in seconds; each further bound is twice the one before.
const FIRST_BUCKET_BOUND_S: f64 = 0.001;
/// The number of buckets of request durations.
const BUCKET_COUNT: u16 = 15;

/// Counters by reason.
type Counters<T> = Family<[(&'static str, T); 1], Counter>;

/// An event that a counter counts.
#[derive(Clone, Copy, Debug)]
pub enum CountedEvent {
    /// A client's connection was closed.
    ConnectionClosed(CloseReason),
    /// A request was rejected.
    RequestRejected(Rejection),
    /// An attempt was sent.
    AttemptSent(AttemptKind),
    /// An attempt was decided on and not sent.
    AttemptDropped(DropReason),
    /// An attempt ended.
    AttemptEnded(Outcome),
    /// A poll of discovery ended.
    PollEnded(PollOutcome),
    /// The guard prevented a violation of an invariant.
    ViolationPrevented(Invariant),
    /// The guard detected a violation of an invariant.
    ViolationDetected(Invariant),
}

/// The values of the gauges at the time when the metrics are read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Open connections from clients.
    pub client_connections: usize,
    /// Open connections to backends.
    pub upstream_connections: usize,
    /// Requests without an answer.
    pub open_requests: usize,
}

struct Metrics {
    client_closes: Counters<CloseReason>,
    refusals: Counters<Rejection>,
    attempts: Counters<AttemptKind>,
    attempt_drops: Counters<DropReason>,
    attempt_outcomes: Counters<Outcome>,
    list_calls: Counters<PollOutcome>,
    prevented: Counters<Invariant>,
    violations: Counters<Invariant>,
    wait_seconds: Histogram,
    client_connections: Gauge,
    upstream_connections: Gauge,
    open_requests: Gauge,
    list_revision: Gauge,
    registry: Registry,
}

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);
/// Whether the metrics are served; events are counted only then.
static IS_SERVED: AtomicBool = AtomicBool::new(false);

impl Metrics {
    fn new() -> Self {
        let mut metrics = Self {
            client_closes: Counters::default(),
            refusals: Counters::default(),
            attempts: Counters::default(),
            attempt_drops: Counters::default(),
            attempt_outcomes: Counters::default(),
            list_calls: Counters::default(),
            prevented: Counters::default(),
            violations: Counters::default(),
            wait_seconds: Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_S, 2.0, BUCKET_COUNT)),
            client_connections: Gauge::default(),
            upstream_connections: Gauge::default(),
            open_requests: Gauge::default(),
            list_revision: Gauge::default(),
            registry: Registry::with_prefix("linkhatch"),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("client_closes", "Clients' connections ended", self.client_closes.clone());
        registry.register("refusals", "Requests refused", self.refusals.clone());
        registry.register("attempts", "Attempts made", self.attempts.clone());
        registry.register("attempt_drops", "Attempts not made", self.attempt_drops.clone());
        registry.register("attempt_outcomes", "Attempts ended", self.attempt_outcomes.clone());
        registry.register("list_calls", "Calls for the list ended", self.list_calls.clone());
        registry.register("prevented", "What the guard has prevented", self.prevented.clone());
        registry.register("violations", "Promises broken, as the guard sees it", self.violations.clone());
        registry.register("wait_seconds", "From a request taken to its answer", self.wait_seconds.clone());
        let clients = self.client_connections.clone();
        registry.register("client_connections", "Open connections of clients", clients);
        registry.register("upstream_connections", "Open to backends", self.upstream_connections.clone());
        registry.register("open_requests", "Requests without an answer", self.open_requests.clone());
        registry.register("list_revision", "Revision of the list in force", self.list_revision.clone());
    }
}

fn is_served() -> bool {
    IS_SERVED.load(Ordering::Relaxed)
}

/// Counts an event, if the metrics are served.
pub fn count(event: CountedEvent) {
    if !is_served() {
        return;
    }
    let metrics = &METRICS;
    match event {
        CountedEvent::ConnectionClosed(reason) => increment(&metrics.client_closes, reason),
        CountedEvent::RequestRejected(reason) => increment(&metrics.refusals, reason),
        CountedEvent::AttemptSent(kind) => increment(&metrics.attempts, kind),
        CountedEvent::AttemptDropped(reason) => increment(&metrics.attempt_drops, reason),
        CountedEvent::AttemptEnded(outcome) => increment(&metrics.attempt_outcomes, outcome),
        CountedEvent::PollEnded(outcome) => increment(&metrics.list_calls, outcome),
        CountedEvent::ViolationPrevented(invariant) => increment(&metrics.prevented, invariant),
        CountedEvent::ViolationDetected(invariant) => increment(&metrics.violations, invariant),
    }
}

fn increment<T: Clone + std::hash::Hash + Eq>(counters: &Counters<T>, reason: T) {
    counters.get_or_create(&[("reason", reason)]).inc();
}

/// Records how long a request waited for its answer, in seconds, if the metrics are served.
pub fn observe_wait(seconds: f64) {
    if is_served() {
        METRICS.wait_seconds.observe(seconds);
    }
}

/// Records the revision of the endpoint list in force.
pub fn set_list_revision(revision: u64) {
    METRICS.list_revision.set(revision as i64);
}

/// All metrics in the OpenMetrics text format.
fn encode(gauges: Gauges) -> Result<String, fmt::Error> {
    METRICS.client_connections.set(gauges.client_connections as i64);
    METRICS.upstream_connections.set(gauges.upstream_connections as i64);
    METRICS.open_requests.set(gauges.open_requests as i64);
    let mut encoded = String::new();
    text::encode(&mut encoded, &METRICS.registry)?;
    Ok(encoded)
}

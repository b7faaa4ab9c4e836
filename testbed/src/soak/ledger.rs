//! What clients, backends and discovery observed during a run, for the oracle to check at the end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The class of a request, by the effect of repeating it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Repeating it has no effect.
    Idempotent,
    /// Repeating it takes effect again.
    NonIdempotent,
    /// It has an idempotency key: a repetition within the window is dropped.
    Keyed,
}

impl Class {
    /// The name of the class in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "status-check",
            Self::NonIdempotent => "send-sms",
            Self::Keyed => "send-batch",
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It got a complete answer.
    Answered {
        /// The status of the answer.
        status: u16,
        /// Whether the body is that of this request; true as well where the status is not 200.
        is_own_body: bool,
    },
    /// Its connection was closed or reset before the first byte of an answer.
    Closed,
    /// Its answer was truncated.
    Truncated,
    /// No answer came in time.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// Its client left, or never sent it completely.
    Abandoned,
}

/// A request of a client, and how it ended.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request's id.
    pub id: u64,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// Its class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How long its client was to wait for the answer, in seconds.
    pub budget: f64,
    /// How long the connection had been idle, in seconds; none for the first request on it.
    pub idle_for: Option<f64>,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Instant,
}

/// An attempt that a backend received.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: u64,
    /// The backend.
    pub backend: usize,
    /// When its first byte was read.
    pub started_at: Instant,
    /// How long the client will still wait, in seconds, as the proxy reported it to the backend.
    pub remaining_s: f64,
    /// Whether the backend rejected it, so that it never ran.
    pub is_rejected: bool,
}

/// A peer that stops in the middle of a request.
#[derive(Clone, Copy, Debug)]
pub struct StalledPeer {
    /// The proxy that it connected to.
    pub proxy: usize,
    /// When it connected.
    pub connected_at: Instant,
    /// When it got an answer or its connection ended; none if neither came while it waited.
    pub ended_at: Option<Instant>,
}

/// A span of time in which a condition applied to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// The proxy.
    pub proxy: usize,
    /// The start of the span.
    pub from: Instant,
    /// The end of the span.
    pub to: Instant,
}

impl Span {
    /// The overlap with another span, in seconds.
    pub fn overlap(&self, from: Instant, to: Instant) -> f64 {
        let (start, end) = (self.from.max(from), self.to.min(to));
        end.saturating_duration_since(start).as_secs_f64()
    }
}

/// The highest use of resources by one process of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourcePeak {
    /// Its resident memory, in kB.
    pub memory_kb: u64,
    /// Its open descriptors.
    pub descriptors: usize,
}

/// A change of the list that takes a backend out of service.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The backend.
    pub backend: usize,
    /// The generation of the list that contains the change.
    pub generation: u64,
    /// When the list was changed.
    pub changed_at: Instant,
    /// When the backend was put back into service, if it was.
    pub restored_at: Option<Instant>,
}

/// A cold start of a backend.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The backend.
    pub backend: usize,
    /// The generation of the list that contains the change.
    pub generation: u64,
    /// When the backend started.
    pub started_at: Instant,
}

/// Everything that was observed during a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests of clients.
    pub requests: Vec<ClientRequest>,
    /// When clients left, with the id of the request that they left.
    pub client_departures: Vec<(u64, Instant)>,
    /// Attempts that backends received.
    pub attempts: Vec<Attempt>,
    /// Peers that stopped in the middle of a request.
    pub stalled_peers: Vec<StalledPeer>,
    /// For each proxy, the generations of the list that were sent to it, and when.
    pub notified: Vec<Vec<(u64, Instant)>>,
    /// Drains of backends.
    pub drains: Vec<Drain>,
    /// Cold starts of backends.
    pub cold_starts: Vec<ColdStart>,
    /// Spans in which discovery did not answer a proxy.
    pub discovery_outages: Vec<Span>,
    /// Spans in which a proxy was suspended.
    pub suspended: Vec<Span>,
    /// Spans in which idle connections filled a proxy.
    pub crowded: Vec<Span>,
    /// Spans from a SIGTERM to the end of the process.
    pub stopped: Vec<Span>,
    /// Spans from a SIGKILL without a SIGTERM before it, to the last use of a connection that it closed.
    pub killed: Vec<Span>,
    /// What the processes of the proxies used, by proxy and process id.
    pub resources: BTreeMap<(usize, u32), ResourcePeak>,
    /// Ids of the requests that a backend answered completely, without a length.
    pub without_length: Vec<u64>,
    /// Violations that were found during the run.
    pub violations: Vec<String>,
}

/// The ledger, shared between threads.
pub type SharedLedger = Arc<Mutex<Ledger>>;

/// Locks the ledger.
pub fn lock_ledger(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

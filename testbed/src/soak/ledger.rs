//! What the parties of a play have seen, by request id, for the oracle to judge at the end.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Nothing.
    Safe,
    /// It would happen again.
    Unsafe,
    /// It is dropped within the window.
    Keyed,
}

impl Lane {
    /// Its class's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "status-check",
            Self::Unsafe => "send-sms",
            Self::Keyed => "send-batch",
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer; `own`: a served one that is this request's own, or one that is not served.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body is this request's.
        own: bool,
    },
    /// Its connection was closed or reset before any of an answer.
    Closed,
    /// Its answer broke off.
    Cut,
    /// Nothing came in its time.
    Silent,
    /// No connection came up.
    Unreachable,
    /// Its client left, or never sent it whole.
    Given,
}

/// One request of a client, as it ended.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: u64,
    /// The proxy that it went to.
    pub proxy: usize,
    /// Its class.
    pub lane: Lane,
    /// When its last byte was written.
    pub sent: Instant,
    /// The seconds that it was to wait.
    pub budget: f64,
    /// How long the connection had been idle, in seconds, where it had carried others.
    pub idle_for: Option<f64>,
    /// How it ended,
    pub end: End,
    /// and when.
    pub ended: Instant,
}

/// An attempt, as a backend has seen it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: u64,
    /// The backend.
    pub backend: usize,
    /// When its first byte was read.
    pub began: Instant,
    /// The seconds that the client will wait, as reported to the backend.
    pub passed_timeout: f64,
    /// The backend turned it away: it never ran.
    pub turned_away: bool,
}

/// A peer that sends no whole request.
#[derive(Clone, Copy, Debug)]
pub struct BadPeer {
    /// Which proxy it came to.
    pub proxy: usize,
    /// When it connected.
    pub connected: Instant,
    /// When it got an error or an end; none in its time.
    pub ended: Option<Instant>,
}

/// A span in which something held for a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Which proxy.
    pub proxy: usize,
    /// From when.
    pub from: Instant,
    /// To when.
    pub to: Instant,
}

impl Span {
    /// Seconds that it shares with another span.
    pub fn overlap(&self, from: Instant, to: Instant) -> f64 {
        let (begin, end) = (self.from.max(from), self.to.min(to));
        end.saturating_duration_since(begin).as_secs_f64()
    }
}

/// A change of the list, and the backend that it takes out of service.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The backend.
    pub backend: usize,
    /// The list's version with it.
    pub generation: u64,
    /// When discovery had it.
    pub at: Instant,
    /// When the backend was taken back into service, if it was.
    pub until: Option<Instant>,
}

/// A cold start of a backend.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The backend.
    pub backend: usize,
    /// The list's version with it.
    pub generation: u64,
    /// When.
    pub at: Instant,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests of clients.
    pub requests: Vec<ClientRequest>,
    /// When clients left, by id.
    pub left: Vec<(u64, Instant)>,
    /// Attempts at backends.
    pub arrivals: Vec<Arrival>,
    /// Peers that send no whole request.
    pub bad_peers: Vec<BadPeer>,
    /// For each proxy, the versions of the list written to it and when.
    pub notified: Vec<Vec<(u64, Instant)>>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Cold starts.
    pub cold_starts: Vec<ColdStart>,
    /// Spans in which discovery was silent for a proxy, or it was dead.
    pub unheard: Vec<Span>,
    /// Spans in which a proxy was suspended.
    pub suspended: Vec<Span>,
    /// Spans in which idle clients filled a proxy.
    pub crowded: Vec<Span>,
    /// Spans from a SIGTERM to the process's end.
    pub stopped: Vec<Span>,
    /// Spans from a SIGKILL that nothing announced to the process's end.
    pub killed: Vec<Span>,
    /// Answers without a length that came whole, and of them those that reached their client.
    pub without_length: Vec<u64>,
    /// What must not be and was seen at once.
    pub broken: Vec<String>,
}

/// The ledger, shared by all that write to it.
pub type Shared = Arc<Mutex<Ledger>>;

/// The ledger, locked.
pub fn open(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

//! Log of when each hollow proxy applied a list revision or a settings version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One proxy applied a revision.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrival {
    proxy: usize,
    revision: u64,
    at: Instant,
}

/// Log of one kind of revision, which only grows at each proxy.
pub struct DeliveryLog {
    latest: Vec<AtomicU64>,
    arrivals: Mutex<Vec<Arrival>>,
}

/// Delivery of one change to the proxies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delivery {
    /// The delay to each proxy that the change reached.
    pub delays: Vec<Duration>,
    /// Number of proxies that the change did not reach in time.
    pub missed: usize,
}

impl DeliveryLog {
    /// An empty log for this many proxies.
    pub fn new(proxies: usize) -> Self {
        let latest = (0..proxies).map(|_| AtomicU64::new(0)).collect();
        Self { latest, arrivals: Mutex::default() }
    }

    /// Records that a proxy has just applied `revision`; ignored unless it is the proxy's highest one so far.
    pub fn record(&self, proxy: usize, revision: u64) {
        let previous = self.latest[proxy].fetch_max(revision, Ordering::Relaxed);
        if previous < revision {
            self.lock().push(Arrival { proxy, revision, at: Instant::now() });
        }
    }

    /// Number of proxies that have applied `revision` or a later one.
    pub fn count_reached(&self, revision: u64) -> usize {
        self.latest.iter().filter(|latest| latest.load(Ordering::Relaxed) >= revision).count()
    }

    /// Clears the recorded arrivals, but not each proxy's latest revision.
    pub fn clear_arrivals(&self) {
        self.lock().clear();
    }

    /// The delivery of `revision`, or of a later one, to the proxies since `sent`.
    pub fn delivery(&self, revision: u64, sent: Instant) -> Delivery {
        let mut first_arrivals: Vec<Option<Instant>> = vec![None; self.latest.len()];
        for arrival in self.lock().iter().filter(|arrival| arrival.revision >= revision) {
            first_arrivals[arrival.proxy].get_or_insert(arrival.at);
        }
        let delays: Vec<Duration> =
            first_arrivals.iter().flatten().map(|at| at.saturating_duration_since(sent)).collect();
        Delivery { missed: first_arrivals.len() - delays.len(), delays }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.arrivals.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

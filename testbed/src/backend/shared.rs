//! The state that all backends of a run share, and the faults of the links to them.

use crate::record::Record;
use crate::spec::{Class, Tier};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// The number of stored idempotency keys from which expired ones are removed.
const KEY_CLEANUP_THRESHOLD: usize = 200_000;

/// A fault of the link between one proxy and a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Requests and answers are delayed by this many seconds.
    Delay(f64),
    /// Requests are lost, and connections stay open.
    SwallowRequests,
    /// Requests run, and their answers are lost.
    SwallowAnswers,
    /// Connections are reset when a request arrives on them.
    Reset,
    /// The connection of one in this many requests is reset.
    Drop(u64),
}

/// The state that all backends of a run share.
pub struct SharedState {
    /// The record of the run.
    pub record: Arc<Record>,
    /// The request classes, in the order of the experiment.
    pub classes: Vec<Class>,
    /// The tiers after the first.
    pub tiers: Vec<Tier>,
    /// The requests in flight at each backend, for the testbed's baseline policies.
    pub in_flight: Arc<Vec<AtomicUsize>>,
    /// When the current window of each idempotency key began in its failure domain, in seconds of the run.
    keys: RefCell<HashMap<(u32, String), f64>>,
    /// The faults of links, by proxy and backend.
    pub(super) links: RefCell<HashMap<(usize, usize), LinkFault>>,
    pub(super) next_job: Cell<u64>,
}

impl SharedState {
    /// The shared state of a run without link faults.
    pub fn new(
        record: Arc<Record>,
        classes: Vec<Class>,
        tiers: Vec<Tier>,
        in_flight: Arc<Vec<AtomicUsize>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            record,
            classes,
            tiers,
            in_flight,
            keys: RefCell::default(),
            links: RefCell::default(),
            next_job: Cell::new(0),
        })
    }

    /// Sets the fault of the link between a proxy and a backend; `None` lifts it.
    pub fn set_link(&self, proxy: usize, backend: usize, fault: Option<LinkFault>) {
        let mut links = self.links.borrow_mut();
        match fault {
            Some(fault) => drop(links.insert((proxy, backend), fault)),
            None => drop(links.remove(&(proxy, backend))),
        }
    }

    /// Whether a failure domain received this key within `window` seconds; if not, the key is stored.
    pub(super) fn is_repeat(&self, failure_domain: u32, key: &str, window: f64) -> bool {
        let now = self.record.now();
        let mut keys = self.keys.borrow_mut();
        if keys.len() >= KEY_CLEANUP_THRESHOLD {
            keys.retain(|_, seen| now - *seen < window);
        }
        match keys.get(&(failure_domain, key.to_string())) {
            Some(seen) if now - *seen < window => true,
            _ => {
                keys.insert((failure_domain, key.to_string()), now);
                false
            }
        }
    }
}

//! The state that all calls of one node share: the node, the limits on waiting calls, and the latest watch bodies.

use super::error::RequestError;
use super::forward::ForwardQueue;
use crate::registry::node::Node;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of writes waiting at once.
const MAX_WAITING_WRITES: usize = 4_096;

/// The state that calls share. The node's thread owns it.
pub(super) struct ApiState {
    pub(super) node: Rc<Node>,
    /// How long a write may take before it is answered 503.
    pub(super) write_timeout: Duration,
    /// Waiting watches.
    pub(super) watches: Gauge,
    /// Waiting writes.
    writes: Gauge,
    /// The JSON of the latest watch event of the list, by the revisions before and after its changes.
    pub(super) list_event_body: LatestBody<(u64, u64)>,
    /// The JSON of the agreement's latest state, by its revision and the versions that the watcher has.
    pub(super) agreement_body: LatestBody<(u64, String)>,
    /// Renewals that wait to be forwarded to the leader.
    pub(super) forward_queue: Rc<ForwardQueue>,
}

impl ApiState {
    /// Creates the state of `node`'s API, with at most `max_watchers` watches waiting at once.
    pub(super) fn new(node: Rc<Node>, max_watchers: usize, write_timeout: Duration) -> Self {
        let forward_queue = Rc::new(ForwardQueue::new(node.clone(), write_timeout));
        Self {
            node,
            write_timeout,
            watches: Gauge::new(max_watchers),
            writes: Gauge::new(MAX_WAITING_WRITES),
            list_event_body: LatestBody::default(),
            agreement_body: LatestBody::default(),
            forward_queue,
        }
    }

    /// Counts a watch until the returned guard is dropped.
    ///
    /// # Errors
    /// `TooManyWatches` where the limit of waiting watches is reached.
    pub(super) fn begin_watch(&self) -> Result<GaugeGuard<'_>, RequestError> {
        self.watches.enter().ok_or(RequestError::TooManyWatches)
    }

    /// Counts a write until the returned guard is dropped.
    ///
    /// # Errors
    /// `TooManyWrites` where the limit of waiting writes is reached.
    pub(super) fn begin_write(&self) -> Result<GaugeGuard<'_>, RequestError> {
        self.writes.enter().ok_or(RequestError::TooManyWrites)
    }
}

/// A bounded count of calls in progress.
pub(super) struct Gauge {
    count: Cell<usize>,
    max: usize,
}

/// One call in a [`Gauge`]. It is dropped with the call's future, so an aborted call is no longer counted.
pub(super) struct GaugeGuard<'a>(&'a Cell<usize>);

impl Gauge {
    fn new(max: usize) -> Self {
        Self { count: Cell::new(0), max }
    }

    /// The number of calls in progress.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    fn enter(&self) -> Option<GaugeGuard<'_>> {
        if self.count.get() >= self.max {
            return None;
        }
        self.count.set(self.count.get() + 1);
        Some(GaugeGuard(&self.count))
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The latest body made for watchers: most of them wait at the same revision and receive the same body.
pub(super) struct LatestBody<K> {
    latest: RefCell<Option<(K, Bytes)>>,
}

impl<K> Default for LatestBody<K> {
    fn default() -> Self {
        Self { latest: RefCell::new(None) }
    }
}

impl<K: PartialEq> LatestBody<K> {
    /// The latest body if it was made for `key`, otherwise the body that `make` returns.
    ///
    /// # Errors
    /// The error of `make`.
    pub(super) fn get_or_make<E>(&self, key: K, make: impl FnOnce() -> Result<Bytes, E>) -> Result<Bytes, E> {
        if let Some((latest_key, body)) = self.latest.borrow().as_ref()
            && *latest_key == key
        {
            return Ok(body.clone());
        }
        let body = make()?;
        *self.latest.borrow_mut() = Some((key, body.clone()));
        Ok(body)
    }
}

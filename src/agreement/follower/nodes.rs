//! The nodes of the list service: which node each kind of call goes to, and the backoff after a failed call.

use crate::http_client::HttpClient;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

/// The backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The kinds of calls; each kind has its own current node.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallKind {
    Watch,
    Session,
}

/// The nodes.
pub(super) struct Nodes {
    addresses: RefCell<Vec<SocketAddr>>,
    /// The position of the watch and of the session in the list of nodes; it wraps around.
    positions: [Cell<usize>; 2],
}

impl Nodes {
    /// Nodes at `addresses`; the one with index `first` is called first.
    pub fn new(addresses: Vec<SocketAddr>, first: usize) -> Self {
        Self { addresses: RefCell::new(addresses), positions: [Cell::new(first), Cell::new(first)] }
    }

    /// Replaces the nodes' addresses; returns whether they changed.
    pub fn replace(&self, addresses: Vec<SocketAddr>) -> bool {
        let is_change = *self.addresses.borrow() != addresses;
        *self.addresses.borrow_mut() = addresses;
        is_change
    }

    fn position(&self, kind: CallKind) -> &Cell<usize> {
        &self.positions[kind as usize]
    }

    /// A client of the node that calls of this kind go to, not yet connected.
    pub fn client(&self, kind: CallKind) -> HttpClient {
        let addresses = self.addresses.borrow();
        HttpClient::new(addresses[self.position(kind).get() % addresses.len().max(1)])
    }

    /// The number of nodes.
    pub fn count(&self) -> usize {
        self.addresses.borrow().len()
    }

    /// Makes calls of this kind to the node at `address` from now on, if it is still one of the nodes.
    pub fn select(&self, kind: CallKind, address: SocketAddr) {
        if let Some(index) = self.addresses.borrow().iter().position(|node| *node == address) {
            self.position(kind).set(index);
        }
    }

    /// Moves calls of this kind on to the next node.
    pub fn advance(&self, kind: CallKind) {
        let position = self.position(kind);
        position.set(position.get() + 1);
    }
}

/// The exponential backoff of one kind of call; each wait is drawn from the whole range ("full jitter").
pub(super) struct Backoff {
    current: Duration,
}

impl Backoff {
    pub fn new() -> Self {
        Self { current: MIN_BACKOFF }
    }

    /// Resets the backoff after a successful call.
    pub fn reset(&mut self) {
        self.current = MIN_BACKOFF;
    }

    /// How long to wait after a failed call.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let wait = self.current.mul_f64(rng.random_range(0.0..=1.0));
        self.current = (2 * self.current).min(MAX_BACKOFF);
        wait
    }
}

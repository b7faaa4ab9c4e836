//! The addresses of discovery, and the one that is currently polled.

use rand::Rng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The address of a single discovery server, or those of the nodes of one list service.
pub(super) struct Nodes {
    addresses: RefCell<Vec<SocketAddr>>,
    /// The index of the node that is currently polled.
    current: Cell<usize>,
}

impl Nodes {
    /// Starts at a randomly drawn node if there are several.
    pub(super) fn new(addresses: Vec<SocketAddr>, rng: &mut SmallRng) -> Self {
        let current = if addresses.len() > 1 { rng.random_range(0..addresses.len()) } else { 0 };
        Self { addresses: RefCell::new(addresses), current: Cell::new(current) }
    }

    /// Replaces the addresses; if they have changed, starts at the first. Returns whether they have changed.
    pub(super) fn replace(&self, addresses: Vec<SocketAddr>) -> bool {
        let is_changed = self.addresses.replace(addresses.clone()) != addresses;
        if is_changed {
            self.current.set(0);
        }
        is_changed
    }

    /// Moves on to the next node.
    pub(super) fn advance(&self) {
        self.current.set((self.current.get() + 1) % self.addresses.borrow().len());
    }

    /// Polls the node at `address` from now on, if it is still one of the nodes.
    pub(super) fn select(&self, address: SocketAddr) {
        if let Some(index) = self.addresses.borrow().iter().position(|node| *node == address) {
            self.current.set(index);
        }
    }

    /// The number of addresses.
    pub(super) fn count(&self) -> usize {
        self.addresses.borrow().len()
    }

    /// The address of the node that is currently polled.
    pub(super) fn address(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[self.current.get() % addresses.len().max(1)]
    }

    /// Whether there are several nodes to fail over between.
    pub(super) fn is_cluster(&self) -> bool {
        self.count() > 1
    }

    /// Whether this number of consecutive failed polls completes a round over all nodes.
    pub(super) fn is_round_over(&self, failures: usize) -> bool {
        failures.is_multiple_of(self.count().max(1))
    }
}

//! Relays in front of the list service's nodes that count traffic; a few hollow proxies and backends connect through
//! them.

use crate::links::Relay;
use std::net::SocketAddr;
use std::ops::Sub;
use std::sync::atomic::Ordering;

/// Total traffic that a relay has passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Bytes in both directions.
    pub bytes: u64,
    /// Reads of data sent to the nodes: a small request arrives in one read.
    pub requests: u64,
}

impl Sub for TrafficTotals {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            bytes: self.bytes.saturating_sub(earlier.bytes),
            requests: self.requests.saturating_sub(earlier.requests),
        }
    }
}

/// Total traffic of one relay so far.
pub fn relay_totals(relay: &Relay) -> TrafficTotals {
    let counts = relay.counts();
    let bytes = &[&counts.bytes_to_target, &counts.bytes_from_target];
    TrafficTotals {
        bytes: bytes.iter().map(|count| count.load(Ordering::Relaxed)).sum(),
        requests: counts.pieces_to_target.load(Ordering::Relaxed),
    }
}

/// One relay in front of each node.
pub struct Meter {
    relays: Vec<Relay>,
}

impl Meter {
    /// Starts a relay in front of each of these nodes.
    ///
    /// # Errors
    /// If no port is available.
    pub fn start(nodes: &[SocketAddr]) -> std::io::Result<Self> {
        let relays = nodes.iter().map(|node| Relay::start(*node)).collect::<Result<_, _>>()?;
        Ok(Self { relays })
    }

    /// The relays' addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(Relay::address).collect()
    }

    /// Total traffic of all relays so far.
    pub fn totals(&self) -> TrafficTotals {
        sum(self.relays.iter().map(relay_totals))
    }
}

/// The sum of several totals.
pub fn sum(all: impl Iterator<Item = TrafficTotals>) -> TrafficTotals {
    all.fold(TrafficTotals::default(), |sum, totals| TrafficTotals {
        bytes: sum.bytes + totals.bytes,
        requests: sum.requests + totals.requests,
    })
}

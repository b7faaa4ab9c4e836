//! Load balancing without proxies, for experiments with a baseline policy: the testbed itself selects a backend.

use crate::spec::BalancingPolicy;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The state from which a baseline policy selects a backend.
#[derive(Clone)]
pub struct Direct {
    /// The policy.
    pub policy: BalancingPolicy,
    /// The address (packed, 0: not listed), weight and speed of each backend.
    pub backends: Arc<Vec<(AtomicU64, f64, f64)>>,
    /// The requests in flight at each backend.
    pub in_flight: Arc<Vec<AtomicUsize>>,
}

/// The bits of an IPv4 address's port in a packed address.
const PORT_BITS: u32 = 16;

/// An IPv4 address and port in one number, so that it can be stored atomically; 0 for an IPv6 address.
pub fn packed(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(v4) => (u64::from(u32::from(*v4.ip())) << PORT_BITS) | u64::from(v4.port()),
        SocketAddr::V6(_) => 0,
    }
}

fn unpacked(packed: u64) -> SocketAddr {
    let ip = ((packed >> PORT_BITS) as u32).to_be_bytes();
    SocketAddr::from((ip, packed as u16))
}

impl Direct {
    /// Selects a backend by the policy; `position` in [0, 1) is the random draw that it may use.
    pub(super) fn pick(&self, position: f64) -> Option<SocketAddr> {
        let addresses = self.backends.iter().map(|(address, ..)| address.load(Ordering::Relaxed));
        let listed: Vec<(usize, u64)> = addresses.enumerate().filter(|(_, address)| *address != 0).collect();
        let chosen = match self.policy {
            BalancingPolicy::LeastLoaded => {
                listed.iter().min_by(|a, b| self.load(a.0).total_cmp(&self.load(b.0)))
            }
            _ => self.pick_by_capacity(&listed, position),
        };
        let (backend, address) = *chosen.or(listed.last())?;
        // Counted at once, so that simultaneous arrivals count each other; the backend sets the true number later.
        self.in_flight[backend].fetch_add(1, Ordering::Relaxed);
        Some(unpacked(address))
    }

    fn pick_by_capacity<'a>(&self, listed: &'a [(usize, u64)], position: f64) -> Option<&'a (usize, u64)> {
        let mut remaining = position * listed.iter().map(|(backend, _)| self.capacity(*backend)).sum::<f64>();
        listed.iter().find(|(backend, _)| {
            remaining -= self.capacity(*backend);
            remaining < 0.0
        })
    }

    /// The load of a backend with one more request, relative to its capacity.
    fn load(&self, backend: usize) -> f64 {
        (self.in_flight[backend].load(Ordering::Relaxed) + 1) as f64 / self.capacity(backend)
    }

    fn capacity(&self, backend: usize) -> f64 {
        let (_, weight, speed) = &self.backends[backend];
        weight * speed
    }
}

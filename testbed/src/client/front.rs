//! The load balancer of a run, in front of the proxies, which spreads requests over those that it believes alive.

use crate::proxy_pool::ProxyPool;
use crate::spec::BalancingUnit;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::rc::Rc;

/// The load balancer: the proxies that it believes alive, and the share of the traffic of each.
pub struct LoadBalancer {
    /// The connections to each proxy.
    pub pools: Vec<Rc<ProxyPool>>,
    alive: RefCell<Vec<bool>>,
    shares: Vec<f64>,
}

impl LoadBalancer {
    /// A load balancer for these proxies, `alive` or not, with these shares of the traffic.
    pub fn new(pools: Vec<Rc<ProxyPool>>, alive: Vec<bool>, shares: Vec<f64>) -> Rc<Self> {
        Rc::new(Self { pools, alive: RefCell::new(alive), shares })
    }

    /// Starts or stops sending requests to a proxy.
    pub fn set_alive(&self, proxy: usize, alive: bool) {
        self.alive.borrow_mut()[proxy] = alive;
    }

    /// Selects a proxy by `position` in [0, 1): by the idle connections if `unit` is [`BalancingUnit::Connections`] and
    /// there are any, else among the proxies that are alive, by their shares.
    pub(super) fn pick(&self, position: f64, unit: BalancingUnit) -> Option<Rc<ProxyPool>> {
        let by_connection = if unit == BalancingUnit::Connections { self.pick_idle(position) } else { None };
        by_connection.or_else(|| self.pick_by_share(position))
    }

    fn pick_idle(&self, position: f64) -> Option<Rc<ProxyPool>> {
        let alive = self.alive.borrow();
        let idle = |proxy: usize| if alive[proxy] { self.pools[proxy].idle_connections() } else { 0 };
        let total: usize = (0..self.pools.len()).map(idle).sum();
        let mut skip = (position * total as f64) as usize;
        for (proxy, pool) in self.pools.iter().enumerate() {
            match skip.checked_sub(idle(proxy)) {
                Some(rest) => skip = rest,
                None => return Some(pool.clone()),
            }
        }
        None
    }

    fn pick_by_share(&self, position: f64) -> Option<Rc<ProxyPool>> {
        let alive = self.alive.borrow();
        let shares = || self.shares.iter().enumerate().filter(|(proxy, _)| alive[*proxy]);
        let total: f64 = shares().map(|(_, share)| share).sum();
        let mut remaining = position * total;
        for (proxy, share) in shares() {
            remaining -= share;
            if remaining < 0.0 {
                return Some(self.pools[proxy].clone());
            }
        }
        alive.iter().rposition(|is_alive| *is_alive).map(|proxy| self.pools[proxy].clone())
    }
}

/// If traffic is uneven, one proxy in this many gets more than the others.
const ONE_HEAVY_IN: usize = 10;
/// The minimum share of a proxy.
const MIN_SHARE: f64 = 0.05;

/// The share of the traffic of each proxy, with a mean of 1: one in ten gets `uneven` times the mean.
pub fn shares(count: usize, uneven: f64, seed: u64) -> Vec<f64> {
    let heavy = if uneven > 1.0 { (count / ONE_HEAVY_IN).max(1).min(count) } else { 0 };
    let light = count - heavy;
    let light_share = match light {
        0 => 1.0,
        light => ((count as f64 - heavy as f64 * uneven) / light as f64).max(MIN_SHARE),
    };
    let mut shares: Vec<f64> = (0..count).map(|n| if n < heavy { uneven } else { light_share }).collect();
    shares.shuffle(&mut SmallRng::seed_from_u64(seed));
    shares
}

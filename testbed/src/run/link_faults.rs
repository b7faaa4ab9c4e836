//! Faults on the links of a run: between clients, proxies, backends and list nodes.

use super::fleet::{Run, Target};
use crate::backend::LinkFault;
use crate::links::Fault as RelayFault;
use crate::proxy_pool::ClientLink;
use crate::spec::{Fault, FaultKind};
use rand::Rng;
use std::time::Duration;

/// Combined with the run's seed to draw the members of a fault's other end.
const OTHER_END_SEED: u64 = 0x70;

/// A fault as it applies to one link.
#[derive(Clone, Copy)]
struct LinkEffect<'a> {
    fault: &'a Fault,
    /// The delay of this link, in seconds; none lifts the fault.
    delay: Option<f64>,
    /// One in this many messages is dropped.
    one_in: u64,
}

impl Run<'_> {
    /// Applies a fault to the links from `targets` to the fault's other end, with a delay of up to `max_delay` seconds,
    /// or lifts it where there is no delay.
    pub(super) fn set_links(&mut self, fault: &Fault, targets: &[Target], max_delay: Option<f64>) {
        let Some(Ok(group)) = fault.to.as_ref().map(|to| self.experiment.group(to)) else { return };
        let others = self.targets(&group, self.options.seed ^ OTHER_END_SEED);
        let one_in = (1.0 / fault.part.unwrap_or(1.0)).round().max(1.0) as u64;
        for from in targets {
            for to in &others {
                let delay = max_delay.map(|max| self.rng.random_range(0.0..=max.max(1e-9)));
                self.set_link(*from, *to, LinkEffect { fault, delay, one_in });
            }
        }
    }

    fn set_link(&self, from: Target, to: Target, effect: LinkEffect<'_>) {
        match (from, to) {
            (Target::Proxy(proxy), Target::Backend(slot)) | (Target::Backend(slot), Target::Proxy(proxy)) => {
                let fault = effect.at_backend(matches!(from, Target::Backend(_)));
                self.backends.with(slot, move |backend, shared| shared.set_link(proxy, backend.index, fault));
            }
            (Target::Proxy(proxy), Target::Node(node)) | (Target::Node(node), Target::Proxy(proxy)) => {
                let fault = effect.at_relay(matches!(from, Target::Proxy(_)));
                if let Some(relay) = self.proxies.get(proxy).and_then(|proxy| proxy.links.get(node)) {
                    relay.set(fault);
                }
            }
            (Target::Node(node), Target::Node(other)) if node != other => {
                self.lists[0].link(node, other, effect.at_relay(true));
                self.lists[0].link(other, node, effect.at_relay(false));
            }
            (Target::Clients, Target::Proxy(proxy)) => {
                let link = effect.at_clients();
                match link {
                    ClientLink::Swallow | ClientLink::Reset => self.record.down(proxy),
                    ClientLink::Pass | ClientLink::Delay(_) | ClientLink::Drop(_) => self.record.up(proxy),
                }
                self.clients.with(move |balancer| balancer.pools[proxy].set_link(link));
            }
            _ => {}
        }
    }
}

impl LinkEffect<'_> {
    fn is_lifted(self) -> bool {
        self.delay.is_none()
    }

    fn delay_seconds(self) -> f64 {
        self.delay.unwrap_or(0.0)
    }

    /// The fault at a backend's side of a link to a proxy.
    fn at_backend(self, from_backend: bool) -> Option<LinkFault> {
        if self.is_lifted() {
            return None;
        }
        Some(match self.fault.kind {
            FaultKind::Delay => LinkFault::Delay(self.delay_seconds()),
            FaultKind::Drop => LinkFault::Drop(self.one_in),
            FaultKind::Reset => LinkFault::Reset,
            _ if self.fault.one_way && from_backend => LinkFault::SwallowAnswers,
            _ => LinkFault::SwallowRequests,
        })
    }

    /// The fault at a relay whose target is the fault's other end (`to_target`) or its own.
    fn at_relay(self, to_target: bool) -> RelayFault {
        match self.fault.kind {
            _ if self.is_lifted() => RelayFault::Pass,
            FaultKind::Delay => RelayFault::Delay(Duration::from_secs_f64(self.delay_seconds())),
            FaultKind::Drop => RelayFault::Drop { one_in: self.one_in },
            FaultKind::Reset => RelayFault::Cut,
            _ if !self.fault.one_way => RelayFault::BlackHole,
            _ if to_target => RelayFault::BlackHoleTo,
            _ => RelayFault::BlackHoleFrom,
        }
    }

    /// The fault at the clients' side of a link to a proxy.
    fn at_clients(self) -> ClientLink {
        match self.fault.kind {
            _ if self.is_lifted() => ClientLink::Pass,
            FaultKind::Delay => ClientLink::Delay(self.delay_seconds()),
            FaultKind::Drop => ClientLink::Drop(self.one_in),
            FaultKind::Reset => ClientLink::Reset,
            _ => ClientLink::Swallow,
        }
    }
}

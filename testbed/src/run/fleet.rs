//! The fleet of a run: its proxies, backends and list nodes, and how they start.

use super::RunError;
use super::list_writer::{Registration, WriteQueue};
use super::proxy_config::{Identity, backend_kinds, proxy_config};
use super::revision_tap::revision_tap;
use super::timeline::{Step, Timeline};
use super::{Options, READY_TIMEOUT};
use crate::backend::BackendConfig;
use crate::calls::call;
use crate::client::Direct;
use crate::cluster::Cluster;
use crate::groups::{Group, MemberKind};
use crate::links::Relay;
use crate::model::Kind;
use crate::process::{Fleet, Process, StartError};
use crate::record::Record;
use crate::spec::Experiment;
use crate::stage::{BackendLoop, ClientLoop, set_direct_address};
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Backends of one failure domain, in each zone.
const BACKENDS_PER_FAILURE_DOMAIN: usize = 4;
/// The interval at which a starting proxy's readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy of the run: one that clients connect to, or a backend's sidecar.
pub(super) struct Proxy {
    config: String,
    zone: String,
    /// The tier whose backends it lists.
    tier: usize,
    /// The slot of the backend that it is the sidecar of.
    sidecar_of: Option<usize>,
    pub process: Option<Process>,
    address: Option<SocketAddr>,
    /// Its links to the nodes of its list.
    pub links: Vec<Relay>,
}

/// A slot for a backend. Each machine that replaces another in it has an id of its own.
pub(super) struct BackendSlot {
    pub tier: usize,
    pub kind: Kind,
    zone: String,
    failure_domain: u32,
    pub speed: f64,
    /// The number of machines that were replaced in this slot.
    replaced: u32,
    pub id: String,
    pub address: Option<SocketAddr>,
}

/// Something that a fault is applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// A proxy, by index.
    Proxy(usize),
    /// The backend in a slot.
    Backend(usize),
    /// A node of the first tier's list, by index.
    Node(usize),
    /// All clients.
    Clients,
}

/// How a backend is put into its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// At the start of the run, warmed up.
    Initial,
    /// After a crash: the same machine, in slow start.
    Restart,
    /// A new machine, in slow start, while the former one drains.
    Replacement,
}

/// A run in progress.
pub(super) struct Run<'a> {
    pub experiment: &'a Experiment,
    pub options: &'a Options,
    pub record: Arc<Record>,
    pub fleet: Fleet,
    /// The list service of each tier.
    pub lists: Vec<Cluster>,
    pub writes: WriteQueue,
    pub proxies: Vec<Proxy>,
    pub slots: Vec<BackendSlot>,
    pub backends: BackendLoop,
    pub clients: ClientLoop,
    /// How clients send requests directly to backends, in experiments that run without proxies for comparison.
    pub direct: Option<Direct>,
    pub timeline: Timeline,
    /// The faults that began and ended, with their time.
    pub fault_log: Vec<(f64, String)>,
    pub rng: SmallRng,
}

/// The slots of an experiment, with each machine's speed drawn; zones and failure domains are assigned in turn.
pub(super) fn backend_slots(experiment: &Experiment, rng: &mut SmallRng) -> Vec<BackendSlot> {
    let zones = &experiment.proxies.zones;
    let mut slots = Vec::new();
    for tier in 0..=experiment.tiers.len() {
        let kinds = backend_kinds(experiment, tier).iter();
        let machines = kinds.flat_map(|kind| std::iter::repeat_n(kind, kind.count));
        for (number, kind) in machines.enumerate() {
            slots.push(BackendSlot {
                tier,
                speed: rng.random_range(kind.speed[0]..=kind.speed[1]),
                kind: kind.clone(),
                zone: zones[number % zones.len()].clone(),
                failure_domain: (number / zones.len() / BACKENDS_PER_FAILURE_DOMAIN) as u32,
                replaced: 0,
                id: format!("s{tier}-{number}"),
                address: None,
            });
        }
    }
    slots
}

impl Run<'_> {
    /// Puts a backend into its slot and lists it.
    pub fn place_backend(&mut self, slot_index: usize, placement: Placement) -> Result<(), RunError> {
        let seed = self.rng.random();
        let is_cold = placement != Placement::Initial;
        let replaces = placement == Placement::Replacement;
        let slot = &mut self.slots[slot_index];
        if replaces {
            slot.replaced += 1;
            slot.id = format!("s{}-{slot_index}-{}", slot.tier, slot.replaced);
            slot.speed = self.rng.random_range(slot.kind.speed[0]..=slot.kind.speed[1]);
        }
        let config = BackendConfig {
            index: slot_index,
            id: slot.id.clone(),
            zone: slot.zone.clone(),
            failure_domain: slot.failure_domain,
            tier: slot.tier,
            kind: slot.kind.clone(),
            speed: slot.speed,
            cold: is_cold,
            seed,
            port: 0,
        };
        let address = self.backends.start_backend(config, replaces);
        let address = address
            .ok_or_else(|| RunError::Io(std::io::Error::other("no port is available for a backend")))?;
        slot.address = Some(address);
        let body = slot.registration_body(address, is_cold, self.experiment.list.ttl_ms);
        let registration = Registration { tier: slot.tier, id: slot.id.clone(), body };
        let (stage, id, direct) = (self.backends.clone(), slot.id.clone(), self.direct.clone());
        let delay_ms = if is_cold { self.experiment.list.listing_delay_ms } else { 0 };
        self.writes.push(move |writer| {
            std::thread::sleep(Duration::from_millis(delay_ms));
            writer.register(registration);
            stage.with_id(&id, |backend| backend.set_listed(true));
            set_direct_address(direct.as_ref(), slot_index, Some(address));
        });
        Ok(())
    }

    /// Makes all proxies, `client_proxy_count` for clients and then the sidecars of `sidecar_slots`, and starts those
    /// that run from the beginning.
    pub fn make_proxies(
        &mut self,
        sidecar_slots: &[usize],
        client_proxy_count: usize,
    ) -> Result<(), RunError> {
        let experiment = self.experiment;
        let zones = &experiment.proxies.zones;
        for number in 0..client_proxy_count {
            let zone = zones[number % zones.len()].clone();
            self.make_proxy(None, &zone, 0, [number, client_proxy_count])?;
            if number < experiment.proxies.count {
                self.start_new_proxy(number)?;
                self.set_in_rotation(number, true);
            }
        }
        for slot in sidecar_slots {
            let (tier, zone) = (self.slots[*slot].tier, self.slots[*slot].zone.clone());
            let same_tier: Vec<usize> =
                sidecar_slots.iter().copied().filter(|other| self.slots[*other].tier == tier).collect();
            let index = same_tier.iter().position(|other| other == slot).unwrap_or(0);
            self.make_proxy(Some(*slot), &zone, tier + 1, [index, same_tier.len()])?;
            self.start_new_proxy(self.proxies.len() - 1)?;
        }
        Ok(())
    }

    fn make_proxy(
        &mut self,
        sidecar_of: Option<usize>,
        zone: &str,
        tier: usize,
        [index, count]: [usize; 2],
    ) -> Result<(), RunError> {
        let seed = self.rng.random();
        let config = proxy_config(self.experiment, &Identity { index, count, tier, zone, seed });
        let number = self.proxies.len();
        let nodes = self.lists[tier].fronts().into_iter();
        let links = nodes
            .map(|node| Relay::start_with(node, Some(revision_tap(self.record.clone(), number))))
            .collect::<std::io::Result<Vec<_>>>()?;
        let zone = zone.to_string();
        self.proxies.push(Proxy { config, zone, tier, sidecar_of, process: None, address: None, links });
        Ok(())
    }

    fn start_new_proxy(&mut self, number: usize) -> Result<(), RunError> {
        self.start_proxy(number).map_err(|error| RunError::Start(format!("proxy {number}"), error))
    }

    /// Starts the process of a proxy, at its former address if it had one.
    pub fn start_proxy(&mut self, number: usize) -> Result<(), StartError> {
        let proxy = &self.proxies[number];
        let listen = proxy.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let nodes: Vec<SocketAddr> = proxy.links.iter().map(Relay::address).collect();
        let process = self.fleet.proxy_at(&proxy.config, &nodes, listen)?;
        let address = Some(process.address());
        let proxy = &mut self.proxies[number];
        (proxy.process, proxy.address) = (Some(process), address);
        self.record.up(number);
        match proxy.sidecar_of {
            Some(slot) => self.backends.set_next_tier_proxy(slot, number, address),
            None => self.clients.with(move |balancer| balancer.pools[number].set_address(address)),
        }
        Ok(())
    }

    /// Makes the load balancer send requests to a proxy, or stop sending them.
    pub fn set_in_rotation(&self, proxy: usize, alive: bool) {
        self.clients.with(move |balancer| balancer.set_alive(proxy, alive));
    }

    /// Schedules [`Run::set_in_rotation`].
    pub fn schedule_in_rotation(&mut self, at: f64, proxy: usize, alive: bool) {
        self.timeline.schedule(at, Step::SetProxyInRotation { proxy, alive });
    }

    /// Waits until every proxy that runs is ready and, at the first tier, has been sent revision `listed`.
    ///
    /// # Errors
    /// [`RunError::NotReady`] where that takes too long, or the run is interrupted.
    pub fn wait_until_ready(&self, listed: u64) -> Result<(), RunError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for (number, proxy) in self.proxies.iter().enumerate() {
            let Some(address) = proxy.address else { continue };
            while !self.is_ready(number, address, listed) {
                if self.options.stop.load(Ordering::SeqCst) || Instant::now() > deadline {
                    return Err(RunError::NotReady(format!("proxy {number} at {address}")));
                }
                std::thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn is_ready(&self, number: usize, address: SocketAddr, listed: u64) -> bool {
        let is_notified = self.proxies[number].tier > 0 || self.record.notified_at(number, listed).is_some();
        let answer = || call(address, "GET", "/-/ready", &Value::Null);
        is_notified && answer().is_some_and(|(status, _)| status == 200)
    }

    /// The sidecar of the backend in a slot.
    pub fn sidecar_of(&self, slot: usize) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.sidecar_of == Some(slot))
    }

    /// The current members of a group.
    pub fn targets(&self, group: &Group, seed: u64) -> Vec<Target> {
        let (count, reserve) = (self.experiment.proxies.count, self.experiment.proxies.reserve);
        let choose = |candidates| group.choose(candidates, seed).into_iter();
        match group.members {
            MemberKind::Proxies => choose(self.proxies_in(group, 0..count)).map(Target::Proxy).collect(),
            MemberKind::Reserve => {
                choose(self.proxies_in(group, count..count + reserve)).map(Target::Proxy).collect()
            }
            MemberKind::Backends => choose(self.backends_in(group)).map(Target::Backend).collect(),
            MemberKind::List if group.leader => vec![Target::Node(self.lists[0].leader())],
            MemberKind::List => choose((0..self.lists[0].size()).collect()).map(Target::Node).collect(),
            MemberKind::Machines => {
                let candidates = self.proxies_in(group, 0..count.min(self.slots.len()));
                choose(candidates).flat_map(|n| [Target::Proxy(n), Target::Backend(n)]).collect()
            }
            MemberKind::All => {
                let proxies = self.proxies_in(group, 0..count).into_iter().map(Target::Proxy);
                proxies.chain(self.backends_in(group).into_iter().map(Target::Backend)).collect()
            }
            MemberKind::Clients => vec![Target::Clients],
        }
    }

    fn proxies_in(&self, group: &Group, range: Range<usize>) -> Vec<usize> {
        let is_member = |n: &usize| self.proxies.get(*n).is_some_and(|proxy| is_in_zone(group, &proxy.zone));
        range.filter(is_member).collect()
    }

    fn backends_in(&self, group: &Group) -> Vec<usize> {
        let is_member = |slot: &BackendSlot| {
            let is_of_kind = group.kind.as_deref().is_none_or(|kind| kind == slot.kind.name);
            is_in_zone(group, &slot.zone) && is_of_kind && slot.tier == group.tier.unwrap_or(0)
        };
        (0..self.slots.len()).filter(|slot| is_member(&self.slots[*slot])).collect()
    }
}

fn is_in_zone(group: &Group, zone: &str) -> bool {
    group.zone.as_deref().is_none_or(|wanted| wanted == zone)
}

impl BackendSlot {
    fn registration_body(&self, address: SocketAddr, is_cold: bool, ttl_ms: u64) -> Value {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        json!({"instanceId": self.id, "hostPort": address.to_string(), "zone": self.zone,
               "machineType": self.kind.name, "cell": self.failure_domain, "lifecycle": "SERVING",
               "weight": self.kind.weight, "startedAtMs": if is_cold { unix } else { 0 }, "ttlMs": ttl_ms})
    }
}

//! The discovery client: keeps the engine's endpoint list up to date.
//!
//! If there is one address, that server is polled repeatedly. Several addresses are the nodes of one list service: the
//! client starts at a node drawn with its seed, so that the proxies spread over the nodes. After a failed poll and a
//! jittered backoff it moves on to the next node. All nodes share one revision: a complete list that is older than the
//! known one is rejected, so that a node that is behind does not reset the proxy to an old list. While no node answers,
//! the last list stays in use.
//!
//! A poll that is late may have been lost, so another one is sent; but discovery may also be slow, so the late one stays
//! in flight beside it ([`CallsInFlight`](crate::calls_in_flight::CallsInFlight)). Once a poll is answered, the others
//! count only if they bring a newer revision, so that an old response cannot be applied after a newer one: changes since
//! an earlier revision contain those since the known one. All polls are ended when the addresses of discovery change.

mod client;
mod nodes;
mod translation;
mod watch;

use super::endpoint_list::EndpointList;
use super::engine::Engine;
use super::list_cache::{self, ListCache};
use super::settings::ProxySettings;
use super::watch_event::WatchEvent;
use crate::balancer::discovery_schedule::response_timeout;
use crate::telemetry::metrics;
use crate::{Settings, name_hash};
use nodes::Nodes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use translation::Translation;

/// The longest time for which a poll waits for changes. A hanging watch or a truncated list must be detected early
/// enough for further polls, because a proxy must be notified within some seconds after discovery can be reached.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);

/// Called with the revision of the current list.
type OnList = Box<dyn Fn(u64)>;

/// Keeps the engine's endpoint list up to date.
pub struct Discovery {
    nodes: Nodes,
    /// The random numbers for the jitter of backoffs.
    jitter: RefCell<SmallRng>,
    /// Notified when the polls in flight must be repeated at another address.
    moved: Notify,
    /// Notified when the node that is polled is behind.
    node_is_behind: Notify,
    /// Notified when the balancer wants a poll.
    poll_due: Notify,
    /// Whether the watch waits until the balancer wants a poll.
    awaits_schedule: Cell<bool>,
    engine: Rc<Engine>,
    on_list: RefCell<Option<OnList>>,
    translation: RefCell<Translation>,
    /// The revision of the current list.
    generation: Cell<u64>,
    /// How long a poll waits for changes.
    poll_wait: Duration,
    /// How long a poll that discovery has to queue may take beyond its wait before it is late.
    queued_response_timeout: Duration,
    /// Whether the balancer decides when to poll again after a failure.
    is_scheduled: bool,
    /// Caches the list on disk, if configured.
    cache: Option<Rc<RefCell<ListCache>>>,
}

impl Discovery {
    /// Applies the known list to the engine, and starts the watch. If the balancer decides when to poll, the watch first
    /// waits for it.
    pub fn start(
        addresses: Vec<SocketAddr>,
        known: EndpointList,
        cache: Option<ListCache>,
        proxy_settings: &ProxySettings,
        settings: &Settings,
        engine: Rc<Engine>,
    ) -> Rc<Self> {
        let mut jitter = SmallRng::seed_from_u64(seed(&addresses, settings.proxy_index));
        let discovery = Rc::new(Self {
            nodes: Nodes::new(addresses, &mut jitter),
            jitter: RefCell::new(jitter),
            moved: Notify::new(),
            node_is_behind: Notify::new(),
            poll_due: Notify::new(),
            awaits_schedule: Cell::new(settings.polls_discovery),
            on_list: RefCell::default(),
            translation: RefCell::new(Translation::new(proxy_settings.zones.clone())),
            generation: Cell::new(known.generation),
            poll_wait: Duration::try_from_secs_f64(settings.poll_timeout)
                .unwrap_or(MAX_POLL_WAIT)
                .min(MAX_POLL_WAIT),
            queued_response_timeout: Duration::from_secs_f64(response_timeout(settings.proxy_count)),
            is_scheduled: settings.polls_discovery,
            cache: cache.map(|cache| Rc::new(RefCell::new(cache))),
            engine,
        });
        if let Some(cache) = discovery.cache.clone() {
            tokio::task::spawn_local(list_cache::write_changes(cache));
        }
        let weak = Rc::downgrade(&discovery);
        discovery.engine.on_poll_discovery(move || {
            if let Some(discovery) = weak.upgrade() {
                discovery.start_scheduled_poll();
            }
        });
        let listed = discovery.translation.borrow_mut().translate(known, discovery.engine.clock());
        discovery.engine.apply_watch_event(WatchEvent::Cached(listed));
        tokio::task::spawn_local(discovery.clone().run_watch());
        discovery
    }

    /// Replaces the addresses of discovery. Polls in flight are repeated at the new address, since the old one may not
    /// report any more changes; a backoff ends, as it was for the old address.
    pub fn move_to(&self, addresses: Vec<SocketAddr>) {
        if self.nodes.replace(addresses) {
            self.moved.notify_one();
        }
    }

    /// Calls `on_list` with the revision of the current list, now and after every response.
    pub fn on_list(&self, on_list: impl Fn(u64) + 'static) {
        on_list(self.generation.get());
        *self.on_list.borrow_mut() = Some(Box::new(on_list));
    }

    /// Polls the next node, because the current one is behind or its response with the changes is late.
    pub fn use_next_node(&self) {
        if self.nodes.is_cluster() {
            self.node_is_behind.notify_one();
        }
    }

    /// Sends the poll that the watch has left to the balancer's schedule; none if the watch goes on by itself.
    fn start_scheduled_poll(&self) {
        if self.awaits_schedule.replace(false) {
            self.poll_due.notify_one();
        }
    }

    /// Applies the response to a poll.
    fn apply(&self, list: EndpointList) {
        self.generation.set(list.generation);
        metrics::set_list_revision(list.generation);
        if let Some(cache) = &self.cache {
            cache.borrow_mut().update(&list);
        }
        let is_complete = list.reset;
        let clock = self.engine.clock();
        let listed = {
            let mut translation = self.translation.borrow_mut();
            let listed = translation.translate(list, clock);
            translation.last_answer_at = Some(clock.now());
            listed
        };
        let event = if is_complete { WatchEvent::Snapshot(listed) } else { WatchEvent::Changes(listed) };
        self.engine.apply_watch_event(event);
        if let Some(on_list) = self.on_list.borrow().as_ref() {
            on_list(self.generation.get());
        }
    }
}

/// Returns a seed that differs between the proxies of a tier.
fn seed(addresses: &[SocketAddr], proxy_index: usize) -> u64 {
    addresses.iter().fold(u64::from(proxy_index as u32), |seed, address| {
        seed.rotate_left(7) ^ u64::from(name_hash(&address.to_string()))
    })
}

#[cfg(test)]
mod tests;

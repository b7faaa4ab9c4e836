//! The discovery client: keeps the engine's endpoint list up to date.
//!
//! If there is one address, that server is polled repeatedly. Several addresses are the nodes of one list service: the
//! client starts at a node drawn with its seed, so that the proxies spread over the nodes. After a failed poll and a
//! jittered backoff it moves on to the next node. All nodes share one revision: a complete list that is older than the
//! known one is rejected, so that a node that is behind does not reset the proxy to an old list. While no node answers,
//! the last list stays in use.
//!
//! Only one poll is in flight at a time, so that an old response cannot arrive after a newer one: a watch starts only
//! if none is running, and a poll in flight is cancelled when the addresses of discovery change.

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
    /// Notified when a poll in flight must be repeated at another address.
    moved: Notify,
    engine: Rc<Engine>,
    on_list: RefCell<Option<OnList>>,
    translation: RefCell<Translation>,
    /// The revision of the current list.
    generation: Cell<u64>,
    is_watching: Cell<bool>,
    /// How long a poll waits for changes.
    poll_wait: Duration,
    /// How long a poll that discovery has to queue may take beyond its wait.
    queued_response_timeout: Duration,
    /// Whether the balancer decides when to poll again after a failure.
    is_scheduled: bool,
    /// Caches the list on disk, if configured.
    cache: Option<Rc<RefCell<ListCache>>>,
}

impl Discovery {
    /// Applies the known list to the engine, and starts the watch unless the balancer decides when to poll.
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
            on_list: RefCell::default(),
            translation: RefCell::new(Translation::new(proxy_settings.zones.clone())),
            generation: Cell::new(known.generation),
            is_watching: Cell::new(false),
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
                discovery.watch();
            }
        });
        let listed = discovery.translation.borrow_mut().translate(known, discovery.engine.clock());
        discovery.engine.apply_watch_event(WatchEvent::Cached(listed));
        if !settings.polls_discovery {
            discovery.watch();
        }
        discovery
    }

    /// Replaces the addresses of discovery. A poll in flight is repeated at the new address, since the old one may not
    /// report any more changes.
    pub fn move_to(self: &Rc<Self>, addresses: Vec<SocketAddr>) {
        if self.nodes.replace(addresses) {
            match self.is_watching.get() {
                true => self.moved.notify_one(),
                false => self.watch(), // the backoff was for the old address
            }
        }
    }

    /// Calls `on_list` with the revision of the current list, now and after every response.
    pub fn on_list(&self, on_list: impl Fn(u64) + 'static) {
        on_list(self.generation.get());
        *self.on_list.borrow_mut() = Some(Box::new(on_list));
    }

    /// Polls the next node from now on, because the current one is behind.
    pub fn use_next_node(&self) {
        if self.nodes.is_cluster() {
            self.nodes.advance();
            self.moved.notify_one();
        }
    }

    /// Starts a watch, unless one is running.
    pub fn watch(self: &Rc<Self>) {
        if !self.is_watching.replace(true) {
            let this = self.clone();
            tokio::task::spawn_local(async move { this.run_watch().await });
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

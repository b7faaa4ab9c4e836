//! Hollow proxies: they run the engine, discovery, settings follower and session of a real proxy, but have no listener
//! and so no traffic.

use super::ScaleError;
use super::experiment;
use super::ledger::DeliveryLog;
use crate::rt::Loop;
use linkhatch_proxy::agreement::document::Document;
use linkhatch_proxy::agreement::follower::Follower;
use linkhatch_proxy::agreement::session_state::Attachment;
use linkhatch_proxy::proxy::config::Config;
use linkhatch_proxy::proxy::discovery::Discovery;
use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::fleet_settings;
use linkhatch_proxy::proxy::server::Server;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Prefix of the names of their threads.
pub const THREAD_NAME_PREFIX: &str = "hollow-p";
/// Interval at which the settings versions in force are polled, while polling is enabled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connection limits of a real proxy with the descriptor limit of the sample configuration.
const CLIENT_CONNECTIONS: usize = 500;
const BACKEND_CONNECTIONS: usize = 400;

/// State of the hollow proxies, as observed by the testbed.
pub struct ObservedState {
    /// The list revision in force at each proxy.
    pub lists: DeliveryLog,
    /// The settings version in force at each proxy, plus one; 0 for a proxy that has not been attached yet.
    pub settings: DeliveryLog,
    /// Whether `settings` is kept up to date, which uses some processor time.
    pub polling_enabled: AtomicBool,
}

/// The number that [`ObservedState::settings`] records for an attached proxy with settings `version` in force.
pub fn attached_revision(version: u64) -> u64 {
    version + 1
}

/// All hollow proxies. They end with the process.
pub struct Proxies {
    /// Their observed state.
    pub observed: Arc<ObservedState>,
    threads: Vec<Loop>,
    nodes: Vec<SocketAddr>,
    meter: Vec<SocketAddr>,
    metered: usize,
    count: usize,
}

/// The proxy's number and its follower.
type NumberedFollower = (usize, Rc<Follower>);

thread_local! {
    /// The followers of this thread's proxies.
    static FOLLOWERS: RefCell<Vec<NumberedFollower>> = const { RefCell::new(Vec::new()) };
}

impl Proxies {
    /// Starts the threads for `count` hollow proxies, but none of the proxies; the first ones will reach the nodes
    /// through `meter`.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn new(
        count: usize,
        settings: &experiment::Proxies,
        nodes: &[SocketAddr],
        meter: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let threads = (0..settings.threads)
            .map(|n| Loop::start(&format!("{THREAD_NAME_PREFIX}{n}")))
            .collect::<Result<Vec<_>, _>>()?;
        let observed = Arc::new(ObservedState {
            lists: DeliveryLog::new(count),
            settings: DeliveryLog::new(count),
            polling_enabled: AtomicBool::new(true),
        });
        for thread in &threads {
            let observed = observed.clone();
            thread.spawn(move || poll_settings(observed));
        }
        let metered = settings.metered;
        Ok(Self { observed, threads, nodes: nodes.to_vec(), meter: meter.to_vec(), metered, count })
    }

    /// Starts proxy `number` with the configuration file named by the environment.
    ///
    /// # Errors
    /// `Config`.
    pub fn start_one(&self, number: usize) -> Result<(), ScaleError> {
        let mut config = Config::from_env()?;
        config.settings.proxy_index = number;
        config.settings.proxy_count = self.count;
        config.seed ^= (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        config.discovery = if number < self.metered { self.meter.clone() } else { self.nodes.clone() };
        let observed = self.observed.clone();
        self.threads[number % self.threads.len()].spawn(move || run_proxy(number, config, observed));
        Ok(())
    }

    /// The settings in the proxies' own configuration, as a document that can be published.
    ///
    /// # Errors
    /// `Config`; `Value` if it has no `agreement`.
    pub fn own_document() -> Result<Document, ScaleError> {
        let agreement = Config::from_env()?.agreement;
        let agreement = agreement
            .ok_or_else(|| ScaleError::Value("the proxies' configuration has no `agreement`".into()))?;
        Ok(agreement.document)
    }
}

/// Runs one hollow proxy: the components that the program's `main` assembles, except for the listener.
async fn run_proxy(number: usize, config: Config, observed: Arc<ObservedState>) {
    let Config { settings, proxy_settings, seed, discovery: nodes, known, agreement, .. } = config;
    let engine = Engine::start(settings.clone(), &proxy_settings, seed, BACKEND_CONNECTIONS);
    let discovery = Discovery::start(nodes.clone(), known, None, &proxy_settings, &settings, engine.clone());
    let follower = agreement.map(|mut agreement| {
        agreement.name = format!("hollow-{number}");
        let server = Server::new(engine.clone(), settings, proxy_settings.clone(), CLIENT_CONNECTIONS);
        fleet_settings::start(
            agreement,
            nodes,
            seed,
            proxy_settings,
            (engine.clone(), server, discovery.clone()),
        )
    });
    if let Some(follower) = &follower {
        FOLLOWERS.with_borrow_mut(|followers| followers.push((number, follower.clone())));
    }
    discovery.on_list(move |revision| {
        // This replaces the callback that `fleet_settings::start` registered, so it has to notify the follower too.
        if let Some(follower) = &follower {
            follower.list_applied(revision);
        }
        observed.lists.record(number, revision);
    });
    // Discovery and engine run until the process ends.
    std::future::pending::<()>().await;
}

/// Polls the settings versions in force at this thread's proxies.
async fn poll_settings(observed: Arc<ObservedState>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !observed.polling_enabled.load(Ordering::Relaxed) {
            continue;
        }
        FOLLOWERS.with_borrow(|followers| {
            for (number, follower) in followers {
                if let Attachment::Attached { version, .. } = follower.attachment() {
                    observed.settings.record(*number, attached_revision(version));
                }
            }
        });
    }
}

//! Assembles and starts the proxy, moves it to other discovery addresses on SIGHUP, and stops it on SIGTERM.

use super::{failure, report, run_on_this_thread, start_structured_log};
use linkhatch_proxy::agreement::follower::Follower;
use linkhatch_proxy::os::descriptors;
use linkhatch_proxy::os::signals::{SIGHUP, SIGTERM, Signals};
use linkhatch_proxy::proxy::config::Config;
use linkhatch_proxy::proxy::discovery::Discovery;
use linkhatch_proxy::proxy::engine::Engine;
use linkhatch_proxy::proxy::fleet_settings;
use linkhatch_proxy::proxy::list_cache::ListCache;
use linkhatch_proxy::proxy::memory;
use linkhatch_proxy::proxy::server::{self, Server};
use linkhatch_proxy::telemetry::{self, metrics};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Descriptors reserved for uses other than client and backend connections, and for a client's connection that is
/// accepted only in order to evict another one.
const RESERVED_DESCRIPTORS: usize = 48;
/// The limit of open descriptors that is assumed if the system states none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The number of connections that a process may open whatever its limit of memory.
const MIN_CONNECTIONS: usize = 128;
/// The initial wait before a configuration file that could not be read is read again.
const MIN_RELOAD_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum wait before a configuration file that could not be read is read again.
const MAX_RELOAD_BACKOFF: Duration = Duration::from_millis(500);

/// Runs the proxy, with its configuration from the environment, until it is stopped.
pub fn run() -> ExitCode {
    if std::env::var_os(CONFIG_VARIABLE).is_none() {
        report(&format_args!("{CONFIG_VARIABLE} is not set; using the embedded sample (deploy/sample.json)"));
    }
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => return failure(&error),
    };
    // A proxy that follows the agreement writes the structured log of the fleet's services instead.
    if config.agreement.is_none()
        && let Err(error) = telemetry::start_log()
    {
        return failure(&error);
    }
    run_on_this_thread(serve(config))
}

/// The number of descriptors that may be open: as configured, but above the default at most the system's limit.
fn allowed_descriptors(configured: usize) -> usize {
    if configured <= DEFAULT_DESCRIPTORS {
        return configured;
    }
    configured.min(descriptors::max_open_files().unwrap_or(DEFAULT_DESCRIPTORS))
}

/// The maximum numbers of connections from clients and to backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionLimits {
    clients: usize,
    backends: usize,
}

impl ConnectionLimits {
    /// The limits of a process that may open `descriptors` and use `memory_mb`.
    fn new(descriptors: usize, memory_mb: usize) -> Self {
        let affordable = memory::max_connections(memory_mb).max(MIN_CONNECTIONS) + RESERVED_DESCRIPTORS;
        Self::from_descriptors(descriptors.min(affordable))
    }

    /// Divides `descriptors`. Clients get the larger part: their requests use up to a third of all descriptors, and
    /// clients without requests connect too. A few connections beyond their limit are accepted in order to reject them.
    fn from_descriptors(descriptors: usize) -> Self {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let backends = available * 2 / 5;
        let clients =
            (available - backends) * server::PLACES_PER_OVERFLOW / (server::PLACES_PER_OVERFLOW + 1);
        Self { clients, backends }
    }

    /// The maximum number of open connections, with the clients' that are accepted beyond their limit.
    fn max_open(self) -> usize {
        self.clients + self.clients / server::PLACES_PER_OVERFLOW + self.backends
    }
}

/// Serves until SIGTERM.
async fn serve(mut config: Config) -> std::io::Result<()> {
    let agreement = config.agreement.take();
    if agreement.is_some() {
        start_structured_log();
    }
    let metrics_listener = match std::env::var(telemetry::METRICS_VARIABLE) {
        Ok(address) => Some(TcpListener::bind(&address).await?),
        Err(_) => None,
    };
    let mut stop = Signals::listen(SIGTERM)?;
    let reload = Signals::listen(SIGHUP)?;
    let listener = server::bind(config.listen)?;
    report(&format_args!("listening on {}", listener.local_addr()?));
    let limits = ConnectionLimits::new(allowed_descriptors(config.sockets), config.memory_mb);
    let max_peer_bytes = memory::max_peer_bytes(config.memory_mb, limits.max_open());
    config.proxy_settings.max_peer_bytes = Some(max_peer_bytes);
    let engine = Engine::start(config.settings.clone(), &config.proxy_settings, config.seed, limits.backends);
    let (cache, known) = match config.list_cache {
        None => (None, config.known),
        Some(path) => {
            let (cache, known) = ListCache::open(&path, config.known);
            (Some(cache), known)
        }
    };
    let nodes = config.discovery.clone();
    let discovery = Discovery::start(
        config.discovery,
        known,
        cache,
        &config.proxy_settings,
        &config.settings,
        engine.clone(),
    );
    let server = Server::new(engine.clone(), config.settings, config.proxy_settings.clone(), limits.clients);
    let follower = agreement.map(|agreement| {
        let parts = (engine, server.clone(), discovery.clone());
        fleet_settings::start(agreement, nodes, config.seed, config.proxy_settings, parts)
    });
    if let Some(listener) = metrics_listener {
        let measured_server = server.clone();
        tokio::task::spawn_local(metrics::serve(listener, move || measured_server.gauges()));
    }
    tokio::task::spawn_local(move_discovery_on_sighup(reload, discovery, follower.clone()));
    let stopped = async move {
        stop.recv().await;
        if let Some(follower) = follower {
            // Requests in flight are served without a session, and the slot becomes free for another proxy.
            tokio::task::spawn_local(async move { follower.close().await });
        }
    };
    server.run(listener, stopped).await;
    Ok(())
}

/// On each SIGHUP, moves discovery and the follower to the addresses in the configuration file.
async fn move_discovery_on_sighup(
    mut reload: Signals,
    discovery: Rc<Discovery>,
    follower: Option<Rc<Follower>>,
) {
    loop {
        reload.recv().await;
        let addresses = reread_discovery_addresses(&mut reload).await;
        let names: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let names = names.join(",");
        tracing::info!(addresses = names, "discovery has moved");
        report(&format_args!("discovery is at {names}"));
        if let Some(follower) = &follower {
            follower.move_to(addresses.clone());
        }
        discovery.move_to(addresses);
    }
}

/// Reads the discovery addresses in the configuration file. A file that can't be read, for example while it is being
/// replaced, is read again, as the current addresses will stop answering.
async fn reread_discovery_addresses(reload: &mut Signals) -> Vec<SocketAddr> {
    let mut backoff = MIN_RELOAD_BACKOFF;
    loop {
        match Config::reload_discovery() {
            Ok(addresses) => return addresses,
            Err(error) => report(&format_args!("not reloaded yet: {error}")),
        }
        tokio::select! {
            () = tokio::time::sleep(backoff) => backoff = (2 * backoff).min(MAX_RELOAD_BACKOFF),
            () = reload.recv() => backoff = MIN_RELOAD_BACKOFF,
        }
    }
}

#[cfg(test)]
mod tests;

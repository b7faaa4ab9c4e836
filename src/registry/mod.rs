//! The list service: discovery of the project's own (`PROTOCOL`, "Discovery"), with a write API for
//! backends and operators. `store` is its pure state machine, `node` owns it with its clock and watches,
//! `disk` keeps it in a data directory, `api` serves HTTP. Replication through a Raft log is still to come
//! (`docs/ROADMAP.md`): until then a node is a single one.

pub mod api;
pub mod disk;
pub mod node;
pub mod store;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// A list-service node's configuration file (TOML). Unknown keys are an error, so a typo is told at start.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryConfig {
    /// Where proxies, backends and operators connect, e.g. `"127.0.0.1:7070"`; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// How often lapsed entries are taken off, in milliseconds (default 100): an entry leaves at most this
    /// long after its TTL.
    #[serde(default = "default_expire_ms")]
    pub expire_every_ms: u64,
    /// Most watches waiting at once (default 4,096); more are refused with 503 and `Retry-After`.
    #[serde(default = "default_most_watchers")]
    pub most_watchers: usize,
    /// Where the list is kept on disk (`disk` says how); without it, in memory only.
    #[serde(default)]
    pub data_dir: Option<std::path::PathBuf>,
}

fn default_expire_ms() -> u64 {
    100
}

fn default_most_watchers() -> usize {
    4096
}

/// Why the configuration of a fleet service (a list-service node, a lease holder) can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// The TOML is malformed, lacks a value or has an unknown key.
    #[error("{path}: {error}")]
    Toml {
        /// The file.
        path: String,
        /// What is wrong, and where.
        error: toml::de::Error,
    },
    /// A value out of its range.
    #[error("{0}")]
    Value(&'static str),
}

/// Reads a TOML file of the fleet's services into `T`; its values are for the caller to check.
///
/// # Errors
/// `Read` where the file can't be read, `Toml` where it is malformed or has an unknown key.
pub fn read_toml<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::Read { path: path.into(), error })?;
    toml::from_str(&text).map_err(|error| ConfigError::Toml { path: path.into(), error })
}

impl RegistryConfig {
    /// Reads and checks a configuration file.
    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let config: Self = read_toml(path)?;
        if !(10..=10_000).contains(&config.expire_every_ms) {
            return Err(ConfigError::Value("expire_every_ms: from 10 to 10,000"));
        }
        if config.most_watchers == 0 {
            return Err(ConfigError::Value("most_watchers: at least 1"));
        }
        Ok(config)
    }
}

/// Serves one node until the process ends. Says `dewpier: registry listening on ADDR` on standard error
/// once it listens. Runs on the current thread's runtime and `LocalSet`.
pub async fn serve(config: RegistryConfig) -> std::io::Result<()> {
    let node = match &config.data_dir {
        None => node::Node::new(),
        Some(dir) => {
            let (node, recovered) = node::Node::open(dir).map_err(std::io::Error::other)?;
            let dir = dir.display();
            tracing::info!(%dir, records = recovered.records, torn_bytes = recovered.torn_bytes,
                revision = node.revision(), "list rebuilt from disk");
            node
        }
    };
    let node = Rc::new(node);
    // Bound only once the list is rebuilt, so that nobody is answered from a store that fails to load.
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    eprintln!("dewpier: registry listening on {}", listener.local_addr()?);
    let expiring = node.clone();
    let every = Duration::from_millis(config.expire_every_ms);
    tokio::task::spawn_local(async move { expiring.expire_every(every).await });
    let api = Rc::new(api::Api::new(node, config.most_watchers));
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of descriptors, most often: wait a little rather than spin.
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let api = api.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let api = api.clone();
                async move { Ok::<_, std::convert::Infallible>(api.handle(request).await) }
            });
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}

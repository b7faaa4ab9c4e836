//! The configuration file of a list-service node.

use crate::config_file::{ConfigError, read_toml};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A node's configuration file (TOML). Unknown keys are an error, so a typo is found at the start.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryConfig {
    /// The address to which proxies, backends and operators connect, e.g. `"127.0.0.1:7070"`; port 0 lets the system
    /// choose.
    pub listen: SocketAddr,
    /// The interval at which expired entries are removed, in milliseconds (default 100): an entry is removed at most
    /// this long after its TTL.
    #[serde(rename = "expire_every_ms", default = "default_expiry_interval_ms")]
    pub expiry_interval_ms: u64,
    /// Maximum number of watches waiting at once (default 4,096); more are rejected with 503 and `Retry-After`.
    #[serde(rename = "most_watchers", default = "default_max_watchers")]
    pub max_watchers: usize,
    /// The directory of the log on disk (`raft::log`). Without it the log is kept in memory; only for a single node.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// This node's number in its cluster, from 1 (default 1).
    #[serde(default = "default_node")]
    pub node: u64,
    /// The other nodes (none, 2 or 4), with the addresses at which this node reaches them.
    #[serde(default)]
    pub peers: Vec<PeerConfig>,
    /// Whether this node joins a cluster that has forgotten it (`/v1/cluster/forget`) instead of founding one.
    #[serde(default)]
    pub join: bool,
    /// The leader's heartbeat interval, in milliseconds (default 100).
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// The range of the election timeout, in milliseconds (default 500 to 1,000): at least three heartbeats, and above
    /// the longest stall of a leader that should not cause an election.
    #[serde(default = "default_election_ms")]
    pub election_ms: [u64; 2],
    /// How long a write may take before it is answered 503, in milliseconds (default 1,500).
    #[serde(rename = "write_within_ms", default = "default_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// Faults for tests.
    #[serde(default)]
    pub fault: Option<FaultConfig>,
}

/// Another node of the cluster.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// The node's number.
    pub node: u64,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// A fault that a node injects into itself, for tests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultConfig {
    /// When the monotonic clock jumps, in milliseconds after the start.
    pub clock_jump_after_ms: u64,
    /// How far it jumps, in seconds; it jumps back if negative.
    pub clock_jump_s: f64,
}

fn default_node() -> u64 {
    1
}

fn default_heartbeat_ms() -> u64 {
    100
}

fn default_election_ms() -> [u64; 2] {
    [500, 1_000]
}

fn default_write_timeout_ms() -> u64 {
    1_500
}

fn default_expiry_interval_ms() -> u64 {
    100
}

fn default_max_watchers() -> usize {
    4_096
}

impl RegistryConfig {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// As [`read_toml`]; `Value` where a value is out of its range.
    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let config: Self = read_toml(path)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let interval_range_ms = 10..=10_000;
        require(interval_range_ms.contains(&self.expiry_interval_ms), "expire_every_ms: from 10 to 10,000")?;
        require(self.max_watchers > 0, "most_watchers: at least 1")?;
        self.check_nodes()?;
        require(interval_range_ms.contains(&self.heartbeat_ms), "heartbeat_ms: from 10 to 10,000")?;
        let [min, max] = self.election_ms;
        let valid_election = min >= 3 * self.heartbeat_ms && max > min && max <= 60_000;
        require(
            self.peers.is_empty() || valid_election,
            "election_ms: a minimum of at least 3 heartbeats and a larger maximum up to 60,000",
        )?;
        require((50..=60_000).contains(&self.write_timeout_ms), "write_within_ms: from 50 to 60,000")?;
        let clock_jump_s = self.fault.as_ref().map_or(0.0, |fault| fault.clock_jump_s);
        require(clock_jump_s.abs() <= 1e9, "fault.clock_jump_s: at most 1e9")
    }

    fn check_nodes(&self) -> Result<(), ConfigError> {
        let numbers: BTreeSet<u64> = self.peers.iter().map(|peer| peer.node).chain([self.node]).collect();
        require(matches!(self.peers.len(), 0 | 2 | 4), "peers: none, 2 or 4 other nodes")?;
        require(numbers.len() == self.peers.len() + 1, "node, peers: each node needs a different number")?;
        require(!numbers.contains(&0), "node, peers: numbers start at 1")?;
        require(self.peers.is_empty() || self.data_dir.is_some(), "data_dir: required with peers")
    }
}

fn require(valid: bool, rule: &'static str) -> Result<(), ConfigError> {
    if valid { Ok(()) } else { Err(ConfigError::Value(rule)) }
}

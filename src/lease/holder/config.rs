//! A holder's configuration file.

use crate::config_file::{ConfigError, read_toml};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of list-service addresses, the same as for the proxy's discovery.
const MAX_ADDRESSES: usize = 7;

/// A holder's configuration file (TOML); unknown keys are an error.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderConfig {
    /// The list service's addresses (1 to 7), tried in turn when one fails.
    pub registry: Vec<SocketAddr>,
    /// The duty's name, e.g. `"warm:b-3"`.
    pub name: String,
    /// This process's name as the list service records it; unique in the fleet.
    pub holder: String,
    /// The lease's TTL in milliseconds, from 500 to 300,000, which is the list service's range.
    pub ttl_ms: u64,
    /// How often the lease is renewed, in milliseconds (default a third of the TTL, so that two renewals may be lost in
    /// a row before it expires).
    #[serde(default)]
    pub renew_every_ms: Option<u64>,
    /// The wait before the next acquire if another process holds the duty, in milliseconds (default 100), with equal
    /// jitter.
    #[serde(default = "default_retry_ms")]
    pub retry_ms: u64,
    /// The rate of this holder's clock against real time (default 1.0; 1.02 is 2% fast), for fault tests. The holder's
    /// bound allows for rates down to `1 - MAX_CLOCK_DRIFT`.
    #[serde(default = "default_clock_rate")]
    pub clock_rate: f64,
    /// The duty.
    pub duty: WarmDuty,
}

/// Warming a backend: `GET path` to `target` each `every_ms`, with headers `Fencing-Token` and `X-Holder`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmDuty {
    /// The backend to warm.
    pub target: SocketAddr,
    /// The path of the requests (default `/warm`).
    #[serde(default = "default_path")]
    pub path: String,
    /// Milliseconds between acts (default 50), from 1 to 60,000.
    #[serde(default = "default_every_ms")]
    pub every_ms: u64,
}

fn default_retry_ms() -> u64 {
    100
}

fn default_clock_rate() -> f64 {
    1.0
}

fn default_path() -> String {
    "/warm".into()
}

fn default_every_ms() -> u64 {
    50
}

fn check(is_valid: bool, error: &'static str) -> Result<(), ConfigError> {
    if is_valid { Ok(()) } else { Err(ConfigError::Value(error)) }
}

impl HolderConfig {
    /// Reads and checks a holder's configuration file.
    ///
    /// # Errors
    /// A [`ConfigError`] that names the file, or the value that is out of range.
    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let config: Self = read_toml(path)?;
        check((1..=MAX_ADDRESSES).contains(&config.registry.len()), "registry: from 1 to 7 addresses")?;
        check(!config.name.is_empty() && !config.holder.is_empty(), "name and holder: not empty")?;
        check((500..=300_000).contains(&config.ttl_ms), "ttl_ms: from 500 to 300,000")?;
        let renewal = config.renewal_interval();
        let is_in_time = renewal >= Duration::from_millis(10) && renewal < config.ttl() / 2;
        check(is_in_time, "renew_every_ms: 10 to ttl/2")?;
        check((1..=60_000).contains(&config.retry_ms), "retry_ms: from 1 to 60,000")?;
        check((0.5..=2.0).contains(&config.clock_rate), "clock_rate: from 0.5 to 2.0")?;
        check((1..=60_000).contains(&config.duty.every_ms), "duty.every_ms: from 1 to 60,000")?;
        check(config.duty.path.starts_with('/'), "duty.path: begins with /")?;
        Ok(config)
    }

    /// The lease's TTL.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// How often the lease is renewed.
    pub fn renewal_interval(&self) -> Duration {
        self.renew_every_ms.map_or(self.ttl() / 3, Duration::from_millis)
    }
}

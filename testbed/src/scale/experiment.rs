//! Experiment files of `fleet-testbed scale` (TOML). Unknown keys are rejected with an error that names the line.

use super::ScaleError;
use serde::Deserialize;
use std::time::Duration;

/// Maximum number of hollow proxies, and of hollow backends, of one size: what 20,000 descriptors allow.
pub const MAX_SIZE: usize = 4_000;
const MAX_PHASE_SECONDS: f64 = 3_600.0;

/// A whole experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleExperiment {
    /// Its name, shown in reports.
    pub name: String,
    /// Its purpose.
    #[serde(default)]
    pub about: String,
    /// The sizes to run, one after the other: each is the number of hollow proxies and also of hollow backends.
    pub sizes: Vec<usize>,
    /// Sizes for which each figure is predicted from its line.
    #[serde(default)]
    pub predict: Vec<usize>,
    /// The list service.
    #[serde(default)]
    pub list: List,
    /// Hollow backends.
    #[serde(default)]
    pub backends: Backends,
    /// Hollow proxies, and the real ones that run beside them.
    #[serde(default)]
    pub proxies: Proxies,
    /// The phases of a run.
    #[serde(default)]
    pub phases: Phases,
}

/// The list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Number of nodes: 3 or 5.
    pub nodes: usize,
    /// Interval of the leader's heartbeats to the other nodes, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum and maximum time without a leader after which a node starts an election, in milliseconds.
    pub election_ms: [u64; 2],
}

/// Hollow backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backends {
    /// TTL of an entry: how long it stays listed without a heartbeat, in milliseconds.
    pub ttl_ms: u64,
    /// Interval between a backend's heartbeats, in milliseconds.
    pub heartbeat_every_ms: u64,
    /// Timeout of a call to the list service, in milliseconds.
    pub timeout_ms: u64,
    /// Number of threads that they share.
    pub threads: usize,
    /// Registrations per second at the start.
    pub register_per_s: f64,
}

/// Hollow proxies, and the real ones that run beside them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Proxies {
    /// Whether they follow the settings and keep a session, in addition to watching the list.
    pub sessions: bool,
    /// The session's TTL, in milliseconds.
    pub session_ttl_ms: u64,
    /// Number of threads that they share.
    pub threads: usize,
    /// Hollow proxies started per second.
    pub start_per_s: f64,
    /// How many hollow proxies, and how many backends, connect through a relay that counts bytes.
    pub metered: usize,
    /// Number of real proxies, which have no traffic.
    pub real: usize,
    /// No more hollow proxies are started once the testbed process uses more memory than this, in MB.
    pub memory_limit_mb: u64,
}

/// The phases of a run, in this order.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Phases {
    /// Maximum wait until all backends are registered, and again until all proxies have the list and a session, in
    /// seconds.
    pub settle_s: f64,
    /// Duration of the phase without changes, in seconds.
    pub rest_s: f64,
    /// Number of changes of a backend's weight, made one after the other.
    pub list_changes: usize,
    /// Number of changes of the settings, made one after the other.
    pub settings_changes: usize,
    /// Minimum time from one change to the next, in milliseconds.
    pub change_every_ms: u64,
    /// Maximum wait until a change has reached all proxies, in seconds.
    pub deliver_within_s: f64,
}

impl Default for List {
    fn default() -> Self {
        // The program's own defaults.
        Self { nodes: 3, heartbeat_ms: 100, election_ms: [500, 1_000] }
    }
}

impl Default for Backends {
    fn default() -> Self {
        Self {
            ttl_ms: 3_000,
            heartbeat_every_ms: 1_000,
            timeout_ms: 2_000,
            threads: 1,
            register_per_s: 200.0,
        }
    }
}

impl Default for Proxies {
    fn default() -> Self {
        Self {
            sessions: true,
            session_ttl_ms: 3_000,
            threads: 2,
            start_per_s: 100.0,
            metered: 10,
            real: 2,
            memory_limit_mb: 9_000,
        }
    }
}

impl Default for Phases {
    fn default() -> Self {
        Self {
            settle_s: 60.0,
            rest_s: 30.0,
            list_changes: 20,
            settings_changes: 5,
            change_every_ms: 500,
            deliver_within_s: 10.0,
        }
    }
}

impl ScaleExperiment {
    /// Reads and checks an experiment file, with these keys overridden.
    ///
    /// # Errors
    /// `Read`, `Toml` or `Value`.
    pub fn read(path: &str, overrides: &[(String, toml::Value)]) -> Result<Self, ScaleError> {
        let text = std::fs::read_to_string(path).map_err(|error| ScaleError::Read(path.into(), error))?;
        let mut table: toml::Table =
            toml::from_str(&text).map_err(|error| ScaleError::Toml(path.into(), error))?;
        for (key, value) in overrides {
            set_value(&mut table, key, value.clone())?;
        }
        // Without overrides the text is parsed directly, so that the error for an unknown key names its line.
        let parsed =
            if overrides.is_empty() { toml::from_str(&text) } else { toml::Value::Table(table).try_into() };
        let experiment: Self = parsed.map_err(|error| ScaleError::Toml(path.into(), error))?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), ScaleError> {
        let require =
            |ok: bool, message: &str| if ok { Ok(()) } else { Err(ScaleError::Value(message.into())) };
        let is_valid_duration =
            |seconds: f64| seconds.is_finite() && (0.0..=MAX_PHASE_SECONDS).contains(&seconds);
        let is_valid_rate =
            |per_second: f64| per_second.is_finite() && (1.0..=100_000.0).contains(&per_second);
        let Self { sizes, list, backends, proxies, phases, .. } = self;
        require(
            !sizes.is_empty() && sizes.iter().all(|n| (1..=MAX_SIZE).contains(n)),
            "sizes: each from 1 to 4,000",
        )?;
        require([3, 5].contains(&list.nodes), "list.nodes: 3 or 5")?;
        require(backends.heartbeat_every_ms >= 10, "backends.heartbeat_every_ms: at least 10")?;
        require((1..=16).contains(&backends.threads), "backends.threads: from 1 to 16")?;
        require(is_valid_rate(backends.register_per_s), "backends.register_per_s: from 1 to 100,000")?;
        require((1..=16).contains(&proxies.threads), "proxies.threads: from 1 to 16")?;
        require(is_valid_rate(proxies.start_per_s), "proxies.start_per_s: from 1 to 100,000")?;
        require(proxies.metered <= 100, "proxies.metered: up to 100")?;
        require(proxies.real <= 20, "proxies.real: up to 20")?;
        let durations = [phases.settle_s, phases.rest_s, phases.deliver_within_s];
        require(durations.into_iter().all(is_valid_duration), "phases: each up to 3,600 s")
    }
}

/// Sets the value of a key such as `phases.rest_s`.
fn set_value(table: &mut toml::Table, key: &str, value: toml::Value) -> Result<(), ScaleError> {
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    let mut table = table;
    for name in path.into_iter().flat_map(|path| path.split('.')) {
        let inner = table.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table =
            inner.as_table_mut().ok_or_else(|| ScaleError::Value(format!("{key}: {name} is not a table")))?;
    }
    table.insert(last.into(), value);
    Ok(())
}

/// Converts milliseconds to a duration.
pub fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

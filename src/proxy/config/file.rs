//! The configuration file: its keys, and how they map to the settings of the balancer and the proxy.
//!
//! The keys are those of the protocol, which has its own names for some common terms. Within `proxy`, the keys of the
//! settings occur only in this module: in `serde` attributes, and in errors, which name the key of an invalid value.

use super::ConfigError;
use super::checks::{at_least_one, duration, invalid, non_negative};
use crate::agreement::document::FallbackSettings;
use crate::agreement::state::TTL_RANGE_MS;
use crate::proxy::endpoint_list::EndpointList;
use crate::proxy::settings::{ProxySettings, zone_index};
use crate::{Class, DeduplicationScope, Idempotency, Settings};
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The default TTL of a session.
const DEFAULT_TTL_MS: u64 = 3_000;
/// The default clock rate, relative to real time.
const DEFAULT_CLOCK_RATE: f64 = 1.0;
/// The permitted clock rates; fault tests use rates other than 1.
const CLOCK_RATE_RANGE: RangeInclusive<f64> = 0.5..=2.0;

/// The memory limit that is assumed if the file states none.
const DEFAULT_MEMORY_MB: usize = 192;

/// The whole configuration file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    #[serde(default)]
    pub(super) name: Option<String>,
    #[serde(default)]
    pub(super) agreement: Option<AgreementFile>,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    /// Hexadecimal digits.
    pub(super) seed: String,
    pub(super) limits: ProcessLimits,
    #[serde(default)]
    pub(super) known: EndpointList,
    #[serde(default)]
    pub(super) list_cache: Option<PathBuf>,
    pub(super) settings: SettingsFile,
}

/// The part of the file that is reloaded when discovery has moved.
#[derive(Deserialize)]
pub(super) struct DiscoveryFile {
    pub(super) discovery: String,
}

/// The part of the file that becomes the proxy's own document of settings.
#[derive(Deserialize)]
pub(super) struct DocumentFile {
    pub(super) settings: serde_json::Value,
}

#[derive(Deserialize)]
pub(super) struct ProcessLimits {
    #[serde(default = "default_memory_mb")]
    pub(super) memory_mb: usize,
    pub(super) sockets: usize,
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

/// The key `agreement`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct AgreementFile {
    #[serde(default = "default_ttl_ms")]
    pub(super) ttl_ms: u64,
    #[serde(default = "default_clock_rate")]
    pub(super) clock_rate: f64,
    #[serde(default, rename = "floor")]
    pub(super) fallback: Option<FallbackSettings>,
}

fn default_ttl_ms() -> u64 {
    DEFAULT_TTL_MS
}

fn default_clock_rate() -> f64 {
    DEFAULT_CLOCK_RATE
}

impl AgreementFile {
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        if !TTL_RANGE_MS.contains(&self.ttl_ms) {
            return Err(invalid("agreement.ttl-ms", "from 500 to 60000", self.ttl_ms));
        }
        if !CLOCK_RATE_RANGE.contains(&self.clock_rate) {
            return Err(invalid("agreement.clock-rate", "from 0.5 to 2", self.clock_rate));
        }
        Ok(())
    }
}

/// The key `settings`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SettingsFile {
    #[serde(rename = "caps")]
    limits: RequestLimits,
    classes: Vec<ClassFile>,
    #[serde(default)]
    costs: Costs,
    #[serde(rename = "me")]
    proxy_index: usize,
    #[serde(rename = "n-instances")]
    proxy_count: usize,
    #[serde(rename = "over-share-worth")]
    over_quota_weight: Option<f64>,
    #[serde(default, rename = "projects")]
    tenants: Vec<TenantFile>,
    #[serde(rename = "quantum")]
    min_time_step: f64,
    #[serde(rename = "registry-mode")]
    discovery_mode: DiscoveryMode,
    rules: Rules,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

/// Limits and permissions for requests, attempts and connections.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RequestLimits {
    #[serde(rename = "cancel")]
    can_cancel: bool,
    connect_timeout: f64,
    idle_close: f64,
    max_attempts: usize,
    #[serde(rename = "max-open")]
    max_in_flight: Option<usize>,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default, rename = "retry-after")]
    sends_retry_after: bool,
    #[serde(rename = "second-copies")]
    hedged_requests: bool,
}

#[derive(Deserialize)]
struct ClassFile {
    name: String,
    #[serde(rename = "on-time")]
    latency_objective: f64,
    #[serde(rename = "hard-limit")]
    deadline: f64,
    #[serde(rename = "late-worth")]
    late_weight: Option<f64>,
    #[serde(rename = "worth")]
    priority_weight: Option<f64>,
    #[serde(rename = "effect")]
    idempotency: IdempotencyFile,
    #[serde(rename = "group")]
    deduplication_scope: Option<ScopeFile>,
    #[serde(rename = "window")]
    key_window: Option<f64>,
    #[serde(default, rename = "fifo-by-key")]
    is_ordered: bool,
}

#[derive(Deserialize)]
enum IdempotencyFile {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "guarded")]
    IdempotencyKey,
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

#[derive(Deserialize, Clone, Copy)]
enum ScopeFile {
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    FailureDomain,
}

impl From<ScopeFile> for DeduplicationScope {
    fn from(scope: ScopeFile) -> Self {
        match scope {
            ScopeFile::All => Self::All,
            ScopeFile::Zone => Self::Zone,
            ScopeFile::FailureDomain => Self::FailureDomain,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Costs {
    connection: f64,
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize)]
struct TenantFile {
    name: String,
    #[serde(rename = "quota-per-s")]
    quota_per_s: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum DiscoveryMode {
    /// Endpoint lists are pushed.
    Automatic,
    /// The proxy has to poll for them.
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(rename = "ask-within")]
    poll_timeout: f64,
    #[serde(rename = "cold")]
    slow_start_duration: f64,
    #[serde(rename = "cold-share")]
    slow_start_min_capacity: f64,
    drain_grace: f64,
    #[serde(rename = "fall-multiple")]
    overload_factor: f64,
    #[serde(rename = "tip-after")]
    overload_duration: f64,
    #[serde(rename = "settle-after-doubt")]
    ordering_quiet_period: Option<f64>,
    #[serde(rename = "release-within")]
    idle_release_timeout: Option<f64>,
}

impl SettingsFile {
    /// The settings of the balancer and of the proxy's sockets.
    ///
    /// # Errors
    /// The error names the first key with an invalid value.
    pub(super) fn into_settings(self) -> Result<(Settings, ProxySettings), ConfigError> {
        self.check()?;
        let Self { limits, costs, rules, mut zones, .. } = self;
        let zone = zone_index(&mut zones, &self.zone);
        let proxy_settings = ProxySettings {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zones,
            connect_timeout: duration("caps.connect-timeout", limits.connect_timeout)?,
            idle_close: duration("caps.idle-close", limits.idle_close)?,
            drain_grace: duration("rules.drain-grace", rules.drain_grace)?,
            max_open: limits.max_in_flight.unwrap_or(usize::MAX),
            max_peer_bytes: None, // follows from the limits of the process
        };
        let settings = Settings {
            classes: self.classes.into_iter().map(ClassFile::into_class).collect::<Result<_, _>>()?,
            quotas: self.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            over_quota_weight: self.over_quota_weight.unwrap_or(1.0),
            proxy_count: self.proxy_count,
            proxy_index: self.proxy_index,
            tier: self.tier,
            zone,
            cross_zone_cost: costs.cross_zone,
            costly_connections: costs.connection + costs.handshake > 0.0,
            can_cancel: limits.can_cancel,
            hedged_requests: limits.hedged_requests,
            max_attempts: limits.max_attempts,
            max_retry_after: if limits.sends_retry_after { limits.max_retry_after } else { 0.0 },
            polls_discovery: self.discovery_mode == DiscoveryMode::Subscribe,
            poll_timeout: rules.poll_timeout,
            slow_start_min_capacity: rules.slow_start_min_capacity,
            slow_start_duration: rules.slow_start_duration,
            overload_factor: rules.overload_factor,
            overload_duration: rules.overload_duration,
            ordering_quiet_period: rules.ordering_quiet_period.unwrap_or(0.0),
            idle_release_timeout: rules.idle_release_timeout,
            min_time_step: self.min_time_step,
        };
        Ok((settings, proxy_settings))
    }

    fn check(&self) -> Result<(), ConfigError> {
        let Self { limits, costs, rules, .. } = self;
        for (key, value) in [
            ("caps.max-retry-after", limits.max_retry_after),
            ("costs.connection", costs.connection),
            ("costs.cross-zone", costs.cross_zone),
            ("costs.handshake", costs.handshake),
            ("over-share-worth", self.over_quota_weight.unwrap_or(0.0)),
            ("quantum", self.min_time_step),
            ("rules.ask-within", rules.poll_timeout),
            ("rules.cold", rules.slow_start_duration),
            ("rules.cold-share", rules.slow_start_min_capacity),
            ("rules.fall-multiple", rules.overload_factor),
            ("rules.release-within", rules.idle_release_timeout.unwrap_or(0.0)),
            ("rules.settle-after-doubt", rules.ordering_quiet_period.unwrap_or(0.0)),
            ("rules.tip-after", rules.overload_duration),
        ] {
            non_negative(key, value)?;
        }
        for tenant in &self.tenants {
            non_negative(&format!("quota-per-s of project {}", tenant.name), tenant.quota_per_s)?;
        }
        if self.classes.is_empty() {
            return Err(invalid("classes", "at least one", "none"));
        }
        at_least_one("n-instances", self.proxy_count)?;
        at_least_one("caps.max-attempts", limits.max_attempts)
    }
}

impl ClassFile {
    fn into_class(self) -> Result<Class, ConfigError> {
        Ok(Class {
            latency_objective: non_negative(&self.key("on-time"), self.latency_objective)?,
            deadline: non_negative(&self.key("hard-limit"), self.deadline)?,
            late_weight: self.late_weight.unwrap_or(0.0),
            priority_weight: self.priority_weight.unwrap_or(1.0),
            idempotency: self.idempotency()?,
            ordered: self.is_ordered,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, ConfigError> {
        Ok(match self.idempotency {
            IdempotencyFile::Idempotent => Idempotency::Idempotent,
            IdempotencyFile::NonIdempotent => Idempotency::NonIdempotent,
            IdempotencyFile::IdempotencyKey => {
                let scope = self.deduplication_scope.ok_or_else(|| self.missing("group"))?.into();
                let window = self.key_window.ok_or_else(|| self.missing("window"))?;
                let window = non_negative(&self.key("window"), window)?;
                Idempotency::IdempotencyKey { scope, window }
            }
        })
    }

    /// The name that errors use for a key of this class.
    fn key(&self, key: &str) -> String {
        format!("{key} of class {}", self.name)
    }

    fn missing(&self, key: &str) -> ConfigError {
        invalid(&self.key(key), "a value", "none")
    }
}

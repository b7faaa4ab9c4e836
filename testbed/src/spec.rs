//! Experiment files (TOML): the fleet, the load, the timeline of faults, and the checks of a run. An unknown key is an
//! error that names its line.

mod fault;
mod overrides;

pub use fault::{Fault, FaultKind};
pub use overrides::setting;

use crate::groups::{Group, GroupError};
use crate::model::Kind;
use overrides::set_at_path;
use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why an experiment can't be run.
#[derive(Debug, Error)]
pub enum SpecError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// The TOML is malformed, lacks a value or has an unknown key.
    #[error("{0}: {1}")]
    Toml(String, toml::de::Error),
    /// A value out of its range.
    #[error("{0}")]
    Value(String),
    /// A group expression is invalid.
    #[error(transparent)]
    Group(#[from] GroupError),
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, as reports give it.
    pub name: String,
    /// Its purpose.
    #[serde(default)]
    pub about: String,
    /// How long requests arrive, in seconds, warm-up included.
    pub seconds: f64,
    /// Seconds at the start that no figure includes.
    #[serde(default)]
    pub warmup: f64,
    /// The proxies in front of the backends.
    pub proxies: Proxies,
    /// The list service.
    #[serde(default)]
    pub list: List,
    /// The load.
    pub load: Load,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants.
    #[serde(default = "default_tenants")]
    pub tenants: Vec<Tenant>,
    /// The kinds of backend of the first tier.
    pub backends: Vec<Kind>,
    /// The tiers after the first. Each backend of a tier calls the next tier through a sidecar proxy.
    #[serde(default)]
    pub tiers: Vec<Tier>,
    /// Names for group expressions, used in `who` and `to`.
    #[serde(default)]
    pub groups: BTreeMap<String, String>,
    /// The timeline of faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Time windows for which the report has separate figures.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// The checks of the run.
    #[serde(default)]
    pub oracle: Oracle,
}

/// The proxies that clients use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    /// The number that run from the start.
    pub count: usize,
    /// The number of reserve proxies, which only a fault starts.
    #[serde(default)]
    pub reserve: usize,
    /// The load of the busiest tenth of the proxies, as a multiple of the mean (1: all equal).
    #[serde(default = "default_multiple")]
    pub uneven: f64,
    /// The zones, assigned to proxies and backends in turn.
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    /// How backends are selected: by the proxies, or by one of the testbed's two baseline policies.
    #[serde(default, rename = "dealer")]
    pub policy: BalancingPolicy,
    /// Maximum number of attempts per request.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: usize,
    /// Further proxy settings, by their JSON keys, which override those made from this file.
    #[serde(default)]
    pub settings: toml::Table,
}

/// How backends are selected.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum BalancingPolicy {
    /// The proxies select them.
    #[default]
    Proxy,
    /// A baseline without proxies: each request goes to a backend drawn at random by weight.
    Random,
    /// A baseline without proxies: each request goes to the backend with the fewest requests in flight relative to
    /// its speed, by exact current counts.
    #[serde(rename = "least")]
    LeastLoaded,
}

/// The list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// The number of its nodes: 1, 3 or 5.
    pub nodes: usize,
    /// The TTL of a backend's entry, in milliseconds. Heartbeats are sent every third of it.
    pub ttl_ms: u64,
    /// The time from a new backend listening until it is listed, in milliseconds. The removal of a dead backend
    /// depends only on the TTL, from its last heartbeat.
    #[serde(rename = "list_after_ms")]
    pub listing_delay_ms: u64,
}

impl Default for List {
    fn default() -> Self {
        Self { nodes: 1, ttl_ms: 3_000, listing_delay_ms: 0 }
    }
}

/// The load: requests arrive independently of how earlier ones end (an open loop).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second of all clients together.
    pub rate: f64,
    /// Periods with other rates.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// The number of retries that a client makes by itself after a rejection, a failure or a dead proxy.
    #[serde(default)]
    pub retries: usize,
    /// How long it waits before a retry, in seconds; a longer `Retry-After` takes precedence.
    #[serde(default)]
    pub retry_wait: f64,
    /// The fraction of requests whose client leaves early, at a random time before its hard limit.
    #[serde(default)]
    pub leave_early: f64,
    /// What the load balancer in front of the proxies distributes.
    #[serde(default, rename = "deals")]
    pub balances: BalancingUnit,
    /// Seconds after which the load balancer notices that a proxy is dead or has started.
    #[serde(default = "default_multiple", rename = "front_notices")]
    pub balancer_delay_s: f64,
}

/// What the load balancer distributes over the proxies by their shares.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum BalancingUnit {
    /// Requests: each proxy gets its configured share of the load.
    #[default]
    Requests,
    /// Connections, as in `PROTOCOL`: a request uses an idle connection, to whichever proxy; a new connection is
    /// opened only if all are busy.
    Connections,
}

/// A period of load with another rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Its start, in seconds.
    pub at: f64,
    /// Its length, in seconds.
    #[serde(rename = "for")]
    pub length: f64,
    /// The factor by which the rate is multiplied.
    pub times: f64,
}

/// Whether a request that may have run may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Safe to repeat.
    Free,
    /// Carries an idempotency key; a failure domain drops a repeat within the window.
    Guarded,
    /// Must never run twice.
    SingleShot,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as `X-Lane` carries it.
    pub name: String,
    /// Its fraction of the requests.
    pub share: f64,
    /// Its work in milliseconds of a core of speed 1, drawn uniformly from this range.
    pub work_ms: [f64; 2],
    /// Whether its work is drawn from an exponential distribution with the range's mean instead.
    #[serde(default)]
    pub exponential: bool,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// Its latency objective, in seconds.
    pub on_time: f64,
    /// Its timeout at the client, in seconds.
    pub hard_limit: f64,
    /// The priority weight of a request served in time.
    #[serde(default = "default_multiple", rename = "worth")]
    pub priority_weight: f64,
    /// Seconds for which a failure domain drops repeats of an idempotency key.
    #[serde(default = "default_window_s")]
    pub window: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as `X-Org` carries it.
    pub name: String,
    /// Its fraction of the requests.
    pub share: f64,
    /// Its quota per second, as configured at the proxies.
    #[serde(default = "default_quota")]
    pub quota: f64,
}

/// A tier after the first.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The average number of calls that each request of the previous tier makes, one after another.
    pub calls: f64,
    /// The work of a call of this tier, as a fraction of the request's work.
    pub work: f64,
    /// The kinds of backend.
    pub backends: Vec<Kind>,
}

/// A time window of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Its name.
    pub name: String,
    /// Its start, in seconds.
    pub from: f64,
    /// Its end, in seconds.
    pub to: f64,
}

/// The oracle of a run: invariants, and bounds on figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Oracle {
    /// A request that a live proxy accepted has exactly one end.
    pub one_end: bool,
    /// A request of a class that must not run twice does not run twice.
    pub no_double: bool,
    /// Milliseconds after the notification of a drain from which the proxy sends the backend nothing new (0: not
    /// checked).
    pub drain_ms: f64,
    /// No cold backend fails under load.
    pub no_fall: bool,
    /// Upper bounds on figures of the report, by path: `"after.spread.idle_share" = 0.0`.
    pub at_most: BTreeMap<String, f64>,
    /// Lower bounds on figures, by path.
    pub at_least: BTreeMap<String, f64>,
}

impl Default for Oracle {
    fn default() -> Self {
        let (at_most, at_least) = (BTreeMap::new(), BTreeMap::new());
        Self { one_end: true, no_double: true, drain_ms: 250.0, no_fall: true, at_most, at_least }
    }
}

fn default_multiple() -> f64 {
    1.0
}
fn default_window_s() -> f64 {
    10.0
}
fn default_quota() -> f64 {
    1e6
}
fn default_max_attempts() -> usize {
    3
}
fn default_zones() -> Vec<String> {
    vec!["a".into()]
}
fn default_tenants() -> Vec<Tenant> {
    vec![Tenant { name: "default".into(), share: 1.0, quota: default_quota() }]
}

/// Maximum number of backends of one experiment, over all tiers.
pub const MAX_BACKENDS: usize = 2_048;
/// Maximum number of proxies of one experiment, including sidecars of backends.
pub const MAX_PROXIES: usize = 2_048;

impl Experiment {
    /// Reads and checks an experiment file; `set` contains overrides by dotted path.
    ///
    /// # Errors
    /// See [`SpecError`].
    pub fn read(path: &str, set: &[(String, toml::Value)]) -> Result<Self, SpecError> {
        let text = std::fs::read_to_string(path).map_err(|e| SpecError::Read(path.into(), e))?;
        // Parsed without overrides first, so that the error of an unknown key names its line.
        let without_overrides: Self = toml::from_str(&text).map_err(|e| SpecError::Toml(path.into(), e))?;
        let experiment = if set.is_empty() {
            without_overrides
        } else {
            let mut table: toml::Value =
                toml::from_str(&text).map_err(|e| SpecError::Toml(path.into(), e))?;
            for (key, value) in set {
                set_at_path(&mut table, key, value.clone())?;
            }
            table.try_into().map_err(|e| SpecError::Toml(format!("{path} with --set"), e))?
        };
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), SpecError> {
        let require = |ok: bool, rule: &str| if ok { Ok(()) } else { Err(SpecError::Value(rule.into())) };
        let positive = |v: f64| v.is_finite() && v > 0.0;
        require(
            positive(self.seconds) && self.seconds <= 3_600.0,
            "seconds must be above 0 and at most 3,600",
        )?;
        require((0.0..self.seconds).contains(&self.warmup), "warmup must be at least 0 and below seconds")?;
        require(
            positive(self.load.rate) && self.load.rate <= 20_000.0,
            "load.rate must be above 0 and at most 20,000",
        )?;
        require(
            self.proxies.count >= 1 && !self.proxies.zones.is_empty(),
            "proxies: at least 1 proxy and 1 zone are needed",
        )?;
        require(
            self.proxies.uneven >= 1.0 && self.proxies.uneven < 10.0,
            "proxies.uneven must be at least 1 and below 10",
        )?;
        require(matches!(self.list.nodes, 1 | 3 | 5), "list.nodes must be 1, 3 or 5")?;
        require((500..=300_000).contains(&self.list.ttl_ms), "list.ttl_ms must be from 500 to 300,000")?;
        require(
            !self.classes.is_empty() && !self.tenants.is_empty(),
            "classes, tenants: at least one of each is needed",
        )?;
        for class in &self.classes {
            let [low, high] = class.work_ms;
            require(
                low >= 0.0 && high >= low && high <= 60_000.0,
                "classes.work_ms must be a rising range from 0 to at most 60,000",
            )?;
            require(
                class.share >= 0.0 && positive(class.hard_limit),
                "classes: share must be at least 0, hard_limit above 0",
            )?;
        }
        let tiers = std::iter::once(&self.backends).chain(self.tiers.iter().map(|t| &t.backends));
        for kind in tiers.clone().flatten() {
            require(
                kind.cores >= 1 && positive(kind.speed[0]),
                "backends: cores must be at least 1, speed above 0",
            )?;
            require(
                kind.speed[1] >= kind.speed[0] && positive(kind.weight),
                "backends: speed must be a rising range, weight above 0",
            )?;
        }
        let (mut backends, mut sidecars) = (0, 0);
        for (n, tier) in tiers.enumerate() {
            let count: usize = tier.iter().map(|k| k.count).sum();
            require(count >= 1, "backends: at least one per tier is needed")?;
            backends += count;
            sidecars += if n < self.tiers.len() { count } else { 0 };
        }
        require(backends <= MAX_BACKENDS, "backends: at most 2,048 are allowed")?;
        let proxies = self.proxies.count + self.proxies.reserve + sidecars;
        require(
            proxies <= MAX_PROXIES,
            "proxies: at most 2,048 are allowed, including sidecars of backends",
        )?;
        require(
            self.tiers.is_empty() || self.proxies.policy == BalancingPolicy::Proxy,
            "proxies.dealer: a baseline policy allows only one tier",
        )?;
        for fault in &self.faults {
            require(fault.at >= 0.0 && fault.times >= 1, "faults: at must be at least 0, times at least 1")?;
            require(
                fault.times == 1 || fault.every > 0.0,
                "faults: every must be above 0 if times is above 1",
            )?;
            self.group(&fault.targets)?;
            let is_link_fault = matches!(
                fault.kind,
                FaultKind::Delay | FaultKind::Drop | FaultKind::BlackHole | FaultKind::Reset
            );
            require(
                is_link_fault == fault.to.is_some(),
                "faults: `to` is needed for delay, drop, black_hole and reset, and allowed for no other kind",
            )?;
            if let Some(to) = &fault.to {
                self.group(to)?;
            }
            let needs_part = matches!(
                fault.kind,
                FaultKind::Slow
                    | FaultKind::FailFast
                    | FaultKind::Neighbour
                    | FaultKind::Weight
                    | FaultKind::Drop
            );
            require(
                !needs_part || fault.part.is_some_and(|p| p > 0.0),
                "faults: `part` must be above 0 for this kind",
            )?;
            let needs_by_ms =
                matches!(fault.kind, FaultKind::Freeze | FaultKind::LateReports | FaultKind::Delay);
            require(
                !needs_by_ms || fault.by_ms.is_some_and(positive),
                "faults: `by_ms` must be above 0 for this kind",
            )?;
        }
        Ok(())
    }

    /// The group of an expression, or of a name in `groups`.
    ///
    /// # Errors
    /// If the expression is invalid.
    pub fn group(&self, expression: &str) -> Result<Group, GroupError> {
        Group::parse(self.groups.get(expression).map_or(expression, String::as_str))
    }
}

#[cfg(test)]
mod tests;

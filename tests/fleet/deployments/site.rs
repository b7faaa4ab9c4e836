//! A deployment as `deploy/sites/NAME/NAME.toml` describes it: the parts that the restart test needs, and the settings
//! of its proxies.

use serde::Deserialize;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// A longer deadline counts as this one for the time of SIGKILL (`PROTOCOL`, "Figures").
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest counted deadline SIGKILL is due.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Maximum number of requests that arrive in the mean service time; keeps a slow deployment's queue short.
const MAX_ARRIVALS_PER_SERVICE_TIME: f64 = 32.0;
/// Minimum time between two arrivals.
const MIN_ARRIVAL_INTERVAL_MS: f64 = 25.0;

/// A range in the file, from which each day's value is drawn.
type Range = [f64; 2];

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It may be repeated at will.
    Safe,
    /// Backends of a group discard repeats within a window.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub struct Class {
    /// Its name, as `X-Lane` carries it.
    pub name: String,
    /// Whether it may be repeated.
    pub effect: Effect,
    work_ms: Range,
    aim_ms: f64,
    deadline_ms: f64,
    worth: f64,
    late_worth: f64,
    group: Option<String>,
    window_ms: Option<f64>,
}

/// A tenant.
#[derive(Debug, Deserialize)]
pub struct Tenant {
    /// Its name, as `X-Org` carries it.
    pub name: String,
    share: f64,
}

#[derive(Debug, Deserialize)]
struct Scale {
    servers: Vec<usize>,
}

#[derive(Debug, Deserialize)]
struct Load {
    over_share_worth: f64,
}

#[derive(Debug, Deserialize)]
struct Net {
    zones: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Clients {
    max_retry_after_ms: f64,
}

#[derive(Debug, Deserialize)]
struct Registry {
    mode: String,
}

#[derive(Debug, Deserialize)]
struct Allow {
    cancel: bool,
    second_copies: bool,
    retry_after: bool,
    max_attempts: usize,
}

#[derive(Debug, Deserialize)]
struct Rules {
    drain_grace_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
}

#[derive(Debug, Deserialize)]
struct Prices {
    cross_zone: f64,
    #[serde(default)]
    connection: f64,
    handshake: f64,
}

#[derive(Debug, Deserialize)]
struct Connections {
    idle_s: f64,
    connect_timeout_ms: f64,
    cap_per_core: Range,
}

#[derive(Debug, Deserialize)]
struct Kind {
    cores: usize,
    cold_from: Range,
    cold_s: Range,
}

#[derive(Debug, Deserialize)]
struct Tier {
    conn: Connections,
    #[serde(rename = "kind")]
    kinds: Vec<Kind>,
}

/// A deployment.
#[derive(Debug, Deserialize)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Its tenants.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    scale: Scale,
    load: Load,
    net: Net,
    clients: Clients,
    discovery: Registry,
    allow: Allow,
    rules: Rules,
    prices: Prices,
    #[serde(rename = "tier")]
    tiers: Vec<Tier>,
}

impl Class {
    /// How long a client waits for an answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_secs_f64(self.deadline_ms / 1000.0)
    }

    /// How long a backend works on a request: the middle of the file's range.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_work_ms() / 1000.0)
    }

    fn mean_work_ms(&self) -> f64 {
        (self.work_ms[0] + self.work_ms[1]) / 2.0
    }

    /// The class as a proxy's settings contain it.
    fn settings(&self) -> Value {
        let effect = match self.effect {
            Effect::Safe => "free",
            Effect::Keyed => "guarded",
            Effect::Unsafe => "single_shot",
        };
        let mut class = json!({"name": self.name, "effect": effect, "on-time": self.aim_ms / 1000.0,
            "hard-limit": self.deadline_ms / 1000.0, "worth": self.worth, "late-worth": self.late_worth});
        if let (Some(group), Some(window_ms)) = (&self.group, self.window_ms) {
            class["group"] = json!(group);
            class["window"] = json!(window_ms / 1000.0);
        }
        class
    }
}

impl Site {
    /// Reads every deployment of `deploy/sites/`, sorted by name.
    pub fn read_all() -> Vec<Self> {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sites");
        let entries = std::fs::read_dir(&root).expect("deploy/sites can be listed");
        let directories = entries.map(|entry| entry.expect("an entry of deploy/sites").path());
        let mut sites: Vec<Self> =
            directories.filter(|path| path.is_dir()).map(|path| Self::read(&path)).collect();
        sites.sort_by(|a, b| a.name.cmp(&b.name));
        sites
    }

    fn read(directory: &Path) -> Self {
        let name = directory.file_name().expect("a directory's name");
        let path = directory.join(name).with_extension("toml");
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    }

    /// The longest deadline of its classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(Class::deadline).max().unwrap_or_default()
    }

    /// The minimum time between SIGTERM and SIGKILL.
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_DELAY_AFTER_DEADLINE
    }

    /// The minimum number of backends of a tier.
    pub fn backends(&self) -> usize {
        self.scale.servers[0]
    }

    /// The maximum number of connections of a backend.
    pub fn connections_per_backend(&self) -> usize {
        let tier = self.last_tier();
        tier.conn.cap_per_core[1] as usize * tier.kinds[0].cores
    }

    /// The zone of its `n`-th machine.
    pub fn zone(&self, n: usize) -> &str {
        &self.net.zones[n % self.net.zones.len()]
    }

    /// The time between two arrivals.
    pub fn arrival_interval(&self) -> Duration {
        let total: f64 = self.classes.iter().map(Class::mean_work_ms).sum();
        let service_time_ms = total / self.classes.len() as f64;
        let interval_ms = MIN_ARRIVAL_INTERVAL_MS.max(service_time_ms / MAX_ARRIVALS_PER_SERVICE_TIME);
        Duration::from_secs_f64(interval_ms / 1000.0)
    }

    /// The last tier, in front of which the proxies of the test run.
    fn last_tier(&self) -> &Tier {
        self.tiers.last().expect("a deployment has a tier")
    }

    /// The settings of proxy `proxy_index` of `instances`.
    pub fn settings(&self, proxy_index: usize, instances: usize) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(Class::settings).collect();
        json!({
            "caps": self.caps(), "classes": classes, "me": proxy_index, "n-instances": instances, "quantum": 0.005,
            "costs": {"connection": self.prices.connection, "cross-zone": self.prices.cross_zone,
                      "handshake": self.prices.handshake},
            "over-share-worth": self.load.over_share_worth,
            "registry-mode": if self.discovery.mode == "ask" { "subscribe" } else { "automatic" },
            "projects": self.projects(), "rules": self.rules(),
            "tier": self.tiers.len() - 1, "zone": self.zone(proxy_index), "zones": self.net.zones,
        })
    }

    fn caps(&self) -> Value {
        let connections = &self.last_tier().conn;
        json!({"cancel": self.allow.cancel, "connect-timeout": connections.connect_timeout_ms / 1000.0,
               "idle-close": connections.idle_s, "max-attempts": self.allow.max_attempts, "max-open": 20_000,
               "max-retry-after": self.clients.max_retry_after_ms / 1000.0,
               "retry-after": self.allow.retry_after, "second-copies": self.allow.second_copies})
    }

    /// The tenants, each with its share of the arrivals as quota, whether or not the shares add up to 1.
    fn projects(&self) -> Vec<Value> {
        let rate = 1.0 / self.arrival_interval().as_secs_f64();
        let project = |tenant: &Tenant| json!({"name": tenant.name, "quota-per-s": tenant.share * rate});
        self.tenants.iter().map(project).collect()
    }

    /// The lowest cold capacity and the longest slow start of the last tier's kinds, as the test bench states them.
    fn rules(&self) -> Value {
        let kinds = &self.last_tier().kinds;
        let cold = kinds.iter().map(|kind| kind.cold_s[1]).fold(0.0, f64::max);
        let cold_share = kinds.iter().map(|kind| kind.cold_from[0]).fold(1.0, f64::min);
        json!({"ask-within": 10.0, "cold": cold, "cold-share": cold_share,
               "drain-grace": self.rules.drain_grace_ms / 1000.0, "fall-multiple": self.rules.fall_multiple,
               "tip-after": self.rules.fall_ms / 1000.0})
    }
}

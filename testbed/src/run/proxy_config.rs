//! The configuration file of a proxy of a run, in the format of the protocol.

use crate::model::Kind;
use crate::spec::{Class, Effect, Experiment};
use serde_json::{Value, json};

/// The minimum drain grace that proxies are configured with, in milliseconds.
const MIN_DRAIN_GRACE_MS: f64 = 50.0;

/// Which proxy a configuration is for.
pub(super) struct Identity<'a> {
    /// Its index among the proxies of its tier.
    pub index: usize,
    /// The number of proxies of its tier.
    pub count: usize,
    /// The tier whose backends it lists.
    pub tier: usize,
    /// Its zone.
    pub zone: &'a str,
    /// The seed of its random choices.
    pub seed: u64,
}

/// The configuration of one proxy, as JSON text.
pub(super) fn proxy_config(experiment: &Experiment, identity: &Identity<'_>) -> String {
    let Identity { index, count, tier, zone, seed } = identity;
    let kinds = backend_kinds(experiment, *tier);
    let kind = &kinds[0];
    let idle_close = kinds.iter().map(|kind| kind.idle_close).fold(f64::INFINITY, f64::min);
    let tenant = |tenant: &crate::spec::Tenant| json!({"name": tenant.name, "quota-per-s": tenant.quota});
    let mut settings = json!({
        "caps": {"cancel": true, "connect-timeout": 0.5, "idle-close": idle_close,
                 "max-attempts": experiment.proxies.max_attempts, "max-open": 1000, "max-retry-after": 1.0,
                 "probing": true, "retry-after": true, "second-copies": true},
        "classes": experiment.classes.iter().map(class).collect::<Vec<_>>(),
        "me": index, "n-instances": count, "quantum": 0.005, "registry-mode": "automatic",
        "projects": experiment.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "rules": {"ask-within": 10.0, "cold": if kind.cold { kind.warm_after } else { 0.0 },
                  "cold-share": kind.cold_share,
                  "drain-grace": experiment.oracle.drain_ms.max(MIN_DRAIN_GRACE_MS) / 1e3,
                  "fall-multiple": kind.fall_multiple, "tip-after": kind.tip_after},
        "tier": tier, "zone": zone, "zones": experiment.proxies.zones
    });
    if let Ok(Value::Object(overrides)) = serde_json::to_value(&experiment.proxies.settings) {
        for (key, value) in overrides {
            settings[key] = value;
        }
    }
    json!({"name": format!("t{tier}-{index}"), "seed": format!("{seed:016x}"),
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"generation": 0, "reset": true, "instances": []}, "settings": settings})
    .to_string()
}

/// The kinds of backend of a tier.
pub(super) fn backend_kinds(experiment: &Experiment, tier: usize) -> &[Kind] {
    if tier == 0 { &experiment.backends } else { &experiment.tiers[tier - 1].backends }
}

fn class(class: &Class) -> Value {
    let effect = match class.effect {
        Effect::Free => "free",
        Effect::Guarded => "guarded",
        Effect::SingleShot => "single_shot",
    };
    json!({"name": class.name, "effect": effect, "group": "cell", "window": class.window,
           "on-time": class.on_time, "hard-limit": class.hard_limit, "worth": class.priority_weight})
}

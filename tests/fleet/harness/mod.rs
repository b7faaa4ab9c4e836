//! The fault harness: the fleet testbed's processes, relays, clusters and fake backends on loopback ports that the
//! system chooses, and fixtures that only these tests use: a fake discovery with one agent per proxy, closed-loop
//! clients, a resource that duties act on, many watchers of the list, and services of another build.
//!
//! Every listener binds port 0 and reports the port it got, so no port is chosen before it is bound. A process
//! restarted on another port keeps its old address through the relay in front of it (`Relay::retarget`).
#![allow(
    dead_code,
    unused_imports,
    reason = "each test program that includes the harness uses only a part of it"
)]

pub mod client;
pub mod discovery;
pub mod program;
pub mod registry;
pub mod resource;
pub mod watchers;

pub use fleet_testbed::{cluster, fake as backend, http, links as relay, process};

use fleet_testbed::syscall_faults::SyscallFaults;
use process::Fleet;
use std::path::Path;
use std::time::Duration;

/// The rules of `testbed/syscall-faults`, separated by semicolons, for every process of a test run, for example
/// `sync=100..200ms@1:0-600000` for a slow disk. A test that sets its own rules replaces them.
const FAULTS_VARIABLE: &str = "FLEET_SYSCALL_FAULTS";
/// The seed of these rules' random draws.
const FAULTS_SEED_VARIABLE: &str = "FLEET_SYSCALL_FAULTS_SEED";

/// A fleet of processes of the program under test, all SIGKILLed once `deadline` has elapsed.
pub fn fleet(deadline: Duration) -> Fleet {
    let mut fleet = Fleet::new(
        Path::new(env!("CARGO_BIN_EXE_linkhatch-proxy")),
        Path::new(env!("CARGO_TARGET_TMPDIR")),
        deadline,
    );
    if let Ok(rules) = std::env::var(FAULTS_VARIABLE) {
        let seed = std::env::var(FAULTS_SEED_VARIABLE).ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
        let faults = SyscallFaults { rules: vec![rules], seed, ..SyscallFaults::default() };
        fleet.set_environment(faults.environment());
    }
    fleet
}

use serde_json::{Value, json};

/// The settings of a proxy of the harness: the three request classes, number `proxy_index` of `instances` proxies, and
/// the drain grace in seconds. After the notification of a drain, a request assigned to the backend before it is sent
/// within half the drain grace or not at all.
pub fn settings(proxy_index: usize, instances: usize, drain_grace: f64) -> Value {
    let class = |name: &str, effect: &str, on_time: f64, hard_limit: f64| {
        json!({"name": name, "effect": effect, "group": "all", "window": 30.0, "on-time": on_time,
               "hard-limit": hard_limit, "worth": 1.0})
    };
    json!({
        "caps": {"cancel": true, "connect-timeout": 0.5, "idle-close": 30.0, "max-attempts": 3,
                 "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                 "second-copies": true},
        "classes": [class("status-check", "free", 0.3, 2.0), class("send-sms", "single_shot", 0.5, 2.0),
                    class("send-batch", "guarded", 0.5, 2.0)],
        "me": proxy_index, "n-instances": instances, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "default", "quota-per-s": 10000.0}],
        "rules": {"ask-within": 10.0, "cold": 0.0, "cold-share": 1.0, "drain-grace": drain_grace,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "tier": 1, "zone": "a", "zones": ["a"]
    })
}

/// A complete configuration file with `settings`, and with `known` as the last known list.
pub fn config(settings: &Value, known: &Value, seed: u64) -> String {
    json!({"name": "fleet", "seed": format!("{seed:016x}"),
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": known, "settings": settings})
    .to_string()
}

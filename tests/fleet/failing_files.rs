//! Proxies whose files cannot be read or written for a while: the configuration at SIGHUP, and the list cache.

use crate::harness;
use crate::harness::backend::Backend;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::{Fleet, Process};
use crate::harness::registry::{call, registration};
use crate::wait_until_ready;
use fleet_testbed::syscall_faults::SyscallFaults;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const FLEET_DEADLINE: Duration = Duration::from_secs(60);
/// When files stop failing, in milliseconds after the process's start.
const FAULT_END_MS: u64 = 3_000;
/// The time to recover; it ends long after files stop failing.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

fn set_file_fault(fleet: &mut Fleet, rule: &str, from_ms: u64) {
    let rules = vec![format!("{rule}:{from_ms}-{FAULT_END_MS}")];
    fleet.set_environment(SyscallFaults { rules, seed: 5, ..SyscallFaults::default() }.environment());
}

fn discovery_of(backend: &Backend) -> Discovery {
    let listing = Listing { id: "b-0".into(), address: backend.address(), ..Listing::default() };
    Discovery::start(vec![listing], 2).expect("discovery")
}

fn config(discovery: &Discovery) -> Value {
    let text = harness::config(&harness::settings(0, 1, 0.4), &discovery.known(), 7);
    serde_json::from_str(&text).expect("a configuration")
}

/// Waits for a log line with this prefix; returns the lines read until then.
fn read_log_until(proxy: &Process, prefix: &str) -> Vec<String> {
    let (deadline, mut lines) = (Instant::now() + RECOVERY_TIMEOUT, Vec::new());
    while !lines.iter().any(|line: &String| line.starts_with(prefix)) {
        assert!(Instant::now() < deadline, "no '{prefix}' in {lines:?}");
        lines.extend(proxy.log_lines());
        std::thread::sleep(Duration::from_millis(10));
    }
    lines
}

#[test]
fn an_unreadable_configuration_is_retried_after_sighup() {
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend");
    let discovery = discovery_of(&backend);
    let started_at = Instant::now();
    set_file_fault(&mut fleet, "open=ENFILE@1", 1_000);
    let mut config = config(&discovery);
    let proxy = fleet.proxy(&config.to_string(), discovery.agent(0)).expect("a proxy starts");
    wait_until_ready(&proxy);
    // Opening files fails now and for a while longer.
    std::thread::sleep(Duration::from_millis(1_500).saturating_sub(started_at.elapsed()));
    config["discovery"] = json!(discovery.agent(1).to_string());
    std::fs::write(proxy.config_path(), config.to_string()).expect("the configuration is written");
    proxy.signal(Signal::SIGHUP);
    let lines = read_log_until(&proxy, &format!("linkhatch-proxy: discovery is at {}", discovery.agent(1)));
    assert!(
        lines.iter().any(|line| line.contains("not reloaded yet")),
        "the configuration was read at once: {lines:?}"
    );
}

#[test]
fn a_failed_write_of_the_list_cache_is_retried_without_a_change() {
    let mut fleet = harness::fleet(FLEET_DEADLINE);
    let backend = Backend::start("b-0", Duration::ZERO).expect("a backend");
    // A list service answers a poll without changes with no entries, so only the retry writes the list again.
    let node = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("a list service");
    let registered =
        call(node.address(), "POST", "/v1/register", &registration("b-0", backend.address(), 300_000));
    assert!(matches!(registered, Some((200, _))), "{registered:?}");
    let cache = fleet.scratch("list-cache").with_extension("json");
    set_file_fault(&mut fleet, "write=ENOSPC@1", 0);
    let mut config = config(&discovery_of(&backend));
    config["list_cache"] = json!(cache.display().to_string());
    config["known"] = json!({"generation": 0, "reset": true, "instances": []});
    let proxy = fleet.proxy(&config.to_string(), node.address()).expect("a proxy starts");
    wait_until_ready(&proxy);
    read_log_until(&proxy, &format!("list cache {}: No space left", cache.display()));
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let cached = || serde_json::from_slice::<Value>(&std::fs::read(&cache).ok()?).ok();
    while cached().is_none_or(|list| list["instances"].as_array().is_none_or(Vec::is_empty)) {
        assert!(Instant::now() < deadline, "the list cache is not written: {:?}", proxy.log_lines());
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = std::fs::remove_file(&cache);
}

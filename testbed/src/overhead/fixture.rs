//! The processes of a measurement: for each level a list-service node, a proxy that watches it and the listed backends.

use super::backend::{self, NextLevel};
use super::{Options, OverheadError};
use crate::calls::{call, registration};
use crate::process::{Fleet, Process};
use crate::rt::Loop;
use crate::scratch::Scratch;
use crate::usage;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The proxies' configuration, before the changes that a measurement needs ([`proxy_config`]).
const SAMPLE_CONFIG: &str = include_str!("../../../deploy/sample.json");
/// A tenant's quota in calls per second, far above every rate, so that no call exceeds it.
const QUOTA_PER_SECOND: f64 = 1e6;
const BACKENDS_PER_LEVEL: usize = 3;
/// Number of levels whose backends share an event loop, so that a long chain's backends don't wait for one thread.
const LEVELS_PER_LOOP: usize = 3;
/// TTL of the backends' entries: the maximum that the list service accepts.
const TTL_MS: u64 = 300_000;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the processes may run beyond the planned duration of the load.
const LIFETIME_MARGIN: Duration = Duration::from_secs(300);

/// One level: its backends, and the proxy in front of them.
struct Level {
    backends: Vec<SocketAddr>,
    proxy: Process,
    registry: Process,
}

/// All levels; dropping it ends their processes.
pub struct Fixture {
    /// In the order in which a call passes through them.
    levels: Vec<Level>,
    /// Keeps the backends' event loops running.
    _loops: Vec<Loop>,
    _fleet: Fleet,
    _scratch: Scratch,
}

impl Fixture {
    /// Starts all levels and waits until each proxy is ready.
    ///
    /// # Errors
    /// See [`OverheadError`].
    pub fn start(options: &Options) -> Result<Self, OverheadError> {
        let scratch = Scratch::new("fleet-testbed-overhead")?;
        let mut fleet = Fleet::new(&options.program, scratch.path(), deadline(options));
        let mut levels: Vec<Level> = Vec::new();
        let mut loops = Vec::new();
        for number in 0..options.depth {
            if number % LEVELS_PER_LOOP == 0 {
                loops.push(Loop::start(&format!("backends-{number}"))?);
            }
            let next = levels.last().map(Level::as_next_level);
            levels.push(Level::start(&mut fleet, &loops[number / LEVELS_PER_LOOP], next)?);
        }
        levels.reverse();
        Ok(Self { levels, _loops: loops, _fleet: fleet, _scratch: scratch })
    }

    /// The backends that direct calls are sent to.
    pub fn backends(&self) -> &[SocketAddr] {
        &self.levels[0].backends
    }

    /// The proxy that calls through the proxies are sent to.
    pub fn proxy(&self) -> SocketAddr {
        self.levels[0].proxy.address()
    }

    /// Sends a heartbeat for every backend, so that it stays listed for another TTL.
    pub fn send_heartbeats(&self) {
        for level in &self.levels {
            for id in (0..level.backends.len()).map(backend_id) {
                let heartbeat = json!({"instanceId": id});
                // The result is ignored: the TTL spans many blocks, so a lost heartbeat does not remove the entry.
                call(level.registry.address(), "POST", "/v1/heartbeat", &heartbeat);
            }
        }
    }

    /// Total processor time used by all proxies so far.
    ///
    /// # Errors
    /// If a proxy has ended.
    pub fn proxies_processor_time(&self) -> std::io::Result<Duration> {
        let processor_time = |level: &Level| -> std::io::Result<Duration> {
            let pid = level.proxy.id().ok_or_else(|| std::io::Error::other("a proxy has ended"))?;
            Ok(usage::of_process(pid)?.processor)
        };
        self.levels.iter().map(processor_time).sum()
    }
}

impl Level {
    fn start(fleet: &mut Fleet, event_loop: &Loop, next: Option<NextLevel>) -> Result<Self, OverheadError> {
        let start_backend = |_| backend::start(event_loop, next.clone());
        let backends: Vec<SocketAddr> =
            (0..BACKENDS_PER_LEVEL).map(start_backend).collect::<Result<_, _>>()?;
        let registry = fleet
            .registry("listen = \"127.0.0.1:0\"\n")
            .map_err(|error| OverheadError::Start("list service", error))?;
        for (number, address) in backends.iter().enumerate() {
            register(registry.address(), number, *address)?;
        }
        let proxy = fleet
            .proxy(&proxy_config()?, registry.address())
            .map_err(|error| OverheadError::Start("proxy", error))?;
        wait_until_ready(proxy.address())?;
        Ok(Self { backends, proxy, registry })
    }

    fn as_next_level(&self) -> NextLevel {
        NextLevel { direct: self.backends.clone(), through: self.proxy.address() }
    }
}

fn deadline(options: &Options) -> Duration {
    let blocks = 2 * options.rates.len() * options.pairs();
    Duration::from_secs_f64(blocks as f64 * options.block_seconds) + LIFETIME_MARGIN
}

fn backend_id(number: usize) -> String {
    format!("backend-{number}")
}

fn register(registry: SocketAddr, number: usize, address: SocketAddr) -> Result<(), OverheadError> {
    let body = registration(&backend_id(number), address, TTL_MS);
    let registered =
        || call(registry, "POST", "/v1/register", &body).is_some_and(|(status, _)| status == 200);
    wait_until(registered, "list service")
}

fn wait_until_ready(proxy: SocketAddr) -> Result<(), OverheadError> {
    wait_until(
        || call(proxy, "GET", "/-/ready", &Value::Null).is_some_and(|(status, _)| status == 200),
        "proxy",
    )
}

fn wait_until(condition: impl Fn() -> bool, component: &'static str) -> Result<(), OverheadError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(OverheadError::NotReady(component));
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    Ok(())
}

/// The sample configuration with quotas that no rate reaches; the environment sets the listen and discovery addresses.
fn proxy_config() -> Result<String, OverheadError> {
    let mut config: Value =
        serde_json::from_str(SAMPLE_CONFIG).map_err(|error| OverheadError::Sample(error.to_string()))?;
    let projects = config["settings"]["projects"].as_array_mut();
    let projects = projects.ok_or_else(|| OverheadError::Sample("no projects".into()))?;
    for project in projects {
        project["quota-per-s"] = json!(QUOTA_PER_SECOND);
    }
    Ok(config.to_string())
}

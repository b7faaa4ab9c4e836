//! The processes of a play: their configuration, environment, start and log.

use super::ledger::{Shared, open};
use super::oracle::settings;
use super::plan::{Fault, Kind, Plan};
use super::world::{World, world};
use crate::process::{Fleet, Process, StartError};
use crate::rt::Loop;
use crate::scratch::Scratch;
use crate::syscall_faults::SyscallFaults;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A restarted proxy has to be ready within this.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The processes and the threads that act on them.
pub(super) struct Stage {
    pub(super) plan: Plan,
    pub(super) start: Instant,
    pub(super) epoch_ns: u64,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) proxies: Mutex<Vec<Option<Process>>>,
    pub(super) addresses: Mutex<Vec<SocketAddr>>,
    pub(super) agents: Mutex<Vec<SocketAddr>>,
    pub(super) node: Mutex<Option<Process>>,
    pub(super) at_work: AtomicUsize,
    pub(super) over: AtomicBool,
    pub(super) looped: Loop,
    pub(super) ledger: Shared,
    pub(super) known: Value,
    pub(super) scratch: Scratch,
}

/// Locks, whatever a thread that panicked has left.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Stage {
    pub(super) fn config(&self, proxy: usize, discovery: SocketAddr) -> String {
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "group": "all", "window": settings::WINDOW,
                   "on-time": 0.5 * self.plan.deadline, "hard-limit": self.plan.deadline, "worth": 1.0})
        };
        let settings = json!({
            "caps": {"cancel": true, "connect-timeout": 0.25, "idle-close": 10.0, "max-attempts": 4,
                     "max-retry-after": 1.0, "retry-after": true, "second-copies": true},
            "classes": [class("status-check", "free"), class("send-sms", "single_shot"),
                        class("send-batch", "guarded")],
            "me": proxy, "n-instances": self.plan.proxies, "quantum": 0.005, "registry-mode": "automatic",
            "projects": [{"name": "default", "quota-per-s": 100000.0}],
            "rules": {"ask-within": 10.0, "cold": settings::COLD, "cold-share": settings::COLD_SHARE,
                      "drain-grace": settings::DRAIN_GRACE, "fall-multiple": settings::FALL_MULTIPLE,
                      "tip-after": settings::TIP_AFTER},
            "tier": 0, "zone": "a", "zones": ["a"]
        });
        json!({"name": format!("p{proxy}"), "seed": format!("{:016x}", self.plan.seed ^ proxy as u64),
               "discovery": discovery.to_string(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
               "known": self.known, "settings": settings})
        .to_string()
    }

    /// The rules of the preload library for a proxy.
    pub(super) fn rules(&self, proxy: usize) -> Vec<String> {
        let span = |t: &Fault| format!("{}-{}", (t.at * 1e3) as u64, ((t.at + t.length) * 1e3) as u64);
        let rule = |t: &Fault| match &t.kind {
            Kind::Calls { proxy: of, rule } if *of == proxy => Some(format!("{rule}:{}", span(t))),
            // Its clock is wrong from the start of the process on: a step while it runs changes nothing that it keeps.
            Kind::WallClock { by, .. } => Some(format!("clock={by:+}@1:0-600000")),
            _ => None,
        };
        self.plan.faults.iter().filter_map(rule).collect()
    }

    pub(super) fn environment(&self, rules: Vec<String>, seed: u64) -> Vec<(String, String)> {
        let mut environment = vec![("LINKHATCH_STRICT".to_string(), "1".to_string())];
        if !rules.is_empty() {
            let faults = SyscallFaults { rules, seed, epoch_ns: Some(self.epoch_ns), counts: None };
            environment.extend(faults.environment());
        }
        environment
    }

    pub(super) fn start_proxy(&self, proxy: usize) -> Result<(), StartError> {
        let agent = lock(&self.agents)[proxy];
        let config = self.config(proxy, agent);
        let environment = self.environment(self.rules(proxy), self.plan.seed ^ proxy as u64);
        let known = lock(&self.addresses).get(proxy).copied();
        let listen = known.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let process = {
            let mut fleet = lock(&self.fleet);
            fleet.set_environment(environment);
            fleet.proxy_at(&config, &[agent], listen)?
        };
        let address = process.address();
        if known.is_none() {
            lock(&self.addresses).push(address);
        }
        lock(&self.proxies)[proxy] = Some(process);
        Ok(())
    }

    /// Waits until a proxy is ready; returns how long that took, if it came to that.
    pub(super) fn ready(&self, proxy: usize) -> Option<Duration> {
        let address = lock(&self.addresses)[proxy];
        let begin = Instant::now();
        while begin.elapsed() < READY_TIMEOUT {
            let asked =
                TcpStream::connect_timeout(&address, Duration::from_secs(1)).and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n")?;
                    let mut piece = [0; 64];
                    let read = stream.read(&mut piece)?;
                    Ok(piece[..read].starts_with(b"HTTP/1.1 200"))
                });
            if asked.unwrap_or(false) {
                return Some(begin.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    pub(super) fn broken(&self, what: String) {
        open(&self.ledger).broken.push(what);
    }

    /// Counts the violations that a process has logged.
    pub(super) fn note_log(&self, proxy: usize, process: &Process) {
        // What comes late in a process that was suspended is the suspension's.
        let was_suspended = open(&self.ledger).suspended.iter().any(|span| span.proxy == proxy);
        let is_late = |line: &String| was_suspended && !line.contains("\"late_by\":0.0,");
        let is_violation = |line: &String| line.contains("\"violation\"") && !is_late(line);
        let is_reported = |line: &String| is_violation(line) || line.contains("panicked");
        let reported = process.log_lines().into_iter().filter(is_reported);
        open(&self.ledger).broken.extend(reported.map(|line| format!("proxy {proxy} tells: {line}")));
    }

    /// Acts on the world, on its loop.
    pub(super) fn on_world(&self, act: impl FnOnce(&World) + Send + 'static) {
        self.looped.wait(move || async move {
            if let Some(world) = world() {
                act(&world);
            }
        });
    }
}

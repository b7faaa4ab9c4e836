//! The processes of a run: their configuration, environment, start and log.

use super::ledger::{SharedLedger, lock_ledger};
use super::oracle::settings;
use super::plan::{Fault, FaultKind, Plan};
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

/// How soon after its start a proxy must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The processes of a run, and the state that the threads acting on them share.
pub(super) struct Harness {
    pub(super) plan: Plan,
    pub(super) start: Instant,
    pub(super) epoch_ns: u64,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) proxies: Mutex<Vec<Option<Process>>>,
    pub(super) addresses: Mutex<Vec<SocketAddr>>,
    pub(super) agents: Mutex<Vec<SocketAddr>>,
    pub(super) node: Mutex<Option<Process>>,
    pub(super) active_faults: AtomicUsize,
    pub(super) is_finished: AtomicBool,
    pub(super) event_loop: Loop,
    pub(super) ledger: SharedLedger,
    pub(super) known_list: Value,
    pub(super) scratch: Scratch,
}

/// Locks a mutex, also after a panic of a thread that held it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Harness {
    pub(super) fn config(&self, proxy: usize, discovery: SocketAddr) -> String {
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "group": "all", "window": settings::WINDOW_S,
                   "on-time": 0.5 * self.plan.deadline, "hard-limit": self.plan.deadline, "worth": 1.0})
        };
        let settings = json!({
            "caps": {"cancel": true, "connect-timeout": 0.25, "idle-close": 10.0, "max-attempts": 4,
                     "max-retry-after": 1.0, "retry-after": true, "second-copies": true},
            "classes": [class("status-check", "free"), class("send-sms", "single_shot"),
                        class("send-batch", "guarded")],
            "me": proxy, "n-instances": self.plan.proxies, "quantum": 0.005, "registry-mode": "automatic",
            "projects": [{"name": "default", "quota-per-s": 100000.0}],
            "rules": {"ask-within": 10.0, "cold": settings::COLD_S, "cold-share": settings::COLD_SHARE,
                      "drain-grace": settings::DRAIN_GRACE_S, "fall-multiple": settings::FALL_MULTIPLE,
                      "tip-after": settings::TIP_AFTER_S},
            "tier": 0, "zone": "a", "zones": ["a"]
        });
        json!({"name": format!("p{proxy}"), "seed": format!("{:016x}", self.plan.seed ^ proxy as u64),
               "discovery": discovery.to_string(), "limits": {"cores": 1.0, "memory_mb": self.plan.limits.memory_mb, "sockets": self.plan.limits.sockets},
               "known": self.known_list, "settings": settings})
        .to_string()
    }

    /// The rules for the preload library of a proxy.
    pub(super) fn syscall_fault_rules(&self, proxy: usize) -> Vec<String> {
        let span = |fault: &Fault| {
            format!("{}-{}", (fault.at * 1e3) as u64, ((fault.at + fault.length) * 1e3) as u64)
        };
        let rule = |fault: &Fault| match &fault.kind {
            FaultKind::SystemCalls { proxy: faulty, rule } if *faulty == proxy => {
                Some(format!("{rule}:{}", span(fault)))
            }
            // The clock is wrong from the start of the process: a step while it runs would change none of its state.
            FaultKind::WallClock { offset_s, .. } => Some(format!("clock={offset_s:+}@1:0-600000")),
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
        let environment = self.environment(self.syscall_fault_rules(proxy), self.plan.seed ^ proxy as u64);
        let former_address = lock(&self.addresses).get(proxy).copied();
        let listen = former_address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let process = {
            let mut fleet = lock(&self.fleet);
            fleet.set_environment(environment);
            fleet.proxy_at(&config, &[agent], listen)?
        };
        let address = process.address();
        if former_address.is_none() {
            lock(&self.addresses).push(address);
        }
        lock(&self.proxies)[proxy] = Some(process);
        Ok(())
    }

    /// Waits until a proxy is ready; returns how long that took, or none after [`READY_TIMEOUT`].
    pub(super) fn wait_until_ready(&self, proxy: usize) -> Option<Duration> {
        let address = lock(&self.addresses)[proxy];
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            let is_ready =
                TcpStream::connect_timeout(&address, Duration::from_secs(1)).and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n")?;
                    let mut buffer = [0; 64];
                    let read = stream.read(&mut buffer)?;
                    Ok(buffer[..read].starts_with(b"HTTP/1.1 200"))
                });
            if is_ready.unwrap_or(false) {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    pub(super) fn report_violation(&self, description: String) {
        lock_ledger(&self.ledger).violations.push(description);
    }

    /// Records the violations and panics that a process has logged.
    pub(super) fn record_logged_violations(&self, proxy: usize, process: &Process) {
        // Lateness in a process that was suspended is caused by the suspension.
        let was_suspended = lock_ledger(&self.ledger).suspended.iter().any(|span| span.proxy == proxy);
        let is_late = |line: &String| was_suspended && !line.contains("\"late_by\":0.0,");
        let is_violation = |line: &String| line.contains("\"violation\"") && !is_late(line);
        let is_recorded = |line: &String| is_violation(line) || line.contains("panicked");
        let violations = process.log_lines().into_iter().filter(is_recorded);
        lock_ledger(&self.ledger)
            .violations
            .extend(violations.map(|line| format!("proxy {proxy} logged: {line}")));
    }

    /// Runs `act` on the world, on its event loop, and waits for it.
    pub(super) fn on_world(&self, act: impl FnOnce(&World) + Send + 'static) {
        self.event_loop.wait(move || async move {
            if let Some(world) = world() {
                act(&world);
            }
        });
    }
}

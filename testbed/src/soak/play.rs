//! Runs one plan: starts the processes and their simulated surroundings, injects the faults, and has the oracle check
//! what was observed.

use super::ledger::{ClientRequest, Ledger, ResourcePeak, SharedLedger, lock_ledger};
use super::oracle::{Oracle, Violation};
use super::plan::{FaultKind, Plan};
use super::resources::start_monitor;
use super::stage::{Harness, lock};
use super::world::{set_up, world};
use crate::process::Fleet;
use crate::rt::Loop;
use crate::scratch::Scratch;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// All processes of a run are killed after this time.
const FLEET_DEADLINE: Duration = Duration::from_secs(120);
/// Requests outstanding at the end of a run have ended this long after the longest deadline.
const SETTLE_DURATION: Duration = Duration::from_millis(800);
/// How many lines of the list-service node's log are shown if it ended or violated a rule.
const MAX_LOG_LINES: usize = 8;
/// The interval at which a thread polls a condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The violations.
    pub violations: Vec<Violation>,
    /// The number of requests that clients sent.
    pub requests: usize,
    /// The number of requests that were answered with 200.
    pub served: usize,
    /// The number of requests that were answered with 503 or 429.
    pub refused: usize,
    /// The number of requests sent to a proxy between SIGTERM and its end.
    pub sent_after_sigterm: usize,
    /// The number of violations that the program itself logged.
    pub logged_violations: usize,
    /// The highest use of each resource by a proxy's process.
    pub resources: ResourcePeak,
}

fn monotonic_ns() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * 1_000_000_000 + now.tv_nsec() as u64)
}

/// Runs a plan with this program.
///
/// # Errors
/// Where the processes or their simulated surroundings cannot be started.
pub fn run_plan(plan: &Plan, program: &Path) -> Result<RunResult, String> {
    let ledger: SharedLedger =
        Arc::new(Mutex::new(Ledger { notified: vec![Vec::new(); plan.proxies], ..Ledger::default() }));
    let event_loop = Loop::start("soak").map_err(|e| e.to_string())?;
    let (plan_copy, ledger_copy) = (plan.clone(), ledger.clone());
    let set_up = event_loop
        .wait(move || set_up(plan_copy, ledger_copy))
        .ok_or("the backends, clients and discovery could not be set up")?;
    let (agents, known_list) = set_up.map_err(|e| e.to_string())?;
    let scratch = Scratch::new("soak").map_err(|e| e.to_string())?;
    let fleet = Fleet::new(program, scratch.path(), FLEET_DEADLINE);
    // The time until all processes have started; the preload library counts time from its end.
    let startup = Duration::from_millis(300 + 40 * plan.proxies as u64);
    let harness = Arc::new(Harness {
        plan: plan.clone(),
        start: Instant::now() + startup,
        epoch_ns: monotonic_ns() + startup.as_nanos() as u64,
        fleet: Mutex::new(fleet),
        proxies: Mutex::new((0..plan.proxies).map(|_| None).collect()),
        addresses: Mutex::default(),
        agents: Mutex::new(agents),
        node: Mutex::default(),
        active_faults: AtomicUsize::new(0),
        is_finished: AtomicBool::new(false),
        event_loop: event_loop.clone(),
        ledger: ledger.clone(),
        known_list,
        scratch,
    });
    for proxy in 0..plan.proxies {
        harness.start_proxy(proxy).map_err(|e| e.to_string())?;
    }
    for proxy in 0..plan.proxies {
        harness.wait_until_ready(proxy).ok_or(format!("proxy {proxy} is not ready"))?;
    }
    let addresses = lock(&harness.addresses).clone();
    let (proxies, clients, seed) = (plan.proxies, plan.clients, plan.seed);
    harness.on_world(move |world| {
        *world.front.addresses.borrow_mut() = addresses;
        for client in 0..proxies * clients {
            tokio::task::spawn_local(
                world.clients.clone().run(client % proxies, seed ^ (client as u64) << 20),
            );
        }
    });
    let monitor = start_monitor(&harness);
    let threads = run_faults(&harness);
    let end = harness.start + Duration::from_secs_f64(plan.seconds);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    finish(&harness);
    harness.is_finished.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain([monitor]) {
        thread.join().map_err(|_| "a thread that injects a fault or samples resources panicked")?;
    }
    let ledger = lock_ledger(&ledger);
    let violations = Oracle::new(plan, &ledger, harness.start).check();
    let count_answers = |wanted: &dyn Fn(u16) -> bool| {
        let is_counted = |request: &&ClientRequest| {
            matches!(
                request.outcome,
                super::ledger::Outcome::Answered { status, .. } if wanted(status)
            )
        };
        ledger.requests.iter().filter(is_counted).count()
    };
    Ok(RunResult {
        requests: ledger.requests.len(),
        served: count_answers(&|s| s == 200),
        refused: count_answers(&|s| s == 503 || s == 429),
        sent_after_sigterm: sent_after_sigterm(&ledger),
        resources: highest_use(&ledger),
        logged_violations: violations.iter().filter(|b| b.description.contains(" logged: ")).count(),
        violations,
    })
}

/// The highest use of each resource by any process.
fn highest_use(ledger: &Ledger) -> ResourcePeak {
    let peaks = ledger.resources.values();
    peaks.fold(ResourcePeak::default(), |highest, peak| ResourcePeak {
        memory_kb: highest.memory_kb.max(peak.memory_kb),
        descriptors: highest.descriptors.max(peak.descriptors),
    })
}

/// The number of requests that clients sent to a proxy between SIGTERM and its end.
fn sent_after_sigterm(ledger: &Ledger) -> usize {
    let is_sent_then = |request: &&ClientRequest| {
        ledger
            .stopped
            .iter()
            .any(|span| span.proxy == request.proxy && (span.from..span.to).contains(&request.sent_at))
    };
    ledger.requests.iter().filter(is_sent_then).count()
}

/// Injects each fault at its time, in a thread of its own; returns once all have been lifted. The threads end once the
/// run has finished.
fn run_faults(harness: &Arc<Harness>) -> Vec<JoinHandle<()>> {
    let threads: Vec<_> = harness
        .plan
        .faults
        .clone()
        .into_iter()
        .map(|fault| {
            let harness = harness.clone();
            harness.active_faults.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                // A list-service node starts before its disk fails.
                let lead = if matches!(fault.kind, FaultKind::Disk { .. }) { fault.at } else { 0.0 };
                let at = harness.start + Duration::from_secs_f64(fault.at - lead);
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                harness.inject(&fault);
                harness.active_faults.fetch_sub(1, Ordering::SeqCst);
                // Processes that this thread has started end with it (`crate::process`).
                while !harness.is_finished.load(Ordering::SeqCst) {
                    std::thread::sleep(POLL_INTERVAL);
                }
            })
        })
        .collect();
    while harness.active_faults.load(Ordering::SeqCst) > 0
        && threads.iter().any(|thread| !thread.is_finished())
    {
        std::thread::sleep(POLL_INTERVAL);
    }
    threads
}

/// Stops the clients, then checks the registrations at the list service and that all processes still run.
fn finish(harness: &Harness) {
    harness.on_world(|world| {
        world.clients.is_stopped.set(true);
        if let Some(writer) = world.writer.borrow().as_ref() {
            writer.is_stopped.set(true);
        }
    });
    std::thread::sleep(Duration::from_secs_f64(harness.plan.deadline) + SETTLE_DURATION);
    let lost_ids = harness.event_loop.wait(|| async {
        let writer = world().and_then(|world| world.writer.borrow().clone());
        match writer {
            Some(writer) => writer.lost_registrations().await,
            None => Vec::new(),
        }
    });
    for id in lost_ids.unwrap_or_default() {
        harness.report_violation(format!("list service: {id} was acknowledged and is not listed"));
    }
    if let Some(node) = lock(&harness.node).as_mut() {
        let ended = node.wait_exit(Duration::from_millis(1)).is_some();
        let lines = node.log_lines();
        let last = lines.iter().rev().take(MAX_LOG_LINES).rev().cloned().collect::<Vec<_>>().join(" | ");
        let has_violation = lock_ledger(&harness.ledger)
            .violations
            .iter()
            .any(|violation| violation.starts_with("list service"));
        if ended || has_violation {
            harness.report_violation(format!("list service: ended {ended}, its last log lines: {last}"));
        }
    }
    for (proxy, process) in lock(&harness.proxies).iter_mut().enumerate() {
        let Some(process) = process else { continue };
        let ended = process.wait_exit(Duration::from_millis(1));
        if ended.is_some() {
            let last = process.log_lines().pop().unwrap_or_default();
            harness.report_violation(format!("proxy {proxy} ended unexpectedly: {last}"));
        }
        harness.record_logged_violations(proxy, process);
    }
}

/// Writes a plan to a file.
///
/// # Errors
/// Where the plan cannot be written as TOML, or the file cannot be written.
pub fn save(plan: &Plan, path: &PathBuf) -> Result<(), String> {
    let text = toml::to_string(plan).map_err(|e| e.to_string())?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

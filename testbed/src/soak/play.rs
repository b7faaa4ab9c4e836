//! Plays one plan: starts the processes and what stands around them, makes the faults happen, and hands what was seen to
//! the oracle.

use super::ledger::{ClientRequest, Ledger, Shared, open};
use super::oracle::{Break, Oracle};
use super::plan::{Kind, Plan};
use super::stage::{Stage, lock};
use super::world::{set_up, world};
use crate::process::Fleet;
use crate::rt::Loop;
use crate::scratch::Scratch;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// All processes of a play are killed after so long.
const FLEET_DEADLINE: Duration = Duration::from_secs(120);
/// What clients have out at the end of a play has its answers within this.
const SETTLE: Duration = Duration::from_millis(800);
/// Lines of a node's log that are shown where it was disturbed.
const LAST_LINES: usize = 8;
/// How often a thread looks whether it may go on.
const POLL: Duration = Duration::from_millis(10);

/// How a play ended.
#[derive(Clone, Debug)]
pub struct Played {
    /// What was broken.
    pub breaks: Vec<Break>,
    /// Requests of clients.
    pub tries: usize,
    /// Those that were served.
    pub served: usize,
    /// Those that were refused.
    pub refused: usize,
    /// Requests sent to a proxy between SIGTERM and its end.
    pub sent_after_sigterm: usize,
    /// Violations that the program itself has logged.
    pub reported_violations: usize,
}

fn monotonic_ns() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * 1_000_000_000 + now.tv_nsec() as u64)
}

/// Plays a plan on this program.
///
/// # Errors
/// Where the processes or what stands around them cannot be started.
pub fn play(plan: &Plan, program: &Path) -> Result<Played, String> {
    let ledger: Shared =
        Arc::new(Mutex::new(Ledger { notified: vec![Vec::new(); plan.proxies], ..Ledger::default() }));
    let looped = Loop::start("soak").map_err(|e| e.to_string())?;
    let (made, seen) = (plan.clone(), ledger.clone());
    let set_up = looped.wait(move || set_up(made, seen)).ok_or("the world could not be set up")?;
    let (agents, known) = set_up.map_err(|e| e.to_string())?;
    let scratch = Scratch::new("soak").map_err(|e| e.to_string())?;
    let fleet = Fleet::new(program, scratch.path(), FLEET_DEADLINE);
    // What the preload library counts time from, until all processes are up.
    let starting = Duration::from_millis(300 + 40 * plan.proxies as u64);
    let stage = Arc::new(Stage {
        plan: plan.clone(),
        start: Instant::now() + starting,
        epoch_ns: monotonic_ns() + starting.as_nanos() as u64,
        fleet: Mutex::new(fleet),
        proxies: Mutex::new((0..plan.proxies).map(|_| None).collect()),
        addresses: Mutex::default(),
        agents: Mutex::new(agents),
        node: Mutex::default(),
        at_work: AtomicUsize::new(0),
        over: AtomicBool::new(false),
        looped: looped.clone(),
        ledger: ledger.clone(),
        known,
        scratch,
    });
    for proxy in 0..plan.proxies {
        stage.start_proxy(proxy).map_err(|e| e.to_string())?;
    }
    for proxy in 0..plan.proxies {
        stage.ready(proxy).ok_or(format!("proxy {proxy} is not ready"))?;
    }
    let addresses = lock(&stage.addresses).clone();
    let (proxies, clients, seed) = (plan.proxies, plan.clients, plan.seed);
    stage.on_world(move |world| {
        *world.front.addresses.borrow_mut() = addresses;
        for client in 0..proxies * clients {
            tokio::task::spawn_local(
                world.clients.clone().play(client % proxies, seed ^ (client as u64) << 20),
            );
        }
    });
    let threads = run_faults(&stage);
    let end = stage.start + Duration::from_secs_f64(plan.seconds);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    finish(&stage);
    stage.over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| "a fault could not be made")?;
    }
    let ledger = open(&ledger);
    let breaks = Oracle::new(plan, &ledger, stage.start).judge();
    let status = |wanted: &dyn Fn(u16) -> bool| {
        let is = |one: &&ClientRequest| matches!(one.end, super::ledger::End::Answered { status, .. } if wanted(status));
        ledger.requests.iter().filter(is).count()
    };
    Ok(Played {
        tries: ledger.requests.len(),
        served: status(&|s| s == 200),
        refused: status(&|s| s == 503 || s == 429),
        sent_after_sigterm: sent_after_sigterm(&ledger),
        reported_violations: breaks.iter().filter(|b| b.what.contains(" tells: ")).count(),
        breaks,
    })
}

/// Requests that clients sent to a proxy between SIGTERM and its end.
fn sent_after_sigterm(ledger: &Ledger) -> usize {
    let is_sent_then = |one: &&ClientRequest| {
        ledger.stopped.iter().any(|span| span.proxy == one.proxy && (span.from..span.to).contains(&one.sent))
    };
    ledger.requests.iter().filter(is_sent_then).count()
}

/// Each fault in a thread of its own, at its time; returns once all have been begun and lifted. The threads end once
/// the stage is over.
fn run_faults(stage: &Arc<Stage>) -> Vec<JoinHandle<()>> {
    let threads: Vec<_> = stage
        .plan
        .faults
        .clone()
        .into_iter()
        .map(|fault| {
            let stage = stage.clone();
            stage.at_work.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                // A list-service node is up before its disk fails.
                let lead = if matches!(fault.kind, Kind::Disk { .. }) { fault.at } else { 0.0 };
                let at = stage.start + Duration::from_secs_f64(fault.at - lead);
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                stage.inject(&fault);
                stage.at_work.fetch_sub(1, Ordering::SeqCst);
                // What this thread has started ends with it (`crate::process`).
                while !stage.over.load(Ordering::SeqCst) {
                    std::thread::sleep(POLL);
                }
            })
        })
        .collect();
    while stage.at_work.load(Ordering::SeqCst) > 0 && threads.iter().any(|thread| !thread.is_finished()) {
        std::thread::sleep(POLL);
    }
    threads
}

/// Ends the clients, looks at the list service's writes, and whether all processes are still there.
fn finish(stage: &Stage) {
    stage.on_world(|world| {
        world.clients.over.set(true);
        if let Some(writes) = world.writes.borrow().as_ref() {
            writes.over.set(true);
        }
    });
    std::thread::sleep(Duration::from_secs_f64(stage.plan.deadline) + SETTLE);
    let lost = stage.looped.wait(|| async {
        let writes = world().and_then(|world| world.writes.borrow().clone());
        match writes {
            Some(writes) => writes.lost().await,
            None => Vec::new(),
        }
    });
    for id in lost.unwrap_or_default() {
        stage.broken(format!("list service: {id} was acknowledged and is not listed"));
    }
    if let Some(node) = lock(&stage.node).as_mut() {
        let ended = node.wait_exit(Duration::from_millis(1)).is_some();
        let lines = node.log_lines();
        let last = lines.iter().rev().take(LAST_LINES).rev().cloned().collect::<Vec<_>>().join(" | ");
        let disturbed = open(&stage.ledger).broken.iter().any(|what| what.starts_with("list service"));
        if ended || disturbed {
            stage.broken(format!("list service: ended {ended}, its last words: {last}"));
        }
    }
    for (proxy, process) in lock(&stage.proxies).iter_mut().enumerate() {
        let Some(process) = process else { continue };
        let ended = process.wait_exit(Duration::from_millis(1));
        if ended.is_some() {
            let last = process.log_lines().pop().unwrap_or_default();
            stage.broken(format!("proxy {proxy} ended by itself: {last}"));
        }
        stage.note_log(proxy, process);
    }
}

/// Writes a plan as a file.
///
/// # Errors
/// The system's, or that the plan cannot be written as TOML.
pub fn save(plan: &Plan, path: &PathBuf) -> Result<(), String> {
    let text = toml::to_string(plan).map_err(|e| e.to_string())?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

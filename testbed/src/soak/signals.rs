//! Signals to the proxies of a play, and their restarts.

use super::ledger::{Span, open};
use super::plan::{SeriesSignal, SignalStep};
use super::stage::{Stage, lock};
use super::world::world;
use crate::process::Process;
use nix::sys::signal::Signal;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long after SIGTERM the front goes on with new connections.
const FRONT_NOTICE: Duration = Duration::from_millis(300);
/// SIGKILL comes this many seconds after SIGTERM and the longest deadline,
const KILL_DELAY_S: f64 = 0.7;
/// which counts as this many seconds at most.
const MAX_COUNTED_DEADLINE_S: f64 = 3.0;

/// A client between two requests finds its connection closed by a kill this much later at most: its pause is 60 ms.
const MAX_CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// When a process is suspended after SIGTERM, and for how long, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspension {
    pub(super) after: f64,
    pub(super) length: f64,
}

impl Stage {
    fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(process) = &lock(&self.proxies)[proxy] {
            process.signal(signal);
        }
    }

    fn takes(&self, proxy: usize, takes: bool) {
        self.looped.spawn(move || async move {
            if let Some(world) = world() {
                world.front.takes.borrow_mut()[proxy] = takes;
            }
        });
    }

    fn restart(&self, proxy: usize) {
        if let Err(error) = self.start_proxy(proxy) {
            return self.broken(format!("proxy {proxy} does not start again: {error}"));
        }
        match self.ready(proxy) {
            Some(_) => self.takes(proxy, true),
            None => self.broken(format!("proxy {proxy} is not ready within 10 s of its start")),
        }
    }

    pub(super) fn suspend_and_resume(&self, proxy: usize, length: f64) {
        let from = Instant::now();
        self.signal(proxy, Signal::SIGSTOP);
        std::thread::sleep(Duration::from_secs_f64(length));
        self.signal(proxy, Signal::SIGCONT);
        open(&self.ledger).suspended.push(Span { proxy, from, to: Instant::now() });
    }

    /// Stops a proxy by SIGTERM, among other signals, and starts it again. SIGKILL comes as early as it may; until then
    /// clients use the connections that stay open.
    pub(super) fn stop(
        &self,
        proxy: usize,
        suspension: Suspension,
        before: &[SignalStep],
        after: &[SignalStep],
    ) {
        self.send_series(proxy, before);
        let Some(mut process) = lock(&self.proxies)[proxy].take() else { return };
        process.signal(Signal::SIGTERM);
        let terminated_at = Instant::now();
        let kill_at = terminated_at + self.kill_delay();
        let mut series: VecDeque<SignalStep> = after.iter().copied().collect();
        let mut next_signal_at = terminated_at;
        let mut is_noticed = false;
        let mut is_suspended = suspension.length <= 0.0;
        let mut ended = None;
        while Instant::now() < kill_at && ended.is_none() {
            if !is_noticed && terminated_at.elapsed() >= FRONT_NOTICE {
                self.takes(proxy, false);
                is_noticed = true;
            }
            if !is_suspended && terminated_at.elapsed().as_secs_f64() >= suspension.after {
                is_suspended = true;
                self.suspend(proxy, &process, suspension.length);
            }
            if Instant::now() >= next_signal_at
                && let Some(step) = series.pop_front()
            {
                self.send_step(proxy, &process, step);
                next_signal_at = Instant::now() + Duration::from_secs_f64(step.gap);
            }
            ended = process.wait_exit(Duration::from_millis(10));
        }
        self.takes(proxy, false);
        self.note_log(proxy, &process);
        process.kill();
        open(&self.ledger).stopped.push(Span { proxy, from: terminated_at, to: Instant::now() });
        if ended == Some(false) {
            self.broken(format!("proxy {proxy} fails on SIGTERM"));
        }
        self.restart(proxy);
    }

    /// From SIGTERM to the earliest SIGKILL.
    fn kill_delay(&self) -> Duration {
        Duration::from_secs_f64(self.plan.deadline.min(MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S)
    }

    /// Sends the signals of a series to a proxy that runs, each after the gap of the one before.
    fn send_series(&self, proxy: usize, series: &[SignalStep]) {
        for step in series {
            if step.signal == SeriesSignal::Reload {
                self.reload(proxy);
            } else if let Some(process) = &lock(&self.proxies)[proxy] {
                self.send_step(proxy, process, *step);
            }
            std::thread::sleep(Duration::from_secs_f64(step.gap));
        }
    }

    fn send_step(&self, proxy: usize, process: &Process, step: SignalStep) {
        match step.signal {
            SeriesSignal::Reload => process.signal(Signal::SIGHUP),
            SeriesSignal::Terminate => process.signal(Signal::SIGTERM),
            SeriesSignal::Suspend => self.suspend(proxy, process, step.gap),
        }
    }

    /// Suspends a process for `length` seconds.
    fn suspend(&self, proxy: usize, process: &Process, length: f64) {
        let from = Instant::now();
        process.signal(Signal::SIGSTOP);
        std::thread::sleep(Duration::from_secs_f64(length));
        process.signal(Signal::SIGCONT);
        open(&self.ledger).suspended.push(Span { proxy, from, to: Instant::now() });
    }

    pub(super) fn kill(&self, proxy: usize) {
        let Some(mut process) = lock(&self.proxies)[proxy].take() else { return };
        let from = Instant::now();
        process.kill();
        std::thread::sleep(Duration::from_millis(50));
        self.takes(proxy, false);
        let last_use = Instant::now() + MAX_CLIENT_PAUSE;
        open(&self.ledger).killed.push(Span { proxy, from, to: last_use });
        self.restart(proxy);
    }

    pub(super) fn reload(&self, proxy: usize) {
        let (address_sender, moved) = std::sync::mpsc::channel();
        self.looped.spawn(move || async move {
            let Some(world) = world() else { return };
            let Ok(agent) = world.discovery.agent(proxy).await else { return };
            let address = agent.address;
            let old = std::mem::replace(&mut world.agents.borrow_mut()[proxy], agent);
            world.discovery.leave(&old);
            let _ = address_sender.send(address); // whoever asked may have gone
        });
        let Ok(address) = moved.recv_timeout(Duration::from_secs(5)) else { return };
        let path = lock(&self.proxies)[proxy].as_ref().map(|process| process.config_path().to_path_buf());
        lock(&self.agents)[proxy] = address;
        let Some(path) = path else { return };
        if std::fs::write(&path, self.config(proxy, address)).is_ok() {
            self.signal(proxy, Signal::SIGHUP);
        }
    }
}

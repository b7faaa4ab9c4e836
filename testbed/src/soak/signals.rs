//! Signals to the proxies of a run, and their restarts.

use super::ledger::{Span, lock_ledger};
use super::plan::{SeriesSignal, SignalStep};
use super::stage::{Harness, lock};
use super::world::world;
use crate::process::Process;
use nix::sys::signal::Signal;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long after SIGTERM clients still open new connections to a proxy.
const CLIENT_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The time from SIGTERM to SIGKILL beyond the longest deadline, in seconds.
const KILL_DELAY_S: f64 = 0.7;
/// The maximum that the longest deadline adds to the time from SIGTERM to SIGKILL, in seconds.
const MAX_COUNTED_DEADLINE_S: f64 = 3.0;

/// How long after a kill a client may still use a connection that the kill closed: clients pause for up to 60 ms.
const MAX_CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// When a process is suspended after SIGTERM, and for how long, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspension {
    pub(super) after: f64,
    pub(super) length: f64,
}

impl Harness {
    fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(process) = &lock(&self.proxies)[proxy] {
            process.signal(signal);
        }
    }

    fn set_in_service(&self, proxy: usize, in_service: bool) {
        self.event_loop.spawn(move || async move {
            if let Some(world) = world() {
                world.front.in_service.borrow_mut()[proxy] = in_service;
            }
        });
    }

    fn restart(&self, proxy: usize) {
        if let Err(error) = self.start_proxy(proxy) {
            return self.report_violation(format!("proxy {proxy} did not restart: {error}"));
        }
        match self.wait_until_ready(proxy) {
            Some(_) => self.set_in_service(proxy, true),
            None => self.report_violation(format!("proxy {proxy} was not ready within 10 s of its restart")),
        }
    }

    pub(super) fn suspend_and_resume(&self, proxy: usize, length: f64) {
        let from = Instant::now();
        self.signal(proxy, Signal::SIGSTOP);
        std::thread::sleep(Duration::from_secs_f64(length));
        self.signal(proxy, Signal::SIGCONT);
        lock_ledger(&self.ledger).suspended.push(Span { proxy, from, to: Instant::now() });
    }

    /// Stops a proxy by SIGTERM, with other signals before and after it, and restarts it. SIGKILL is sent as early
    /// as is allowed; until then clients use the connections that stay open.
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
        let mut is_out_of_service = false;
        let mut suspension_done = suspension.length <= 0.0;
        let mut ended = None;
        while Instant::now() < kill_at && ended.is_none() {
            if !is_out_of_service && terminated_at.elapsed() >= CLIENT_NOTICE_DELAY {
                self.set_in_service(proxy, false);
                is_out_of_service = true;
            }
            if !suspension_done && terminated_at.elapsed().as_secs_f64() >= suspension.after {
                suspension_done = true;
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
        self.set_in_service(proxy, false);
        self.record_logged_violations(proxy, &process);
        process.kill();
        lock_ledger(&self.ledger).stopped.push(Span { proxy, from: terminated_at, to: Instant::now() });
        if ended == Some(false) {
            self.report_violation(format!("proxy {proxy} exited with an error after SIGTERM"));
        }
        self.restart(proxy);
    }

    /// The time from SIGTERM to the earliest SIGKILL.
    fn kill_delay(&self) -> Duration {
        Duration::from_secs_f64(self.plan.deadline.min(MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S)
    }

    /// Sends the signals of a series to a running proxy, each after the gap of the one before.
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
        lock_ledger(&self.ledger).suspended.push(Span { proxy, from, to: Instant::now() });
    }

    pub(super) fn kill(&self, proxy: usize) {
        let Some(mut process) = lock(&self.proxies)[proxy].take() else { return };
        let from = Instant::now();
        process.kill();
        std::thread::sleep(Duration::from_millis(50));
        self.set_in_service(proxy, false);
        let last_use = Instant::now() + MAX_CLIENT_PAUSE;
        lock_ledger(&self.ledger).killed.push(Span { proxy, from, to: last_use });
        self.restart(proxy);
    }

    pub(super) fn reload(&self, proxy: usize) {
        let (address_sender, new_address) = std::sync::mpsc::channel();
        self.event_loop.spawn(move || async move {
            let Some(world) = world() else { return };
            let Ok(agent) = world.discovery.start_agent(proxy).await else { return };
            let address = agent.address;
            let old = std::mem::replace(&mut world.agents.borrow_mut()[proxy], agent);
            world.discovery.retire(&old);
            let _ = address_sender.send(address); // the receiver is gone after its time-out
        });
        let Ok(address) = new_address.recv_timeout(Duration::from_secs(5)) else { return };
        let path = lock(&self.proxies)[proxy].as_ref().map(|process| process.config_path().to_path_buf());
        lock(&self.agents)[proxy] = address;
        let Some(path) = path else { return };
        if std::fs::write(&path, self.config(proxy, address)).is_ok() {
            self.signal(proxy, Signal::SIGHUP);
        }
    }
}

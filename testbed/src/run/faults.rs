//! Performs the steps of a run's timeline: applies its faults, and lifts them.

use super::fleet::{Placement, Run, Target};
use super::timeline::Step;
use crate::spec::{Fault, FaultKind};
use crate::stage::set_direct_address;
use nix::sys::signal::Signal;
use serde_json::json;
use std::time::Duration;

/// How long a replaced backend drains before it ends, in seconds.
const REPLACED_DRAIN_S: f64 = 1.5;
/// How long after SIGTERM the load balancer stops sending requests to a proxy, in seconds.
const BALANCER_STOP_DELAY_S: f64 = 0.3;
/// The period of repeated faults of a backend, in seconds.
const REPEAT_PERIOD_S: f64 = 1.0;

impl Run<'_> {
    /// Performs a step of the timeline.
    pub fn perform(&mut self, step: Step) {
        let now = self.record.now();
        match step {
            Step::SetProxyInRotation { proxy, alive } => self.set_in_rotation(proxy, alive),
            Step::RemoveBackend { tier, id } => self.remove_backend(tier, id),
            Step::Freeze { slot, duration, ends_at } => self.freeze(slot, duration, ends_at, now),
            Step::NoisyNeighbour { slot, part, ends_at, active } => {
                self.noisy_neighbour(slot, part, ends_at, active, now);
            }
            Step::ApplyFault(index, Some(target)) => {
                let fault = self.experiment.faults[index].clone();
                self.apply(&fault, &[target], now);
            }
            Step::ApplyFault(index, None) => self.apply_to_group(index, now),
            Step::LiftFault(index, targets) => {
                let fault = self.experiment.faults[index].clone();
                self.fault_log.push((now, format!("{:?} ends", fault.kind).to_lowercase()));
                self.lift(&fault, &targets, now);
            }
        }
    }

    /// Applies a fault to all targets of its group, at once or one after another, and schedules its end.
    fn apply_to_group(&mut self, index: usize, now: f64) {
        let fault = self.experiment.faults[index].clone();
        let group_text = self.experiment.groups.get(&fault.targets).unwrap_or(&fault.targets);
        let to = fault.to.as_ref().map_or(String::new(), |to| format!(" to {to}"));
        self.fault_log.push((now, format!("{:?} {group_text}{to}", fault.kind).to_lowercase()));
        // The group was checked when the file was read.
        let Ok(group) = self.experiment.group(&fault.targets) else { return };
        let seed = self.options.seed ^ (index as u64) << 8;
        let targets = self.targets(&group, seed);
        if fault.within > 0.0 {
            let gap = fault.within / targets.len().max(1) as f64;
            for (k, target) in targets.iter().enumerate() {
                self.timeline.schedule(now + k as f64 * gap, Step::ApplyFault(index, Some(*target)));
            }
        } else {
            self.apply(&fault, &targets, now);
        }
        if let Some(length) = fault.length {
            self.timeline.schedule(now + length, Step::LiftFault(index, targets));
        }
    }

    fn apply(&mut self, fault: &Fault, targets: &[Target], now: f64) {
        if fault.to.is_some() {
            return self.set_links(fault, targets, Some(fault.by_ms.unwrap_or(0.0) / 1e3));
        }
        self.signal_all(fault.kind, targets);
        let ends_at = now + fault.length.unwrap_or(f64::INFINITY);
        let balancer_notices_at = now + self.experiment.load.balancer_delay_s;
        for target in targets.iter().copied() {
            match (fault.kind, target) {
                (FaultKind::Kill, Target::Proxy(proxy)) => {
                    self.proxies[proxy].process = None;
                    self.schedule_in_rotation(balancer_notices_at, proxy, false);
                }
                (FaultKind::Kill, Target::Node(node)) => self.lists[0].kill(node),
                (FaultKind::Kill, Target::Backend(slot)) => self.kill_backend(slot),
                (FaultKind::Stop, Target::Proxy(proxy)) => {
                    self.schedule_in_rotation(balancer_notices_at, proxy, false);
                }
                (FaultKind::Term, Target::Proxy(proxy)) => {
                    self.schedule_in_rotation(now + BALANCER_STOP_DELAY_S, proxy, false);
                }
                (FaultKind::Start, target) => self.start(target, now),
                (kind, Target::Backend(slot)) => self.apply_to_backend(kind, fault, slot, now, ends_at),
                _ => {}
            }
        }
    }

    /// Signals all targets before waiting for any of them, so that they end together.
    fn signal_all(&mut self, kind: FaultKind, targets: &[Target]) {
        let signal = match kind {
            FaultKind::Kill => Signal::SIGKILL,
            FaultKind::Stop => Signal::SIGSTOP,
            FaultKind::Term => Signal::SIGTERM,
            _ => return,
        };
        for target in targets {
            if let Target::Proxy(proxy) = target
                && kind != FaultKind::Term
            {
                self.record.down(*proxy);
            }
            self.signal(*target, signal);
        }
    }

    fn signal(&mut self, target: Target, signal: Signal) {
        let process = match target {
            Target::Proxy(proxy) => self.proxies.get_mut(proxy).and_then(|proxy| proxy.process.as_mut()),
            Target::Node(node) => self.lists[0].node(node),
            Target::Backend(_) | Target::Clients => None,
        };
        if let Some(process) = process {
            process.signal(signal);
        }
    }

    fn apply_to_backend(&mut self, kind: FaultKind, fault: &Fault, slot: usize, now: f64, ends_at: f64) {
        let part = fault.part.unwrap_or(1.0);
        let seconds = fault.by_ms.unwrap_or(0.0) / 1e3;
        match kind {
            FaultKind::Stop => self.backends.with(slot, |b, _| b.change_faults(|f| f.is_unresponsive = true)),
            FaultKind::Drain => self.drain(slot),
            FaultKind::Replace => self.replace(slot, now),
            FaultKind::Slow => self.backends.with(slot, move |b, _| b.change_model(|m| m.slow_to(part))),
            FaultKind::Freeze => {
                self.timeline.schedule(now, Step::Freeze { slot, duration: seconds, ends_at });
            }
            FaultKind::Neighbour => {
                self.timeline.schedule(now, Step::NoisyNeighbour { slot, part, ends_at, active: true });
            }
            FaultKind::FailFast => {
                self.backends.with(slot, move |b, _| b.change_faults(|f| f.failure_share = part));
            }
            FaultKind::LateReports => {
                self.backends.with(slot, move |b, _| b.change_faults(|f| f.report_delay_s = seconds));
            }
            FaultKind::LyingReports => {
                self.backends.with(slot, |b, _| b.change_faults(|f| f.reports_idle = true));
            }
            FaultKind::Weight => self.set_weight(slot, part),
            _ => {}
        }
    }

    fn lift(&mut self, fault: &Fault, targets: &[Target], now: f64) {
        if fault.to.is_some() {
            return self.set_links(fault, targets, None);
        }
        for target in targets.iter().copied() {
            match (fault.kind, target) {
                (FaultKind::Kill | FaultKind::Term, target) => self.start(target, now),
                (FaultKind::Stop, Target::Proxy(proxy)) => {
                    self.signal(target, Signal::SIGCONT);
                    self.record.up(proxy);
                    self.schedule_in_rotation(now + self.experiment.load.balancer_delay_s, proxy, true);
                }
                (FaultKind::Stop, Target::Node(_)) => self.signal(target, Signal::SIGCONT),
                (kind, Target::Backend(slot)) => self.lift_from_backend(kind, slot, now),
                _ => {}
            }
        }
    }

    fn lift_from_backend(&mut self, kind: FaultKind, slot: usize, now: f64) {
        match kind {
            FaultKind::Stop => {
                self.backends.with(slot, |b, _| b.change_faults(|f| f.is_unresponsive = false));
            }
            FaultKind::Drain => {
                let (tier, id) = (self.slots[slot].tier, self.slots[slot].id.clone());
                self.slots[slot].address = None;
                self.timeline.schedule(now, Step::RemoveBackend { tier, id });
            }
            FaultKind::Slow => self.backends.with(slot, |b, _| b.change_model(|m| m.slow_to(1.0))),
            FaultKind::FailFast => {
                self.backends.with(slot, |b, _| b.change_faults(|f| f.failure_share = 0.0));
            }
            FaultKind::LateReports => {
                self.backends.with(slot, |b, _| b.change_faults(|f| f.report_delay_s = 0.0));
            }
            FaultKind::LyingReports => {
                self.backends.with(slot, |b, _| b.change_faults(|f| f.reports_idle = false));
            }
            FaultKind::Weight => self.set_weight(slot, self.slots[slot].kind.weight),
            _ => {}
        }
    }

    /// Starts a stopped target: a proxy at its address, a backend in slow start, a list node with its data.
    fn start(&mut self, target: Target, now: f64) {
        match target {
            Target::Proxy(proxy) if proxy < self.proxies.len() => {
                self.proxies[proxy].process = None;
                if self.restart_proxy(proxy) {
                    self.schedule_in_rotation(now + self.experiment.load.balancer_delay_s, proxy, true);
                }
            }
            Target::Backend(slot) => {
                let sidecar = self.sidecar_of(slot);
                let _ = self.place_backend(slot, Placement::Restart); // without a port it is left out
                if let Some(proxy) = sidecar {
                    self.restart_proxy(proxy);
                }
            }
            Target::Node(node) => {
                if let Err(error) = self.lists[0].start_node(&mut self.fleet, node, "") {
                    self.record.violation(|| format!("list node {node} did not restart: {error}"));
                }
            }
            Target::Proxy(_) | Target::Clients => {}
        }
    }

    /// Restarts a proxy; records a violation where that fails.
    fn restart_proxy(&mut self, proxy: usize) -> bool {
        let started = self.start_proxy(proxy);
        if let Err(error) = &started {
            self.record.violation(|| format!("proxy {proxy} did not restart: {error}"));
        }
        started.is_ok()
    }

    fn kill_backend(&mut self, slot: usize) {
        let id = self.slots[slot].id.clone();
        self.slots[slot].address = None;
        self.backends.kill(&id);
        set_direct_address(self.direct.as_ref(), slot, None);
        self.writes.push(move |writer| writer.stop_heartbeats(&id));
        if let Some(sidecar) = self.sidecar_of(slot) {
            self.record.down(sidecar);
            self.proxies[sidecar].process = None;
        }
    }

    fn drain(&mut self, slot: usize) {
        let (tier, id) = (self.slots[slot].tier, self.slots[slot].id.clone());
        let stage = self.backends.clone();
        set_direct_address(self.direct.as_ref(), slot, None);
        self.writes.push(move |writer| {
            let body = json!({"instanceId": id});
            let Some(revision) = writer.write(tier, "/v1/drain", &body) else { return };
            stage.with_id(&id, move |backend| {
                backend.set_drain_revision(revision);
                backend.change_model(|model| model.draining = true);
                backend.set_listed(false);
            });
        });
    }

    fn replace(&mut self, slot: usize, now: f64) {
        let (tier, id) = (self.slots[slot].tier, self.slots[slot].id.clone());
        self.drain(slot);
        self.timeline.schedule(now + REPLACED_DRAIN_S, Step::RemoveBackend { tier, id });
        let _ = self.place_backend(slot, Placement::Replacement); // without a port it is left out
    }

    fn remove_backend(&mut self, tier: usize, id: String) {
        self.backends.kill(&id);
        self.writes.push(move |writer| {
            writer.stop_heartbeats(&id);
            writer.write(tier, "/v1/deregister", &json!({"instanceId": id}));
        });
    }

    fn set_weight(&self, slot: usize, weight: f64) {
        let (tier, id) = (self.slots[slot].tier, self.slots[slot].id.clone());
        self.writes.push(move |writer| {
            writer.write(tier, "/v1/weight", &json!({"instanceId": id, "weight": weight}));
        });
    }

    fn freeze(&mut self, slot: usize, duration: f64, ends_at: f64, now: f64) {
        self.backends.with(slot, move |backend, _| {
            backend.change_model(|model| model.freeze(true));
            let backend = backend.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(duration)).await;
                backend.change_model(|model| model.freeze(false));
            });
        });
        if now + REPEAT_PERIOD_S < ends_at {
            self.timeline.schedule(now + REPEAT_PERIOD_S, Step::Freeze { slot, duration, ends_at });
        }
    }

    fn noisy_neighbour(&mut self, slot: usize, part: f64, ends_at: f64, active: bool, now: f64) {
        let remaining = if active && now < ends_at { 1.0 - part } else { 1.0 };
        self.backends.with(slot, move |backend, _| {
            backend.change_model(|model| model.set_available_share(remaining));
        });
        if now < ends_at {
            let next = (now + REPEAT_PERIOD_S).min(ends_at);
            self.timeline.schedule(next, Step::NoisyNeighbour { slot, part, ends_at, active: !active });
        }
    }
}

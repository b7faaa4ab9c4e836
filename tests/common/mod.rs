//! A balancer with a simulated clock and timers, and the settings and checks that tests share.
#![allow(dead_code, reason = "each test program that includes this module uses a part of it")]

use linkhatch_proxy::*;
use std::collections::BTreeMap;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 1.0,
        deadline: 2.0,
        late_weight: 0.0,
        priority_weight: 1.0,
        idempotency,
        ordered: false,
    }
}

/// Settings with one class of idempotent requests, at an inner tier.
pub fn idempotent_settings() -> Settings {
    Settings { classes: vec![class(Idempotency::Idempotent)], tier: 1, ..Settings::default() }
}

/// Settings with one class of requests, at an inner tier.
pub fn settings_for(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![class(idempotency)], tier: 1, ..Settings::default() }
}

pub fn endpoint(id: u32) -> EndpointEntry {
    EndpointEntry { id: BackendId(id), ..EndpointEntry::default() }
}

/// A balancer, its clock and its timers.
pub struct TestBalancer {
    pub inner: Balancer,
    pub now: Time,
    /// When each timer fires, and its token.
    pub timers: Vec<(Time, u64)>,
    /// The backends to which the attempts of each request were sent.
    pub sent_to: BTreeMap<u64, Vec<u32>>,
}

impl TestBalancer {
    pub fn new(settings: Settings, list: &[EndpointEntry]) -> Self {
        Self::seeded(1, settings, list)
    }

    pub fn seeded(seed: u64, settings: Settings, list: &[EndpointEntry]) -> Self {
        let balancer = Balancer::new(0.0, seed, settings);
        let mut test = Self { inner: balancer, now: 0.0, timers: vec![], sent_to: BTreeMap::new() };
        test.event(Event::Endpoints(EndpointUpdate::Cached(list)));
        test
    }

    /// Ends the attempts that `actions` cancel, as the proxy does; returns the further actions.
    pub fn confirm_cancels(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut further = Vec::new();
        for action in actions {
            if let Action::Cancel { id, attempt } = action {
                let backend = BackendId(self.sent_to[&id.0][*attempt]);
                let outcome = Outcome::Cancelled;
                let ended = AttemptEnded {
                    id: *id,
                    backend,
                    attempt: *attempt,
                    outcome,
                    elapsed: 0.0,
                    request_done: true,
                };
                further.extend(self.event(Event::AttemptEnded(ended)));
            }
        }
        further
    }

    /// Handles an event at the current time. Sets timers and returns all other actions.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::SetTimer { at, token } => {
                self.timers.push((*at, *token));
                false
            }
            Action::Send { id, backend, .. } => {
                self.sent_to.entry(id.0).or_default().push(backend.0);
                true
            }
            _ => true,
        });
        actions
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.request_for(id, 2.0)
    }

    pub fn request_for(&mut self, id: u64, timeout: Time) -> Vec<Action> {
        let request = Request { id: RequestId(id), timeout, ..Request::default() };
        self.event(Event::Request(request))
    }

    /// Advances the clock to `until` and fires the timers that are due; returns the actions with their times.
    pub fn run_to(&mut self, until: Time) -> Vec<(Time, Action)> {
        let mut actions = Vec::new();
        while let Some(next_timer) = (0..self.timers.len())
            .filter(|i| self.timers[*i].0 <= until)
            .min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            let (at, token) = self.timers.remove(next_timer);
            self.now = self.now.max(at);
            let now = self.now;
            actions.extend(self.event(Event::Timer(token)).into_iter().map(|a| (now, a)));
        }
        self.now = until;
        actions
    }

    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        backend: u32,
        outcome: Outcome,
        elapsed: Time,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnded {
            id: RequestId(id),
            backend: BackendId(backend),
            attempt,
            outcome,
            elapsed,
            request_done: outcome == Outcome::Served,
        }))
    }

    /// Submits a request and serves it after `elapsed` seconds; returns its backend.
    pub fn serve(&mut self, id: u64, elapsed: Time) -> u32 {
        let actions = self.request(id);
        let (_, backend) = attempts_sent(&actions)[0];
        self.run_to(self.now + elapsed);
        let actions = self.end_attempt(id, 0, backend, Outcome::Served, elapsed);
        self.confirm_cancels(&actions);
        backend
    }
}

/// The request and the backend of each attempt sent.
pub fn attempts_sent(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, backend, .. } => Some((id.0, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(id) })
}

pub fn without_times(timed: Vec<(Time, Action)>) -> Vec<Action> {
    timed.into_iter().map(|(_, a)| a).collect()
}

//! Connects the [`Balancer`] to the sockets: events become calls of the balancer, and its actions become I/O.
//!
//! The engine owns the clock, the timers, the requests in flight, their attempts and the endpoints. Every request gets
//! exactly one final answer: the balancer's, or the engine's own at the deadline.

mod attempts;
mod endpoints;
mod in_flight;
mod timers;

use super::clock::Clock;
use super::forwarded_request::{ForwardedRequest, HeaderStamp};
use super::memory::PeerMemory;
use super::settings::ProxySettings;
use super::upstream::{self, BackendResponse, ConnectionBudget};
use super::watch_event::{ListedEndpoint, WatchEvent};
use crate::guard::Guard;
use crate::telemetry;
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::Rejection;
use crate::{
    Action, Balancer, DynamicSettings, EndpointEntry, EndpointStatus, EndpointUpdate, Event, FleetPosition,
    Outcome, Request, RequestId, Settings, Time,
};
use attempts::{InFlightAttempts, PlannedAttempt};
use endpoints::EndpointTable;
use hyper::header::HeaderMap;
use in_flight::{InFlightRequest, InFlightRequests};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use timers::{TimerKey, TimerQueue};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// The time reserved for an answer to reach the client, in seconds. The balancer answers this long before the client's
/// deadline; if it has not, the engine answers half of this time before the deadline.
const ANSWER_TRANSIT_S: Time = 0.006;
/// The longest timer lag that is deducted from the timeout of a request, in seconds.
const MAX_LAG_S: Time = 0.1;
/// The factor by which the recorded timer lag decays each time that timers fire.
const LAG_DECAY: f64 = 0.8;
/// The largest deduction, for transit or for timer lag, as a fraction of the deadline of the request's class. It leaves
/// requests with a short deadline most of their time.
const MAX_DEDUCTION_FRACTION: f64 = 0.1;
/// How long after its start a proxy becomes ready even without an endpoint list, in seconds.
const LIST_TIMEOUT_S: Time = 5.0;

/// The final answer to a request.
pub enum Answer {
    /// The response of a backend.
    Served(BackendResponse),
    /// The request was not executed and may be retried, after this many seconds if given.
    Rejected(Option<Time>),
    /// The request failed and may have been executed.
    Failed,
}

/// An event queued for the balancer. It owns its data.
enum QueuedEvent {
    Event(Event<'static>),
    Watch(WatchEvent),
    SettingsChanged(DynamicSettings, Option<FleetPosition>),
}

impl QueuedEvent {
    fn deliver(self, balancer: &mut Balancer, now: Time, actions: &mut Vec<Action>) {
        let entries = |listed: Vec<ListedEndpoint>| -> Vec<EndpointEntry> {
            listed.into_iter().map(|endpoint| endpoint.entry).collect()
        };
        match self {
            Self::Event(event) => balancer.handle(now, event, actions),
            Self::SettingsChanged(settings, position) => {
                balancer.handle(now, Event::SettingsChanged(&settings, position), actions);
            }
            Self::Watch(event) => {
                let list;
                let update = match event {
                    WatchEvent::Changes(listed) => {
                        list = entries(listed);
                        EndpointUpdate::Changes(&list)
                    }
                    WatchEvent::Snapshot(listed) => {
                        list = entries(listed);
                        EndpointUpdate::Snapshot(&list)
                    }
                    WatchEvent::Cached(listed) => {
                        list = entries(listed);
                        EndpointUpdate::Cached(&list)
                    }
                    WatchEvent::PollFailed => EndpointUpdate::PollFailed,
                };
                balancer.handle(now, Event::Endpoints(update), actions);
            }
        }
    }
}

/// The last run of the maintenance loop, which shows whether the process was suspended.
#[derive(Clone, Copy)]
struct MaintenanceRun {
    at: Time,
    /// The time since the previous run, in seconds.
    since_last: Time,
}

/// The balancer, and the state that its actions change.
struct State {
    balancer: Balancer,
    events: VecDeque<QueuedEvent>,
    timers: TimerQueue,
    requests: InFlightRequests,
    attempts: InFlightAttempts,
    endpoints: EndpointTable,
}

/// Called when the balancer requests a poll of discovery.
type PollDiscovery = Box<dyn Fn()>;

/// Runs the balancer: delivers events to it and performs its actions.
pub struct Engine {
    weak_self: Weak<Engine>,
    state: RefCell<State>,
    clock: Clock,
    /// Notified when a timer is set that fires before all others.
    earliest_timer_changed: Notify,
    /// How late timers fired recently, in seconds. A request may have waited that long before it was read.
    timer_lag: Cell<Time>,
    last_maintenance: Cell<MaintenanceRun>,
    /// Set during shutdown: every request is answered by then.
    shutdown_deadline: Cell<Option<Time>>,
    has_list: Cell<bool>,
    poll_discovery: RefCell<Option<PollDiscovery>>,
    /// Called before every decision, for settings that can expire.
    before_decision: RefCell<Option<Box<dyn Fn()>>>,
    header_stamp: RefCell<Option<HeaderStamp>>,
    connection_budget: Rc<ConnectionBudget>,
    memory: PeerMemory,
    guard: Rc<Guard>,
    maintenance_interval: Duration,
    max_in_flight: usize,
    max_attempts: Cell<usize>,
    /// The deadline of each class, in seconds.
    class_deadlines: RefCell<Vec<Time>>,
}

impl Engine {
    /// Starts an engine with its own balancer; its timers run on the current `LocalSet`. At most `max_connections`
    /// connections to backends are open at the same time.
    pub fn start(
        settings: Settings,
        proxy_settings: &ProxySettings,
        seed: u64,
        max_connections: usize,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let memory = PeerMemory::new(proxy_settings.max_peer_bytes);
        let connection_budget = ConnectionBudget::with_memory(max_connections, memory.responses.clone());
        let engine = Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            clock,
            earliest_timer_changed: Notify::new(),
            timer_lag: Cell::new(0.0),
            last_maintenance: Cell::new(MaintenanceRun { at: clock.now(), since_last: 0.0 }),
            shutdown_deadline: Cell::new(None),
            has_list: Cell::new(false),
            poll_discovery: RefCell::default(),
            before_decision: RefCell::default(),
            header_stamp: RefCell::default(),
            connection_budget: connection_budget.clone(),
            memory: memory.clone(),
            guard: Rc::new(Guard::new(telemetry::is_strict())),
            maintenance_interval: upstream::recent_use(proxy_settings.idle_close),
            max_in_flight: proxy_settings.max_open,
            max_attempts: Cell::new(settings.max_attempts),
            class_deadlines: RefCell::new(settings.classes.iter().map(|class| class.deadline).collect()),
            state: RefCell::new(State {
                balancer: Balancer::new(clock.now(), seed, settings),
                events: VecDeque::new(),
                timers: TimerQueue::default(),
                requests: InFlightRequests::default(),
                attempts: InFlightAttempts::new(),
                endpoints: EndpointTable::new(proxy_settings, connection_budget),
            }),
        });
        tokio::task::spawn_local(engine.clone().run_timers());
        tokio::task::spawn_local(engine.clone().run_maintenance());
        engine
    }

    /// The clock whose time the balancer uses.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The guard that permits each attempt, close and exit.
    pub fn guard(&self) -> &Rc<Guard> {
        &self.guard
    }

    /// The memory for requests and responses.
    pub fn memory(&self) -> &PeerMemory {
        &self.memory
    }

    /// The number of requests without a final answer.
    pub fn requests_in_flight(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// The number of open connections to backends.
    pub fn upstream_connections(&self) -> usize {
        self.connection_budget.open()
    }

    /// Sets a callback that runs when the balancer requests a poll of discovery.
    pub fn on_poll_discovery(&self, poll: impl Fn() + 'static) {
        *self.poll_discovery.borrow_mut() = Some(Box::new(poll));
    }

    /// Sets a callback that runs before every decision, so that no decision uses expired settings.
    pub fn before_decision(&self, refresh: impl Fn() + 'static) {
        *self.before_decision.borrow_mut() = Some(Box::new(refresh));
    }

    /// Sets a callback that adds headers to every attempt as it is sent.
    pub fn set_header_stamp(&self, stamp: impl Fn(&mut HeaderMap) + 'static) {
        *self.header_stamp.borrow_mut() = Some(Rc::new(stamp));
    }

    /// Replaces the settings and the position in the fleet.
    pub fn apply_settings(&self, settings: DynamicSettings, position: Option<FleetPosition>) {
        self.max_attempts.set(settings.max_attempts);
        self.class_deadlines.replace(settings.classes.iter().map(|class| class.deadline).collect());
        let mut state = self.state.borrow_mut();
        state.events.push_back(QueuedEvent::SettingsChanged(settings, position));
        self.decide(state);
    }

    /// Borrows the state for a decision, after refreshing the settings.
    fn state(&self) -> RefMut<'_, State> {
        if let Some(refresh) = self.before_decision.borrow().as_ref() {
            refresh();
        }
        self.state.borrow_mut()
    }

    /// Whether there is an endpoint list, or the wait for one is over: while discovery is down, a ready proxy that
    /// rejects clients is better than one that never becomes ready.
    pub fn has_list(&self) -> bool {
        self.has_list.get() || self.clock.now() >= LIST_TIMEOUT_S
    }

    /// The number of backends that the endpoint table and the balancer have state for.
    pub fn known_backends(&self) -> [usize; 2] {
        let state = self.state.borrow();
        [state.endpoints.len(), state.balancer.known_backends()]
    }

    /// Whether there are requests without a final answer.
    pub fn has_requests_in_flight(&self) -> bool {
        !self.state.borrow().requests.is_empty()
    }

    /// Submits a request whose client waits for `request.timeout` seconds. The receiver gets the answer within that
    /// time. Returns `None` if the id was used recently: a backend that remembers it would return the response to the
    /// other request.
    pub fn submit(
        &self,
        mut request: Request,
        mut forwarded: ForwardedRequest,
    ) -> Option<oneshot::Receiver<Answer>> {
        let (answer, receiver) = oneshot::channel();
        let mut state = self.state();
        forwarded.stamp = self.header_stamp.borrow().clone();
        if state.requests.len() >= self.max_in_flight {
            let reason = Rejection::TooManyRequests;
            metrics::count(CountedEvent::RequestRejected(reason));
            tracing::debug!(id = %request.id, reason = reason.label(), "rejected");
            let _ = answer.send(Answer::Rejected(None)); // the receiver exists
            return Some(receiver);
        }
        if state.requests.is_known(request.id) {
            return None;
        }
        let now = self.clock.now();
        // The client's timeout started when it sent the request, so it includes the time until the request was read.
        request.timeout -= self.limit_deduction(request.class, self.timer_lag.get());
        if let Some(shutdown_deadline) = self.shutdown_deadline.get() {
            request.timeout = request.timeout.min(shutdown_deadline - now);
        }
        let answer_transit = self.limit_deduction(request.class, ANSWER_TRANSIT_S);
        let deadline = now + request.timeout - 0.5 * answer_transit;
        request.timeout -= answer_transit;
        let forwarded = Rc::new(forwarded);
        let in_flight = InFlightRequest { received_at: now, answer, forwarded, deadline, attempts_sent: 0 };
        state.requests.insert(request.id, in_flight);
        self.set_timer(&mut state, deadline, TimerKey::Request(request.id));
        state.events.push_back(QueuedEvent::Event(Event::Request(request)));
        self.decide(state);
        Some(receiver)
    }

    /// Begins the shutdown: every request, including those in flight, has its final answer by the deadline.
    pub fn begin_shutdown(&self, deadline: Instant) {
        let deadline = self.clock.time_of(deadline);
        self.shutdown_deadline.set(Some(deadline));
        let mut state = self.state();
        for id in state.requests.limit_deadlines(deadline) {
            self.set_timer(&mut state, deadline, TimerKey::Request(id));
        }
        let deadline = deadline - 0.5 * ANSWER_TRANSIT_S;
        state.events.push_back(QueuedEvent::Event(Event::Shutdown { deadline }));
        self.decide(state);
    }

    /// How long this process was recently suspended. A signal that is read now may have been sent that long ago.
    pub fn recent_stall(&self) -> Duration {
        let MaintenanceRun { at, since_last } = self.last_maintenance.get();
        let gap = since_last.max(self.clock.now() - at);
        Duration::try_from_secs_f64(gap).unwrap_or_default().saturating_sub(self.maintenance_interval)
    }

    /// Limits a deduction, in seconds, from the timeout of a request of this class.
    fn limit_deduction(&self, class: usize, deduction: Time) -> Time {
        let deadline = self.class_deadlines.borrow().get(class).copied();
        deadline.map_or(deduction, |deadline| deduction.min(MAX_DEDUCTION_FRACTION * deadline))
    }

    /// Handles the disconnect of a request's client. Does nothing if the request already has its answer.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut state = self.state();
        if state.requests.finish(id).is_some() {
            state.events.push_back(QueuedEvent::Event(Event::ClientDisconnected(id)));
            self.decide(state);
        }
    }

    /// Applies an event from the watch on the endpoint list.
    pub fn apply_watch_event(&self, event: WatchEvent) {
        let mut state = self.state();
        let listed = state.endpoints.apply(&event, self.clock.now());
        tracing::debug!(entries = listed.len(), known = state.endpoints.len(), "endpoint list applied");
        // A response from discovery counts as a list even if none of its backends is in service.
        let is_answer = matches!(&event, WatchEvent::Snapshot(_) | WatchEvent::Changes(_));
        let has_backend = listed.iter().any(|listed| listed.entry.status == EndpointStatus::InService);
        self.has_list.set(self.has_list.get() || is_answer || has_backend);
        state.events.push_back(QueuedEvent::Watch(event));
        self.decide(state);
    }

    /// Delivers all queued events to the balancer and performs its actions.
    fn decide(&self, mut state: RefMut<'_, State>) {
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            let now = self.clock.now();
            event.deliver(&mut state.balancer, now, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut state, action, now);
            }
        }
    }

    fn perform(&self, state: &mut State, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout, send_deadline } => {
                self.send_attempt(state, PlannedAttempt { id, backend, timeout, send_deadline }, now);
            }
            Action::Cancel { id, attempt } => {
                self.end_attempt(state, id, attempt, Outcome::Cancelled.into());
            }
            Action::Reject { id, retry_after, reason } => {
                metrics::count(CountedEvent::RequestRejected(reason));
                tracing::debug!(%id, reason = reason.label(), "rejected");
                state.requests.answer(id, Answer::Rejected(retry_after));
            }
            Action::Fail { id } => {
                tracing::debug!(%id, "failed");
                state.requests.answer(id, Answer::Failed);
            }
            Action::SetTimer { at, token } => self.set_timer(state, at, TimerKey::Balancer(token)),
            Action::CloseIdleConnections(backend) => state.endpoints.close_idle(backend),
            Action::PollDiscovery => self.poll_discovery.borrow().iter().for_each(|poll| poll()),
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    /// Evicts expired idle connections, and records that the process is running.
    async fn run_maintenance(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.maintenance_interval).await;
            let now = self.clock.now();
            self.last_maintenance
                .set(MaintenanceRun { at: now, since_last: now - self.last_maintenance.get().at });
            let endpoints = self.state.borrow().endpoints.all();
            endpoints.iter().for_each(|endpoint| endpoint.evict_expired());
        }
    }
}

//! The decisions of the proxy, as a state machine without I/O: a [`Balancer`] receives events and the
//! time, and returns actions. The types of both are in [`types`].
//!
//! The balancer has one component per concern and passes events to them. Start reading at `lifecycle`, which
//! handles a request from its arrival to its final answer. `observation` evaluates the outcomes of attempts.
//! The other modules contain the calculations.

mod admission;
pub mod discovery_schedule;
mod endpoints;
mod estimators;
mod health;
mod latency;
mod lifecycle;
mod observation;
mod ordering;
mod overload;
mod requests;
mod retry;
mod selection;
mod slow_start;
mod subset;
pub mod types;

use admission::Admission;
use discovery_schedule::DiscoverySchedule;
use endpoints::{BackendIndex, EndpointTable};
use estimators::{Clock, DecayingRate};
use health::HealthModel;
use latency::LatencyBaseline;
use ordering::OrderingQueues;
use overload::OverloadEstimator;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use requests::RequestTable;
use retry::averaging_window;
use subset::Subset;
use types::*;

/// The token of the timer that polls discovery; the tokens of requests are greater.
const DISCOVERY_TIMER_TOKEN: u64 = 0;

/// Makes the decisions of one proxy.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    clock: Clock,
    discovery: DiscoverySchedule,
    endpoints: EndpointTable,
    subset: Subset,
    requests: RequestTable,
    ordering: OrderingQueues,
    admission: Admission,
    overload: OverloadEstimator,
    latency: LatencyBaseline,
    health: HealthModel,
    /// The rate of requests whose first attempt was sent.
    sent_rate: DecayingRate,
    /// The rate of requests that were served.
    served_rate: DecayingRate,
}

impl Balancer {
    /// Creates a balancer that starts at `now`. The same seed, settings and events give the same actions.
    pub fn new(now: Time, seed: u64, settings: Settings) -> Self {
        // Rates are counts divided by the averaging window, so no settings may make it 0.
        let min_objective = settings.min_time_step.max(f64::EPSILON);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            clock: Clock { now, window: averaging_window(&settings.classes, min_objective) },
            discovery: DiscoverySchedule::new(now, &settings),
            endpoints: EndpointTable::default(),
            subset: Subset::default(),
            requests: RequestTable::default(),
            ordering: OrderingQueues::new(),
            admission: Admission::new(now, &settings),
            overload: OverloadEstimator::new(now),
            latency: LatencyBaseline::new(settings.classes.len()),
            health: HealthModel::default(),
            sent_rate: DecayingRate::new(now),
            served_rate: DecayingRate::new(now),
            settings,
        }
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of backends in the endpoint table.
    pub fn known_backends(&self) -> usize {
        self.endpoints.len()
    }

    /// Handles `event`, which happens at `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.clock.now = self.clock.now.max(now);
        if let Some(delay) = self.discovery.first_delay(&mut self.rng) {
            self.set_discovery_timer(delay, actions);
        }
        match event {
            Event::Request(request) => self.request_arrived(request, actions),
            Event::ResponseStarted { id, attempt } => self.finish_by_id(id, Some(attempt), actions),
            Event::AttemptEnded(ended) => self.attempt_ended(ended, actions),
            Event::ClientDisconnected(id) => self.finish_by_id(id, None, actions),
            Event::Timer(DISCOVERY_TIMER_TOKEN) => {
                self.discovery.poll_started(self.clock.now);
                actions.push(Action::PollDiscovery);
            }
            Event::Timer(token) => self.timer_fired(token, actions),
            Event::Endpoints(update) => self.endpoints_updated(update, actions),
            Event::SettingsChanged(settings, position) => self.settings_changed(settings, position),
            Event::Shutdown { deadline } => self.limit_deadlines(deadline, actions),
        }
    }

    /// Applies new settings and the proxy's new position; the subset stays while the position is unknown.
    fn settings_changed(&mut self, new: &DynamicSettings, position: Option<FleetPosition>) {
        let settings = &mut self.settings;
        for (class, new) in settings.classes.iter_mut().zip(&new.classes) {
            (class.latency_objective, class.deadline) = (new.latency_objective, new.deadline);
            (class.priority_weight, class.late_weight) = (new.priority_weight, new.late_weight);
        }
        settings.over_quota_weight = new.over_quota_weight;
        settings.max_attempts = new.max_attempts;
        settings.max_retry_after = new.max_retry_after;
        self.clock.window = averaging_window(&settings.classes, settings.min_time_step);
        self.admission.apply(new, position);
        let Some(FleetPosition { index, count }) = position else { return };
        if (settings.proxy_index, settings.proxy_count) != (index, count) {
            (settings.proxy_index, settings.proxy_count) = (index, count);
            self.recompute_subset();
        }
    }

    fn endpoints_updated(&mut self, update: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        let now = self.clock.now;
        let entries = match update {
            EndpointUpdate::PollFailed => {
                let proxies = self.settings.proxy_count;
                let backoff = self.discovery.poll_failed(now, proxies, &mut self.rng);
                return self.set_discovery_timer(backoff, actions);
            }
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries) => {
                self.endpoints.mark_all_removed(now);
                entries
            }
            EndpointUpdate::Changes(entries) => entries,
        };
        for entry in entries {
            let index = self.endpoints.apply(entry, now);
            self.close_idle_if_draining(index, actions);
        }
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.discovery.poll_answered(now);
        }
        self.endpoints.forget_removed(self.clock);
        self.recompute_subset();
    }

    fn set_discovery_timer(&self, delay: Time, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { at: self.clock.now + delay, token: DISCOVERY_TIMER_TOKEN });
    }

    /// Closes the idle connections to a draining backend: when it is listed as draining, and after each
    /// outcome of an attempt at it.
    fn close_idle_if_draining(&self, index: BackendIndex, actions: &mut Vec<Action>) {
        if self.settings.idle_release_timeout.is_some()
            && self.endpoints.has_status(index, EndpointStatus::Draining)
        {
            actions.push(Action::CloseIdleConnections(self.endpoints[index].entry.id));
        }
    }

    /// Adjusts the size of the subset to the load; returns whether the subset must grow.
    fn update_subset_size(&mut self) -> bool {
        let (latency, window) = (self.latency.overall(), self.clock.window);
        self.subset.update_load(&self.sent_rate, latency, window, &self.settings)
    }

    fn recompute_subset(&mut self) {
        let previous = self.endpoints.refresh_in_service();
        self.update_subset_size();
        self.subset.recompute(&previous, &self.endpoints, &self.settings);
    }

    /// Returns true with this probability.
    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }
}

//! Emulated clients: they send the arrivals of a run at their times, through the load balancer or directly, retry, and
//! leave early.
//!
//! A request's latency is measured from its due time, not from the time at which the testbed sent it, so that neither
//! a slow fleet nor a late testbed hides latency (no coordinated omission). The testbed's own lateness is reported as
//! well.

mod arrivals;
mod direct;
mod front;

pub use arrivals::{Arrival, arrivals};
pub use direct::{Direct, packed};
pub use front::{LoadBalancer, shares};

use crate::proxy_pool::{AttemptEnd, ProxyPool, RequestText};
use crate::record::{End, Outcome, Record};
use crate::spec::{Effect, Experiment};
use hdrhistogram::Histogram;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long after its deadline a request without an answer is lost, in seconds.
const LOST_AFTER_S: f64 = 0.5;

/// Maximum number of retries if no connection to a proxy can be opened, if the experiment allows fewer.
const MAX_CONNECT_RETRIES: usize = 3;
/// The highest lateness that is recorded, in microseconds.
const MAX_LATENESS_US: u64 = 60_000_000;
/// The number of arrivals that are sent before the loop yields to other tasks.
const YIELD_EVERY: u64 = 16;

/// The emulated clients of a run.
pub struct Clients {
    /// The record of the run.
    pub record: Arc<Record>,
    /// The load balancer.
    pub balancer: Rc<LoadBalancer>,
    /// The experiment.
    pub experiment: Rc<Experiment>,
    /// The direct connection to backends, in experiments without proxies.
    pub direct: Option<Direct>,
}

/// The outcome of a request, and the number of its attempts.
type RequestEnd = (Outcome, usize);

impl Clients {
    /// Sends every arrival at its time and waits until all have ended; returns how late each was sent, in microseconds.
    pub async fn send_arrivals(
        self: Rc<Self>,
        arrivals: Vec<Arrival>,
        stop: Rc<Cell<bool>>,
    ) -> Histogram<u64> {
        let mut lateness = Histogram::new_with_bounds(1, MAX_LATENESS_US, 3)
            .unwrap_or_else(|error| unreachable!("constant bounds of a histogram: {error}"));
        let mut tasks = tokio::task::JoinSet::new();
        for (number, arrival) in (0u64..).zip(arrivals) {
            let due = self.record.instant(arrival.at);
            tokio::time::sleep_until(due.into()).await;
            if stop.get() {
                break;
            }
            lateness.saturating_record((due.elapsed().as_micros() as u64).max(1));
            tasks.spawn_local(self.clone().request(number, arrival));
            while tasks.try_join_next().is_some() {}
            if number.is_multiple_of(YIELD_EVERY) {
                tokio::task::yield_now().await;
            }
        }
        while tasks.join_next().await.is_some() {}
        lateness
    }

    async fn request(self: Rc<Self>, number: u64, arrival: Arrival) {
        let mut broken = Vec::new();
        let (outcome, attempts) = match &self.direct {
            Some(direct) => self.send_directly(direct, number, &arrival).await,
            None => self.send_through_proxies(number, &arrival, &mut broken).await,
        };
        let latency = self.record.now() - arrival.at;
        let Arrival { at, class, .. } = arrival;
        self.record.end(End { at, class, outcome, latency, attempts }, &broken);
    }

    /// Returns a function that formats the request with a given id.
    fn text<'a>(&'a self, number: u64, arrival: &'a Arrival, is_retry: bool) -> impl Fn(u64) -> Vec<u8> + 'a {
        let class = &self.experiment.classes[arrival.class];
        let mut more_headers = match class.effect {
            Effect::Guarded => format!("Idempotency-Key: {number:032x}\r\n"),
            Effect::Free | Effect::SingleShot => String::new(),
        };
        if is_retry {
            more_headers.push_str("X-Resent: 1\r\n");
        }
        more_headers.push_str(&format!("X-Estimate: {}\r\n", (arrival.work * 1e6) as u64));
        let (method, body): (_, &[u8]) =
            if class.effect == Effect::Free { ("GET", b"") } else { ("POST", b"body") };
        let target = format!("/api?w={:.0}", arrival.work * 1e6);
        move |id| {
            let text = RequestText {
                method,
                target: &target,
                class: &class.name,
                tenant: &self.experiment.tenants[arrival.tenant].name,
                more_headers: &more_headers,
                body,
            };
            let time_left = (arrival.at + class.hard_limit - self.record.now()).max(0.0);
            text.bytes(id, time_left)
        }
    }

    async fn send_through_proxies(
        &self,
        number: u64,
        arrival: &Arrival,
        broken: &mut Vec<(usize, [f64; 2])>,
    ) -> RequestEnd {
        let load = &self.experiment.load;
        let deadline = arrival.at + self.experiment.classes[arrival.class].hard_limit;
        let leaves_at = arrival.leaves_after.map_or(f64::INFINITY, |seconds| arrival.at + seconds);
        let mut attempts = 0;
        let mut position = arrival.position;
        loop {
            let Some(pool) = self.balancer.pick(position, load.balances) else {
                return (Outcome::Died, attempts);
            };
            attempts += 1;
            let sent_at = self.record.now();
            let text = self.text(number, arrival, attempts > 1);
            let timeout = deadline.min(leaves_at - LOST_AFTER_S) + LOST_AFTER_S - sent_at;
            let end = pool.attempt(text, timeout).await;
            let now = self.record.now();
            if now >= leaves_at {
                return (Outcome::Left, attempts);
            }
            if end == AttemptEnd::Broken {
                broken.push((pool.proxy, [sent_at, now]));
            }
            let outcome = self.outcome(end, pool.proxy, [sent_at, now]);
            let retry_at = now + retry_after(end).max(load.retry_wait);
            let may_retry = match end {
                AttemptEnd::Answered { status: 200, .. } => false,
                AttemptEnd::Broken if self.runs_once(arrival) => false,
                AttemptEnd::ConnectFailed => attempts <= load.retries.max(MAX_CONNECT_RETRIES),
                AttemptEnd::Answered { .. } | AttemptEnd::Broken => attempts <= load.retries,
            };
            if !may_retry || retry_at >= deadline.min(leaves_at) {
                return (outcome, attempts);
            }
            tokio::time::sleep(Duration::from_secs_f64((retry_at - now).max(0.0))).await;
            // Derived from the first draw, so that another proxy is selected in most cases.
            position = (position * 7.31 + 0.37).fract();
        }
    }

    /// Whether the request must not be executed twice.
    fn runs_once(&self, arrival: &Arrival) -> bool {
        self.experiment.classes[arrival.class].effect == Effect::SingleShot
    }

    /// The outcome of a request whose last attempt, at `proxy` during `span`, ended with `end`.
    fn outcome(&self, end: AttemptEnd, proxy: usize, span: [f64; 2]) -> Outcome {
        match end {
            AttemptEnd::Answered { status: 200, is_own: true, .. } => Outcome::Served,
            AttemptEnd::Answered { status: 200, is_own: false, .. } => {
                self.record.violation(|| format!("proxy {proxy} answered with another request's answer"));
                Outcome::Failed
            }
            AttemptEnd::Answered { status: 429 | 503, .. } => Outcome::Refused,
            AttemptEnd::Answered { .. } => Outcome::Failed,
            // The load balancer may not have noticed yet that the proxy is gone: this is not a lost request.
            AttemptEnd::ConnectFailed => Outcome::Died,
            AttemptEnd::Broken if self.record.was_down(proxy, span) => Outcome::Died,
            AttemptEnd::Broken => Outcome::Failed,
        }
    }

    async fn send_directly(&self, direct: &Direct, number: u64, arrival: &Arrival) -> RequestEnd {
        let class = &self.experiment.classes[arrival.class];
        let Some(address) = direct.pick(arrival.position) else { return (Outcome::Refused, 1) };
        // A new connection for each request: the baselines compare policies, not connections.
        let pool = ProxyPool::new(0, Some(address), self.record.clone());
        match pool.attempt(self.text(number, arrival, false), class.hard_limit).await {
            AttemptEnd::Answered { status: 200, .. } => (Outcome::Served, 1),
            AttemptEnd::Answered { status: 503, .. } => (Outcome::Refused, 1),
            _ => (Outcome::Failed, 1),
        }
    }
}

/// How long the proxy asks a client to wait before it retries, in seconds.
fn retry_after(end: AttemptEnd) -> f64 {
    match end {
        AttemptEnd::Answered { status: 429 | 503, retry_after, .. } => retry_after,
        _ => 0.0,
    }
}

#[cfg(test)]
mod tests;

//! The watch: successive polls, with backoff and failover after failures.

use super::Discovery;
use super::client::{PollError, RESPONSE_TIMEOUT};
use crate::proxy::upstream::UpstreamConnection;
use crate::proxy::watch_event::WatchEvent;
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::PollOutcome;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a poll waits for changes while it is unknown whether discovery answers. It is short as such a poll only
/// requests the current state.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(100);
/// How long a poll with [`SHORT_POLL_WAIT`] may take beyond its wait if there are other nodes to poll.
const NODE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The first backoff if discovery has one address; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff if discovery has one address.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: usize = 8;
/// The upper bound of the randomly drawn backoff (full jitter) after the first failure if discovery has several nodes.
/// It spreads out proxies that lost the same node and move on to the next one.
const FIRST_FAILOVER_BACKOFF: Duration = Duration::from_millis(300);
/// The upper bound of the drawn backoff after further failures in the round over the nodes, measured from the start of
/// the failed poll, which may have taken long.
const NEXT_NODE_INTERVAL: Duration = Duration::from_millis(550);
/// The upper bound of the drawn backoff after a round in which no node has answered.
const NEXT_ROUND_BACKOFF: Duration = Duration::from_secs(2);

/// The state that a watch has between polls.
struct Watch {
    connection: Option<UpstreamConnection>,
    /// The number of consecutive failed polls.
    failures: usize,
    /// Whether discovery has not answered this watch yet.
    is_unanswered: bool,
}

impl Watch {
    fn new() -> Self {
        Self { connection: None, failures: 0, is_unanswered: true }
    }
}

/// The times of one poll.
struct PollTiming {
    /// How long discovery waits for changes.
    wait: Duration,
    /// How long the response may take beyond that.
    response_timeout: Duration,
}

impl Discovery {
    /// Polls until a failure that is reported to the balancer, which then decides when the next watch starts. If lists
    /// are pushed, the watch continues for as long as the proxy runs.
    pub(super) async fn run_watch(self: Rc<Self>) {
        let mut watch = Watch::new();
        loop {
            let PollTiming { wait, response_timeout } = self.timing(&watch);
            let since = self.generation.get();
            let path = format!("/api/targets?since={since}&timeout_ms={}", wait.as_millis());
            let started_at = Instant::now();
            let result = tokio::select! {
                biased; // applies a response that has already arrived
                result = self.poll(&path, wait + response_timeout, &mut watch.connection) => result,
                () = self.moved.notified() => {
                    metrics::count(CountedEvent::PollEnded(PollOutcome::Moved));
                    watch = Watch::new();
                    continue;
                }
            };
            match result {
                Ok(list) => {
                    metrics::count(CountedEvent::PollEnded(PollOutcome::Answered));
                    tracing::debug!(revision = list.generation, whole = list.reset, "endpoint list received");
                    (watch.failures, watch.is_unanswered) = (0, false);
                    self.apply(list);
                }
                Err(error) => {
                    report_failure(&error, watch.failures, started_at.elapsed());
                    self.fail_over(&mut watch);
                    if self.is_scheduled && self.nodes.is_round_over(watch.failures) {
                        // The watch ends before the balancer is notified, since the next poll starts a new watch.
                        self.is_watching.set(false);
                        return self.engine.apply_watch_event(WatchEvent::PollFailed);
                    }
                    self.back_off(&mut watch, started_at.elapsed()).await;
                }
            }
        }
    }

    fn timing(&self, watch: &Watch) -> PollTiming {
        if !watch.is_unanswered && watch.failures == 0 {
            return PollTiming { wait: self.poll_wait, response_timeout: RESPONSE_TIMEOUT };
        }
        let response_timeout = match (self.nodes.is_cluster(), self.is_scheduled) {
            (true, _) => NODE_RESPONSE_TIMEOUT,
            (false, true) => self.queued_response_timeout,
            (false, false) => RESPONSE_TIMEOUT,
        };
        PollTiming { wait: SHORT_POLL_WAIT.min(self.poll_wait), response_timeout }
    }

    /// Counts a failed poll, and selects the next node if there are several.
    fn fail_over(&self, watch: &mut Watch) {
        watch.failures += 1;
        if self.nodes.is_cluster() {
            self.nodes.advance();
            watch.connection = None;
        }
    }

    /// Waits before the next poll, at most until the addresses of discovery change.
    async fn back_off(&self, watch: &mut Watch, elapsed: Duration) {
        let backoff = self.backoff(watch.failures, elapsed);
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = self.moved.notified() => *watch = Watch::new(),
        }
    }

    /// The backoff after `failures` consecutive failed polls, the last of which took `elapsed`.
    fn backoff(&self, failures: usize, elapsed: Duration) -> Duration {
        let max = match failures {
            _ if !self.nodes.is_cluster() => {
                return (MIN_BACKOFF * (1 << (failures - 1).min(MAX_DOUBLINGS))).min(MAX_BACKOFF);
            }
            _ if self.nodes.is_round_over(failures) => NEXT_ROUND_BACKOFF,
            1 => FIRST_FAILOVER_BACKOFF,
            _ => NEXT_NODE_INTERVAL.saturating_sub(elapsed),
        };
        max.mul_f64(self.jitter.borrow_mut().random_range(0.0..=1.0))
    }
}

fn report_failure(error: &PollError, failures: usize, elapsed: Duration) {
    metrics::count(CountedEvent::PollEnded(PollOutcome::Failed));
    tracing::info!(%error, failures, took = elapsed.as_secs_f64(), "polling discovery failed");
    eprintln!("discovery: {error}");
}

//! The watch: successive polls, with further polls beside late ones, and with backoff and failover after failures.

use super::Discovery;
use super::client::{PollError, PollResponse, poll};
use crate::calls_in_flight::{
    CallId, CallTiming, CallsInFlight, MIN_CALL_WAIT, RESPONSE_TIMEOUT, SentCall, max_calls,
};
use crate::proxy::upstream::UpstreamConnection;
use crate::proxy::watch_event::WatchEvent;
use crate::response_latency::ResponseLatency;
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::PollOutcome;
use rand::Rng;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a poll may take beyond its wait before it is late while it is unknown whether discovery answers, if there are
/// other nodes.
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
    polls: CallsInFlight<Result<PollResponse, PollError>>,
    /// The connection of the previous poll, for the next one.
    connection: Option<UpstreamConnection>,
    /// The number of consecutive polls that failed or were late.
    failures: usize,
    latency: ResponseLatency,
    /// Whether discovery has not answered this watch yet.
    is_unanswered: bool,
    /// The newest poll that was in flight when another one was answered, or when its node was behind. Up to this one,
    /// the responses of polls count only if they have news.
    superseded: Option<CallId>,
}

impl Watch {
    fn new() -> Self {
        Self {
            polls: CallsInFlight::default(),
            connection: None,
            failures: 0,
            latency: ResponseLatency::default(),
            is_unanswered: true,
            superseded: None,
        }
    }

    /// Records a response. The other polls stay in flight for as long as discovery may take to answer, because a
    /// change counts as told once discovery has written it.
    fn answered(&mut self, sent: &SentCall, connection: Option<UpstreamConnection>) {
        self.superseded = self.polls.newest().max(self.superseded);
        self.latency.observe(sent.sent_at.elapsed(), sent.wait);
        self.connection = connection;
        (self.failures, self.is_unanswered) = (0, false);
    }
}

/// What a poll has led to.
enum PollResult {
    /// A list was applied.
    Answered,
    /// The poll failed.
    Failed,
    /// The poll is late, and stays in flight.
    Late,
    /// The node is behind; its poll stays in flight.
    Behind,
    /// Discovery has moved: all polls are ended.
    Moved,
}

impl Discovery {
    /// Polls for as long as the proxy runs. If failures are reported to the balancer, it decides when the next poll is
    /// sent.
    pub(super) async fn run_watch(self: Rc<Self>) {
        let mut watch = Watch::new();
        if self.is_scheduled {
            self.wait_for_schedule(&mut watch).await;
        }
        loop {
            let started_at = Instant::now();
            match self.poll_once(&mut watch).await {
                PollResult::Answered => {}
                PollResult::Failed | PollResult::Late => self.wait_to_retry(&mut watch, started_at).await,
                PollResult::Behind => self.nodes.advance(),
                PollResult::Moved => watch = self.restarted(),
            }
        }
    }

    /// Sends a poll, and waits until any poll in flight is answered, or until the new one fails or is late.
    async fn poll_once(&self, watch: &mut Watch) -> PollResult {
        let CallTiming { wait, response_timeout } = self.timing(watch);
        let newest = self.send_poll(watch, wait);
        let mut late = pin!(tokio::time::sleep(wait + response_timeout));
        loop {
            let (sent, response) = tokio::select! {
                biased; // applies a response that has already arrived
                ended = watch.polls.next() => ended,
                () = self.moved.notified() => return PollResult::Moved,
                () = self.node_is_behind.notified() => {
                    if self.has_room(watch) {
                        watch.failures += 1;
                        watch.superseded = Some(newest.id);
                        return PollResult::Behind;
                    }
                    continue;
                }
                () = &mut late => {
                    report_late(watch.failures, newest.sent_at.elapsed());
                    self.fail_over(watch);
                    return PollResult::Late;
                }
            };
            match self.apply_response(watch, &sent, response) {
                Ok(true) => return PollResult::Answered,
                Ok(false) => {}
                Err(error) => {
                    report_failure(&error, watch.failures, sent.sent_at.elapsed());
                    if sent.id == newest.id {
                        self.fail_over(watch);
                        return PollResult::Failed;
                    }
                }
            }
        }
    }

    /// Sends a poll to the current node.
    fn send_poll(&self, watch: &mut Watch, wait: Duration) -> SentCall {
        let address = self.nodes.address();
        if let Some(superseded) = watch.superseded {
            watch.polls.end_replaceable(superseded);
        }
        watch.polls.make_room(self.max_polls());
        let response = poll(address, self.generation.get(), wait, watch.connection.take());
        watch.polls.send(address, wait, response)
    }

    /// The maximum number of polls in flight.
    fn max_polls(&self) -> usize {
        max_calls(self.nodes.count())
    }

    /// Whether another poll may be sent now.
    fn has_room(&self, watch: &Watch) -> bool {
        watch.polls.room_at(self.max_polls()) <= Instant::now()
    }

    /// Applies the response to a poll; returns false if it does not count, as the poll is superseded and has no news.
    fn apply_response(
        &self,
        watch: &mut Watch,
        sent: &SentCall,
        response: Result<PollResponse, PollError>,
    ) -> Result<bool, PollError> {
        let PollResponse { body, connection } = response?;
        let list = self.parse_list(&body)?;
        metrics::count(CountedEvent::PollEnded(PollOutcome::Answered));
        let is_superseded = watch.superseded.is_some_and(|superseded| sent.id <= superseded);
        if is_superseded && list.generation <= self.generation.get() {
            return Ok(false);
        }
        tracing::debug!(revision = list.generation, whole = list.reset, "endpoint list received");
        watch.answered(sent, connection);
        self.nodes.select(sent.address);
        self.apply(list);
        Ok(true)
    }

    fn timing(&self, watch: &Watch) -> CallTiming {
        if !watch.is_unanswered && watch.failures == 0 {
            return CallTiming::long_poll(&watch.latency, self.poll_wait);
        }
        let response_timeout = match (self.nodes.is_cluster(), self.is_scheduled) {
            (true, _) => NODE_RESPONSE_TIMEOUT,
            (false, true) => self.queued_response_timeout,
            (false, false) => RESPONSE_TIMEOUT,
        };
        CallTiming { wait: MIN_CALL_WAIT.min(self.poll_wait), response_timeout }
    }

    /// Counts a failed or late poll, and selects the next node if there are several.
    fn fail_over(&self, watch: &mut Watch) {
        watch.failures += 1;
        watch.connection = None;
        if self.nodes.is_cluster() {
            self.nodes.advance();
        }
    }

    /// Waits before the next poll, which the balancer decides on if failures are reported to it.
    async fn wait_to_retry(&self, watch: &mut Watch, started_at: Instant) {
        if self.is_scheduled && self.nodes.is_round_over(watch.failures) {
            // The watch waits before the balancer is notified, which may want a poll at once.
            self.awaits_schedule.set(true);
            self.engine.apply_watch_event(WatchEvent::PollFailed);
            self.wait_for_schedule(watch).await;
        } else {
            let backoff = self.backoff(watch.failures, started_at.elapsed());
            self.wait_for(watch, tokio::time::sleep(backoff)).await;
        }
        if watch.failures > 0 && !self.has_room(watch) {
            let room_at = watch.polls.room_at(self.max_polls());
            self.wait_for(watch, tokio::time::sleep_until(room_at)).await;
        }
    }

    /// Waits until the balancer wants a poll.
    async fn wait_for_schedule(&self, watch: &mut Watch) {
        let due = async {
            while self.awaits_schedule.get() {
                self.poll_due.notified().await;
            }
        };
        self.wait_for(watch, due).await;
        self.awaits_schedule.set(false);
    }

    /// Waits until the next poll is `due`, or until a late poll is answered or the addresses of discovery change.
    async fn wait_for(&self, watch: &mut Watch, due: impl Future<Output = ()>) {
        let mut due = pin!(due);
        loop {
            let (sent, response) = tokio::select! {
                biased; // applies a response that has already arrived
                ended = watch.polls.next() => ended,
                () = self.moved.notified() => {
                    *watch = self.restarted();
                    return;
                }
                () = &mut due => return,
            };
            match self.apply_response(watch, &sent, response) {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => report_failure(&error, watch.failures, sent.sent_at.elapsed()),
            }
        }
    }

    /// A new watch, after the addresses of discovery have changed.
    fn restarted(&self) -> Watch {
        metrics::count(CountedEvent::PollEnded(PollOutcome::Moved));
        Watch::new()
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

/// Reports a late poll, which stays in flight, after `failures` other polls that failed or were late.
fn report_late(failures: usize, elapsed: Duration) {
    let error = PollError::Timeout;
    metrics::count(CountedEvent::PollEnded(PollOutcome::Late));
    tracing::info!(%error, failures, took = elapsed.as_secs_f64(), "poll of discovery is late, another is sent");
    eprintln!("discovery: {error}, polling again");
}

fn report_failure(error: &PollError, failures: usize, elapsed: Duration) {
    metrics::count(CountedEvent::PollEnded(PollOutcome::Failed));
    tracing::info!(%error, failures, took = elapsed.as_secs_f64(), "polling discovery failed");
    eprintln!("discovery: {error}");
}

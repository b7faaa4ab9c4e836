//! The timers of the balancer, of attempts and of requests.

use super::{Answer, Engine, LAG_DECAY, MAX_LAG_S, QueuedEvent, State};
use crate::{Event, Outcome, RequestId, Time};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

/// What a timer is for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// A timer of the balancer, with its token.
    Balancer(u64),
    /// The timeout of an attempt.
    Attempt(RequestId, usize),
    /// The deadline of a request.
    Request(RequestId),
}

/// A time with a total order.
#[derive(Debug, PartialEq)]
struct OrderedTime(Time);

impl Eq for OrderedTime {}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Timers in the order in which they fire. Timers for the same time fire in the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(OrderedTime, u64, TimerKey)>>,
    /// The number of timers set so far.
    set_count: u64,
}

impl TimerQueue {
    /// Sets a timer; returns whether it fires before all others.
    fn set(&mut self, at: Time, key: TimerKey) -> bool {
        let is_earliest = self.next_at().is_none_or(|earliest| at < earliest);
        self.set_count += 1;
        self.timers.push(Reverse((OrderedTime(at), self.set_count, key)));
        is_earliest
    }

    fn next_at(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, ..))| at.0)
    }

    /// Removes the earliest timer if it is due.
    fn pop_due(&mut self, now: Time) -> Option<(Time, TimerKey)> {
        self.next_at().filter(|at| *at <= now)?;
        self.timers.pop().map(|Reverse((at, _, key))| (at.0, key))
    }
}

impl Engine {
    pub(super) fn set_timer(&self, state: &mut State, at: Time, key: TimerKey) {
        if state.timers.set(at, key) {
            self.earliest_timer_changed.notify_one();
        }
    }

    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.next_at().map(|at| self.clock.instant_of(at));
            match next {
                None => self.earliest_timer_changed.notified().await,
                Some(next) => tokio::select! {
                    _ = tokio::time::sleep_until(next) => self.fire_due_timers(),
                    _ = self.earliest_timer_changed.notified() => {}
                },
            }
        }
    }

    fn fire_due_timers(&self) {
        let now = self.clock.now();
        let mut lag: Time = 0.0;
        loop {
            let mut state = self.state();
            let Some((at, key)) = state.timers.pop_due(now) else {
                break;
            };
            lag = lag.max(now - at);
            self.fire(&mut state, key);
            self.decide(state);
        }
        self.timer_lag.set(lag.max(LAG_DECAY * self.timer_lag.get()).min(MAX_LAG_S));
    }

    fn fire(&self, state: &mut State, key: TimerKey) {
        match key {
            TimerKey::Balancer(token) => {
                state.events.push_back(QueuedEvent::Event(Event::Timer(token)));
            }
            TimerKey::Attempt(id, attempt) => {
                let is_written = state.attempts.is_written(id, attempt);
                let outcome = if is_written { Outcome::Timeout } else { Outcome::ConnectFailed };
                self.end_attempt(state, id, attempt, outcome.into());
            }
            // The balancer has not answered in time, but the client must still get an answer.
            TimerKey::Request(id) => {
                if state.requests.contains(id) {
                    state.requests.answer(id, Answer::Failed);
                    state.events.push_back(QueuedEvent::Event(Event::ClientDisconnected(id)));
                }
            }
        }
    }
}

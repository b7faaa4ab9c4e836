//! Ordering: requests with the same ordering key are executed one at a time. The first request of a queue may
//! be sent once no attempt of an earlier request is outstanding and the key's quiet period has passed.

#[cfg(test)]
mod tests;

use super::requests::{InFlightRequest, RequestSlot};
use super::types::{RequestId, Time};
use std::collections::{HashMap, VecDeque};

/// The minimum of [`OrderingQueues::prune_threshold`].
const MIN_PRUNE_THRESHOLD: usize = 16;

/// The requests of one ordering key.
#[derive(Debug)]
struct OrderedQueue {
    /// Requests without a final answer, in order of arrival.
    requests: VecDeque<RequestSlot>,
    /// The number of outstanding attempts of requests that have their final answer.
    detached_attempts: usize,
    quiet_until: Time,
}

/// The first request of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct NextRequest {
    pub slot: RequestSlot,
    /// The end of the key's quiet period.
    pub quiet_until: Time,
}

/// The queues of all ordering keys.
#[derive(Debug)]
pub(super) struct OrderingQueues {
    queues: HashMap<u64, OrderedQueue>,
    /// The number of queues at which idle ones are removed.
    prune_threshold: usize,
    /// The ordering keys of outstanding attempts whose requests have their final answer.
    detached: HashMap<(RequestId, usize), u64>,
}

impl OrderingQueues {
    pub fn new() -> Self {
        Self { queues: HashMap::new(), prune_threshold: MIN_PRUNE_THRESHOLD, detached: HashMap::new() }
    }

    /// The number of requests of a key without a final answer.
    pub fn queue_len(&self, key: u64) -> usize {
        self.queues.get(&key).map_or(0, |queue| queue.requests.len())
    }

    /// Queues a request.
    pub fn push(&mut self, key: u64, slot: RequestSlot, now: Time) {
        if self.queues.len() >= self.prune_threshold {
            self.queues.retain(|_, queue| {
                !queue.requests.is_empty() || queue.detached_attempts > 0 || queue.quiet_until > now
            });
            self.prune_threshold = MIN_PRUNE_THRESHOLD.max(2 * self.queues.len());
        }
        let queue = self.queues.entry(key).or_insert_with(|| OrderedQueue {
            requests: VecDeque::new(),
            detached_attempts: 0,
            quiet_until: f64::NEG_INFINITY,
        });
        queue.requests.push_back(slot);
    }

    /// The first request of a key, unless an attempt of an earlier one is outstanding.
    pub fn next(&self, key: u64) -> Option<NextRequest> {
        let queue = self.queues.get(&key)?;
        let slot = *queue.requests.front()?;
        (queue.detached_attempts == 0).then_some(NextRequest { slot, quiet_until: queue.quiet_until })
    }

    /// Removes a request that has its final answer; its outstanding attempts still block the key.
    pub fn request_done(&mut self, key: u64, slot: RequestSlot, request: &InFlightRequest) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        queue.requests.retain(|queued| *queued != slot);
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.outcome.is_none() {
                queue.detached_attempts += 1;
                self.detached.insert((request.id, number), key);
            }
        }
    }

    /// Handles the end of an attempt. Returns its ordering key if its request already had its final answer.
    pub fn attempt_ended(&mut self, id: RequestId, attempt: usize) -> Option<u64> {
        let key = self.detached.remove(&(id, attempt))?;
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.detached_attempts -= 1;
        }
        Some(key)
    }

    /// Starts a quiet period, as an attempt of the key ended that may still be executing.
    pub fn start_quiet_period(&mut self, key: u64, quiet_until: Time) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quiet_until = quiet_until;
        }
    }
}

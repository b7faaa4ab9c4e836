//! The requests in flight, which have no final answer yet, and their attempts.

use super::endpoints::BackendIndex;
use super::types::{Outcome, RequestId, Time};
use slotmap::{DefaultKey, SlotMap};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The slot of a request in the [`RequestTable`]; it is not reused for later requests.
pub(super) type RequestSlot = DefaultKey;

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub backend: BackendIndex,
    pub failure_domain: u32,
    pub zone: u32,
    pub sent_at: Time,
    /// How it ended; none while the attempt is outstanding.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the backend may have executed the request in this attempt.
    pub fn may_have_executed(&self) -> bool {
        use Outcome::{BadRequest, ConnectFailed, NotSent, Rejected};
        !matches!(self.outcome, Some(Rejected | ConnectFailed | NotSent | BadRequest))
    }
}

/// A request without a final answer.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    pub id: RequestId,
    pub class: usize,
    /// When it arrived or, if it was queued, left its queue.
    pub started_at: Time,
    /// Its expected response time divided by the mean of its class.
    pub relative_size: f64,
    /// The latest time of its final answer.
    pub deadline: Time,
    /// The time from `started_at` to the first retry.
    pub t1: Time,
    /// The number of retry timers that have fired.
    pub retry_timers_fired: i32,
    /// Whether a further retry timer is set.
    pub retry_timer_set: bool,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Its ordering key, if its class is ordered.
    pub ordering_key: Option<u64>,
    /// Whether it is in the queue of its ordering key and no attempt has been sent.
    pub is_queued: bool,
    /// Whether its last attempt was rejected and it waits for a retry.
    pub is_rejected: bool,
    /// The backend that was drawn but not chosen for the last attempt; a retry is sent to it.
    pub alternate: Option<BackendIndex>,
}

impl InFlightRequest {
    pub fn has_outstanding_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// The first attempt that may have been executed.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed())
    }
}

/// All requests without a final answer.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: SlotMap<RequestSlot, InFlightRequest>,
    by_id: HashMap<RequestId, RequestSlot>,
    queued: usize,
    rejected: usize,
}

impl RequestTable {
    /// The number of requests without a final answer.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The number of requests that are not queued by ordering key.
    pub fn active(&self) -> usize {
        self.by_id.len() - self.queued
    }

    /// The number of requests that were rejected by a backend and wait for a retry.
    pub fn rejected(&self) -> usize {
        self.rejected
    }

    /// The total time that the active requests have waited.
    pub fn total_wait(&self, now: Time) -> Time {
        self.requests.values().filter(|request| !request.is_queued).map(|r| now - r.started_at).sum()
    }

    pub fn slot(&self, id: RequestId) -> Option<RequestSlot> {
        self.by_id.get(&id).copied()
    }

    pub fn get(&self, slot: RequestSlot) -> Option<&InFlightRequest> {
        self.requests.get(slot)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestSlot, &mut InFlightRequest)> {
        self.requests.iter_mut()
    }

    pub fn insert(&mut self, request: InFlightRequest) -> RequestSlot {
        let id = request.id;
        self.queued += usize::from(request.is_queued);
        let slot = self.requests.insert(request);
        self.by_id.insert(id, slot);
        slot
    }

    /// Removes a request that has its final answer.
    pub fn remove(&mut self, slot: RequestSlot) -> Option<InFlightRequest> {
        let request = self.requests.remove(slot)?;
        self.by_id.remove(&request.id);
        self.queued -= usize::from(request.is_queued);
        self.rejected -= usize::from(request.is_rejected);
        Some(request)
    }

    /// Marks a queued request as started at `now`.
    pub fn leave_queue(&mut self, slot: RequestSlot, now: Time, t1: Time) {
        self.queued -= 1;
        let request = &mut self.requests[slot];
        (request.is_queued, request.started_at, request.t1) = (false, now, t1);
    }

    /// Marks a request as rejected in its last attempt.
    pub fn set_rejected(&mut self, slot: RequestSlot) {
        self.rejected += 1;
        self.requests[slot].is_rejected = true;
    }

    /// Adds an attempt that was sent.
    pub fn add_attempt(&mut self, slot: RequestSlot, attempt: Attempt) {
        let request = &mut self.requests[slot];
        request.attempts.push(attempt);
        self.rejected -= usize::from(std::mem::take(&mut request.is_rejected));
    }
}

impl Index<RequestSlot> for RequestTable {
    type Output = InFlightRequest;

    fn index(&self, slot: RequestSlot) -> &InFlightRequest {
        &self.requests[slot]
    }
}

impl IndexMut<RequestSlot> for RequestTable {
    fn index_mut(&mut self, slot: RequestSlot) -> &mut InFlightRequest {
        &mut self.requests[slot]
    }
}

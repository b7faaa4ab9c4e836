//! The requests in flight, which wait for their final answer.

use super::Answer;
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::{RequestId, Time};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The maximum number of finished requests whose ids are stored. It covers the requests of the last seconds, whose
/// attempts may still be running.
const MAX_FINISHED_IDS: usize = 4096;

/// A request that waits for its final answer.
pub(super) struct InFlightRequest {
    pub(super) received_at: Time,
    pub(super) answer: oneshot::Sender<Answer>,
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// When the engine answers if the balancer has not.
    pub(super) deadline: Time,
    pub(super) attempts_sent: usize,
}

/// The ids of the requests that finished last, oldest first.
#[derive(Default)]
struct FinishedIds {
    order: VecDeque<RequestId>,
    ids: HashSet<RequestId>,
}

impl FinishedIds {
    fn add(&mut self, id: RequestId) {
        if self.ids.insert(id) {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_FINISHED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}

/// All requests in flight, and the ids of recently finished ones.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: HashMap<RequestId, InFlightRequest>,
    finished: FinishedIds,
}

impl InFlightRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Whether the id belongs to a request in flight or to a recently finished one.
    pub(super) fn is_known(&self, id: RequestId) -> bool {
        self.contains(id) || self.finished.ids.contains(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.requests.insert(id, request);
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// The number of attempts sent for a request; 0 if it is not in flight.
    pub(super) fn attempts_sent(&self, id: RequestId) -> usize {
        self.requests.get(&id).map_or(0, |request| request.attempts_sent)
    }

    /// Shortens all later deadlines to `deadline`; returns the ids of the requests that this changed.
    pub(super) fn limit_deadlines(&mut self, deadline: Time) -> Vec<RequestId> {
        let mut limited = Vec::new();
        for (id, request) in &mut self.requests {
            if request.deadline > deadline {
                request.deadline = deadline;
                limited.push(*id);
            }
        }
        limited
    }

    /// Sends a request its final answer, if it is in flight.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(request) = self.finish(id) {
            let _ = request.answer.send(answer); // if the client has disconnected, its drop guard reports that
        }
    }

    /// Removes a request. Its attempts that still wait for a connection are no longer sent.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.requests.remove(&id)?;
        self.finished.add(id);
        request.forwarded.is_done.set(true);
        Some(request)
    }
}

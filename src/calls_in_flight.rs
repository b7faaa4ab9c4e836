//! Calls to a service that are in flight at the same time: the newest, and earlier ones that are late.
//!
//! A client that gives up a late call before it makes the next one never hears from a service that is slow each time.
//! Here a late call stays in flight beside the next one, which may go to another node. The number of calls is limited,
//! and the oldest one always stays, so that even a response that takes longer than the time between several calls
//! arrives. Once one is answered, the client ends the others, at once or when they may be replaced.

use crate::response_latency::ResponseLatency;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// How long a response may take beyond the wait of its call before it is late, as long as the service has not been slow.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest such time once the service has been slow, and how long a call stays in flight beyond its wait before
/// another one may replace it: a service may take 2 s to answer.
pub const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long a response may take beyond the wait of its call before the call is given up, whatever else is in flight.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest wait of a call. Such a call only requests the current state.
pub const MIN_CALL_WAIT: Duration = Duration::from_millis(100);
/// The maximum number of calls in flight, in addition to one for each node: as many as are sent at the usual intervals
/// until one may be replaced.
const MAX_ADDITIONAL_CALLS: usize = 3;

/// The maximum number of calls in flight to a service with this many nodes.
pub fn max_calls(node_count: usize) -> usize {
    node_count + MAX_ADDITIONAL_CALLS
}

/// The times of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// How long the service waits for changes.
    pub wait: Duration,
    /// How long the response may take beyond that before it is late.
    pub response_timeout: Duration,
}

impl CallTiming {
    /// The times of a call that waits up to `max_wait` for changes, to a service that answers. The wait gets shorter by
    /// what the response may take longer, so that a call that is lost is noticed equally soon.
    pub fn long_poll(latency: &ResponseLatency, max_wait: Duration) -> Self {
        let response_timeout = latency.timeout(RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT);
        let wait = max_wait.saturating_sub(response_timeout - RESPONSE_TIMEOUT);
        Self { wait: wait.max(MIN_CALL_WAIT.min(max_wait)), response_timeout }
    }
}

/// The number of a call; a newer call has a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// A call that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentCall {
    /// Its number.
    pub id: CallId,
    /// The node that it was sent to.
    pub address: SocketAddr,
    /// How long the call asks the service to wait for changes.
    pub wait: Duration,
    /// When it was sent.
    pub sent_at: Instant,
}

impl SentCall {
    /// When another call may replace it.
    fn replaceable_at(&self) -> Instant {
        self.sent_at + self.wait + MAX_RESPONSE_TIMEOUT
    }
}

/// A call and its pending response. Dropping it closes its connection.
struct Call<T> {
    sent: SentCall,
    response: Pin<Box<dyn Future<Output = T>>>,
}

/// The calls in flight, oldest first.
pub struct CallsInFlight<T> {
    calls: Vec<Call<T>>,
    last_id: u64,
}

impl<T> Default for CallsInFlight<T> {
    fn default() -> Self {
        Self { calls: Vec::new(), last_id: 0 }
    }
}

impl<T> CallsInFlight<T> {
    /// Adds a call to the node at `address`, which waits up to `wait` for changes; `response` sends it.
    pub fn send(
        &mut self,
        address: SocketAddr,
        wait: Duration,
        response: impl Future<Output = T> + 'static,
    ) -> SentCall {
        self.last_id += 1;
        let sent = SentCall { id: CallId(self.last_id), address, wait, sent_at: Instant::now() };
        self.calls.push(Call { sent, response: Box::pin(response) });
        sent
    }

    /// Waits for the end of any call, the oldest first; forever if there is none.
    pub async fn next(&mut self) -> (SentCall, T) {
        std::future::poll_fn(|cx| {
            for index in 0..self.calls.len() {
                if let Poll::Ready(response) = self.calls[index].response.as_mut().poll(cx) {
                    let sent = self.calls.remove(index).sent;
                    return Poll::Ready((sent, response));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// When one more call may be sent, if at most `max_calls` may be in flight.
    pub fn room_at(&self, max_calls: usize) -> Instant {
        match self.calls.get(1) {
            Some(second) if self.calls.len() >= max_calls => second.sent.replaceable_at(),
            _ => Instant::now(),
        }
    }

    /// Ends calls until one more may be sent: the oldest ones except for the very oldest.
    pub fn make_room(&mut self, max_calls: usize) {
        while self.calls.len() >= max_calls.max(2) {
            self.calls.remove(1);
        }
    }

    /// The newest call in flight.
    pub fn newest(&self) -> Option<CallId> {
        self.calls.last().map(|call| call.sent.id)
    }

    /// Ends the calls up to `last` that may be replaced by now.
    pub fn end_replaceable(&mut self, last: CallId) {
        let now = Instant::now();
        self.calls.retain(|call| call.sent.id > last || call.sent.replaceable_at() > now);
    }

    /// Ends all calls.
    pub fn clear(&mut self) {
        self.calls.clear();
    }
}

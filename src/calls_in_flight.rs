//! Calls to a service that are in flight at the same time: the newest, and earlier ones that are late.
//!
//! A client that gives up a late call before it makes the next one never hears from a service that is slow each time.
//! Here a late call stays in flight beside the next one, which may go to another node. The number of calls is limited,
//! and the oldest one always stays, so that even a response that takes longer than the time between several calls
//! arrives. Once one is answered, the client ends the others, at once or when they may be replaced.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// How long a call stays in flight beyond its wait before another one may replace it: a service may take 2 s to answer.
pub const MIN_CALL_DURATION: Duration = Duration::from_millis(2_200);

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
        self.sent_at + self.wait + MIN_CALL_DURATION
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

impl<T> fmt::Debug for CallsInFlight<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.calls.iter().map(|call| call.sent)).finish()
    }
}

impl<T> CallsInFlight<T> {
    /// The number of calls in flight.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

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

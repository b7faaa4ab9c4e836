//! When a client's connection is closed for the memory that it holds, beside the reasons in [`super::lifecycle`].

use super::client_connection::ClientConnection;
use crate::telemetry::reason::CloseReason;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// How long a client may take nothing of an answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// [`SEND_TIMEOUT`] while responses wait for memory.
const SHORT_SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// How often an answer that is not taken is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl ClientConnection {
    /// Waits until the connection must release its memory, and returns why. It must be polled after each poll of the
    /// future that reads and writes the connection, in the same task.
    pub(super) async fn memory_withdrawn(&self) -> CloseReason {
        let mut next_check = pin!(tokio::time::sleep(Duration::ZERO));
        let mut is_sending = false;
        poll_fn(|cx| {
            if self.stream.head_memory().is_some_and(|head| head.poll_aborted(cx).is_ready()) {
                return Poll::Ready(CloseReason::OutOfMemory);
            }
            // A request in flight is answered first: its client may wait for the answers in turn.
            if !self.stream.has_unsent_bytes() || self.is_busy() {
                is_sending = false;
                return Poll::Pending;
            }
            if !is_sending {
                is_sending = true;
                next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
            }
            self.poll_send_timeout(cx, next_check.as_mut())
        })
        .await
    }

    /// Completes once the client has taken nothing of an answer for too long.
    fn poll_send_timeout(&self, cx: &mut Context<'_>, mut next_check: Pin<&mut Sleep>) -> Poll<CloseReason> {
        while next_check.as_mut().poll(cx).is_ready() {
            let is_exhausted = self.server.engine.memory().responses.is_exhausted();
            let timeout = if is_exhausted { SHORT_SEND_TIMEOUT } else { SEND_TIMEOUT };
            if self.stream.send_progressed_at().elapsed() >= timeout {
                return Poll::Ready(CloseReason::SendTimeout);
            }
            next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
        Poll::Pending
    }
}

//! The graceful shutdown, from SIGTERM to the exit of the process.
//!
//! The process is killed (SIGKILL) some time after SIGTERM. After SIGTERM, clients are accepted for a short time, as
//! the load balancer in front of the proxy notices the shutdown late. Every request that was received is answered.

use super::Server;
use crate::Time;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGTERM clients are accepted at least; half of the time for answers if that is longer. Clients use
/// their connections while those stay open, and may have no others while another proxy restarts.
const MIN_ACCEPT_DURATION: Duration = Duration::from_millis(550);
/// SIGKILL comes no earlier than after the longest deadline of a class plus this delay, counted from SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest deadline that delays SIGKILL, in seconds.
const MAX_KILL_DEADLINE_S: Time = 3.0;
/// The last answer is sent at least this long before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// The interval of the checks whether the process may exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The process exits despite open connections after this many checks in a row without a request in flight.
const IDLE_CHECKS_BEFORE_EXIT: usize = 10;

/// The progress of the shutdown.
#[derive(Default)]
pub(super) struct ShutdownState {
    is_draining: Cell<bool>,
    /// When the last client stops waiting for its answer.
    last_client_deadline: Cell<Option<Instant>>,
}

impl ShutdownState {
    /// Whether the shutdown has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    fn has_waiting_clients(&self) -> bool {
        self.last_client_deadline.get().is_none_or(|deadline| Instant::now() <= deadline)
    }
}

impl Server {
    /// Begins the shutdown: sets the deadline for all answers, and returns when no more clients are to be accepted.
    pub(super) async fn drain(&self) {
        // A suspended process reads SIGTERM late, but the time until SIGKILL counts from when SIGTERM was sent.
        let signal_sent_at = Instant::now() - self.engine.recent_stall();
        let longest_deadline = self.longest_deadline();
        let kill_after = seconds(longest_deadline.min(MAX_KILL_DEADLINE_S)) + KILL_DELAY;
        let answer_time = kill_after - KILL_MARGIN;
        self.shutdown.is_draining.set(true);
        self.engine.begin_shutdown(signal_sent_at + answer_time);
        let last_client_deadline = signal_sent_at + seconds(longest_deadline) + KILL_DELAY;
        self.shutdown.last_client_deadline.set(Some(last_client_deadline));
        tracing::info!(answers_within = answer_time.as_secs_f64(), "shutting down");
        eprintln!("linkhatch-proxy: shutting down");
        tokio::time::sleep_until(signal_sent_at + MIN_ACCEPT_DURATION.max(answer_time / 2)).await;
    }

    /// The longest deadline of a class, in seconds.
    fn longest_deadline(&self) -> Time {
        self.settings.borrow().classes.iter().map(|class| class.deadline).fold(0.0, Time::max)
    }

    /// Waits until no connection is open, or none of the open ones has had a request in flight or an unsent answer for
    /// a while: a client that neither completes its request nor disconnects must not delay the exit until SIGKILL. The
    /// process never exits while an answer is pending, which would lose the request; SIGKILL may come later than
    /// expected.
    pub(super) async fn wait_until_answered(&self) {
        let mut idle_checks = 0;
        while self.connections.open() > 0 && idle_checks < IDLE_CHECKS_BEFORE_EXIT {
            let _ = tokio::time::timeout(EXIT_CHECK_INTERVAL, self.connections.wait_for_close()).await;
            let may_exit =
                self.engine.guard().may_exit(self.has_pending_answers(), self.shutdown.has_waiting_clients());
            idle_checks = if may_exit { idle_checks + 1 } else { 0 };
        }
        self.engine.guard().process_exits(self.has_pending_answers(), self.shutdown.has_waiting_clients());
        tracing::info!(connections = self.connections.open(), "exiting");
    }

    /// Whether requests have no answer yet, or one that has not been handed to the system.
    fn has_pending_answers(&self) -> bool {
        self.engine.has_requests_in_flight() || self.connections.has_unsent_bytes()
    }
}

fn seconds(time: Time) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or_default()
}

//! A process that contends for one lease.

use super::Lease;
use std::time::{Duration, Instant};

/// An acquire that was sent and has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingAcquire {
    number: u64,
    sent_at: Instant,
}

/// A process that contends for one duty: it acquires, renews and relinquishes the lease.
///
/// An answer counts only if it answers the latest acquire. A late answer to an earlier acquire (after a retry, or after
/// the duty was relinquished) is void: the service has voided that grant or will do so, and acting on it could overlap
/// another holder.
#[derive(Clone, Debug, Default)]
pub struct Contender {
    lease: Option<Lease>,
    pending: Option<PendingAcquire>,
    /// The number of the latest acquire.
    acquires: u64,
}

impl Contender {
    /// The lease, if one is held.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// The token with which the process may act at `now` (its clock); `None` if it may not act.
    pub fn may_act(&self, now: Instant) -> Option<u64> {
        self.lease.as_ref().filter(|lease| lease.may_act(now)).map(|lease| lease.token)
    }

    /// Records that an acquire is sent at `now`, in place of any that is still unanswered; returns its number, which is
    /// passed to [`Contender::granted`] with its answer.
    pub fn begin_acquire(&mut self, now: Instant) -> u64 {
        self.acquires += 1;
        self.pending = Some(PendingAcquire { number: self.acquires, sent_at: now });
        self.acquires
    }

    /// Records the answer to acquire `number`: granted with `token` for `ttl`. It counts only if it answers the latest
    /// acquire and its token is above that of the lease held; returns whether it counts.
    pub fn granted(&mut self, number: u64, name: &str, token: u64, ttl: Duration) -> bool {
        let Some(pending) = self.pending.filter(|pending| pending.number == number) else { return false };
        if self.lease.as_ref().is_some_and(|lease| lease.token >= token) {
            return false;
        }
        self.pending = None;
        self.lease = Some(Lease::granted(name, token, ttl, pending.sent_at));
        true
    }

    /// Records that the service accepted a renewal of `token` that was sent at `sent_at`.
    pub fn renewed(&mut self, token: u64, sent_at: Instant) {
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.token == token) {
            lease.renewed(sent_at);
        }
    }

    /// Records that the grant with `token` is lost: the process may no longer act on it.
    pub fn lost(&mut self, token: u64) {
        if self.lease.as_ref().is_some_and(|lease| lease.token == token) {
            self.lease = None;
        }
    }

    /// Relinquishes the duty, so that the process stops acting at once, and voids any unanswered acquire; returns the
    /// token to release at the service, if a lease was held.
    pub fn relinquish(&mut self) -> Option<u64> {
        self.pending = None;
        self.lease.take().map(|lease| lease.token)
    }
}

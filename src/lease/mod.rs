//! Leases on duties that one process may hold at a time: the holder's handle, which knows when it may no
//! longer act, and the fencing check that a resource makes of every act.
//!
//! The grants themselves are kept by the list service (`registry::store`, commands `Acquire`, `Release`, `Lapse`), where
//! each new grant's fencing token is the revision that it makes, so tokens only grow; renewals are kept by its leader in
//! memory (`registry::liveness`, which proves that a grant outlives a change of leader).
//!
//! **The holder's bound.** A grant or renewal sent at local time `s` is held by the service at least until
//! `s + ttl` in real time, since the service counts the TTL from when the request reached it, which is after
//! it was sent. The holder's clock may run slow by up to `RATE` (a slow clock shows less time passed than
//! has: `r` slow means local time passes `1 - r` as fast as real time), so the holder stops acting at local
//! time `s + ttl (1 - RATE) - MARGIN`. With `r <= RATE` that is at most `ttl (1 - RATE) / (1 - r) <= ttl` of
//! real time after `s`, and `MARGIN` is left for the time from deciding to act to the act itself. A clock that
//! runs fast only stops the holder sooner. The service's clock is taken to run at the true rate. The round
//! trip of the last renewal is not subtracted: counting from its sending already does.
//! Sources: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency" (SOSP 1989), for the bound under bounded clock drift; fencing tokens, for acts that arrive
//! after the bound (a holder paused between its check and its act), as the lock services that grant them
//! describe them.
//!
//! **Handover.** Another process may be granted the duty once the service's TTL has run out: at most `ttl`
//! after the holder's last renewal reached the service, plus the contender's retry interval.

mod clock;
pub mod holder;

pub use clock::Clock;

use std::time::{Duration, Instant};
use thiserror::Error;

/// The drift of a holder's clock that the bound allows for: 5%, above the 2% the fault tests give it.
pub const RATE: f64 = 0.05;
/// The time allowed from a holder's check to its act.
pub const MARGIN: Duration = Duration::from_millis(50);

/// How long after it was sent a grant or renewal may be relied on, by the holder's clock.
pub fn held(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - RATE).saturating_sub(MARGIN)
}

/// A holder's grant, as it knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The duty's name.
    pub name: String,
    /// The fencing token to show with every act.
    pub token: u64,
    /// The grant's TTL.
    pub ttl: Duration,
    /// When the last grant or renewal that the service took was sent, by the holder's clock.
    sent: Instant,
}

impl Lease {
    /// A grant whose request was sent at `sent` (the holder's clock).
    pub fn granted(name: &str, token: u64, ttl: Duration, sent: Instant) -> Self {
        Self { name: name.to_string(), token, ttl, sent }
    }

    /// The service took a renewal sent at `sent`; an answer to an older one, come late, changes nothing.
    pub fn renewed(&mut self, sent: Instant) {
        self.sent = self.sent.max(sent);
    }

    /// When the last grant or renewal that the service took was sent, by the holder's clock.
    pub fn sent(&self) -> Instant {
        self.sent
    }

    /// When the holder must have stopped acting, by its own clock.
    pub fn valid_until(&self) -> Instant {
        self.sent + held(self.ttl)
    }

    /// Whether the holder may still act at `now` (its clock).
    pub fn may_act(&self, now: Instant) -> bool {
        now < self.valid_until()
    }
}

/// An act shown with a token lower than one already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("fenced off: token {got} is below {seen}, already seen")]
pub struct Fenced {
    /// The highest token seen.
    pub seen: u64,
    /// The token shown.
    pub got: u64,
}

/// The check that a resource makes of every act: the highest token seen so far, and no act below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Admits an act under `token`, which becomes the highest seen, or refuses one under a lower token.
    ///
    /// # Errors
    /// `Fenced` where a higher token has been seen: a newer holder has acted, and this act is stale.
    pub fn admit(&mut self, token: u64) -> Result<(), Fenced> {
        if token < self.highest {
            return Err(Fenced { seen: self.highest, got: token });
        }
        self.highest = token;
        Ok(())
    }

    /// The highest token seen; 0 before any.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}

/// A process that contends for one duty: it asks, is granted, renews and gives up, and takes an answer in
/// only if it answers its latest request. An answer to an older acquire, come late (after a retry, or after
/// the duty was given up), is void: the service has voided that grant already or will, and acting on it could
/// overlap another holder.
#[derive(Clone, Debug, Default)]
pub struct Contender {
    lease: Option<Lease>,
    /// The number of the latest acquire sent and not yet answered, and when it was sent.
    asking: Option<(u64, Instant)>,
    asked: u64,
}

impl Contender {
    /// The grant held, if any.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Whether it may act at `now` (its clock), and under which token.
    pub fn may_act(&self, now: Instant) -> Option<u64> {
        self.lease.as_ref().filter(|l| l.may_act(now)).map(|l| l.token)
    }

    /// An acquire is sent at `now`: returns its number, to be given back with its answer. It replaces any
    /// acquire still unanswered.
    pub fn ask(&mut self, now: Instant) -> u64 {
        self.asked += 1;
        self.asking = Some((self.asked, now));
        self.asked
    }

    /// The answer to acquire `number`: granted under `token` for `ttl`. Taken in only if it answers the
    /// latest acquire and its token is above the one held.
    pub fn granted(&mut self, number: u64, name: &str, token: u64, ttl: Duration) -> bool {
        let Some((asked, sent)) = self.asking.filter(|(n, _)| *n == number) else { return false };
        if self.lease.as_ref().is_some_and(|l| l.token >= token) {
            return false;
        }
        debug_assert_eq!(asked, number);
        self.asking = None;
        self.lease = Some(Lease::granted(name, token, ttl, sent));
        true
    }

    /// The service took a renewal of `token` sent at `sent`.
    pub fn renewed(&mut self, token: u64, sent: Instant) {
        if let Some(lease) = self.lease.as_mut().filter(|l| l.token == token) {
            lease.renewed(sent);
        }
    }

    /// The service says the grant under `token` is lost: the duty is given up.
    pub fn lost(&mut self, token: u64) {
        if self.lease.as_ref().is_some_and(|l| l.token == token) {
            self.lease = None;
        }
    }

    /// Gives the duty up (it stops acting at once) and voids any acquire still out; returns the token to
    /// release at the service, if one was held.
    pub fn give_up(&mut self) -> Option<u64> {
        self.asking = None;
        self.lease.take().map(|l| l.token)
    }
}

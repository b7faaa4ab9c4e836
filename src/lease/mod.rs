//! Leases on duties that one process may hold at a time: the holder's handle, which determines until when it may act,
//! and the fencing check that a resource applies to every act.
//!
//! The list service stores the grants (`registry::store`, commands `Acquire`, `Release`, `EndExpired`). The fencing
//! token of a new grant is the revision that the grant makes, so tokens only grow. The service's leader records
//! renewals in memory (`registry::liveness`, which proves that a grant outlives a change of leader).
//!
//! - [`Lease`]: a grant, as its holder sees it.
//! - [`Contender`]: a process that acquires, renews and relinquishes one lease.
//! - [`Fence`]: the resource's check of fencing tokens.
//! - [`Clock`]: the clock by which a holder measures its lease.
//! - [`holder`]: the program that holds a duty.
//!
//! **The holder's bound.** The service keeps a grant or renewal sent at local time `s` at least until `s + ttl` in real
//! time, since it counts the TTL from when the request reached it, which is after it was sent. The holder's clock may
//! run slow by up to [`MAX_CLOCK_DRIFT`] (a clock that is slow by `r` advances at `1 - r` times the rate of real time),
//! so the holder stops acting at local time `s + ttl (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN`. With
//! `r <= MAX_CLOCK_DRIFT` that is at most `ttl (1 - MAX_CLOCK_DRIFT) / (1 - r) <= ttl` of real time after `s`, and
//! [`SAFETY_MARGIN`] is left for the time from the decision to act to the act itself. A clock that runs fast only stops
//! the holder sooner. The service's clock is assumed to run at the true rate. The round trip of the last renewal is not
//! subtracted, since the bound already counts from when the renewal was sent.
//!
//! Sources: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
//! (SOSP 1989), for the bound under bounded clock drift; Burrows, "The Chubby lock service" (OSDI 2006), section 2.4,
//! for fencing tokens (sequencers), which reject acts that arrive after the bound.
//!
//! **Handover.** Another process may be granted the duty once the TTL has expired at the service: at most `ttl` after
//! the holder's last renewal reached the service, plus the contender's retry interval.

mod clock;
mod contender;
mod fence;
pub mod holder;

pub use clock::Clock;
pub use contender::Contender;
pub use fence::{Fence, StaleToken};

use std::time::{Duration, Instant};

/// The maximum drift of a holder's clock that the bound allows for, as a fraction of real time.
pub const MAX_CLOCK_DRIFT: f64 = 0.05;
/// The time allowed between a holder's check and its act.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(50);

/// How long a holder may rely on a grant or renewal after sending its request, by the holder's clock.
pub fn holder_validity(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - MAX_CLOCK_DRIFT).saturating_sub(SAFETY_MARGIN)
}

/// A grant, as its holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The duty's name.
    pub name: String,
    /// The fencing token to send with every act.
    pub token: u64,
    /// The grant's TTL.
    pub ttl: Duration,
    /// When the last grant or renewal that the service accepted was sent, by the holder's clock.
    sent_at: Instant,
}

impl Lease {
    /// Makes the lease of a grant whose request was sent at `sent_at` (the holder's clock).
    pub fn granted(name: &str, token: u64, ttl: Duration, sent_at: Instant) -> Self {
        Self { name: name.to_string(), token, ttl, sent_at }
    }

    /// Extends the lease by an accepted renewal that was sent at `sent_at`; a late answer to an earlier renewal changes
    /// nothing.
    pub fn renewed(&mut self, sent_at: Instant) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// When the last grant or renewal that the service accepted was sent, by the holder's clock.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// When the holder must have stopped acting, by its own clock.
    pub fn valid_until(&self) -> Instant {
        self.sent_at + holder_validity(self.ttl)
    }

    /// Whether the holder may still act at `now` (its clock).
    pub fn may_act(&self, now: Instant) -> bool {
        now < self.valid_until()
    }
}

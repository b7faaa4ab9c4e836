//! A proxy's part of the agreement as a pure state machine: what the service has announced, what the proxy has applied,
//! and whether it is attached. The caller passes the time; the `follower` makes the calls.
//!
//! A proxy is **attached** if it has renewed its session, and has applied everything that the service had announced to
//! the fleet when that renewal was applied. It stays attached for `held` = [`crate::lease::holder_validity`] of the TTL
//! after the renewal was *sent*, by its own clock. Otherwise it is **detached**. Let `s` be the time at which the proxy
//! sent the renewal that it relies on, and `r >= s` the time at which the service applied it, with the drift of the
//! proxy's and the leader's clocks within [`crate::lease::MAX_CLOCK_DRIFT`] together. Then:
//! - *Slots.* The service keeps the session, and so the slot, until `r + ttl >= s + ttl` at the earliest, and the
//!   proxy stops using it at `s + held < s + ttl`. No two proxies hold a slot at the same time: W is 0.
//! - *Settings, membership, the endpoint list.* Let a change be committed at `c`, and a proxy act on the previous state
//!   at `t > c`. Its renewal was applied before `c` (otherwise the reply would have named the change, which it has not
//!   applied), so `s <= r < c` and `t < s + held < c + ttl`. W is the TTL of the session, even if messages are lost,
//!   late, repeated or reordered; usually it is the time in which the notification is delivered.
//! - A *detached* proxy applies the fallback settings (`document`), which contradict no version.

use super::state::{Renewal, RequiredRevisions};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum number of answered renewals whose required revisions are not applied yet. Further ones are not counted,
/// which only ends the attachment sooner.
const MAX_UNAPPLIED_RENEWALS: usize = 8;

/// The revisions and versions that the service announces to its watchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Announcement {
    /// The revision of the latest change.
    pub revision: u64,
    /// The membership's revision.
    pub members: u64,
    /// The committed version; 0 if none.
    pub committed: u64,
    /// The offered version; 0 if none.
    pub offered: u64,
}

/// Whether a proxy acts on the fleet's agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attachment {
    /// It acts under its slot and on the versions that all attached proxies follow within W.
    Attached {
        /// Its slot.
        slot: u32,
        /// The settings version; 0 if none was published, and each proxy's own configuration applies.
        version: u64,
        /// The membership's revision.
        members: u64,
    },
    /// It applies the fallback settings, without a slot.
    Detached,
}

/// A session as the service granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedSession {
    id: u64,
    slot: u32,
}

/// A call to open a session that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingOpen {
    number: u64,
    sent_at: Instant,
}

/// A renewal that was answered. It counts once the revisions that the reply names have been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UnappliedRenewal {
    /// When it was sent.
    pub sent_at: Instant,
    /// The revisions that must be applied for it to count.
    pub required: RequiredRevisions,
}

/// The state of one proxy's session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionState {
    /// How long the proxy relies on a renewal after it was sent.
    attachment_duration: Duration,
    session: Option<GrantedSession>,
    pending_open: Option<PendingOpen>,
    /// The number of the latest call to open a session.
    open_number: u64,
    /// Oldest first.
    unapplied_renewals: VecDeque<UnappliedRenewal>,
    /// When the latest renewal that counts was sent.
    renewed_at: Option<Instant>,
    announced: Announcement,
    /// The revision of the applied endpoint list.
    list: u64,
    /// The latest version that the proxy has and can apply.
    acknowledged: u64,
    /// The latest version that the proxy can't apply.
    unsupported: Option<u64>,
}

impl SessionState {
    /// The state of a proxy that has not received anything yet and is detached. A renewal keeps it attached for
    /// `attachment_duration` after it was sent.
    pub fn new(attachment_duration: Duration) -> Self {
        Self {
            attachment_duration,
            session: None,
            pending_open: None,
            open_number: 0,
            unapplied_renewals: VecDeque::new(),
            renewed_at: None,
            announced: Announcement::default(),
            list: 0,
            acknowledged: 0,
            unsupported: None,
        }
    }

    /// Applies an announcement; `can_apply` returns whether the proxy can apply a version. Returns whether the service
    /// must be called at once, with an acknowledgement or a refusal. An announcement older than the latest is ignored.
    pub fn receive(&mut self, announcement: Announcement, can_apply: impl Fn(u64) -> bool) -> bool {
        if announcement.revision < self.announced.revision {
            return false;
        }
        self.announced = announcement;
        let mut must_call = false;
        for version in [announcement.committed, announcement.offered] {
            if version > self.acknowledged && self.unsupported != Some(version) {
                must_call = true;
                match can_apply(version) {
                    true => self.acknowledged = version,
                    false => self.unsupported = Some(version),
                }
            }
        }
        self.count_applied_renewals();
        must_call
    }

    /// Records that the endpoint list of revision `list` is applied.
    pub fn list_applied(&mut self, list: u64) {
        self.list = self.list.max(list);
        self.count_applied_renewals();
    }

    /// Records a call to open a session at `now` and returns its number. Replies to earlier calls are void.
    pub fn begin_open(&mut self, now: Instant) -> u64 {
        self.open_number += 1;
        self.pending_open = Some(PendingOpen { number: self.open_number, sent_at: now });
        self.open_number
    }

    /// Records that the call to open with this number was granted.
    pub fn granted(&mut self, number: u64, session: u64, slot: u32, required: RequiredRevisions) {
        let Some(open) = self.pending_open.filter(|open| open.number == number) else { return };
        self.pending_open = None;
        self.clear_session();
        self.session = Some(GrantedSession { id: session, slot });
        self.add_renewal(open.sent_at, required);
    }

    /// Records that a renewal of `session` sent at `sent_at` was accepted.
    pub fn renewed(&mut self, session: u64, sent_at: Instant, required: RequiredRevisions) {
        if self.session() == Some(session) {
            self.add_renewal(sent_at, required);
        }
    }

    /// Records that the service reported the end of `session`.
    pub fn lost(&mut self, session: u64) {
        if self.session() == Some(session) {
            self.clear_session();
        }
    }

    /// Relinquishes the session and detaches; returns the session to close at the service.
    pub fn close(&mut self) -> Option<u64> {
        self.pending_open = None;
        let session = self.session();
        self.clear_session();
        session
    }

    fn clear_session(&mut self) {
        self.session = None;
        self.renewed_at = None;
        self.unapplied_renewals.clear();
    }

    fn add_renewal(&mut self, sent_at: Instant, required: RequiredRevisions) {
        let mut unapplied = self.unapplied_renewals.iter_mut();
        if let Some(existing) = unapplied.find(|renewal| renewal.required == required) {
            existing.sent_at = sent_at.max(existing.sent_at);
        } else if self.unapplied_renewals.len() < MAX_UNAPPLIED_RENEWALS {
            self.unapplied_renewals.push_back(UnappliedRenewal { sent_at, required });
        }
        self.count_applied_renewals();
    }

    /// Counts the renewals whose required revisions are applied.
    fn count_applied_renewals(&mut self) {
        let (agreed, list) = (self.announced.revision, self.list);
        let renewed_at = &mut self.renewed_at;
        self.unapplied_renewals.retain(|renewal| {
            let is_applied = renewal.required.agreed <= agreed && renewal.required.list <= list;
            if is_applied {
                *renewed_at = (*renewed_at).max(Some(renewal.sent_at));
            }
            !is_applied
        });
    }

    /// When its attachment ends, by its own clock, if it receives nothing more.
    pub fn attached_until(&self) -> Option<Instant> {
        self.renewed_at.filter(|_| !self.is_blocked()).map(|sent_at| sent_at + self.attachment_duration)
    }

    /// Whether it is attached at `now`, and to which slot and versions.
    pub fn attachment(&self, now: Instant) -> Attachment {
        match (self.session, self.attached_until()) {
            (Some(GrantedSession { slot, .. }), Some(end)) if now < end => Attachment::Attached {
                slot,
                version: self.announced.committed,
                members: self.announced.members,
            },
            _ => Attachment::Detached,
        }
    }

    /// Its session, even while detached: a session that could not be renewed in time may still be live.
    pub fn session(&self) -> Option<u64> {
        self.session.map(|session| session.id)
    }

    /// The renewal to send at `now`, if there is a session.
    pub fn renewal(&self, now: Instant) -> Option<Renewal> {
        let (active_version, members) = match self.attachment(now) {
            Attachment::Attached { version, members, .. } => (version, members),
            Attachment::Detached => (0, 0),
        };
        let session = self.session()?;
        Some(Renewal { session, acknowledged: self.acknowledged, active_version, members, list: self.list })
    }

    /// The latest version that it has and can apply.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// The latest version that it can't apply, if that is still committed or offered.
    pub fn unsupported(&self) -> Option<u64> {
        let Announcement { committed, offered, .. } = self.announced;
        self.unsupported.filter(|version| [committed, offered].contains(version))
    }

    /// Whether it can't apply the committed version, and so must not join.
    pub fn is_blocked(&self) -> bool {
        self.unsupported == Some(self.announced.committed)
    }

    /// The latest announcement.
    pub fn announced(&self) -> Announcement {
        self.announced
    }

    /// Answered renewals that do not count yet, oldest first.
    pub fn unapplied_renewals(&self) -> impl Iterator<Item = &UnappliedRenewal> {
        self.unapplied_renewals.iter()
    }
}

#[cfg(test)]
mod tests;

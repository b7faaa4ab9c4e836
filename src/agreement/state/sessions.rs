//! Sessions: each is one proxy's lease on its slot, from its opening to its end.

use super::command::{AgreementError, Renewal};
use super::versions::Offer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;

/// The range of a session's TTL, in milliseconds.
pub const TTL_RANGE_MS: RangeInclusive<u64> = 500..=60_000;
/// The maximum number of live sessions.
pub const MAX_SESSIONS: usize = 4_096;
/// The maximum number of ended sessions that are retained for the fleet's status.
pub const MAX_ENDED_SESSIONS: usize = 2_048;

/// The recorded reason for the end of a session that its owner closed.
pub(super) const CLOSED: &str = "closed";
/// The recorded reason for the end of a session that was not renewed in time.
pub(super) const EXPIRED: &str = "ran out";

/// A session of a live proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Its proxy's name.
    pub name: String,
    /// Its slot: the lowest one that was free.
    pub slot: u32,
    /// Its TTL in milliseconds.
    pub ttl_ms: u64,
    /// When it expires unless renewed, on the log's clock.
    pub expires_at_ms: u64,
    /// The latest version that it has acknowledged.
    pub acknowledged: u64,
    /// The latest report of its proxy.
    #[serde(rename = "said")]
    pub last_renewal: Renewal,
}

impl Session {
    /// Whether it has not acknowledged the offer within its TTL.
    pub(super) fn is_overdue(&self, offer: Offer, now_ms: u64) -> bool {
        offer.version > self.acknowledged && now_ms > offer.offered_at_ms + self.ttl_ms
    }
}

/// A session that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedSession {
    /// The session; 0 for a proxy that had none, since it can't apply the committed version.
    pub session: u64,
    /// Its proxy's name.
    pub name: String,
    /// Its slot; 0 for a proxy that had no session.
    pub slot: u32,
    /// The latest report of its proxy.
    #[serde(rename = "said")]
    pub last_renewal: Renewal,
    /// Why it ended.
    #[serde(rename = "why")]
    pub reason: String,
    /// When it ended, on the log's clock.
    #[serde(rename = "at_ms")]
    pub ended_at_ms: u64,
}

/// Checks the TTL that a proxy requests.
pub(super) fn check_ttl(ttl_ms: u64) -> Result<(), AgreementError> {
    match TTL_RANGE_MS.contains(&ttl_ms) {
        true => Ok(()),
        false => Err(AgreementError::Ttl(ttl_ms)),
    }
}

/// All sessions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Sessions {
    pub live: BTreeMap<u64, Session>,
    /// Oldest first.
    pub ended: VecDeque<EndedSession>,
    /// Whether they expire only by command, not by their own time.
    pub expires_by_command: bool,
}

impl Sessions {
    pub fn is_full(&self) -> bool {
        self.live.len() >= MAX_SESSIONS
    }

    /// Whether a session has expired by its own time.
    fn has_expired(&self, session: &Session, now_ms: u64) -> bool {
        !self.expires_by_command && session.expires_at_ms <= now_ms
    }

    /// The sessions that have expired by their own time.
    pub fn expired(&self, now_ms: u64) -> Vec<u64> {
        let expired = self.live.iter().filter(|(_, session)| self.has_expired(session, now_ms));
        expired.map(|(id, _)| *id).collect()
    }

    /// Whether any session has expired by its own time.
    pub fn has_any_expired(&self, now_ms: u64) -> bool {
        self.live.values().any(|session| self.has_expired(session, now_ms))
    }

    /// Whether a session has neither ended nor expired.
    pub fn is_live(&self, id: u64, now_ms: u64) -> bool {
        self.live.get(&id).is_some_and(|session| !self.has_expired(session, now_ms))
    }

    /// Whether every session that has not expired has acknowledged `version`.
    pub fn all_have_acknowledged(&self, version: u64, now_ms: u64) -> bool {
        let mut live = self.live.values().filter(|session| !self.has_expired(session, now_ms));
        live.all(|session| session.acknowledged >= version)
    }

    /// Opens session `id`; returns its slot.
    pub fn open(&mut self, id: u64, name: &str, ttl_ms: u64, acknowledged: u64, now_ms: u64) -> u32 {
        let slot = self.lowest_free_slot();
        let session = Session {
            name: name.to_string(),
            slot,
            ttl_ms,
            expires_at_ms: now_ms + ttl_ms,
            acknowledged,
            last_renewal: Renewal { session: id, acknowledged, ..Renewal::default() },
        };
        self.live.insert(id, session);
        self.remove_ended(name);
        slot
    }

    fn lowest_free_slot(&self) -> u32 {
        let taken: BTreeSet<u32> = self.live.values().map(|session| session.slot).collect();
        let gap = taken.iter().zip(0..).find(|(slot, free)| **slot != *free);
        gap.map_or(taken.len() as u32, |(_, free)| free)
    }

    /// Renews one session.
    ///
    /// # Errors
    /// The reason why it was not renewed.
    pub fn renew(&mut self, renewal: &Renewal, offer: Option<Offer>, now_ms: u64) -> Result<(), String> {
        let live = self.live.get(&renewal.session).filter(|session| !self.has_expired(session, now_ms));
        let live = live.cloned();
        let mut session = live.ok_or_else(|| AgreementError::Lost(renewal.session).to_string())?;
        session.acknowledged = session.acknowledged.max(renewal.acknowledged);
        if let Some(offer) = offer.filter(|offer| session.is_overdue(*offer, now_ms)) {
            return Err(format!("version {} was not acknowledged within the TTL", offer.version));
        }
        session.expires_at_ms = session.expires_at_ms.max(now_ms + session.ttl_ms);
        session.last_renewal = session.last_renewal.followed_by(renewal, session.acknowledged);
        self.live.insert(renewal.session, session);
        Ok(())
    }

    /// Ends a session; returns whether it was live.
    pub fn end(&mut self, id: u64, reason: &str, now_ms: u64) -> bool {
        let Some(Session { name, slot, last_renewal, .. }) = self.live.remove(&id) else { return false };
        let reason = reason.to_string();
        self.record_ended(EndedSession {
            session: id,
            name,
            slot,
            last_renewal,
            reason,
            ended_at_ms: now_ms,
        });
        true
    }

    /// Records a proxy without a session that can't apply `version` and so can't join, so that operators can find out.
    pub fn record_refusal(&mut self, name: &str, version: u64, reason: &str, now_ms: u64) {
        self.remove_ended(name);
        self.record_ended(EndedSession {
            session: 0,
            name: name.into(),
            slot: 0,
            last_renewal: Renewal::default(),
            reason: format!("cannot apply version {version}: {reason}"),
            ended_at_ms: now_ms,
        });
    }

    fn remove_ended(&mut self, name: &str) {
        self.ended.retain(|ended| ended.name != name);
    }

    fn record_ended(&mut self, ended: EndedSession) {
        if self.ended.len() >= MAX_ENDED_SESSIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }
}

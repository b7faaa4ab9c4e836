//! The list service's part of the agreement as a pure state machine: sessions with their slots, the membership, and the
//! settings' versions from publication to commit. It is part of the store (`registry::store`). Its commands come from
//! the replicated log, each with the log's time, so that all nodes reach the same state.
//!
//! Invariants, each checked by the model in `tests/agreement_model.rs`:
//! - a slot belongs to one session at a time, and is free again only once that session has expired, was closed by its
//!   owner, or was never granted;
//! - every session has acknowledged every version committed while it was live: it acknowledges the offer, or has
//!   expired before the commit, and a new session opens only once its proxy has acknowledged the offered version;
//! - one version is offered at a time, and every offer ends: all sessions acknowledge it (committed), one cannot
//!   apply it (withdrawn), or those that do neither are no longer renewed once a TTL has passed since the offer, and
//!   expire at most a TTL later;
//! - a committed version stays committed until a later one is committed.
//!
//! The leader, which records renewals in memory (`registry::liveness`), ends sessions that have expired
//! ([`Agreement::expire_sessions`]). In the part of a log that was written before [`Agreement::expire_by_command`],
//! sessions expire by their own time.

mod command;
mod membership;
mod sessions;
mod snapshot;
mod versions;

pub use command::{AgreementError, Command, CommandOutcome, MAX_TEXT_LENGTH, Renewal, RequiredRevisions};
pub use membership::Members;
pub use sessions::{EndedSession, MAX_ENDED_SESSIONS, MAX_SESSIONS, Session, TTL_RANGE_MS};
pub use versions::{MAX_HISTORY_BYTES, MAX_VERSIONS, Version, VersionStatus};

use membership::Membership;
use serde::Deserialize;
use sessions::Sessions;
use std::collections::{BTreeMap, VecDeque};
use versions::{Publication, SettingsVersions};

/// The agreement's state, owned by the store. Its stored form is in `snapshot`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(from = "snapshot::StoredAgreement<'static>")]
pub struct Agreement {
    sessions: Sessions,
    membership: Membership,
    versions: SettingsVersions,
    /// The revision of the latest change that watchers are notified of.
    latest_change: u64,
}

impl Agreement {
    /// Applies a command at the log's time `now_ms`. `list` is the revision of the endpoint list's latest change;
    /// `revision` is incremented with every change that other processes may have to be notified of.
    ///
    /// # Errors
    /// An [`AgreementError`]; the state is then unchanged.
    pub fn apply(
        &mut self,
        command: &Command,
        now_ms: u64,
        list: u64,
        revision: &mut u64,
    ) -> Result<CommandOutcome, AgreementError> {
        command.check_texts()?;
        match command {
            Command::Open { name, ttl_ms, acknowledged } => {
                let (session, slot) = self.open(name, *ttl_ms, *acknowledged, now_ms, revision)?;
                Ok(CommandOutcome::Opened { session, slot, required: self.required_revisions(list) })
            }
            Command::Renew { renewals } => {
                let lost = self.renew(renewals, now_ms, revision);
                Ok(CommandOutcome::Renewed { lost, required: self.required_revisions(list) })
            }
            Command::Close { session } => {
                self.close(*session, now_ms, revision)?;
                Ok(CommandOutcome::Nothing)
            }
            Command::Refuse { session, name, version, reason } => {
                match session {
                    Some(session) => self.withdraw(*session, name, *version, reason, now_ms, revision)?,
                    None => self.sessions.record_refusal(name, *version, reason, now_ms),
                }
                Ok(CommandOutcome::Nothing)
            }
            Command::Publish { parent, document, by, note, unix_ms } => {
                let publication = Publication { parent: *parent, document, by, note, unix_ms: *unix_ms };
                let version = self.publish(&publication, now_ms, revision)?;
                Ok(CommandOutcome::Published(version))
            }
        }
    }

    fn open(
        &mut self,
        name: &str,
        ttl_ms: u64,
        acknowledged: u64,
        now_ms: u64,
        revision: &mut u64,
    ) -> Result<(u64, u32), AgreementError> {
        sessions::check_ttl(ttl_ms)?;
        let required = self.versions.offered().unwrap_or(self.versions.committed);
        if acknowledged < required {
            return Err(AgreementError::Behind(required));
        }
        if self.sessions.is_full() {
            return Err(AgreementError::Full);
        }
        *revision += 1;
        let session = *revision;
        let slot = self.sessions.open(session, name, ttl_ms, acknowledged, now_ms);
        self.membership.is_stale = true;
        Ok((session, slot))
    }

    /// Renews sessions; returns those that could not be renewed, each with the reason.
    fn renew(&mut self, renewals: &[Renewal], now_ms: u64, revision: &mut u64) -> BTreeMap<u64, String> {
        let mut lost = BTreeMap::new();
        for renewal in renewals {
            if let Err(reason) = self.sessions.renew(renewal, self.versions.offer(), now_ms) {
                lost.insert(renewal.session, reason);
            }
        }
        self.advance_offers(now_ms, revision);
        lost
    }

    fn close(&mut self, session: u64, now_ms: u64, revision: &mut u64) -> Result<(), AgreementError> {
        if !self.end(session, sessions::CLOSED, now_ms) {
            return Err(AgreementError::Lost(session));
        }
        self.advance_offers(now_ms, revision);
        Ok(())
    }

    /// Withdraws the offer because a proxy can't apply it.
    fn withdraw(
        &mut self,
        session: u64,
        name: &str,
        version: u64,
        reason: &str,
        now_ms: u64,
        revision: &mut u64,
    ) -> Result<(), AgreementError> {
        if !self.sessions.is_live(session, now_ms) {
            return Err(AgreementError::Lost(session));
        }
        if self.versions.offered() != Some(version) {
            return Err(AgreementError::NotOffered(version));
        }
        self.versions.withdraw_offer(format!("{name}: {reason}"));
        *revision += 1;
        self.latest_change = *revision;
        self.advance_offers(now_ms, revision);
        Ok(())
    }

    fn publish(
        &mut self,
        publication: &Publication<'_>,
        now_ms: u64,
        revision: &mut u64,
    ) -> Result<u64, AgreementError> {
        self.versions.check_publication(publication)?;
        *revision += 1;
        let version = *revision;
        self.versions.publish(version, publication);
        self.advance_offers(now_ms, revision);
        Ok(version)
    }

    /// Commits the offer once every session that has not expired has acknowledged it, and offers the next.
    fn advance_offers(&mut self, now_ms: u64, revision: &mut u64) {
        loop {
            if let Some(offered) = self.versions.offered() {
                if !self.sessions.all_have_acknowledged(offered, now_ms) {
                    return;
                }
                *revision += 1;
                self.latest_change = *revision;
                self.versions.commit_offer(*revision);
            }
            if !self.versions.has_waiting() {
                return;
            }
            *revision += 1;
            self.latest_change = *revision;
            self.versions.offer_waiting(now_ms);
        }
    }

    /// Ends a session; returns whether it was live.
    fn end(&mut self, session: u64, reason: &str, now_ms: u64) -> bool {
        let ended = self.sessions.end(session, reason, now_ms);
        self.membership.is_stale |= ended;
        ended
    }

    /// From now on sessions expire only by [`Agreement::expire_sessions`].
    pub fn expire_by_command(&mut self) {
        self.sessions.expires_by_command = true;
    }

    /// Whether a session has not acknowledged the offer within its TTL, and so is no longer renewed.
    pub fn is_overdue(&self, session: &Session, now_ms: u64) -> bool {
        self.versions.offer().is_some_and(|offer| session.is_overdue(offer, now_ms))
    }

    /// Ends expired sessions; those that have already ended are ignored.
    pub fn expire_sessions(&mut self, sessions: &[u64], now_ms: u64, revision: &mut u64) {
        for session in sessions {
            self.end(*session, sessions::EXPIRED, now_ms);
        }
        self.tick(now_ms, revision);
    }

    /// Advances the time: ends sessions that have expired by their own time, and updates the membership if it has
    /// changed.
    pub fn tick(&mut self, now_ms: u64, revision: &mut u64) {
        for session in self.sessions.expired(now_ms) {
            self.end(session, sessions::EXPIRED, now_ms);
        }
        self.advance_offers(now_ms, revision);
        if self.membership.update(&self.sessions, revision) {
            self.latest_change = *revision;
        }
    }

    /// Whether a tick at `now_ms` would change anything.
    pub fn is_tick_due(&self, now_ms: u64) -> bool {
        self.membership.is_stale || self.sessions.has_any_expired(now_ms)
    }

    /// The revisions that a proxy must have applied to be attached.
    fn required_revisions(&self, list: u64) -> RequiredRevisions {
        RequiredRevisions { agreed: self.latest_change, list }
    }

    /// The version that the next publication must name as its parent: the latest published version that was neither
    /// withdrawn nor superseded; 0 if there is none.
    pub fn head(&self) -> u64 {
        self.versions.head()
    }

    /// The committed version; 0 if there is none.
    pub fn committed(&self) -> u64 {
        self.versions.committed
    }

    /// The offered version, if any.
    pub fn offered(&self) -> Option<u64> {
        self.versions.offered()
    }

    /// The version with this number, if it is retained.
    pub fn version(&self, version: u64) -> Option<&Version> {
        self.versions.history.get(&version)
    }

    /// All retained versions, oldest first.
    pub fn versions(&self) -> &BTreeMap<u64, Version> {
        &self.versions.history
    }

    /// Live sessions by number.
    pub fn sessions(&self) -> &BTreeMap<u64, Session> {
        &self.sessions.live
    }

    /// The membership that watchers are notified of.
    pub fn members(&self) -> &Members {
        &self.membership.members
    }

    /// Sessions that have ended, oldest first.
    pub fn ended(&self) -> &VecDeque<EndedSession> {
        &self.sessions.ended
    }

    /// The revision of the latest change that watchers are notified of.
    pub fn latest_change(&self) -> u64 {
        self.latest_change
    }
}

#[cfg(test)]
mod tests;

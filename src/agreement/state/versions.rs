//! The versions of the settings: the committed one, at most one offered, at most one waiting to be offered, and the
//! history.

use super::command::AgreementError;
use crate::agreement::document::Document;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of retained versions. The oldest are evicted first, but never one that is committed, offered or
/// waiting.
pub const MAX_VERSIONS: usize = 4_096;
/// The maximum size of all retained versions, in bytes.
pub const MAX_HISTORY_BYTES: usize = 8 << 20;

/// The status of a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionStatus {
    /// It waits for the end of the current offer.
    Waiting,
    /// It is offered: sessions must acknowledge it.
    Offered,
    /// It was committed at this revision.
    Committed(u64),
    /// A later one was published while it waited.
    Superseded,
    /// A proxy could not apply it, for this reason.
    Withdrawn(String),
}

/// A version of the settings, under the revision at which it was published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The head that it replaced.
    pub parent: u64,
    /// The settings.
    pub document: Arc<Document>,
    /// Who published it.
    pub by: String,
    /// The publisher's note on its purpose.
    pub note: String,
    /// When it was published, Unix time in milliseconds.
    pub unix_ms: u64,
    /// Its status.
    #[serde(rename = "fate")]
    pub status: VersionStatus,
    /// The bytes that it counts towards [`MAX_HISTORY_BYTES`].
    pub(super) bytes: usize,
}

/// A version to be published.
pub(super) struct Publication<'a> {
    pub parent: u64,
    pub document: &'a Arc<Document>,
    pub by: &'a str,
    pub note: &'a str,
    pub unix_ms: u64,
}

/// The offered version.
#[derive(Clone, Copy)]
pub(super) struct Offer {
    pub version: u64,
    /// When it was offered, on the log's clock.
    pub offered_at_ms: u64,
}

/// All retained versions, and which of them is committed, offered and waiting (0 if none).
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SettingsVersions {
    pub history: BTreeMap<u64, Version>,
    /// The size of all versions, in bytes.
    pub history_bytes: usize,
    pub committed: u64,
    pub offered: u64,
    /// When the offered version was offered, on the log's clock.
    pub offered_at_ms: u64,
    /// The version to offer next.
    pub waiting: u64,
}

impl SettingsVersions {
    pub fn offered(&self) -> Option<u64> {
        Some(self.offered).filter(|version| *version > 0)
    }

    pub fn offer(&self) -> Option<Offer> {
        self.offered().map(|version| Offer { version, offered_at_ms: self.offered_at_ms })
    }

    pub fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// See [`super::Agreement::head`].
    pub fn head(&self) -> u64 {
        [self.waiting, self.offered, self.committed].into_iter().find(|version| *version > 0).unwrap_or(0)
    }

    /// Checks that a version may be published.
    pub fn check_publication(&self, publication: &Publication<'_>) -> Result<(), AgreementError> {
        let (parent, head) = (publication.parent, self.head());
        if parent != head {
            return Err(AgreementError::Conflict { parent, head });
        }
        publication.document.check()?;
        if let Some(base) = self.history.get(&self.committed) {
            publication.document.may_follow(&base.document)?;
        }
        Ok(())
    }

    /// Adds a version that waits to be offered; it supersedes one that is already waiting.
    pub fn publish(&mut self, number: u64, publication: &Publication<'_>) {
        let Publication { parent, document, by, note, unix_ms } = publication;
        let bytes = document.size() + by.len() + note.len();
        let version = Version {
            parent: *parent,
            document: Arc::clone(document),
            by: by.to_string(),
            note: note.to_string(),
            unix_ms: *unix_ms,
            status: VersionStatus::Waiting,
            bytes,
        };
        self.history_bytes += bytes;
        self.history.insert(number, version);
        let superseded = std::mem::replace(&mut self.waiting, number);
        self.set_status(superseded, VersionStatus::Superseded);
        self.evict_oldest();
    }

    /// Offers the waiting version.
    pub fn offer_waiting(&mut self, now_ms: u64) {
        self.offered = std::mem::take(&mut self.waiting);
        self.offered_at_ms = now_ms;
        self.set_status(self.offered, VersionStatus::Offered);
    }

    /// Commits the offered version at `revision`.
    pub fn commit_offer(&mut self, revision: u64) {
        self.committed = std::mem::take(&mut self.offered);
        self.set_status(self.committed, VersionStatus::Committed(revision));
    }

    /// Withdraws the offered version.
    pub fn withdraw_offer(&mut self, reason: String) {
        let withdrawn = std::mem::take(&mut self.offered);
        self.set_status(withdrawn, VersionStatus::Withdrawn(reason));
    }

    fn set_status(&mut self, version: u64, status: VersionStatus) {
        if let Some(version) = self.history.get_mut(&version) {
            version.status = status;
        }
    }

    /// Evicts the oldest versions beyond the bounds.
    fn evict_oldest(&mut self) {
        let retained = [self.committed, self.offered, self.waiting];
        while self.history.len() > MAX_VERSIONS || self.history_bytes > MAX_HISTORY_BYTES {
            let mut oldest_first = self.history.keys().copied();
            let Some(oldest) = oldest_first.find(|version| !retained.contains(version)) else { return };
            self.history_bytes -= self.history.remove(&oldest).map_or(0, |version| version.bytes);
        }
    }
}

//! The stored form of the agreement in snapshots of the replicated log. It is flat and must stay readable by every
//! build that may be started on the same data.

use super::Agreement;
use super::membership::{Members, Membership};
use super::sessions::{EndedSession, Session, Sessions};
use super::versions::{SettingsVersions, Version};
use serde::{Deserialize, Serialize, Serializer};
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};

/// [`Agreement`] as it is stored; borrows from it when written.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredAgreement<'a> {
    sessions: Cow<'a, BTreeMap<u64, Session>>,
    members: Cow<'a, Members>,
    /// Whether the membership is stale.
    #[serde(rename = "moved")]
    membership_is_stale: bool,
    versions: Cow<'a, BTreeMap<u64, Version>>,
    /// The size of all versions, in bytes.
    bytes: usize,
    committed: u64,
    offered: u64,
    offered_at_ms: u64,
    waiting: u64,
    #[serde(rename = "changed")]
    latest_change: u64,
    ended: Cow<'a, VecDeque<EndedSession>>,
    #[serde(rename = "lapse_by_command", default)]
    expires_by_command: bool,
}

impl Serialize for Agreement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self { sessions, membership, versions, latest_change } = self;
        let stored = StoredAgreement {
            sessions: Cow::Borrowed(&sessions.live),
            members: Cow::Borrowed(&membership.members),
            membership_is_stale: membership.is_stale,
            versions: Cow::Borrowed(&versions.history),
            bytes: versions.history_bytes,
            committed: versions.committed,
            offered: versions.offered,
            offered_at_ms: versions.offered_at_ms,
            waiting: versions.waiting,
            latest_change: *latest_change,
            ended: Cow::Borrowed(&sessions.ended),
            expires_by_command: sessions.expires_by_command,
        };
        stored.serialize(serializer)
    }
}

impl From<StoredAgreement<'_>> for Agreement {
    fn from(stored: StoredAgreement<'_>) -> Self {
        Self {
            sessions: Sessions {
                live: stored.sessions.into_owned(),
                ended: stored.ended.into_owned(),
                expires_by_command: stored.expires_by_command,
            },
            membership: Membership {
                members: stored.members.into_owned(),
                is_stale: stored.membership_is_stale,
            },
            versions: SettingsVersions {
                history: stored.versions.into_owned(),
                history_bytes: stored.bytes,
                committed: stored.committed,
                offered: stored.offered,
                offered_at_ms: stored.offered_at_ms,
                waiting: stored.waiting,
            },
            latest_change: stored.latest_change,
        }
    }
}

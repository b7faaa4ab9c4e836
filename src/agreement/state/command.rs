//! The commands of the agreement as the replicated log stores them, their outcomes and their errors.

use super::sessions::{MAX_SESSIONS, TTL_RANGE_MS};
use crate::agreement::document::{Document, DocumentError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// The maximum length of a name, note or reason, in characters.
pub const MAX_TEXT_LENGTH: usize = 256;

/// What a proxy reports with each renewal of its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Renewal {
    /// Its session.
    pub session: u64,
    /// The latest settings version that it has and can apply: acknowledges the offer of that version.
    #[serde(rename = "holds", default)]
    pub acknowledged: u64,
    /// The settings version that it applies; 0 if none was published, or if it was detached when it sent this.
    #[serde(rename = "inForce", default)]
    pub active_version: u64,
    /// The revision of the membership that it applies.
    #[serde(default)]
    pub members: u64,
    /// The revision of the endpoint list that it applies.
    #[serde(default)]
    pub list: u64,
}

impl Renewal {
    /// This renewal merged with `next`: calls may overtake one another, so the latest of each revision is retained.
    /// `acknowledged` is the latest version that the session has acknowledged.
    pub fn followed_by(&self, next: &Renewal, acknowledged: u64) -> Self {
        Self {
            session: next.session,
            acknowledged: acknowledged.max(self.acknowledged),
            active_version: next.active_version.max(self.active_version),
            members: next.members.max(self.members),
            list: next.list.max(self.list),
        }
    }
}

/// A requested change of the agreement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Command {
    /// Opens a session for a proxy.
    Open {
        /// The proxy's name, for display; two sessions may have the same name.
        name: String,
        /// The session's TTL in milliseconds, within [`TTL_RANGE_MS`].
        ttl_ms: u64,
        /// The latest settings version that the proxy has and can apply.
        #[serde(rename = "holds")]
        acknowledged: u64,
    },
    /// Renews sessions.
    Renew {
        /// One renewal per session.
        renewals: Vec<Renewal>,
    },
    /// Ends a session at its owner's request; its slot is free at once.
    Close {
        /// The session.
        session: u64,
    },
    /// Reports that a proxy cannot apply a version; if that version is offered, it is withdrawn.
    Refuse {
        /// Its session, if it has one.
        session: Option<u64>,
        /// Its name.
        name: String,
        /// The version.
        version: u64,
        /// Why it cannot apply the version, for the publisher.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Publishes a version.
    Publish {
        /// The head that it replaces (0 if there is none).
        parent: u64,
        /// The version.
        document: Arc<Document>,
        /// Who publishes it.
        by: String,
        /// The publisher's note on its purpose.
        note: String,
        /// When it was published, Unix time in milliseconds, by the leader's clock.
        unix_ms: u64,
    },
}

impl Command {
    /// Checks the texts for display.
    pub(super) fn check_texts(&self) -> Result<(), AgreementError> {
        match self {
            Command::Open { name, .. } => check_text("name", name, 1),
            Command::Refuse { name, reason, .. } => {
                check_text("name", name, 1)?;
                check_text("why", reason, 1)
            }
            Command::Publish { by, note, .. } => {
                check_text("by", by, 1)?;
                check_text("note", note, 0)
            }
            Command::Renew { .. } | Command::Close { .. } => Ok(()),
        }
    }
}

fn check_text(field: &str, text: &str, min_length: usize) -> Result<(), AgreementError> {
    let is_printable = text.chars().all(|character| !character.is_control());
    match is_printable && (min_length..=MAX_TEXT_LENGTH).contains(&text.chars().count()) {
        true => Ok(()),
        false => Err(AgreementError::Text(field.into())),
    }
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// A session was opened, with this slot.
    Opened {
        /// The session.
        session: u64,
        /// Its slot.
        slot: u32,
        /// The revisions that its proxy must have applied to be attached.
        #[serde(rename = "upto")]
        required: RequiredRevisions,
    },
    /// Sessions were renewed, except for those that are lost.
    Renewed {
        /// The sessions that were not renewed, each with the reason.
        lost: BTreeMap<u64, String>,
        /// The revisions that the other sessions' proxies must have applied to be attached.
        #[serde(rename = "upto")]
        required: RequiredRevisions,
    },
    /// The settings were published as this version.
    Published(u64),
    /// The command was applied and has no result.
    Nothing,
}

/// The revisions that a proxy must have applied to be attached: of the latest change of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequiredRevisions {
    /// The revision of the agreement: offers, commits, withdrawals, membership.
    pub agreed: u64,
    /// The revision of the endpoint list.
    pub list: u64,
}

/// Why a command was not applied. The state is unchanged when an error is returned.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreementError {
    /// The TTL is out of range.
    #[error("ttlMs {0}: from {min} to {max}", min = TTL_RANGE_MS.start(), max = TTL_RANGE_MS.end())]
    Ttl(u64),
    /// A name, note or reason that is empty, too long, or has control characters.
    #[error("{0}: a text of at most {MAX_TEXT_LENGTH} printable characters")]
    Text(String),
    /// There are already [`MAX_SESSIONS`] sessions.
    #[error("too many sessions ({MAX_SESSIONS})")]
    Full,
    /// The proxy has not acknowledged the offered version, or without an offer the committed one, and so cannot open a
    /// session.
    #[error("version {0} has to be held first")]
    Behind(u64),
    /// The session does not exist (any more).
    #[error("session {0} is not known; it may have run out")]
    Lost(u64),
    /// The refused version is not offered.
    #[error("version {0} is not offered")]
    NotOffered(u64),
    /// The parent is not the head, since another version was published.
    #[error("the head is version {head}, not {parent}")]
    Conflict {
        /// The parent that the publication named.
        parent: u64,
        /// The head.
        head: u64,
    },
    /// The document may not enter the history.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

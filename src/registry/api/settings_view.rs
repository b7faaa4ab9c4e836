//! The form that a version of the settings has in the HTTP API.

use crate::agreement::document::Document;
use crate::agreement::state::{Agreement, Version, VersionStatus};
use serde::Serialize;
use std::sync::Arc;

/// A version with its status, and with its document except in the history.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct VersionView {
    version: u64,
    parent: u64,
    by: String,
    note: String,
    unix_ms: u64,
    #[serde(rename = "fate")]
    status: Status,
    /// The revision at which it was committed.
    #[serde(skip_serializing_if = "Option::is_none")]
    committed_at: Option<u64>,
    /// Why it was withdrawn.
    #[serde(rename = "why", skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    document: Option<Arc<Document>>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Waiting,
    Offered,
    #[serde(rename = "in force")]
    InForce,
    Replaced,
    Superseded,
    Withdrawn,
}

impl VersionView {
    /// A version without its document.
    pub(super) fn summary(number: u64, version: &Version, agreement: &Agreement) -> Self {
        let (status, committed_at, reason) = match &version.status {
            VersionStatus::Waiting => (Status::Waiting, None, None),
            VersionStatus::Offered => (Status::Offered, None, None),
            VersionStatus::Committed(revision) if agreement.committed() == number => {
                (Status::InForce, Some(*revision), None)
            }
            VersionStatus::Committed(revision) => (Status::Replaced, Some(*revision), None),
            VersionStatus::Superseded => (Status::Superseded, None, None),
            VersionStatus::Withdrawn(reason) => (Status::Withdrawn, None, Some(reason.clone())),
        };
        Self {
            version: number,
            parent: version.parent,
            by: version.by.clone(),
            note: version.note.clone(),
            unix_ms: version.unix_ms,
            status,
            committed_at,
            reason,
            document: None,
        }
    }

    /// A version with its document, if it is still retained.
    pub(super) fn with_document(number: u64, agreement: &Agreement) -> Option<Self> {
        let version = agreement.version(number)?;
        let document = Some(version.document.clone());
        Some(Self { document, ..Self::summary(number, version, agreement) })
    }
}

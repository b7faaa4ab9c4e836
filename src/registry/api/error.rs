//! The errors of the API: the status, the text and the details of each reply other than 200.
//!
//! The texts and details are part of the API. A 503 has a `Retry-After` where the caller should retry at this node;
//! `outcome` states whether a write that was not acknowledged may have been applied, or may still be.

use super::reply::{self, Reply};
use super::settings_view::VersionView;
use crate::agreement::document::DocumentError;
use crate::agreement::state::AgreementError;
use crate::http_client::CallError;
use crate::registry::node::ProposeError;
use crate::registry::raft::NodeId;
use crate::registry::store::StoreError;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;
use thiserror::Error;

/// Whether a write that was not acknowledged took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum WriteOutcome {
    /// It was not applied and will not be.
    None,
    /// It may have been applied, or may still be.
    Unknown,
}

/// Why a call is not answered 200.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// No call has this path.
    #[error("no such call: {0}")]
    UnknownCall(String),
    /// The body is not the JSON that the call expects.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The body lacks a field that this call needs.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// A weight in a call other than `/v1/weight`.
    #[error("only /v1/weight takes a weight")]
    UnexpectedWeight,
    /// A query parameter that is not a number.
    #[error("{name} is not a whole number: {value}")]
    Parameter {
        /// The parameter's name.
        name: &'static str,
        /// The parameter's text.
        value: String,
    },
    /// The call has more renewals than one call may have.
    #[error("at most {0} renewals in one call")]
    TooManyRenewals(usize),
    /// The settings document is not valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A call of another node's Raft is not valid.
    #[error(transparent)]
    RaftCall(CallError),
    /// The request to another node could not be made.
    #[error(transparent)]
    Http(#[from] hyper::http::Error),
    /// The body is longer than this limit.
    #[error("a body of at most {0}")]
    BodyTooLarge(&'static str),
    /// The command is longer than a record of the log may be.
    #[error("a write of at most 60 KiB")]
    WriteTooLarge,
    /// The settings version does not exist, or is no longer retained.
    #[error("version {0} is not known (any more)")]
    UnknownVersion(u64),
    /// The store rejected the command; nothing changed.
    #[error(transparent)]
    Rejected(#[from] StoreError),
    /// The parent of a publication is not the head.
    #[error("{error}")]
    Conflict {
        /// The store's rejection.
        #[source]
        error: AgreementError,
        /// The head with its document, if there is one.
        head: Option<Box<VersionView>>,
    },
    /// A session was not renewed, for this reason.
    #[error("{0}")]
    SessionLost(String),
    /// Another node forwarded the call to this one, which does not lead.
    #[error("this node does not lead")]
    NotLeader,
    /// No leader was found in time for a write.
    #[error("no leader to write to")]
    NoLeaderForWrite,
    /// No leader was found in time for renewals.
    #[error("no leader to renew at")]
    NoLeaderForRenewal,
    /// The limit of waiting writes is reached.
    #[error("too many writes")]
    TooManyWrites,
    /// The limit of waiting watches is reached.
    #[error("too many watches")]
    TooManyWatches,
    /// Renewals could not be accepted here; nothing was renewed.
    #[error(transparent)]
    RenewalFailed(ProposeError),
    /// A write was not acknowledged, but may have been applied.
    #[error(transparent)]
    NotAcknowledged(ProposeError),
    /// A write was forwarded to the leader, which did not answer.
    #[error("passed on to node {leader}: {error}")]
    ForwardFailed {
        /// The leader.
        leader: NodeId,
        /// How the call to it failed.
        #[source]
        error: CallError,
    },
    /// It is unknown whether the leader accepted renewals that were to be forwarded to it, for this reason.
    #[error("{0}")]
    RenewalForwardFailed(String),
    /// A watch of the list since a revision that this node has not reached.
    #[error("this node is at {at}, behind {since}")]
    ListBehind {
        /// This node's revision.
        at: u64,
        /// The watcher's revision.
        since: u64,
    },
    /// A watch of the agreement since a revision that this node has not reached.
    #[error("this node is at {at}, behind {since}")]
    AgreementBehind {
        /// The revision of the agreement's latest change on this node.
        at: u64,
        /// The watcher's revision.
        since: u64,
    },
    /// The node has failed and answers every call with this error.
    #[error("this node has failed: {0}")]
    NodeFailed(String),
    /// The node does not take part in the cluster yet.
    #[error("this node does not take part yet")]
    NotAdmitted,
    /// The node may not vote yet.
    #[error("this node does not vote yet")]
    MayNotVote,
}

/// The body of an error reply.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<WriteOutcome>,
    #[serde(flatten)]
    detail: Option<Detail<'a>>,
}

/// A detail that the caller needs to repeat its call.
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum Detail<'a> {
    /// The settings version that the caller must have before it can open a session.
    Hold(u64),
    /// The key of the settings document that is wrong.
    Key(&'a str),
    /// The head to publish on; null before the first version.
    Head(Option<&'a VersionView>),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Json(_)
            | Self::MissingField(_)
            | Self::UnexpectedWeight
            | Self::Parameter { .. }
            | Self::TooManyRenewals(_)
            | Self::Document(_)
            | Self::RaftCall(_)
            | Self::Http(_) => StatusCode::BAD_REQUEST,
            Self::UnknownCall(_) | Self::UnknownVersion(_) => StatusCode::NOT_FOUND,
            Self::BodyTooLarge(_) | Self::WriteTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Rejected(error) => rejection_status(error),
            Self::Conflict { .. } | Self::SessionLost(_) => StatusCode::CONFLICT,
            Self::NotLeader => StatusCode::MISDIRECTED_REQUEST,
            Self::NoLeaderForWrite
            | Self::NoLeaderForRenewal
            | Self::TooManyWrites
            | Self::TooManyWatches
            | Self::RenewalFailed(_)
            | Self::NotAcknowledged(_)
            | Self::ForwardFailed { .. }
            | Self::RenewalForwardFailed(_)
            | Self::ListBehind { .. }
            | Self::AgreementBehind { .. }
            | Self::NodeFailed(_)
            | Self::NotAdmitted
            | Self::MayNotVote => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn outcome(&self) -> Option<WriteOutcome> {
        match self {
            Self::NotLeader
            | Self::NoLeaderForWrite
            | Self::NoLeaderForRenewal
            | Self::TooManyWrites
            | Self::RenewalFailed(_) => Some(WriteOutcome::None),
            Self::NotAcknowledged(_) | Self::ForwardFailed { .. } | Self::RenewalForwardFailed(_) => {
                Some(WriteOutcome::Unknown)
            }
            _ => None,
        }
    }

    fn detail(&self) -> Option<Detail<'_>> {
        match self {
            Self::Document(error)
            | Self::Rejected(StoreError::Agreement(AgreementError::Document(error))) => {
                Some(Detail::Key(&error.key))
            }
            Self::Rejected(StoreError::Agreement(AgreementError::Behind(version))) => {
                Some(Detail::Hold(*version))
            }
            Self::Conflict { head, .. } => Some(Detail::Head(head.as_deref())),
            _ => None,
        }
    }

    /// Whether the reply is a 503 with `Retry-After`: the caller should retry at this node.
    fn has_retry_after(&self) -> bool {
        let retry_elsewhere = matches!(
            self,
            Self::ListBehind { .. } | Self::NodeFailed(_) | Self::NotAdmitted | Self::MayNotVote
        );
        self.status() == StatusCode::SERVICE_UNAVAILABLE && !retry_elsewhere
    }
}

fn rejection_status(error: &StoreError) -> StatusCode {
    match error {
        StoreError::Held { .. }
        | StoreError::Lost(_)
        | StoreError::OtherLogJoined(_)
        | StoreError::Agreement(
            AgreementError::Behind(_)
            | AgreementError::Lost(_)
            | AgreementError::NotOffered(_)
            | AgreementError::Conflict { .. },
        ) => StatusCode::CONFLICT,
        StoreError::Unknown(_) => StatusCode::NOT_FOUND,
        StoreError::Agreement(AgreementError::Full) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    }
}

impl From<RequestError> for Reply {
    fn from(error: RequestError) -> Self {
        let body = ErrorBody { error: error.to_string(), outcome: error.outcome(), detail: error.detail() };
        let mut reply = reply::json(error.status(), reply::sorted_json(&body));
        if error.has_retry_after() {
            reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        reply
    }
}

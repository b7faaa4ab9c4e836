//! The errors of the operators' commands, and their exit codes.

use linkhatch_proxy::agreement::document::DocumentError;
use linkhatch_proxy::http_client::CallError;
use std::net::SocketAddr;
use thiserror::Error;

/// The explanation of the exit codes in the help.
pub const EXIT_CODES: &str = "Exit codes: 0 success; 1 rejected by the service, or the version was withdrawn or \
    superseded; 2 invalid arguments or file; 3 no node answered, or the outcome is unknown; 4 another version \
    was published in the meantime, and nothing was done; 5 published, but not committed within the wait";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The service rejected the command, or has no such version.
    #[error("{0}")]
    Rejected(String),
    /// A document from the service can't be parsed.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The version was withdrawn, for the reason given.
    #[error("withdrawn: {0}")]
    Withdrawn(String),
    /// The version was superseded.
    #[error("superseded by a later version")]
    Superseded,
    /// A file can't be read, or its content is invalid.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The error in it.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The call can't be made.
    #[error(transparent)]
    Call(CallError),
    /// No node answered. Contains the failure of the last node.
    #[error("no node answered: {0}")]
    Unreachable(String),
    /// A node does not know whether the command was done.
    #[error("{node}: {message}; look at the history")]
    UnknownOutcome {
        /// The node.
        node: SocketAddr,
        /// Its message.
        message: String,
    },
    /// The connection broke after the command was sent.
    #[error("{node}: {source}; it may have been done: look at the history")]
    Interrupted {
        /// The node.
        node: SocketAddr,
        /// The error of the connection.
        source: CallError,
    },
    /// Another version was published in the meantime.
    #[error("{0}")]
    Conflict(String),
    /// The version was not committed in time.
    #[error("version {version} is {status}")]
    NotCommitted {
        /// The version.
        version: u64,
        /// Its status.
        status: String,
    },
}

impl CommandError {
    /// The error for a file.
    pub fn file(path: &str, source: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        Self::File { path: path.to_string(), source: source.into() }
    }

    /// The exit code, see [`EXIT_CODES`].
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) | Self::Document(_) | Self::Withdrawn(_) | Self::Superseded => 1,
            Self::File { .. } | Self::Call(_) => 2,
            Self::Unreachable(_) | Self::UnknownOutcome { .. } | Self::Interrupted { .. } => 3,
            Self::Conflict(_) => 4,
            Self::NotCommitted { .. } => 5,
        }
    }
}

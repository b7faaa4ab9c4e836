//! Why a node's files cannot be used.

use super::NodeId;
use super::frame::FrameError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the data directory could not be read or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The content of a file is damaged.
    #[error("{path}: at byte {offset}: {reason}; the node does not start, so that no data is lost silently")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the damaged part begins, in bytes.
        offset: u64,
        /// What is wrong with it.
        reason: Corruption,
    },
    /// The directory belongs to another node.
    #[error("{path}: the log belongs to node {found}, not to node {expected}")]
    OtherNode {
        /// The directory.
        path: PathBuf,
        /// The node that wrote the log.
        found: NodeId,
        /// The node that opens it.
        expected: NodeId,
    },
    /// The directory contains the data of a version without replication.
    #[error(
        "{path}: contains a list of a version without replication, which this version cannot read; export the list \
         with that version and use a new directory for this one"
    )]
    UnreplicatedFormat {
        /// The directory.
        path: PathBuf,
    },
}

impl DiskError {
    /// Converts the error of a file operation on `path`.
    pub(super) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::Io { path: path.to_path_buf(), source }
    }
}

/// What is wrong with a damaged file.
#[derive(Debug, Error)]
pub enum Corruption {
    /// A frame is damaged or incomplete.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The body of a frame is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The first record of the log is not its header.
    #[error("the log does not begin with its header")]
    MissingHeader,
    /// A record after the first one of the log is a header.
    #[error("the log has a second header")]
    DuplicateHeader,
    /// The index of an entry does not follow that of the entry before it.
    #[error("entry {found} where {expected} was expected")]
    EntryGap {
        /// The index of the entry.
        found: u64,
        /// The index that follows that of the entry before it.
        expected: u64,
    },
    /// The log is older or shorter than the mark states.
    #[error(
        "the log ends here, at generation {generation}, but {durable_length} bytes of generation \
         {durable_generation} were acknowledged"
    )]
    ShorterThanAcknowledged {
        /// The generation of the log.
        generation: u64,
        /// The generation of the mark.
        durable_generation: u64,
        /// The durable length of that generation according to the mark, in bytes.
        durable_length: u64,
    },
    /// The log needs a later snapshot than the stored one.
    #[error("the log was purged up to entry {purged_index}, but the snapshot is older or missing")]
    SnapshotTooOld {
        /// The index of the last entry purged from the log.
        purged_index: u64,
    },
}

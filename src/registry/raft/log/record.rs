//! The records of the log file: JSON in frames ([`super::super::frame`]).

use super::super::frame;
use super::super::{Entry, LogId, NodeId, Vote};
use serde::{Deserialize, Serialize};
use std::io;

/// The maximum size of a record's JSON, in bytes. A registration is far smaller.
pub(super) const MAX_RECORD_BYTES: usize = 64 << 10;

/// A record of the log file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Record {
    /// The first record: the log's identity, and how often the file was rewritten.
    #[serde(rename = "head")]
    Header { node: NodeId, incarnation: u64, generation: u64 },
    /// The vote, in place of any earlier one.
    Vote(Vote),
    /// The next entry.
    Entry(Entry),
    /// Entries from this index on are removed.
    Truncate(u64),
    /// Entries up to this one are in the snapshot and no longer in the log.
    Purge(LogId),
}

impl Record {
    /// Appends the record in its frame to `buffer`.
    ///
    /// # Errors
    /// The record exceeds [`MAX_RECORD_BYTES`] or does not serialize.
    pub(super) fn append_to(&self, buffer: &mut Vec<u8>) -> io::Result<()> {
        let body = serde_json::to_vec(self)?;
        if body.len() > MAX_RECORD_BYTES {
            return Err(io::Error::other(format!(
                "a record of {} bytes is too long for the log",
                body.len()
            )));
        }
        frame::append(buffer, &body);
        Ok(())
    }
}

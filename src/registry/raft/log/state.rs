//! The log's content in memory: the result of applying the records of the log file in order.

use super::super::disk_error::Corruption;
use super::super::{Entry, LogId, Vote};
use super::LogIdentity;
use super::record::Record;
use std::collections::BTreeMap;
use std::io;

/// Records of a rewritten log besides its entries: the header, the vote and the purge.
const NON_ENTRY_RECORDS: usize = 3;

/// The log's content, equal to that of the file once all queued writes are done.
#[derive(Default)]
pub(super) struct PersistedState {
    pub(super) vote: Option<Vote>,
    pub(super) entries: BTreeMap<u64, Entry>,
    /// The last entry purged from the log.
    pub(super) purged: Option<LogId>,
    pub(super) committed: Option<LogId>,
    /// Records in the file, including obsolete ones.
    pub(super) record_count: usize,
    /// How often the file was rewritten.
    pub(super) generation: u64,
}

impl PersistedState {
    /// Applies one record, in the order of the file.
    ///
    /// # Errors
    /// `DuplicateHeader` for a header, `EntryGap` for an entry that does not follow the last one; the state
    /// is unchanged then.
    pub(super) fn apply(&mut self, record: Record) -> Result<(), Corruption> {
        match record {
            Record::Header { .. } => return Err(Corruption::DuplicateHeader),
            Record::Vote(vote) => self.vote = Some(vote),
            Record::Truncate(from) => drop(self.entries.split_off(&from)),
            Record::Purge(last) => {
                self.entries = self.entries.split_off(&(last.index + 1));
                self.purged = Some(last);
            }
            Record::Entry(entry) => {
                let found = entry.log_id.index;
                if let Some(expected) = self.next_index().filter(|expected| *expected != found) {
                    return Err(Corruption::EntryGap { found, expected });
                }
                self.entries.insert(found, entry);
            }
        }
        Ok(())
    }

    /// The index that the next entry must have; `None` if the log is empty and nothing is purged.
    fn next_index(&self) -> Option<u64> {
        self.last_log_id().map(|last| last.index + 1)
    }

    /// The last entry, purged or not.
    pub(super) fn last_log_id(&self) -> Option<LogId> {
        self.entries.last_key_value().map(|(_, entry)| entry.log_id).or(self.purged)
    }

    /// Encodes the whole log as the contents of a new file.
    ///
    /// # Errors
    /// As [`Record::append_to`].
    pub(super) fn encode(&mut self, LogIdentity { node, incarnation }: LogIdentity) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        Record::Header { node, incarnation, generation: self.generation }.append_to(&mut bytes)?;
        if let Some(vote) = self.vote {
            Record::Vote(vote).append_to(&mut bytes)?;
        }
        if let Some(purged) = self.purged {
            Record::Purge(purged).append_to(&mut bytes)?;
        }
        for entry in self.entries.values() {
            Record::Entry(entry.clone()).append_to(&mut bytes)?;
        }
        self.record_count = self.entries.len() + NON_ENTRY_RECORDS;
        Ok(bytes)
    }
}

//! The log as Raft's log storage.

use super::super::{Entry, LogId, StorageError, TypeConfig, Vote};
use super::record::Record;
use super::writer::Job;
use super::{Completion, Log, lock, membership_of};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{OptionalSend, RaftLogReader, StorageIOError};
use std::ops::RangeBounds;
use std::sync::atomic::Ordering;
use std::time::Instant;

impl RaftLogReader<TypeConfig> for Log {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + std::fmt::Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StorageError> {
        Ok(lock(&self.state).entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<TypeConfig> for Log {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError> {
        let state = lock(&self.state);
        Ok(LogState { last_purged_log_id: state.purged, last_log_id: state.last_log_id() })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        let stored = self.vote_to_store(*vote);
        let saved = lock(&self.state).vote;
        if saved.is_some_and(|saved| saved.leader_id == stored.leader_id) {
            // This node's own vote is durable already; the fact that a quorum granted it need not be durable.
            let written = self.write(vec![Record::Vote(stored)], Completion::None);
            return Ok(written.map_err(|e| StorageIOError::write_vote(&e))?);
        }
        let number = self.elections.on_vote_cast();
        let started_at = Instant::now();
        self.write_durably(Record::Vote(stored)).await.map_err(|e| StorageIOError::write_vote(&e))?;
        let elapsed = started_at.elapsed();
        self.elections.on_vote_durable(number, elapsed);
        let (term, voted_for, elapsed_ms) =
            (vote.leader_id.term, vote.leader_id.node_id, elapsed.as_millis() as u64);
        tracing::info!(node = self.identity.node, term, voted_for, elapsed_ms, "vote made durable");
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        Ok(lock(&self.state).vote)
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        if let Some(committed) = committed {
            lock(&self.state).committed = Some(committed);
            self.send(Job::Committed(committed)).map_err(|e| StorageIOError::write(&e))?;
        }
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        Ok(lock(&self.state).committed)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        let membership = entries.iter().rev().find_map(membership_of);
        membership.into_iter().for_each(|membership| self.set_membership(membership));
        // With several voters Raft continues at once, and acknowledgements wait for the sync.
        let (immediate_callback, sync_callback) = match self.has_several_voters.load(Ordering::SeqCst) {
            true => (Some(callback), None),
            false => (None, Some(callback)),
        };
        let durability = self.durability.clone();
        let last_sequence = durability.on_queued(entries.iter().map(|entry| entry.log_id.index));
        let records = entries.into_iter().map(Record::Entry).collect();
        let completion = Completion::Entries { durability, last_sequence, raft: sync_callback };
        self.write(records, completion).map_err(|e| StorageIOError::write_logs(&e))?;
        if let Some(callback) = immediate_callback {
            callback.log_io_completed(Ok(()));
        }
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.durability.on_truncated(log_id.index);
        let written = self.write_durably(Record::Truncate(log_id.index)).await;
        Ok(written.map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        let written = self.write(vec![Record::Purge(log_id)], Completion::None).and_then(|()| self.compact());
        Ok(written.map_err(|e| StorageIOError::write_logs(&e))?)
    }
}

//! Which entries of the log are durable: the entries that wait for their sync, and the tasks that wait for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// An entry that is queued for the file and not known to be durable yet.
#[derive(Clone, Copy, Debug)]
struct PendingEntry {
    /// Its number among all entries queued since the start, including those truncated since.
    sequence: u64,
    queued_at: Instant,
}

#[derive(Debug, Default)]
struct Pending {
    last_sequence: u64,
    /// The entries by index.
    entries: BTreeMap<u64, PendingEntry>,
}

/// The entries that wait for their sync; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Durability {
    pending: Arc<Mutex<Pending>>,
    /// The sequence number up to which entries are durable.
    synced: watch::Sender<u64>,
}

impl Default for Durability {
    fn default() -> Self {
        Self { pending: Arc::default(), synced: watch::Sender::new(0) }
    }
}

impl Durability {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the entries at these indexes are queued for the file; returns the sequence number of the last one.
    pub(super) fn on_queued(&self, indexes: impl IntoIterator<Item = u64>) -> u64 {
        let mut pending = self.lock();
        let queued_at = Instant::now();
        for index in indexes {
            pending.last_sequence += 1;
            let entry = PendingEntry { sequence: pending.last_sequence, queued_at };
            pending.entries.insert(index, entry);
        }
        pending.last_sequence
    }

    /// Records that the entries from `index` on were removed.
    pub(super) fn on_truncated(&self, index: u64) {
        self.lock().entries.split_off(&index);
    }

    /// Records that the entries up to this sequence number are durable.
    pub(super) fn on_synced(&self, sequence: u64) {
        self.lock().entries.retain(|_, entry| entry.sequence > sequence);
        self.synced.send_replace(sequence);
    }

    /// The index of the first entry that is not durable.
    pub(super) fn first_pending(&self) -> Option<u64> {
        self.lock().entries.first_key_value().map(|(index, _)| *index)
    }

    /// Whether every entry up to `index` is durable.
    fn is_durable(&self, index: u64) -> bool {
        self.first_pending().is_none_or(|first| first > index)
    }

    /// Waits until every entry up to `index` is durable.
    pub(super) async fn wait_durable(&self, index: u64) {
        let mut synced = self.synced.subscribe();
        while !self.is_durable(index) {
            if synced.changed().await.is_err() {
                // Unreachable: `self` owns the sender, so the channel stays open.
                std::future::pending::<()>().await;
            }
        }
    }

    /// How long the oldest entry that waits for its sync has waited; zero if none does.
    pub(super) fn pending_for(&self) -> Duration {
        let pending = self.lock();
        let oldest = pending.entries.values().map(|entry| entry.queued_at).min();
        oldest.map_or(Duration::ZERO, |queued_at| queued_at.elapsed())
    }
}

#[cfg(test)]
mod tests;

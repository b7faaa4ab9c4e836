//! The state machine that the log is applied to: the store, which calls and watches read, and the snapshots, which
//! allow the log to be purged.

use super::disk_error::{Corruption, DiskError};
use super::snapshot::{
    self, EncodedSnapshot, LatestSnapshot, Meta, PersistedSnapshot, SnapshotBuilder, WRITE_RETRY_INTERVAL,
};
use super::{Applied, Entry, LogId, StorageError, StoredMembership, TypeConfig};
use crate::agreement::state::CommandOutcome;
use crate::registry::store::{Command, Store, StoreError};
use openraft::storage::RaftStateMachine;
use openraft::{AnyError, EntryPayload, OptionalSend, Snapshot, StorageIOError};
use std::io::Cursor;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The store, shared between the log that changes it and the calls that read it.
#[derive(Clone)]
pub struct StoreHandle {
    store: Arc<Mutex<Store>>,
    /// The store's revision, whose changes watches wait for.
    revision: watch::Sender<u64>,
}

impl StoreHandle {
    fn new(store: Store) -> Self {
        let (revision, _) = watch::channel(store.revision());
        Self { store: Arc::new(Mutex::new(store)), revision }
    }

    /// Locks the store: for short reads only, never across an await.
    pub fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Notifies the receivers if the store's revision has changed.
    fn publish_revision(&self) {
        let current = self.lock().revision();
        self.revision.send_if_modified(|published| std::mem::replace(published, current) != current);
    }
}

/// The state machine of one node.
pub struct StateMachine {
    store: StoreHandle,
    applied: Option<LogId>,
    membership: StoredMembership,
    latest_snapshot: LatestSnapshot,
    dir: Option<PathBuf>,
}

impl StateMachine {
    /// Creates a state machine from the snapshot in `dir`, or an empty one if there is none. `purged` is the last entry
    /// purged from the log.
    ///
    /// # Errors
    /// `Io` if the snapshot can't be read, `Corrupt` if it is damaged or does not reach as far as `purged`.
    pub fn open(dir: Option<&Path>, purged: Option<LogId>) -> Result<Self, DiskError> {
        let stored = match dir {
            Some(dir) => snapshot::read(dir)?,
            None => None,
        };
        let last_in_snapshot = stored.as_ref().and_then(|(snapshot, _)| snapshot.meta.last_log_id);
        if let Some(purged) = purged.filter(|purged| Some(*purged) > last_in_snapshot) {
            let path = dir.map(snapshot::path).unwrap_or_default();
            let reason = Corruption::SnapshotTooOld { purged_index: purged.index };
            return Err(DiskError::Corrupt { path, offset: 0, reason });
        }
        let dir = dir.map(Path::to_path_buf);
        let Some((PersistedSnapshot { meta, store }, body)) = stored else {
            return Ok(Self {
                store: StoreHandle::new(Store::default()),
                applied: None,
                membership: StoredMembership::default(),
                latest_snapshot: LatestSnapshot::default(),
                dir,
            });
        };
        let machine = Self {
            store: StoreHandle::new(Store::restore(store)),
            applied: meta.last_log_id,
            membership: meta.last_membership.clone(),
            latest_snapshot: LatestSnapshot::default(),
            dir,
        };
        machine.latest_snapshot.set(EncodedSnapshot { meta, body: Arc::new(body) });
        Ok(machine)
    }

    /// The store, to read from.
    pub fn store(&self) -> StoreHandle {
        self.store.clone()
    }

    /// The members, as of the last entry applied.
    pub fn membership(&self) -> &StoredMembership {
        &self.membership
    }

    /// The result of an entry without a command.
    fn result_without_command(&self) -> Result<Applied, StoreError> {
        Ok(Applied { revision: self.store.lock().revision(), token: None, outcome: CommandOutcome::Nothing })
    }

    fn apply_command(&mut self, command: &Command) -> Result<Applied, StoreError> {
        let mut store = self.store.lock();
        let outcome = store.apply_with_outcome(command)?;
        let revision = store.revision();
        let token = match command {
            Command::Acquire { name, .. } => store.lease(name).map(|grant| grant.token),
            _ => None,
        };
        Ok(Applied { revision, token, outcome })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, StoredMembership), StorageError> {
        Ok((self.applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Result<Applied, StoreError>>, StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut results = Vec::new();
        for entry in entries {
            self.applied = Some(entry.log_id);
            results.push(match entry.payload {
                EntryPayload::Normal(command) => self.apply_command(&command),
                EntryPayload::Blank => self.result_without_command(),
                EntryPayload::Membership(members) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), members);
                    self.result_without_command()
                }
            });
        }
        self.store.publish_revision();
        Ok(results)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        let meta = Meta {
            last_log_id: self.applied,
            last_membership: self.membership.clone(),
            snapshot_id: self.applied.map_or_else(|| "0".into(), |id| id.to_string()),
        };
        SnapshotBuilder {
            snapshot: PersistedSnapshot { meta, store: self.store.lock().snapshot() },
            latest: self.latest_snapshot.clone(),
            dir: self.dir.clone(),
        }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &Meta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let body = snapshot.into_inner();
        let received: PersistedSnapshot = serde_json::from_slice(&body)
            .map_err(|e| StorageIOError::read_snapshot(Some(meta.signature()), AnyError::new(&e)))?;
        while let Err(error) = snapshot::write(self.dir.as_deref(), &body) {
            tracing::warn!(%error, "writing the snapshot failed; retrying");
            tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
        }
        *self.store.lock() = Store::restore(received.store);
        (self.applied, self.membership) = (meta.last_log_id, meta.last_membership.clone());
        self.latest_snapshot.set(EncodedSnapshot { meta: meta.clone(), body: Arc::new(body) });
        self.store.publish_revision();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StorageError> {
        Ok(self.latest_snapshot.to_raft())
    }
}

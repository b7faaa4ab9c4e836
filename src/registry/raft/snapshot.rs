//! Snapshots of the state machine: their encoding, and the file with the latest one.
//!
//! With a data directory the latest snapshot is in `raft.snapshot`, one frame ([`super::frame`]) that is replaced
//! atomically. The frame's body is also sent to nodes that lag behind the log.

use super::disk_error::{Corruption, DiskError};
use super::{StorageError, TypeConfig, frame};
use crate::os::files;
use crate::registry::store;
use openraft::{AnyError, RaftSnapshotBuilder, Snapshot, SnapshotMeta, StorageIOError};
use serde::{Deserialize, Serialize};
use std::io::{self, Cursor};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The name of the snapshot file.
const SNAPSHOT_FILE: &str = "raft.snapshot";
/// The maximum size of a snapshot, in bytes: the longest list, its leases and spare capacity for both.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// How long to wait before a failed write of a snapshot is tried again.
pub(super) const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A snapshot's position in the log, and the members at that position.
pub(super) type Meta = SnapshotMeta<super::NodeId, openraft::EmptyNode>;

/// A snapshot as it is stored and sent.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PersistedSnapshot {
    pub(super) meta: Meta,
    pub(super) store: store::Snapshot,
}

/// A snapshot's metadata and the JSON that is stored and sent.
#[derive(Clone)]
pub(super) struct EncodedSnapshot {
    pub(super) meta: Meta,
    pub(super) body: Arc<Vec<u8>>,
}

impl EncodedSnapshot {
    /// The snapshot as Raft sends it.
    fn to_raft(&self) -> Snapshot<TypeConfig> {
        Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(self.body.to_vec())) }
    }
}

/// The latest snapshot, shared with the builder of the next one.
#[derive(Clone, Default)]
pub(super) struct LatestSnapshot(Arc<Mutex<Option<EncodedSnapshot>>>);

impl LatestSnapshot {
    /// Replaces the latest snapshot.
    pub(super) fn set(&self, snapshot: EncodedSnapshot) {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(snapshot);
    }

    /// The latest snapshot as Raft sends it, if there is one.
    pub(super) fn to_raft(&self) -> Option<Snapshot<TypeConfig>> {
        let latest = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        latest.map(|snapshot| snapshot.to_raft())
    }
}

/// The path of the snapshot file in `dir`.
pub(super) fn path(dir: &Path) -> PathBuf {
    dir.join(SNAPSHOT_FILE)
}

/// Reads the snapshot in `dir`, with its JSON; `None` if there is none.
///
/// # Errors
/// `Io` if the file can't be read, `Corrupt` if its content is damaged.
pub(super) fn read(dir: &Path) -> Result<Option<(PersistedSnapshot, Vec<u8>)>, DiskError> {
    let path = path(dir);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(DiskError::Io { path, source }),
    };
    decode(&bytes).map(Some).map_err(|reason| DiskError::Corrupt { path, offset: 0, reason })
}

fn decode(bytes: &[u8]) -> Result<(PersistedSnapshot, Vec<u8>), Corruption> {
    let body = frame::read_complete(bytes, MAX_SNAPSHOT_BYTES)?;
    Ok((serde_json::from_slice(body)?, body.to_vec()))
}

/// Writes a snapshot's JSON to its file, if there is a data directory.
///
/// # Errors
/// The error of the file operation; the file then contains the previous snapshot or the complete new one.
pub(super) fn write(dir: Option<&Path>, body: &[u8]) -> io::Result<()> {
    let Some(dir) = dir else { return Ok(()) };
    let mut bytes = Vec::with_capacity(body.len() + frame::HEADER_BYTES);
    frame::append(&mut bytes, body);
    files::replace(dir, SNAPSHOT_FILE, &bytes).map(drop)
}

/// Writes one snapshot, which was taken when the builder was created.
pub struct SnapshotBuilder {
    pub(super) snapshot: PersistedSnapshot,
    pub(super) latest: LatestSnapshot,
    pub(super) dir: Option<PathBuf>,
}

impl RaftSnapshotBuilder<TypeConfig> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StorageError> {
        let meta = self.snapshot.meta.clone();
        let (snapshot, dir) = (self.snapshot.clone(), self.dir.clone());
        // On a separate thread: encoding and fsyncing a list of 6,000 entries would delay the node's calls.
        let encoding = tokio::task::spawn_blocking(move || {
            let body = serde_json::to_vec(&snapshot)?;
            while let Err(error) = write(dir.as_deref(), &body) {
                tracing::warn!(%error, "writing the snapshot failed; retrying");
                std::thread::sleep(WRITE_RETRY_INTERVAL);
            }
            Ok::<_, io::Error>(body)
        });
        let encoded = encoding.await.unwrap_or_else(|e| Err(io::Error::other(e)));
        let body =
            encoded.map_err(|e| StorageIOError::write_snapshot(Some(meta.signature()), AnyError::new(&e)))?;
        let snapshot = EncodedSnapshot { meta, body: Arc::new(body) };
        let built = snapshot.to_raft();
        self.latest.set(snapshot);
        Ok(built)
    }
}

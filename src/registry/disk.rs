//! A node's list on disk: a snapshot and a log of the commands applied since, each fsynced before the write
//! that made it is acknowledged.
//!
//! Files in the data directory:
//! - `snapshot.json`: the store as [`Store::snapshot`] gives it; replaced whole (written aside, fsynced,
//!   renamed), so it is either the old one or the new one.
//! - `commands.log`: records of `length: u32 LE | crc32 of the bytes: u32 LE | {"revision":N,"command":…}`,
//!   one for each command that changed the list, N being the revision that it made. Revisions run on by one
//!   from the snapshot's; a record at or below the snapshot's revision is one that the snapshot holds.
//!
//! At start the snapshot is read and the log applied on it. A record cut short at the very end is a write
//! that a crash interrupted, which was never acknowledged: it is cut off and said so. Anything else that does
//! not read (a bad checksum, a record that does not apply, a snapshot that does not parse) stops the start with
//! an error that names the file and the byte: nothing is dropped without a word. A log cut at a record's
//! boundary can't be told from a shorter one; replicas are what will cover that.
//!
//! Heartbeats are not written: after a restart each entry has its whole TTL again (`Store::refresh_all`). An
//! expiry is written as the deregistrations it made, so that the log replays the same whatever beat.

use super::store::{Command, Snapshot, Store};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Records after which the log is folded into a new snapshot.
pub const SNAPSHOT_EVERY: usize = 10_000;
/// Largest record: a registration is far below it.
const MOST_RECORD: usize = 64 << 10;

/// Why the disk could not be read or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The system refused a file operation.
    #[error("{path}: {error}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// A file that does not read as it was written.
    #[error("{path}: at byte {offset}: {why}; not started, so that nothing is lost without a word")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the bad part begins.
        offset: u64,
        /// What is wrong.
        why: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Record {
    revision: u64,
    command: Command,
}

/// What a start found on disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Records of the log applied on the snapshot.
    pub records: usize,
    /// Bytes of an interrupted last record cut off.
    pub torn_bytes: u64,
}

/// The open files of one node's data directory.
pub struct Disk {
    dir: PathBuf,
    log: File,
    records: usize,
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> DiskError + '_ {
    move |error| DiskError::Io { path: path.to_path_buf(), error }
}

impl Disk {
    /// Opens (or creates) the data directory and rebuilds the store from it.
    ///
    /// # Errors
    /// `Io` where a file can't be read or made; `Corrupt` where one does not read as written.
    pub fn open(dir: &Path) -> Result<(Self, Store, Recovered), DiskError> {
        std::fs::create_dir_all(dir).map_err(io(dir))?;
        let snapshot_path = dir.join("snapshot.json");
        let mut store =
            match std::fs::read(&snapshot_path) {
                Ok(bytes) => {
                    let snapshot: Snapshot = serde_json::from_slice(&bytes).map_err(|e| {
                        DiskError::Corrupt { path: snapshot_path.clone(), offset: 0, why: e.to_string() }
                    })?;
                    Store::restore(snapshot)
                }
                Err(error) if error.kind() == std::io::ErrorKind::NotFound => Store::default(),
                Err(error) => return Err(DiskError::Io { path: snapshot_path, error }),
            };
        let log_path = dir.join("commands.log");
        let mut bytes = Vec::new();
        if let Ok(mut file) = File::open(&log_path) {
            file.read_to_end(&mut bytes).map_err(io(&log_path))?;
        }
        let mut recovered = Recovered::default();
        let mut at = 0usize;
        while at < bytes.len() {
            let corrupt = |why: String| DiskError::Corrupt { path: log_path.clone(), offset: at as u64, why };
            let Some(head) = bytes.get(at..at + 8) else { break };
            let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
            if length > MOST_RECORD {
                return Err(corrupt(format!("a record of {length} bytes, more than {MOST_RECORD}")));
            }
            let Some(body) = bytes.get(at + 8..at + 8 + length) else { break };
            if crc32fast::hash(body) != sum {
                return Err(corrupt("a record whose checksum does not match".into()));
            }
            let Record { revision, command } =
                serde_json::from_slice(body).map_err(|e| corrupt(e.to_string()))?;
            if revision > store.revision() {
                if revision != store.revision() + 1 {
                    let why =
                        format!("revision {revision} follows {}: records are missing", store.revision());
                    return Err(corrupt(why));
                }
                let made = store
                    .apply(&command)
                    .map_err(|e| corrupt(format!("a record that does not apply: {e}")))?;
                if made != revision {
                    return Err(corrupt(format!("a record of revision {revision} made {made}")));
                }
            }
            recovered.records += 1;
            at += 8 + length;
        }
        recovered.torn_bytes = (bytes.len() - at) as u64;
        let log = OpenOptions::new().create(true).append(true).open(&log_path).map_err(io(&log_path))?;
        if recovered.torn_bytes > 0 {
            log.set_len(at as u64).map_err(io(&log_path))?;
            log.sync_all().map_err(io(&log_path))?;
        }
        let disk = Self { dir: dir.to_path_buf(), log, records: recovered.records };
        Ok((disk, store, recovered))
    }

    /// Writes one applied command that made `store`'s revision, and fsyncs it; folds the log into a
    /// snapshot of `store` now and then. Commands that changed nothing are not to be written.
    ///
    /// # Errors
    /// `Io` where a write or an fsync fails: the command is then not durable, and the caller must not
    /// acknowledge it.
    pub fn append(&mut self, command: &Command, store: &Store) -> Result<(), DiskError> {
        let log_path = self.dir.join("commands.log");
        let record = Record { revision: store.revision(), command: command.clone() };
        let body = serde_json::to_vec(&record).map_err(|e| io(&log_path)(std::io::Error::other(e)))?;
        let mut record = Vec::with_capacity(body.len() + 8);
        record.extend_from_slice(&(body.len() as u32).to_le_bytes());
        record.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        record.extend_from_slice(&body);
        self.log.write_all(&record).map_err(io(&log_path))?;
        self.log.sync_data().map_err(io(&log_path))?;
        self.records += 1;
        if self.records >= SNAPSHOT_EVERY {
            self.fold(store)?;
        }
        Ok(())
    }

    /// Replaces the snapshot by `store` and empties the log.
    fn fold(&mut self, store: &Store) -> Result<(), DiskError> {
        let (aside, snapshot) = (self.dir.join("snapshot.json.new"), self.dir.join("snapshot.json"));
        let bytes =
            serde_json::to_vec(&store.snapshot()).map_err(|e| io(&aside)(std::io::Error::other(e)))?;
        let mut file = File::create(&aside).map_err(io(&aside))?;
        file.write_all(&bytes).map_err(io(&aside))?;
        file.sync_all().map_err(io(&aside))?;
        std::fs::rename(&aside, &snapshot).map_err(io(&snapshot))?;
        File::open(&self.dir).and_then(|d| d.sync_all()).map_err(io(&self.dir))?;
        // A crash here leaves a log that the new snapshot already holds: its records are at or below the
        // snapshot's revision and are passed over. Emptying it is the last step.
        self.log.set_len(0).map_err(io(&self.dir.join("commands.log")))?;
        self.log.sync_all().map_err(io(&self.dir.join("commands.log")))?;
        self.records = 0;
        Ok(())
    }
}

//! The mark file, `raft.mark`: how much of the log is durable, written after each fsync of the log.
//!
//! Marks are written to two slots in turn: if the process is killed in the middle of a write, the other slot still has
//! the previous mark. The file itself is not fsynced: it survives the process (SIGKILL), and after a power loss it is
//! merely older.

use super::super::LogId;
use super::super::disk_error::{Corruption, DiskError};
use super::super::frame;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The name of the mark file.
const MARK_FILE: &str = "raft.mark";
/// Size of each of the file's two slots, in bytes.
const SLOT_BYTES: usize = 512;

/// A position in one generation of the log file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// How often the file had been rewritten.
    pub(super) generation: u64,
    /// Bytes up to the position, from the start of the file.
    pub(super) length: u64,
}

/// How much of the log is durable, and the last known commit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mark {
    pub(super) durable: Position,
    pub(super) committed: Option<LogId>,
}

impl Mark {
    /// Encodes the mark as the contents of a slot.
    fn encode(self) -> io::Result<Vec<u8>> {
        let Position { generation, length } = self.durable;
        let body = serde_json::to_vec(&(generation, length, self.committed))?;
        let mut bytes = Vec::with_capacity(SLOT_BYTES);
        frame::append(&mut bytes, &body);
        Ok(bytes)
    }

    /// Decodes the mark in one slot; `None` if nothing was written to it.
    fn decode(slot: &[u8]) -> Result<Option<Self>, Corruption> {
        if slot.iter().all(|byte| *byte == 0) {
            return Ok(None);
        }
        let body = frame::read_complete(slot, SLOT_BYTES)?;
        let (generation, length, committed) = serde_json::from_slice(body)?;
        Ok(Some(Self { durable: Position { generation, length }, committed }))
    }
}

/// The path of the mark file in `dir`.
pub(super) fn path(dir: &Path) -> PathBuf {
    dir.join(MARK_FILE)
}

/// A mark that was read, and the slot for the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoredMark {
    pub(super) mark: Mark,
    next_slot: usize,
}

/// Reads the newest mark in `dir`; an empty one if there is no file.
///
/// # Errors
/// `Io` if the file can't be read, `Corrupt` if no slot has an undamaged mark and one is damaged.
pub(super) fn read(dir: &Path) -> Result<StoredMark, DiskError> {
    let path = path(dir);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(source) => return Err(DiskError::Io { path, source }),
    };
    newest_mark(&bytes).map_err(|reason| DiskError::Corrupt { path, offset: 0, reason })
}

/// The newest mark of a file.
fn newest_mark(bytes: &[u8]) -> Result<StoredMark, Corruption> {
    let slot = |number: usize| {
        let start = (number * SLOT_BYTES).min(bytes.len());
        Mark::decode(&bytes[start..(start + SLOT_BYTES).min(bytes.len())])
    };
    match (slot(0), slot(1)) {
        (Ok(None), Ok(None)) => Ok(StoredMark::default()),
        (Ok(Some(first)), Ok(Some(second))) if second.durable > first.durable => {
            Ok(StoredMark { mark: second, next_slot: 0 })
        }
        (Ok(Some(mark)), _) => Ok(StoredMark { mark, next_slot: 1 }),
        (_, Ok(Some(mark))) => Ok(StoredMark { mark, next_slot: 0 }),
        // The first mark was being written, or both marks are damaged.
        (Err(reason), _) | (_, Err(reason)) => Err(reason),
    }
}

/// The mark file, open for writing.
pub(super) struct MarkFile {
    file: File,
    next_slot: usize,
}

impl MarkFile {
    /// Opens (or creates) the mark file in `dir`, from which `stored` was read.
    ///
    /// # Errors
    /// `Io` if the file can't be opened.
    pub(super) fn open(dir: &Path, stored: StoredMark) -> Result<Self, DiskError> {
        let path = path(dir);
        let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        Ok(Self { file: opened.map_err(DiskError::io(&path))?, next_slot: stored.next_slot })
    }

    /// Writes `mark` to the slot that does not contain the previous one.
    ///
    /// # Errors
    /// The mark can't be encoded or written.
    pub(super) fn write(&mut self, mark: Mark) -> io::Result<()> {
        let offset = (self.next_slot * SLOT_BYTES) as u64;
        self.file.write_all_at(&mark.encode()?, offset)?;
        self.next_slot = 1 - self.next_slot;
        Ok(())
    }
}

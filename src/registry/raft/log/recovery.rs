//! Reads the log when the node starts.
//!
//! An incomplete record at the very end, *beyond the length in the mark*, is a write that was never acknowledged: it
//! is cut off and reported. Any other damage stops the start with an error that names the file and the byte: a wrong
//! checksum, a log shorter than the mark states, a log of an older generation than the mark's, entries whose indexes
//! are not consecutive. This also detects a log that was cut at the end of a record, which a checksum alone cannot,
//! so a node that lost acknowledged entries or its vote never takes part in a quorum.

use super::super::NodeId;
use super::super::disk_error::{Corruption, DiskError};
use super::super::frame;
use super::mark::{self, Mark, MarkFile, Position, StoredMark};
use super::record::{MAX_RECORD_BYTES, Record};
use super::state::PersistedState;
use super::writer::{LogFiles, Writer};
use super::{LOG_FILE, Log, LogIdentity, Recovery};
use crate::os::files;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The log file of a version without replication.
const UNREPLICATED_LOG_FILE: &str = "commands.log";

/// The contents of a log file.
#[derive(Default)]
struct LogContents {
    state: PersistedState,
    /// The log's identity; `None` if the file has no complete record.
    identity: Option<LogIdentity>,
    /// Bytes up to the end of the last complete record.
    length: usize,
    /// Bytes of an incomplete record after that.
    torn_bytes: u64,
}

/// Opens (or creates) the log of `node` in `dir`.
pub(super) fn open(dir: &Path, node: NodeId) -> Result<(Log, Recovery), DiskError> {
    std::fs::create_dir_all(dir).map_err(DiskError::io(dir))?;
    let path = dir.join(LOG_FILE);
    if dir.join(UNREPLICATED_LOG_FILE).exists() && !path.exists() {
        return Err(DiskError::UnreplicatedFormat { path: dir.into() });
    }
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(source) => return Err(DiskError::Io { path, source }),
    };
    let stored_mark = mark::read(dir)?;
    let contents = parse(&path, &bytes)?;
    check_against_mark(&path, &contents, stored_mark.mark.durable)?;
    if let Some(identity) = contents.identity.filter(|identity| identity.node != node) {
        return Err(DiskError::OtherNode { path: dir.into(), found: identity.node, expected: node });
    }
    start(dir, node, contents, stored_mark)
}

/// Parses the records of the log file at `path`.
fn parse(path: &Path, bytes: &[u8]) -> Result<LogContents, DiskError> {
    let corrupt = |offset: usize, reason: Corruption| DiskError::Corrupt {
        path: path.to_path_buf(),
        offset: offset as u64,
        reason,
    };
    let mut contents = LogContents::default();
    let mut offset = 0;
    while let Some(body) =
        frame::read(&bytes[offset..], MAX_RECORD_BYTES).map_err(|error| corrupt(offset, error.into()))?
    {
        let record = serde_json::from_slice(body).map_err(|error| corrupt(offset, error.into()))?;
        match (record, contents.identity) {
            (Record::Header { node, incarnation, generation }, None) => {
                contents.identity = Some(LogIdentity { node, incarnation });
                contents.state.generation = generation;
            }
            (_, None) => return Err(corrupt(0, Corruption::MissingHeader)),
            (record, Some(_)) => contents.state.apply(record).map_err(|reason| corrupt(offset, reason))?,
        }
        contents.state.record_count += 1;
        offset += frame::HEADER_BYTES + body.len();
    }
    contents.length = offset;
    contents.torn_bytes = (bytes.len() - offset) as u64;
    Ok(contents)
}

/// Checks that the log contains everything that is durable according to the mark.
fn check_against_mark(path: &Path, contents: &LogContents, durable: Position) -> Result<(), DiskError> {
    let generation = contents.state.generation;
    // A mark of an older generation is left by a crash between replacing the log and writing the mark. If the mark's
    // generation is newer, the log has been replaced by an older one.
    let durable_length = if durable.generation == generation { durable.length } else { 0 };
    if durable.generation <= generation && durable_length <= contents.length as u64 {
        return Ok(());
    }
    let reason = Corruption::ShorterThanAcknowledged {
        generation,
        durable_generation: durable.generation,
        durable_length,
    };
    Err(DiskError::Corrupt { path: path.into(), offset: contents.length as u64, reason })
}

/// Creates or repairs the files and starts their writer.
fn start(
    dir: &Path,
    node: NodeId,
    contents: LogContents,
    stored_mark: StoredMark,
) -> Result<(Log, Recovery), DiskError> {
    let path = dir.join(LOG_FILE);
    let LogContents { mut state, identity, mut length, torn_bytes } = contents;
    // The commit in the mark is limited to the end of the log; after a power loss, the mark may be an older one.
    state.committed = stored_mark.mark.committed.min(state.last_log_id());
    let recovery = Recovery { entries: state.entries.len(), torn_bytes };
    let is_first_start = identity.is_none();
    let identity = identity.unwrap_or_else(|| LogIdentity { node, incarnation: rand::random() });
    let log_file = if is_first_start {
        state.generation = 1;
        let encoded = state.encode(identity).map_err(DiskError::io(&path))?;
        length = encoded.len();
        files::replace(dir, LOG_FILE, &encoded).map_err(DiskError::io(&path))?
    } else {
        let file = OpenOptions::new().write(true).open(&path).map_err(DiskError::io(&path))?;
        if torn_bytes > 0 {
            file.set_len(length as u64).map_err(DiskError::io(&path))?;
            file.sync_all().map_err(DiskError::io(&path))?;
        }
        file
    };
    let durable = Position { generation: state.generation, length: length as u64 };
    let mark = Mark { durable, committed: state.committed };
    let mark_file = MarkFile::open(dir, stored_mark)?;
    let mut log_files = LogFiles { dir: dir.into(), log_file, mark_file, mark };
    log_files.write_mark().map_err(DiskError::io(&mark::path(dir)))?;
    let state = Arc::new(Mutex::new(state));
    let jobs = Writer::spawn(log_files, state.clone(), identity);
    Ok((Log::new(state, Some(jobs), identity), recovery))
}

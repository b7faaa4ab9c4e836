//! The thread that owns the log's files.
//!
//! A failed write or fsync is not repeated on the same file, because the kernel may have dropped the data that it could
//! not write. The whole log is rewritten from memory instead, until that succeeds. Tasks that wait for entries to be
//! durable keep waiting meanwhile, and the node continues by itself once its disk works again.

use super::super::LogId;
use super::mark::{Mark, MarkFile, Position};
use super::state::PersistedState;
use super::{Completion, LOG_FILE, LogIdentity, lock};
use crate::os::files;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long to wait before a failed rewrite of the log is tried again.
const REWRITE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of jobs, in addition to the first, that are written with one fsync.
const MAX_ADDITIONAL_JOBS_PER_SYNC: usize = 1_024;

/// A job of the writer; jobs are done in the order in which they were queued.
pub(super) enum Job {
    /// Appends framed records, and notifies once they are durable.
    Write(Vec<u8>, Completion),
    /// Replaces the file by these contents, as this generation.
    Rewrite(Vec<u8>, u64),
    /// Records the last known commit in the next mark.
    Committed(LogId),
}

/// The log file and its mark.
pub(super) struct LogFiles {
    pub(super) dir: PathBuf,
    pub(super) log_file: File,
    pub(super) mark_file: MarkFile,
    /// How much of the log file is durable, and the last known commit.
    pub(super) mark: Mark,
}

impl LogFiles {
    /// Appends `bytes` to the log, fsyncs it and writes the mark.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !bytes.is_empty() {
            self.log_file.write_all_at(bytes, self.mark.durable.length)?;
            self.log_file.sync_data()?;
            self.mark.durable.length += bytes.len() as u64;
        }
        self.write_mark()
    }

    /// Replaces the log by `contents`, as `generation`, and writes the mark.
    fn rewrite(&mut self, contents: &[u8], generation: u64) -> io::Result<()> {
        self.log_file = files::replace(&self.dir, LOG_FILE, contents)?;
        self.mark.durable = Position { generation, length: contents.len() as u64 };
        self.write_mark()
    }

    pub(super) fn write_mark(&mut self) -> io::Result<()> {
        self.mark_file.write(self.mark)
    }
}

/// The state of the writer thread.
pub(super) struct Writer {
    files: LogFiles,
    jobs: Receiver<Job>,
    state: Arc<Mutex<PersistedState>>,
    identity: LogIdentity,
}

impl Writer {
    /// Starts the thread; it ends once the returned sender and its clones are dropped.
    pub(super) fn spawn(
        files: LogFiles,
        state: Arc<Mutex<PersistedState>>,
        identity: LogIdentity,
    ) -> Sender<Job> {
        let (sender, jobs) = channel();
        let mut writer = Self { files, jobs, state, identity };
        std::thread::spawn(move || writer.run());
        sender
    }

    /// Writes the queued jobs, as many as allowed with one fsync, until the log is dropped.
    fn run(&mut self) {
        while let Ok(first) = self.jobs.recv() {
            let mut batch = vec![first];
            batch.extend(self.jobs.try_iter().take(MAX_ADDITIONAL_JOBS_PER_SYNC));
            let mut completions = Vec::new();
            if let Err(error) = self.write_batch(batch, &mut completions) {
                self.rewrite_until_durable(&mut completions, &error);
            }
            completions.into_iter().for_each(|completion| completion.notify(Ok(())));
        }
    }

    /// Writes a batch of jobs with one fsync, and adds their completions to `completions`, even if a write fails.
    fn write_batch(&mut self, batch: Vec<Job>, completions: &mut Vec<Completion>) -> io::Result<()> {
        let mut unwritten = Vec::new();
        let mut result = Ok(());
        for job in batch {
            match job {
                Job::Write(bytes, completion) => {
                    unwritten.extend_from_slice(&bytes);
                    completions.push(completion);
                }
                Job::Rewrite(contents, generation) => {
                    // The records queued before are part of the new contents, and become durable with them.
                    unwritten.clear();
                    result = result.and_then(|()| self.files.rewrite(&contents, generation));
                }
                Job::Committed(committed) => self.files.mark.committed = Some(committed),
            }
        }
        result.and_then(|()| self.files.append(&unwritten))
    }

    /// Rewrites the whole log from memory until that succeeds or the log is dropped. Records that are queued
    /// meanwhile are part of it, and their completions are added to `completions`.
    fn rewrite_until_durable(&mut self, completions: &mut Vec<Completion>, cause: &io::Error) {
        let dir = self.files.dir.clone();
        tracing::error!(error = %cause, dir = %dir.display(), "writing the log failed; rewriting it from memory");
        while Arc::strong_count(&self.state) > 1 {
            let (contents, generation) = self.encode_state(completions);
            match contents.and_then(|contents| self.files.rewrite(&contents, generation)) {
                Ok(()) => {
                    tracing::info!(dir = %dir.display(), generation, "the log was rewritten");
                    return;
                }
                Err(error) => tracing::debug!(%error, "rewriting the log failed; retrying"),
            }
            std::thread::sleep(REWRITE_RETRY_INTERVAL);
        }
    }

    /// Empties the queue and encodes the state, which includes every queued record, as the next generation.
    fn encode_state(&mut self, completions: &mut Vec<Completion>) -> (io::Result<Vec<u8>>, u64) {
        let state = self.state.clone();
        let mut state = lock(&state);
        for job in self.jobs.try_iter() {
            match job {
                Job::Write(_, completion) => completions.push(completion),
                Job::Rewrite(..) => {}
                Job::Committed(committed) => self.files.mark.committed = Some(committed),
            }
        }
        state.generation += 1;
        (state.encode(self.identity), state.generation)
    }
}

//! A node's Raft log and vote, in memory and, with a data directory, on disk.
//!
//! Files in the data directory:
//! - `raft.log` (`record`): framed records in the order in which Raft made them. Records queued while one fsync runs
//!   are written together and made durable by the next one. When most records of the file are obsolete (purged after
//!   a snapshot, or truncated), the log is rewritten under another name, fsynced and renamed, as the next generation.
//! - `raft.mark` (`mark`): after each fsync, the log's generation and durable length, and the last known commit.
//!
//! `writer` owns both files, on a separate thread, and rewrites the log after a disk error. `recovery` reads the files
//! when the node starts. `state` is the log's content in memory, and `storage` implements Raft's storage traits.
//!
//! # When an entry is acknowledged
//! Raft's core waits for each of its appends and processes no call meanwhile: no heartbeat, no vote, no other write. If
//! the cluster has several voters, an append therefore ends once the entries are queued for the file, and every
//! acknowledgement waits for the sync instead ([`Log::acknowledge`], with `durability`):
//! - a follower acknowledges only entries that are durable in its own log;
//! - the leader counts a follower's acknowledgement only for entries that are durable in the leader's own log.
//!
//! So an entry is committed, and applied, once it is durable on the leader and on enough followers to form a quorum
//! with it. A restarted leader may have lost entries that it sent in its term, and must not create other entries at
//! the same positions: it is not the leader any more ([`Log::prepare_replication`]). In the log of a sole voter,
//! whose own copy is the quorum, an append ends with the sync.

mod acknowledgement;
mod durability;
mod mark;
mod record;
mod recovery;
mod state;
mod storage;
mod writer;

use super::disk_error::DiskError;
use super::election::ElectionGate;
use super::{Entry, LogId, Membership, NodeId, StoredMembership, TypeConfig, Vote};
pub use acknowledgement::AppendRange;
use durability::Durability;
use openraft::EntryPayload;
use openraft::storage::LogFlushed;
use record::Record;
use state::PersistedState;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;
use writer::Job;

/// The name of the log file.
const LOG_FILE: &str = "raft.log";
/// The file is rewritten once it has this many records more than twice the number of live entries.
const COMPACTION_SLACK_RECORDS: usize = 4_096;

/// What was found on disk when the log was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Live entries of the log.
    pub entries: usize,
    /// Bytes of an incomplete last record that were cut off.
    pub torn_bytes: u64,
}

/// Who is notified once a write is durable.
enum Completion {
    /// The tasks that wait for appended entries, and Raft if the append ends with the sync.
    Entries {
        durability: Durability,
        /// The last entry's number among all entries queued.
        last_sequence: u64,
        raft: Option<LogFlushed<TypeConfig>>,
    },
    /// A waiting task.
    Waiter(oneshot::Sender<io::Result<()>>),
    /// No one is notified.
    None,
}

impl Completion {
    fn notify(self, result: io::Result<()>) {
        match self {
            Self::Entries { durability, last_sequence, raft } => {
                if result.is_ok() {
                    durability.on_synced(last_sequence);
                }
                if let Some(callback) = raft {
                    callback.log_io_completed(result);
                }
            }
            // The waiting task may have been dropped.
            Self::Waiter(waiter) => drop(waiter.send(result)),
            Self::None => {}
        }
    }
}

/// The identity of a log.
#[derive(Clone, Copy)]
struct LogIdentity {
    node: NodeId,
    /// A random number, drawn when the log was first created.
    incarnation: u64,
}

/// The log. Raft's core and its readers have clones, which share the state.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<PersistedState>>,
    /// The queue of the writer thread; `None` if the log is in memory only.
    jobs: Option<Sender<Job>>,
    identity: LogIdentity,
    durability: Durability,
    elections: ElectionGate,
    /// Whether this node has peers.
    is_replicated: Arc<AtomicBool>,
    /// Whether the cluster has several voters, according to the latest membership that this log knows.
    has_several_voters: Arc<AtomicBool>,
}

fn lock(state: &Mutex<PersistedState>) -> MutexGuard<'_, PersistedState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The membership that an entry sets, if any.
fn membership_of(entry: &Entry) -> Option<&Membership> {
    match &entry.payload {
        EntryPayload::Membership(members) => Some(members),
        EntryPayload::Blank | EntryPayload::Normal(_) => None,
    }
}

fn writer_ended() -> io::Error {
    io::Error::other("the log's writer thread has ended")
}

impl Log {
    /// Creates a log in memory only, for a node without peers.
    pub fn in_memory(node: NodeId) -> Self {
        Self::new(Arc::default(), None, LogIdentity { node, incarnation: 0 })
    }

    fn new(state: Arc<Mutex<PersistedState>>, jobs: Option<Sender<Job>>, identity: LogIdentity) -> Self {
        Self {
            state,
            jobs,
            identity,
            durability: Durability::default(),
            elections: ElectionGate::default(),
            is_replicated: Arc::default(),
            has_several_voters: Arc::default(),
        }
    }

    /// Opens (or creates) the log of `node` in `dir`.
    ///
    /// # Errors
    /// `Io` if a file can't be read or created, `Corrupt` if one is damaged or lacks data that was
    /// acknowledged, `OtherNode` or `UnreplicatedFormat` if the directory belongs to another node or to a version
    /// without replication.
    pub fn open(dir: &Path, node: NodeId) -> Result<(Self, Recovery), DiskError> {
        recovery::open(dir, node)
    }

    /// The random number drawn when the log was first created: it distinguishes a log from a later one in its place.
    pub fn incarnation(&self) -> u64 {
        self.identity.incarnation
    }

    /// Controls whether the node may stand for election, which depends on how long its votes take to become durable.
    pub fn elections(&self) -> &ElectionGate {
        &self.elections
    }

    /// Whether nothing has ever been written to the log: no entry, no vote, nothing purged.
    pub fn is_new(&self) -> bool {
        let state = lock(&self.state);
        state.last_log_id().is_none() && state.vote.is_none()
    }

    /// Prepares the log of a node with peers before Raft reads it: the node does not lead by a vote from before its
    /// start, and its membership is that of the latest membership entry, or else of the snapshot.
    pub fn prepare_replication(&self, in_snapshot: &StoredMembership) {
        self.is_replicated.store(true, Ordering::SeqCst);
        let mut state = lock(&self.state);
        state.vote = state.vote.map(|vote| self.vote_to_store(vote));
        let in_log = state.entries.values().rev().find_map(membership_of);
        self.set_membership(in_log.unwrap_or(in_snapshot.membership()));
    }

    /// A vote as it is stored: a node with peers never leads by its own vote after a restart, whichever build it
    /// restarts with, because it may have lost entries that it sent while it was the leader.
    fn vote_to_store(&self, mut vote: Vote) -> Vote {
        if self.is_replicated.load(Ordering::SeqCst) && vote.leader_id.node_id == self.identity.node {
            vote.committed = false;
        }
        vote
    }

    /// Records which members vote from now on: with several voters, an append does not wait for its sync.
    fn set_membership(&self, membership: &Membership) {
        // In a joint configuration each part needs its own quorum.
        let parts = membership.get_joint_config();
        let has_several = !parts.is_empty() && parts.iter().all(|voters| voters.len() > 1);
        self.has_several_voters.store(has_several && self.jobs.is_some(), Ordering::SeqCst);
    }

    /// How long the oldest entry that waits for its sync has waited.
    pub fn sync_pending_for(&self) -> Duration {
        self.durability.pending_for()
    }

    /// The last entry purged from the log.
    pub fn purged(&self) -> Option<LogId> {
        lock(&self.state).purged
    }

    /// Applies records to the state and queues them for the file as one job, so that one fsync makes them durable.
    fn write(&self, records: Vec<Record>, completion: Completion) -> io::Result<()> {
        let mut bytes = Vec::new();
        for record in &records {
            record.append_to(&mut bytes)?;
        }
        // Queued under the lock: the writer locks the state to rewrite the log, and must then find in the queue every
        // record that was applied to the state.
        let mut state = lock(&self.state);
        for record in records {
            state.apply(record).map_err(io::Error::other)?;
            state.record_count += 1;
        }
        self.send(Job::Write(bytes, completion))
    }

    /// Writes a record and waits until it is durable.
    async fn write_durably(&self, record: Record) -> io::Result<()> {
        let (sender, receiver) = oneshot::channel();
        self.write(vec![record], Completion::Waiter(sender))?;
        receiver.await.unwrap_or_else(|_| Err(writer_ended()))
    }

    fn send(&self, job: Job) -> io::Result<()> {
        let Some(jobs) = &self.jobs else {
            if let Job::Write(_, completion) = job {
                completion.notify(Ok(()));
            }
            return Ok(());
        };
        jobs.send(job).map_err(|_| writer_ended())
    }

    /// Queues a rewrite of the file if most of its records are obsolete.
    fn compact(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        if self.jobs.is_none() || state.record_count < 2 * state.entries.len() + COMPACTION_SLACK_RECORDS {
            return Ok(());
        }
        state.generation += 1;
        let contents = state.encode(self.identity)?;
        self.send(Job::Rewrite(contents, state.generation))
    }
}

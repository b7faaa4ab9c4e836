//! A node's Raft log and vote, in memory and, with a data directory, on disk.
//!
//! Files in the data directory:
//! - `raft.log` (`record`): framed records in the order in which Raft made them. All that waits while one fsync runs is
//!   written together by the next. When most of the file is dead (purged behind a snapshot or truncated), it is rewritten
//!   under another name, fsynced and renamed, as the next generation.
//! - `raft.mark` (`mark`): after each fsync, the log's generation and durable length, and the last commit known.
//!
//! `writer` owns both files, on a thread of its own, and rewrites the log after a disk error. `recovery` reads them
//! at the start of the node. `state` is the log's content in memory, and `storage` implements Raft's storage traits.
//!
//! # When an entry is acknowledged
//! Raft's core waits for each append that it makes, and takes no call meanwhile: no heartbeat, no vote, no other write.
//! Where the cluster has several voters an append therefore ends once the entries are queued for the file, and every
//! acknowledgement waits for the sync instead ([`Log::acknowledge`], by `durability`):
//! - a follower answers the leader's call with what is durable in its own log;
//! - the leader takes a follower's answer for no more than what is durable in its own log.
//!
//! So an entry is committed, and applied, once it is durable on the leader and on as many followers as make a quorum with
//! it. A leader that is restarted may have lost entries that it has sent under its term, and must not make others of the same
//! places: it is not the leader any more ([`Log::prepare_replication`]). The log of a sole voter, whose own copy is the quorum, ends an
//! append with the sync.

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
use super::{Entry, LogId, Members, Membership, NodeId, TypeConfig, Vote};
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
/// Records in the file beyond twice those alive at which it is rewritten.
const COMPACTION_SLACK: usize = 4_096;

/// What a start found on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Entries of the log that are alive.
    pub entries: usize,
    /// Bytes of an interrupted last record that were cut off.
    pub torn_bytes: u64,
}

/// Who is notified once a write is durable.
enum Completion {
    /// Those who wait for appended entries, and Raft where the append ends with the sync.
    Entries {
        durability: Durability,
        /// The last one's place among all entries queued.
        last_sequence: u64,
        raft: Option<LogFlushed<TypeConfig>>,
    },
    /// A task that waits.
    Waiter(oneshot::Sender<io::Result<()>>),
    /// Nobody.
    None,
}

impl Completion {
    fn notify(self, result: io::Result<()>) {
        match self {
            Self::Entries { durability, last_sequence, raft } => {
                if result.is_ok() {
                    durability.synced(last_sequence);
                }
                if let Some(callback) = raft {
                    callback.log_io_completed(result);
                }
            }
            // The task that waited may have been dropped.
            Self::Waiter(waiter) => drop(waiter.send(result)),
            Self::None => {}
        }
    }
}

/// Whose log it is.
#[derive(Clone, Copy)]
struct Owner {
    node: NodeId,
    /// A random number, drawn when the log was first made.
    incarnation: u64,
}

/// The log: one owner of its state, shared by Raft's core and its readers.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<PersistedState>>,
    /// To the writer thread; `None` where the log is in memory only.
    jobs: Option<Sender<Job>>,
    owner: Owner,
    durability: Durability,
    elections: ElectionGate,
    /// Whether this node has peers.
    is_replicated: Arc<AtomicBool>,
    /// Whether the cluster has several voters, as the latest membership says that this log was told of.
    has_several_voters: Arc<AtomicBool>,
}

fn lock(state: &Mutex<PersistedState>) -> MutexGuard<'_, PersistedState> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The members that an entry sets, if it does.
fn membership_of(entry: &Entry) -> Option<&Members> {
    match &entry.payload {
        EntryPayload::Membership(members) => Some(members),
        EntryPayload::Blank | EntryPayload::Normal(_) => None,
    }
}

fn writer_ended() -> io::Error {
    io::Error::other("the log's writer has ended")
}

impl Log {
    /// Makes a log in memory only, for a node without peers.
    pub fn in_memory(node: NodeId) -> Self {
        Self::new(Arc::default(), None, Owner { node, incarnation: 0 })
    }

    fn new(state: Arc<Mutex<PersistedState>>, jobs: Option<Sender<Job>>, owner: Owner) -> Self {
        Self {
            state,
            jobs,
            owner,
            durability: Durability::default(),
            elections: ElectionGate::default(),
            is_replicated: Arc::default(),
            has_several_voters: Arc::default(),
        }
    }

    /// Opens (or creates) the log of `node` in `dir`.
    ///
    /// # Errors
    /// `Io` where a file can't be read or made, `Corrupt` where one does not read as written or is short of what was
    /// acknowledged, `OtherNode` or `BeforeReplication` where the directory is not this node's.
    pub fn open(dir: &Path, node: NodeId) -> Result<(Self, Recovery), DiskError> {
        recovery::open(dir, node)
    }

    /// The random number drawn when the log was first made: it tells a log from a later one in its place.
    pub fn incarnation(&self) -> u64 {
        self.owner.incarnation
    }

    /// Whether the node may stand for election, which depends on how long its votes take to be durable.
    pub fn elections(&self) -> &ElectionGate {
        &self.elections
    }

    /// Whether nothing has ever been written to it: no entry, no vote, nothing purged.
    pub fn is_new(&self) -> bool {
        let state = lock(&self.state);
        state.last_log_id().is_none() && state.vote.is_none()
    }

    /// Prepares the log of a node with peers, before Raft reads it: the node does not lead by a vote from before its start,
    /// and its members are those of the latest entry on them, or else of the snapshot.
    pub fn prepare_replication(&self, in_snapshot: &Membership) {
        self.is_replicated.store(true, Ordering::SeqCst);
        let mut state = lock(&self.state);
        state.vote = state.vote.map(|vote| self.vote_to_store(vote));
        let in_log = state.entries.values().rev().find_map(membership_of);
        self.set_membership(in_log.unwrap_or(in_snapshot.membership()));
    }

    /// A vote as it is stored: a node with peers never leads by its own vote after a restart, whichever build it restarts
    /// with, as it may have lost entries that it sent while it led.
    fn vote_to_store(&self, mut vote: Vote) -> Vote {
        if self.is_replicated.load(Ordering::SeqCst) && vote.leader_id.node_id == self.owner.node {
            vote.committed = false;
        }
        vote
    }

    /// Takes in which members vote from here on: with several, an append does not wait for its sync.
    fn set_membership(&self, membership: &Members) {
        // In a joint configuration each part needs a quorum of its own.
        let parts = membership.get_joint_config();
        let has_several = !parts.is_empty() && parts.iter().all(|voters| voters.len() > 1);
        self.has_several_voters.store(has_several && self.jobs.is_some(), Ordering::SeqCst);
    }

    /// For how long the entry that waits longest for its sync has waited.
    pub fn sync_pending_for(&self) -> Duration {
        self.durability.pending_for()
    }

    /// The last entry that is in the snapshot only.
    pub fn purged(&self) -> Option<LogId> {
        lock(&self.state).purged
    }

    /// Applies records to the state and queues them for the file as one job, so that one fsync makes them durable.
    fn write(&self, records: Vec<Record>, completion: Completion) -> io::Result<()> {
        let mut bytes = Vec::new();
        for record in &records {
            record.append_to(&mut bytes)?;
        }
        // Queued under the lock: the writer holds it to rewrite the log, and then finds in the queue everything that is
        // in the state.
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

    /// Has the file rewritten where most of it is dead.
    fn compact(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        if self.jobs.is_none() || state.record_count < 2 * state.entries.len() + COMPACTION_SLACK {
            return Ok(());
        }
        state.generation += 1;
        let contents = state.encode(self.owner)?;
        self.send(Job::Rewrite(contents, state.generation))
    }
}

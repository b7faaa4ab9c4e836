//! One list-service node: the Raft that orders its commands, the store they are applied to, and the log's clock.
//!
//! Reads are answered from this node's own store, on followers too: everything in it is committed, and its revision
//! only grows. Each answer states how far the store may be behind ([`Node::staleness`]). Writes are ordered by the
//! leader; a node that does not lead forwards them, and a node that knows no leader rejects them (`registry::api`).
//!
//! - `raft_config`: Raft's parameters.
//! - [`membership`]: joining the cluster, and changes of its members.
//! - [`proposal`]: committing commands, stamped with the log's time.
//! - [`renewal`]: renewals, which the leader keeps in memory, and expiry.
//! - `forwarding`: forwarding calls to another node.
//! - `watch`: waiting for changes of the store and of Raft's state.
//!
//! While a node's disk rejects writes, nothing that waits for the disk is acknowledged. Once the disk accepts writes
//! again, the node continues by itself ([`super::raft::log`]).

mod forwarding;
pub mod membership;
pub mod proposal;
mod raft_config;
pub mod renewal;
mod watch;

pub use proposal::ProposeError;
pub use renewal::RenewalOutcome;

use super::RegistryConfig;
use super::clock::LogClock;
use super::liveness::Liveness;
use super::raft::disk_error::DiskError;
use super::raft::log::{Log, Recovery};
use super::raft::network::{DurableLog, Network};
use super::raft::quorum_lease::QuorumLease;
use super::raft::state_machine::{StateMachine, StoreHandle};
use super::raft::{NodeId, Raft};
use super::store::Store;
use forwarding::IdleClients;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

/// How much more than the expiry interval the log's clock may advance between two readings.
const CLOCK_STEP_TOLERANCE: Duration = Duration::from_millis(400);
/// The monotonic clock's reading at the start, in seconds: large enough that a fault test can set the clock back.
const CLOCK_START_S: f64 = 1e9;
/// An acknowledgement of all entries waits for their sync for at most the heartbeat interval divided by this. The
/// leader's call ends within one heartbeat interval, so the waits of follower and leader and the network round trip fit
/// into it.
const FULL_ACK_TIMEOUT_DIVISOR: u32 = 4;
/// The wait between two attempts of an action that needs a leader or other nodes.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why a node cannot start, or cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Its data directory cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// Raft rejects its configuration.
    #[error("raft: {0}")]
    Config(#[source] Box<openraft::ConfigError>),
    /// Raft has failed.
    #[error("raft: {0}")]
    Raft(#[source] Box<openraft::error::Fatal<NodeId>>),
    /// Its own log is not the one with which it has taken part.
    #[error(
        "this node's data directory is not the one by which node {0} has taken part in this cluster: \
         it lacks that node's votes and acknowledged entries. To replace the node, POST /v1/cluster/forget \
         {{\"node\":{0}}} to another node, then start this one with join = true"
    )]
    Replaced(NodeId),
}

/// A fault for tests: a jump of the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct ClockJump {
    /// When the clock jumps, counted from the node's start.
    after: Duration,
    /// How far it jumps, in seconds; negative values set it back.
    offset_s: f64,
}

/// One node.
pub struct Node {
    id: NodeId,
    raft: Raft,
    log: Log,
    durable_log: DurableLog,
    store: StoreHandle,
    peers: Arc<BTreeMap<NodeId, SocketAddr>>,
    /// Whether the node joins a cluster that has forgotten it instead of founding one.
    join: bool,
    /// Whether this node may take part: see [`Node::bootstrap`].
    admitted: Cell<bool>,
    /// Whether this node may vote and stand for election.
    may_vote: Cell<bool>,
    /// The upper end of the election timeout: how long a node waits without a leader before it stands for election.
    election_timeout: Duration,
    quorum_lease: QuorumLease,
    liveness: RefCell<Liveness>,
    clock: RefCell<LogClock>,
    started_at: Instant,
    clock_jump: Option<ClockJump>,
    /// When this node last had contact with a leader, or as the leader with a quorum.
    last_contact: Cell<Instant>,
    idle_clients: IdleClients,
    expired_count: Cell<u64>,
}

impl Node {
    /// Opens a node on its data directory, which may be empty. The node takes part once [`Node::bootstrap`] has
    /// returned.
    ///
    /// # Errors
    /// `Disk` where the directory can't be used or its content is corrupt; `Config` or `Raft` where Raft does not
    /// start.
    pub async fn open(config: &RegistryConfig) -> Result<(Self, Recovery), NodeError> {
        let (log, recovery) = match &config.data_dir {
            Some(dir) => Log::open(dir, config.node)?,
            None => (Log::in_memory(config.node), Recovery::default()),
        };
        let state_machine = StateMachine::open(config.data_dir.as_deref(), log.purged())?;
        let store = state_machine.store();
        let peers: Arc<BTreeMap<_, _>> =
            Arc::new(config.peers.iter().map(|peer| (peer.node, peer.address)).collect());
        let quorum_lease = QuorumLease::default();
        let election_timeout = Duration::from_millis(config.election_ms[1]);
        let durable_log = DurableLog {
            log: log.clone(),
            full_ack_timeout: Duration::from_millis(config.heartbeat_ms) / FULL_ACK_TIMEOUT_DIVISOR,
            max_leader_stall: election_timeout,
        };
        if !config.peers.is_empty() {
            log.prepare_replication(state_machine.membership());
        }
        let network = Network {
            peers: peers.clone(),
            node: config.node,
            quorum_lease: quorum_lease.clone(),
            durable_log: durable_log.clone(),
        };
        let raft_config = Arc::new(raft_config::raft_config(config)?);
        let raft = Raft::new(config.node, raft_config, network, log.clone(), state_machine)
            .await
            .map_err(|error| NodeError::Raft(Box::new(error)))?;
        log.elections().attach(raft.clone());
        let max_clock_step = Duration::from_millis(config.expiry_interval_ms) + CLOCK_STEP_TOLERANCE;
        let node = Self {
            id: config.node,
            raft,
            log,
            durable_log,
            store,
            peers,
            join: config.join,
            admitted: Cell::new(false),
            may_vote: Cell::new(false),
            election_timeout,
            quorum_lease,
            liveness: RefCell::default(),
            clock: RefCell::new(LogClock::new(Duration::from_secs_f64(CLOCK_START_S), max_clock_step)),
            started_at: Instant::now(),
            clock_jump: config.fault.as_ref().map(|fault| ClockJump {
                after: Duration::from_millis(fault.clock_jump_after_ms),
                offset_s: fault.clock_jump_s,
            }),
            last_contact: Cell::new(Instant::now()),
            idle_clients: IdleClients::default(),
            expired_count: Cell::new(0),
        };
        Ok((node, recovery))
    }

    /// This node's number.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The other nodes' numbers.
    pub fn peers(&self) -> Vec<NodeId> {
        self.peers.keys().copied().collect()
    }

    /// Raft, for other nodes' calls; `None` until this node may take part.
    pub fn raft(&self) -> Option<&Raft> {
        self.admitted.get().then_some(&self.raft)
    }

    /// How this node acknowledges appended entries.
    pub fn durable_log(&self) -> &DurableLog {
        &self.durable_log
    }

    /// Whether this node may vote.
    pub fn may_vote(&self) -> bool {
        self.may_vote.get()
    }

    /// The node that leads, as far as this one knows.
    pub fn leader(&self) -> Option<NodeId> {
        self.raft.metrics().borrow().current_leader
    }

    /// The leader, where it is another node.
    fn other_leader(&self) -> Option<NodeId> {
        self.leader().filter(|leader| *leader != self.id)
    }

    fn is_leader(&self) -> bool {
        self.raft.metrics().borrow().state == openraft::ServerState::Leader
    }

    /// The store, locked for a short read, never across an await.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock()
    }

    /// The store's revision.
    pub fn revision(&self) -> u64 {
        self.store().revision()
    }

    /// Backends whose expiry this node has committed since its start.
    pub fn expired_count(&self) -> u64 {
        self.expired_count.get()
    }

    /// The reason for the node's failure, if it has failed.
    pub fn failure(&self) -> Option<String> {
        self.raft.metrics().borrow().running_state.as_ref().err().map(ToString::to_string)
    }

    /// The time since this node last had contact with a leader or, as the leader, with a quorum. Its store contains
    /// everything that was acknowledged up to then, except what was still being replicated. Zero for a node without
    /// peers.
    pub fn staleness(&self) -> Duration {
        match self.peers.is_empty() {
            true => Duration::ZERO,
            false => self.last_contact.get().elapsed(),
        }
    }

    /// Records a call of a leader as contact.
    pub fn record_leader_contact(&self) {
        self.last_contact.set(Instant::now());
    }

    /// The node's monotonic clock.
    fn monotonic(&self) -> Duration {
        let elapsed = self.started_at.elapsed();
        let jump = self.clock_jump.filter(|jump| elapsed >= jump.after);
        let offset_s = jump.map_or(0.0, |jump| jump.offset_s);
        elapsed + Duration::from_secs_f64(CLOCK_START_S + offset_s)
    }

    /// Reads the log's clock, in milliseconds: on the leader the time of the next command, on other nodes the time of
    /// the latest applied command.
    pub fn log_time(&self) -> u64 {
        let (monotonic, applied) = (self.monotonic(), self.store().clock_ms());
        let mut clock = self.clock.borrow_mut();
        if self.is_leader() {
            return clock.advance_as_leader(monotonic, applied);
        }
        clock.advance_as_follower(monotonic, applied);
        applied
    }
}

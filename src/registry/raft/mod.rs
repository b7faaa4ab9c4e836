//! The list service's replication, on the `openraft` crate:
//!
//! - [`log`]: the log and the vote, on disk.
//! - [`state_machine`]: the store that the log is applied to, and its snapshots (`snapshot`).
//! - [`network`]: the calls between nodes.
//! - [`election`]: when a node may stand for election.
//! - [`quorum_lease`]: what a leader knows of its own leadership.
//! - [`disk_error`] and `frame`: what the files on disk have in common.

pub mod disk_error;
pub mod election;
mod frame;
pub mod log;
pub mod network;
pub mod quorum_lease;
mod snapshot;
pub mod state_machine;

use super::store::{Command, StoreError};
use crate::agreement::state::CommandOutcome;
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A node's number in its cluster, from 1.
pub type NodeId = u64;

/// The result of a command that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The store's revision after it.
    pub revision: u64,
    /// For an acquire, the fencing token granted.
    pub token: Option<u64>,
    /// The outcome of a change of the agreement.
    pub done: CommandOutcome,
}

openraft::declare_raft_types!(
    /// The list service's types: its commands, their results, and nodes known by number (their addresses are in each
    /// node's own configuration).
    pub TypeConfig:
        D = Command,
        R = Result<Applied, StoreError>,
        NodeId = NodeId,
        Node = openraft::EmptyNode,
        Entry = openraft::Entry<TypeConfig>,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The running Raft of one node.
pub type Raft = openraft::Raft<TypeConfig>;
/// One entry of the log.
pub type Entry = openraft::Entry<TypeConfig>;
/// A vote as saved and sent.
pub type Vote = openraft::Vote<NodeId>;
/// An entry's place in the log.
pub type LogId = openraft::LogId<NodeId>;
/// The cluster's members.
pub type Members = openraft::Membership<NodeId, openraft::EmptyNode>;
/// The cluster's members as stored, with the place in the log that set them.
pub type Membership = openraft::StoredMembership<NodeId, openraft::EmptyNode>;
/// What storage calls fail with.
pub type StorageError = openraft::StorageError<NodeId>;

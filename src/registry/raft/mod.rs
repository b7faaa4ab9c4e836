//! Replication of the list service, based on the `openraft` crate:
//!
//! - [`log`]: the log and the vote, on disk.
//! - [`state_machine`]: the store that the log is applied to, and its snapshots (`snapshot`).
//! - [`network`]: the calls between nodes.
//! - [`election`]: when a node may stand for election.
//! - [`quorum_lease`]: until when a leader can rely on its leadership.
//! - [`disk_error`] and `frame`: the errors and the frame format of the files on disk.

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
    /// The store's revision after the command.
    pub revision: u64,
    /// The fencing token that an acquire command was granted.
    pub token: Option<u64>,
    /// The outcome of a change of the agreement.
    #[serde(rename = "done")]
    pub outcome: CommandOutcome,
}

openraft::declare_raft_types!(
    /// The list service's types: its commands, their results, and nodes identified by number (their addresses are in
    /// each node's own configuration).
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
/// A vote as it is stored and sent.
pub type Vote = openraft::Vote<NodeId>;
/// An entry's position in the log.
pub type LogId = openraft::LogId<NodeId>;
/// The cluster's members.
pub type Membership = openraft::Membership<NodeId, openraft::EmptyNode>;
/// The cluster's members as stored, with the log position that set them.
pub type StoredMembership = openraft::StoredMembership<NodeId, openraft::EmptyNode>;
/// The error of storage calls.
pub type StorageError = openraft::StorageError<NodeId>;

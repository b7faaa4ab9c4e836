//! Joining the cluster, and changes of its members.
//!
//! A node that has lost its votes and entries must not vote: it could elect a leader that lacks an acknowledged write.
//! Therefore the incarnation of each node's log is committed, and a node with a new log first asks the others whether
//! another log with its number has taken part.

use super::{Node, NodeError, RETRY_INTERVAL};
use crate::http_client::HttpClient;
use crate::registry::raft::{Membership, NodeId};
use crate::registry::store::{Command, StoreError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use openraft::ChangeMembers;
use openraft::error::{ClientWriteError, RaftError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call that asks a peer whether this node has taken part.
const JOIN_STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a change of the members failed.
pub type MembershipError = RaftError<NodeId, ClientWriteError<NodeId, openraft::EmptyNode>>;

/// A node's record of the membership of another; on the wire `[incarnation, has_cluster]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Option<u64>, bool)", into = "(Option<u64>, bool)")]
pub struct JoinStatus {
    /// The incarnation of the log with which the other node takes part, if it does.
    pub incarnation: Option<u64>,
    /// Whether the log of the answering node is not new, which means that the node belongs to a cluster.
    pub has_cluster: bool,
}

impl From<(Option<u64>, bool)> for JoinStatus {
    fn from((incarnation, has_cluster): (Option<u64>, bool)) -> Self {
        Self { incarnation, has_cluster }
    }
}

impl From<JoinStatus> for (Option<u64>, bool) {
    fn from(status: JoinStatus) -> Self {
        (status.incarnation, status.has_cluster)
    }
}

impl Node {
    /// Makes the node take part in the cluster. At its first start it checks that no other log with this node's number
    /// has taken part, and founds the cluster with its peers.
    ///
    /// # Errors
    /// `Replaced` where another log of this node has taken part.
    pub async fn bootstrap(&self) -> Result<(), NodeError> {
        let has_cluster = self.log.is_new() && self.ask_peers_for_join_status().await?;
        self.admitted.set(true);
        if !self.log.is_new() && !self.peers.is_empty() {
            // The node may have accepted a leader's call just before it last stopped, and has no record of the time:
            // see `quorum_lease`.
            tokio::time::sleep(self.election_timeout).await;
        }
        self.may_vote.set(true);
        self.log.elections().enable();
        if self.log.is_new() && !has_cluster && !self.join {
            let members: BTreeSet<NodeId> = self.peers.keys().copied().chain([self.id]).collect();
            // Each founder initializes the same members. This fails on a node that another founder has already called.
            if let Err(error) = self.raft.initialize(members).await {
                tracing::info!(%error, "cluster not founded by this node");
            }
        }
        Ok(())
    }

    /// Asks other nodes about this one until enough of them have answered, or its log is no longer new. Returns whether
    /// any of them belongs to a cluster.
    ///
    /// The fact that a node has taken part is committed on a quorum of q of n nodes, of which at least q - 1 are
    /// others. Therefore at least one of any n - q + 1 others has a record of it.
    async fn ask_peers_for_join_status(&self) -> Result<bool, NodeError> {
        let nodes = self.peers.len() + 1;
        let quorum = nodes / 2 + 1;
        let required_answers = (nodes - quorum + 1).min(self.peers.len());
        let mut has_cluster = false;
        while self.log.is_new() {
            let mut answered = 0;
            for address in self.peers.values() {
                let Some(status) = self.join_status_at(*address).await else { continue };
                answered += 1;
                has_cluster |= status.has_cluster;
                if status.incarnation.is_some_and(|known| known != self.log.incarnation()) {
                    return Err(NodeError::Replaced(self.id));
                }
            }
            if answered >= required_answers {
                break;
            }
            tracing::info!(
                answered,
                enough = required_answers,
                "waiting for other nodes before the first start"
            );
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Ok(has_cluster)
    }

    /// Asks the node at `address` for its record of this node's membership; `None` where it does not answer.
    async fn join_status_at(&self, address: SocketAddr) -> Option<JoinStatus> {
        let path = format!("/raft/joined?node={}", self.id);
        let request = Request::get(path).header("host", "list").body(Full::new(Bytes::new()));
        let reply =
            HttpClient::new(address).call(request.unwrap_or_default(), JOIN_STATUS_TIMEOUT).await.ok()?;
        serde_json::from_slice(reply.body()).ok()
    }

    /// Records this node's log in the cluster as the one with which it takes part; `submit` submits a command to
    /// whichever node leads.
    ///
    /// # Errors
    /// `Replaced` where another log of this node has taken part.
    pub async fn record_incarnation<F: Future<Output = Result<(), StoreError>>>(
        &self,
        submit: impl Fn(Command) -> F,
    ) -> Result<(), NodeError> {
        let (node, incarnation) = (self.id, self.log.incarnation());
        loop {
            let recorded = self.store().incarnation_of(node);
            match recorded {
                Some(known) if known != incarnation => return Err(NodeError::Replaced(node)),
                Some(_) if !self.join => return Ok(()),
                _ => {}
            }
            match submit(Command::Join { node, incarnation }).await {
                Ok(()) => return Ok(()),
                Err(StoreError::OtherLogJoined(_)) => return Err(NodeError::Replaced(node)),
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// This node's record of the membership of `node`.
    pub fn join_status(&self, node: NodeId) -> JoinStatus {
        JoinStatus { incarnation: self.store().incarnation_of(node), has_cluster: !self.log.is_new() }
    }

    /// Makes `node` a voting member once it has caught up. Works on the leader only.
    ///
    /// # Errors
    /// The error of Raft, for example where this node does not lead.
    pub async fn add_member(&self, node: NodeId) -> Result<(), MembershipError> {
        if self.members().contains(&node) {
            return Ok(());
        }
        self.raft.add_learner(node, openraft::EmptyNode {}, true).await?;
        let change = ChangeMembers::AddVoterIds(BTreeSet::from([node]));
        self.raft.change_membership(change, false).await?;
        Ok(())
    }

    /// Removes `node` from the members. Works on the leader only.
    ///
    /// # Errors
    /// The error of Raft, for example where this node does not lead.
    pub async fn remove_member(&self, node: NodeId) -> Result<(), MembershipError> {
        let change = ChangeMembers::RemoveVoters(BTreeSet::from([node]));
        self.raft.change_membership(change, false).await?;
        Ok(())
    }

    /// The voting members, without any whose joining or leaving is not complete.
    pub fn members(&self) -> BTreeSet<NodeId> {
        settled_voters(self.raft.metrics().borrow().membership_config.membership())
    }
}

/// The nodes that vote in every part of a configuration. While members change, it has two parts and needs a quorum of
/// both: a member of only one part cannot replace a member of the other yet.
fn settled_voters(members: &Membership) -> BTreeSet<NodeId> {
    let parts = members.get_joint_config();
    members.voter_ids().filter(|node| parts.iter().all(|part| part.contains(node))).collect()
}

#[cfg(test)]
mod tests;

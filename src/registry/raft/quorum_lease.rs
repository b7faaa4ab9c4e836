//! The leader's quorum lease: the time before which no other node can have been elected.
//!
//! A node that accepted a leader's call at `t` neither votes for another node nor stands for election until the
//! longest election timeout has passed since `t` by its own clock (`openraft` calls this the leader lease). A call
//! that a leader sent at `s` and that was answered was accepted at `t >= s`. So once a quorum, including the leader
//! itself, has accepted calls that the leader sent at `s` or later, no other quorum can elect another node before
//! that timeout has passed since `s`, with an allowance for the drift of both clocks. A restarted node does not know
//! when it last had contact with a leader: it votes and stands for election only once the timeout has passed since
//! its start ([`crate::registry::node::Node::bootstrap`]).
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4.1.

use super::NodeId;
use crate::lease::{MAX_CLOCK_DRIFT, SAFETY_MARGIN};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The latest call that this node sent as the leader and another node acknowledged.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    term: u64,
    /// When the call was sent.
    sent_at: Instant,
}

/// The latest acknowledgement of each other node; clones share them.
#[derive(Clone, Debug, Default)]
pub struct QuorumLease {
    acknowledgements: Arc<Mutex<BTreeMap<NodeId, Acknowledgement>>>,
}

/// How long a call that a quorum has accepted prevents the election of another node, counted from when the leader
/// sent it, by the leader's clock. `election_timeout` is the longest time that nodes wait before they stand for
/// election.
pub fn lease_duration(election_timeout: Duration) -> Duration {
    election_timeout.mul_f64(1.0 - MAX_CLOCK_DRIFT).saturating_sub(SAFETY_MARGIN)
}

impl QuorumLease {
    /// Records that `node` has accepted a call that this node sent at `sent_at` as the leader of `term`.
    pub fn record_acknowledgement(&self, node: NodeId, term: u64, sent_at: Instant) {
        let mut acknowledgements = self.lock();
        let latest = acknowledgements.entry(node).or_insert(Acknowledgement { term, sent_at });
        if (term, sent_at) > (latest.term, latest.sent_at) {
            *latest = Acknowledgement { term, sent_at };
        }
    }

    /// Whether it is certain at `now` that no node leads but `this`, the leader of `term` among `members`;
    /// `election_timeout` is as for [`lease_duration`].
    pub fn is_valid(
        &self,
        this: NodeId,
        term: u64,
        members: &[NodeId],
        election_timeout: Duration,
        now: Instant,
    ) -> bool {
        let acknowledgements = self.lock();
        let lease = lease_duration(election_timeout);
        let is_recent = |node: &NodeId| {
            acknowledgements
                .get(node)
                .is_some_and(|latest| latest.term == term && now.duration_since(latest.sent_at) < lease)
        };
        let count = members.iter().filter(|node| **node == this || is_recent(node)).count();
        count > members.len() / 2
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Acknowledgement>> {
        self.acknowledgements.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;

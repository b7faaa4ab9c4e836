//! The leader's quorum lease: until when no other node can have been elected.
//!
//! A node that has taken a leader's call at `t` neither votes for another nor stands for election until `t` and the
//! longest election time-out have passed by its own clock (`openraft` calls that the leader lease). A call that a leader
//! sent at `s` and that was answered was taken at `t >= s`. So once a quorum, itself included, has taken calls that it sent
//! at `s` or later, no other quorum can elect anybody before `s` and that time-out, drift of both clocks reckoned
//! with. A restarted node has forgotten when it last heard from a leader: it votes and stands only once the time-out has
//! passed since its start ([`crate::registry::node::Node::take_part`]).
//! Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4.1.

use super::NodeId;
use crate::lease::{MARGIN, RATE};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When another node last took a call of this one as the leader.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    term: u64,
    /// When the call was sent.
    sent: Instant,
}

/// What the other nodes have acknowledged, shared between the calls to them and who asks.
#[derive(Clone, Debug, Default)]
pub struct QuorumLease {
    acknowledged: Arc<Mutex<BTreeMap<NodeId, Acknowledged>>>,
}

/// For how long a call that a quorum has taken keeps others from being elected, from its sending on and by the leader's
/// clock, where nodes wait for `election` at the longest before they stand for election.
pub fn lease(election: Duration) -> Duration {
    election.mul_f64(1.0 - RATE).saturating_sub(MARGIN)
}

impl QuorumLease {
    /// `node` has taken a call that this one sent at `sent` as the leader of `term`.
    pub fn acknowledge(&self, node: NodeId, term: u64, sent: Instant) {
        let mut all = self.acknowledged.lock().unwrap_or_else(|e| e.into_inner());
        let known = all.entry(node).or_insert(Acknowledged { term, sent });
        if (term, sent) > (known.term, known.sent) {
            *known = Acknowledged { term, sent };
        }
    }

    /// Whether the leader of `term`, `this` of `members`, knows at `now` that no other leads; `election` as for [`lease`].
    pub fn holds(
        &self,
        this: NodeId,
        term: u64,
        members: &[NodeId],
        election: Duration,
        now: Instant,
    ) -> bool {
        let all = self.acknowledged.lock().unwrap_or_else(|e| e.into_inner());
        let valid = |node: &NodeId| {
            all.get(node).is_some_and(|a| a.term == term && now.duration_since(a.sent) < lease(election))
        };
        let count = members.iter().filter(|node| **node == this || valid(node)).count();
        count > members.len() / 2
    }
}

#[cfg(test)]
mod tests;

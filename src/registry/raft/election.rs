//! When a node may stand for election. Raft starts another election once the election timeout has passed since the node's
//! last vote, whether or not answers to that vote can have come: a vote has to be durable where it is cast and at
//! each node that grants it. Where a sync takes long, every election would be overtaken by the next one.
//!
//! So a node that has made a vote durable does not stand for election for a multiple of the time that this took.

use super::Raft;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Of the time that a vote took to be durable: for as long as this multiple the node does not stand for election. The
/// other nodes' sync takes one, and as much is left for the leader's first call.
const PAUSE_FACTOR: u32 = 2;
/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    /// Whether the node may vote at all.
    is_enabled: bool,
    /// Votes cast so far.
    votes: u64,
    /// Whether the latest vote may still be on its way.
    is_paused: bool,
}

/// Decides whether the node may stand for election; clones share the decision.
#[derive(Clone, Default)]
pub struct ElectionGate {
    state: Arc<Mutex<State>>,
    raft: Arc<OnceLock<Raft>>,
}

impl ElectionGate {
    /// Controls the elections of `raft` from now on; they are disabled at first.
    pub fn attach(&self, raft: Raft) {
        // The first one stays: there is one Raft a node.
        let _ = self.raft.set(raft);
    }

    /// Lets the node stand for election, unless a vote was just cast.
    pub fn enable(&self) {
        let mut state = self.lock();
        state.is_enabled = true;
        self.apply(&state);
    }

    /// A vote is about to be made durable; returns its number.
    pub(super) fn vote_cast(&self) -> u64 {
        let mut state = self.lock();
        state.votes += 1;
        state.is_paused = true;
        self.apply(&state);
        state.votes
    }

    /// The vote with this number is durable, after `elapsed`.
    pub(super) fn vote_durable(&self, vote: u64, elapsed: Duration) {
        let gate = self.clone();
        let pause = (elapsed * PAUSE_FACTOR).min(MAX_PAUSE);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let mut state = gate.lock();
            // Another vote has a pause of its own.
            if state.votes == vote {
                state.is_paused = false;
                gate.apply(&state);
            }
        });
    }

    fn apply(&self, state: &State) {
        if let Some(raft) = self.raft.get() {
            raft.runtime_config().elect(state.is_enabled && !state.is_paused);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

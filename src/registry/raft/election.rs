//! When a node may stand for election. Raft starts another election once the election timeout has passed since the
//! node's last vote, even if no answer to that vote can have arrived yet: a vote has to be durable on the node that
//! casts it and on each node that grants it. If syncs are slow, each election would be overtaken by the next one.
//!
//! Therefore a node that has made a vote durable does not stand for election for a multiple of the time that this took.

use super::Raft;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// The pause after a vote, as a multiple of the time that the vote took to become durable: once for the sync of the
/// other nodes, and once for the leader's first call.
const PAUSE_FACTOR: u32 = 2;
/// The longest pause after a vote.
const MAX_PAUSE: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    /// Whether the node may stand for election at all.
    is_enabled: bool,
    /// Votes cast so far.
    votes: u64,
    /// Whether the latest vote may still be in progress.
    is_paused: bool,
}

/// Decides whether the node may stand for election; clones share their state.
#[derive(Clone, Default)]
pub struct ElectionGate {
    state: Arc<Mutex<State>>,
    raft: Arc<OnceLock<Raft>>,
}

impl ElectionGate {
    /// Controls the elections of `raft` from now on; they are initially disabled.
    pub fn attach(&self, raft: Raft) {
        // A second call has no effect: each node has one Raft.
        let _ = self.raft.set(raft);
    }

    /// Allows the node to stand for election, except in the pause after a vote.
    pub fn enable(&self) {
        let mut state = self.lock();
        state.is_enabled = true;
        self.apply(&state);
    }

    /// Records that a vote is about to be made durable; returns the vote's number.
    pub(super) fn on_vote_cast(&self) -> u64 {
        let mut state = self.lock();
        state.votes += 1;
        state.is_paused = true;
        self.apply(&state);
        state.votes
    }

    /// Records that the vote with this number became durable after `elapsed`.
    pub(super) fn on_vote_durable(&self, vote: u64, elapsed: Duration) {
        let gate = self.clone();
        let pause = (elapsed * PAUSE_FACTOR).min(MAX_PAUSE);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let mut state = gate.lock();
            // A later vote has its own pause.
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

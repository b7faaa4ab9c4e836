//! The membership that watchers are notified of: the slots of live sessions.

use super::sessions::Sessions;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The slots of live sessions at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    /// The revision at which it was computed.
    pub revision: u64,
    /// The slots, in ascending order.
    pub slots: Vec<u32>,
}

/// The membership, recomputed from the sessions at most once per tick of the log's clock, so that a fleet whose proxies
/// all start at once does not wake every watcher once for each proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Membership {
    pub members: Members,
    /// Whether sessions have been opened or have ended since it was computed.
    pub is_stale: bool,
}

impl Membership {
    /// Recomputes the membership if it is stale; returns whether it has changed, which makes a new revision.
    pub fn update(&mut self, sessions: &Sessions, revision: &mut u64) -> bool {
        if !std::mem::take(&mut self.is_stale) {
            return false;
        }
        let slots: BTreeSet<u32> = sessions.live.values().map(|session| session.slot).collect();
        if slots.iter().eq(&self.members.slots) {
            return false;
        }
        *revision += 1;
        self.members = Members { revision: *revision, slots: slots.into_iter().collect() };
        true
    }
}

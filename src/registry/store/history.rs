//! The latest changes of the endpoint list, from which watches are answered without the complete list.

use super::endpoint::Instance;
use std::collections::{BTreeMap, VecDeque};

/// The number of changes retained; a watch since an older revision is answered with the complete list.
pub const MAX_RETAINED_CHANGES: usize = 4_096;

/// Each change's revision with the entry after the change, oldest first. A restored store has no changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ChangeHistory {
    changes: VecDeque<(u64, Instance)>,
}

impl ChangeHistory {
    pub(super) fn push(&mut self, revision: u64, instance: Instance) {
        if self.changes.len() >= MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((revision, instance));
    }

    /// Whether every change after `since` is retained; `revision` is that of the store.
    pub(super) fn is_complete_since(&self, since: u64, revision: u64) -> bool {
        // If no change is retained, as after a restore, the changes up to the current revision are not known.
        let retained_from = self.changes.front().map_or(revision + 1, |(oldest, _)| *oldest);
        since + 1 >= retained_from
    }

    pub(super) fn has_change_after(&self, since: u64) -> bool {
        self.changes.back().is_some_and(|(latest, _)| *latest > since)
    }

    /// The latest state of each entry that changed after `since`, once each, by id.
    pub(super) fn latest_since(&self, since: u64) -> Vec<Instance> {
        let mut latest: BTreeMap<&str, &Instance> = BTreeMap::new();
        for (_, instance) in self.changes.iter().filter(|(revision, _)| *revision > since) {
            latest.insert(&instance.instance_id, instance);
        }
        latest.into_values().cloned().collect()
    }
}

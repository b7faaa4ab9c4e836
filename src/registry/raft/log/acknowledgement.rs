//! What a node may acknowledge of the entries that a leader's call has brought: no more than is durable in its own log.

use super::super::{LogId, NodeId, TypeConfig};
use super::{Log, lock};
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse};
use std::time::Duration;

/// How long an acknowledgement waits for a sync. The caller gives up long before.
const MAX_SYNC_WAIT: Duration = Duration::from_secs(10);

/// What an append call covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendRange {
    /// The entry before those that it brings, which the follower must hold.
    pub previous: Option<LogId>,
    /// The last entry that it brings; the previous one where it brings none.
    pub last: Option<LogId>,
}

impl AppendRange {
    /// What `request` covers.
    pub fn of(request: &AppendEntriesRequest<TypeConfig>) -> Self {
        let previous = request.prev_log_id;
        Self { previous, last: request.entries.last().map(|entry| entry.log_id).or(previous) }
    }
}

impl Log {
    /// The acknowledgement of a call that this node's log holds in memory, once its entries are durable: a partial one
    /// of those that are after `patience`, so that the leader knows in time that it was heard. `None` where nothing
    /// could be made durable.
    ///
    /// Entries that a later leader has replaced meanwhile may be acknowledged to the one before: it cannot commit them,
    /// as that later leader was elected by a quorum of which no member held them.
    pub async fn acknowledge(
        &self,
        range: AppendRange,
        patience: Duration,
    ) -> Option<AppendEntriesResponse<NodeId>> {
        let Some(last) = range.last else { return Some(AppendEntriesResponse::Success) };
        let durable = self.durability.wait_durable(last.index);
        if tokio::time::timeout(patience, durable).await.is_err() {
            if let Some(durable) = self.durable_part(range) {
                return Some(AppendEntriesResponse::PartialSuccess(Some(durable)));
            }
            tokio::time::timeout(MAX_SYNC_WAIT, self.durability.wait_durable(last.index)).await.ok()?;
        }
        Some(AppendEntriesResponse::Success)
    }

    /// The last durable entry of a range, if its previous one is durable.
    fn durable_part(&self, range: AppendRange) -> Option<LogId> {
        let last_durable = self.durability.first_pending()?.checked_sub(1)?;
        let previous = range.previous.filter(|previous| previous.index <= last_durable)?;
        if previous.index == last_durable {
            return Some(previous);
        }
        let durable = lock(&self.state).entries.get(&last_durable)?.log_id;
        // One of another term has replaced what the call brought.
        (previous < durable && Some(durable) <= range.last).then_some(durable)
    }
}

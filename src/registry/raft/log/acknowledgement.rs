//! Which entries of a leader's call a node may acknowledge: only those that are durable in its own log.

use super::super::{LogId, NodeId, TypeConfig};
use super::{Log, lock};
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse};
use std::time::Duration;

/// How long an acknowledgement waits for a sync. The caller times out long before.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);

/// The entries that an append call covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendRange {
    /// The entry before those of the call, which the follower must have.
    pub previous: Option<LogId>,
    /// The last entry of the call; the previous one if the call has no entries.
    pub last: Option<LogId>,
}

impl AppendRange {
    /// The range that `request` covers.
    pub fn of(request: &AppendEntriesRequest<TypeConfig>) -> Self {
        let previous = request.prev_log_id;
        Self { previous, last: request.entries.last().map(|entry| entry.log_id).or(previous) }
    }
}

impl Log {
    /// Acknowledges a call whose entries are in this node's log in memory, once they are durable. After
    /// `full_ack_timeout` it acknowledges those that are durable by then, so that the leader learns in time that its
    /// call arrived. `None` if no entry could be made durable.
    ///
    /// Entries that a later leader has replaced meanwhile may be acknowledged to the earlier leader: it cannot commit
    /// them, as no member of the quorum that elected the later leader had them.
    pub async fn acknowledge(
        &self,
        range: AppendRange,
        full_ack_timeout: Duration,
    ) -> Option<AppendEntriesResponse<NodeId>> {
        let Some(last) = range.last else { return Some(AppendEntriesResponse::Success) };
        let durable = self.durability.wait_durable(last.index);
        if tokio::time::timeout(full_ack_timeout, durable).await.is_err() {
            if let Some(durable) = self.durable_part(range) {
                return Some(AppendEntriesResponse::PartialSuccess(Some(durable)));
            }
            tokio::time::timeout(SYNC_TIMEOUT, self.durability.wait_durable(last.index)).await.ok()?;
        }
        Some(AppendEntriesResponse::Success)
    }

    /// The last durable entry of a range, if the entry before the range is durable.
    fn durable_part(&self, range: AppendRange) -> Option<LogId> {
        let last_durable = self.durability.first_pending()?.checked_sub(1)?;
        let previous = range.previous.filter(|previous| previous.index <= last_durable)?;
        if previous.index == last_durable {
            return Some(previous);
        }
        let durable = lock(&self.state).entries.get(&last_durable)?.log_id;
        // Otherwise an entry of another term has replaced those of the call.
        (previous < durable && Some(durable) <= range.last).then_some(durable)
    }
}

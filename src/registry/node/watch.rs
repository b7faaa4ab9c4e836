//! Waiting for changes of the store and of Raft's state.

use super::{Node, RETRY_INTERVAL};
use crate::registry::store::Store;
use std::time::{Duration, Instant};

impl Node {
    /// Waits until the list has changed since revision `since`, for at most `timeout`; returns whether it has changed.
    pub async fn wait_for_list_change(&self, since: u64, timeout: Duration) -> bool {
        self.wait_for(timeout, |store| store.has_changes_since(since)).await
    }

    /// Waits until the agreement has changed since revision `since`, for at most `timeout`; returns whether it has
    /// changed.
    pub async fn wait_for_agreement_change(&self, since: u64, timeout: Duration) -> bool {
        self.wait_for(timeout, |store| store.agreement().latest_change() > since).await
    }

    async fn wait_for(&self, timeout: Duration, condition: impl Fn(&Store) -> bool) -> bool {
        let mut revisions = self.store.subscribe();
        let change = async {
            while !condition(&self.store()) {
                if revisions.changed().await.is_err() {
                    // The node is shutting down: wait until the timeout.
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::time::timeout(timeout, change).await.is_ok()
    }

    /// Waits until Raft's state changes, for at most the retry interval.
    pub async fn wait_for_raft_change(&self) {
        let mut metrics = self.raft.metrics();
        metrics.mark_unchanged();
        let _ = tokio::time::timeout(RETRY_INTERVAL, metrics.changed()).await;
    }

    /// Records when a quorum last answered this node as the leader, and logs changes of the leader. Runs until Raft
    /// stops.
    pub async fn track_quorum_contact(&self) {
        let mut metrics = self.raft.metrics();
        let mut logged_leader = None;
        while metrics.changed().await.is_ok() {
            let (since_contact_ms, term, leader) = {
                let metrics = metrics.borrow_and_update();
                (metrics.millis_since_quorum_ack, metrics.current_term, metrics.current_leader)
            };
            if leader != logged_leader {
                // Raft's own log lines repeat with each call to a node that is down; this line is written once for each
                // change.
                tracing::info!(node = self.id, term, leader, "leader changed");
                logged_leader = leader;
            }
            let contact =
                since_contact_ms.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms)));
            self.last_contact.set(self.last_contact.get().max(contact.unwrap_or(self.started_at)));
        }
    }
}

//! One list-service node: it owns the store, stamps commands with its clock, wakes watches on news and
//! expires lapsed entries. Commands go through [`Node::propose`], the one place where a replicated log will
//! stand between the API and the store; this node is a single one and applies them at once.

use super::store::{Answer, Command, Store, StoreError};
use std::cell::RefCell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// A node's store, clock and watchers.
pub struct Node {
    store: RefCell<Store>,
    /// The revision, for watches to wait on.
    revision: watch::Sender<u64>,
}

/// Milliseconds of Unix time by this machine's clock; 0 if the clock stands before 1970.
fn clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Default for Node {
    fn default() -> Self {
        Self::new()
    }
}

impl Node {
    /// A node with an empty store at revision 1.
    pub fn new() -> Self {
        let store = Store::default();
        let (revision, _) = watch::channel(store.revision());
        Self { store: RefCell::new(store), revision }
    }

    /// Applies a command, stamped with this node's time where it takes one; returns the revision after it.
    ///
    /// # Errors
    /// The store's, where the command is refused; nothing changes then.
    pub fn propose(&self, mut command: Command) -> Result<u64, StoreError> {
        let mut store = self.store.borrow_mut();
        let now = store.stamp(clock_ms());
        match &mut command {
            Command::Register { at_ms, .. }
            | Command::Heartbeat { at_ms, .. }
            | Command::Expire { at_ms } => {
                *at_ms = now;
            }
            Command::Deregister { .. } | Command::SetWeight { .. } | Command::Drain { .. } => {}
        }
        let revision = store.apply(&command)?;
        drop(store);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        Ok(revision)
    }

    /// The whole list now.
    pub fn full(&self) -> Answer {
        self.store.borrow().full()
    }

    /// The revision now.
    pub fn revision(&self) -> u64 {
        self.store.borrow().revision()
    }

    /// A watch: the news since `since` as soon as there is any, or `None` after `wait` without news.
    pub async fn watch(&self, since: u64, wait: Duration) -> Option<Answer> {
        let mut revisions = self.revision.subscribe();
        let news = async {
            loop {
                if let Some(answer) = self.store.borrow().since(since) {
                    return answer;
                }
                if revisions.changed().await.is_err() {
                    // The node is going away: wait out the time.
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::time::timeout(wait, news).await.ok()
    }

    /// Expires lapsed entries every `every`, for as long as the node lives.
    pub async fn expire_every(&self, every: Duration) {
        let mut tick = tokio::time::interval(every);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            // An expiry is never refused.
            let _ = self.propose(Command::Expire { at_ms: 0 });
        }
    }
}

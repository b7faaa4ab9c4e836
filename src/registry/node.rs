//! One list-service node: it owns the store, stamps commands with its clock, writes what changed to disk
//! before it is acknowledged, wakes watches on news and expires lapsed entries. Commands go through
//! [`Node::propose`], the one place where a replicated log will stand between the API and the store; this
//! node is a single one and applies them at once.
//!
//! A write that the disk refuses leaves the node failed: it has a change in memory that is not durable, so
//! from then on it answers nothing but that error, and clients go to another node (fail-stop).

use super::disk::{Disk, DiskError, Recovered};
use super::store::{Answer, Command, Store, StoreError};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Why a command was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The store refused it; nothing changed.
    #[error(transparent)]
    Refused(#[from] StoreError),
    /// The disk refused it, now or before: the node has failed and acknowledges nothing more.
    #[error("this node has failed: {0}")]
    Failed(String),
}

/// A node's store, clock and watchers.
pub struct Node {
    store: RefCell<Store>,
    disk: RefCell<Option<Disk>>,
    failed: RefCell<Option<String>>,
    expired: Cell<u64>,
    /// The revision, for watches to wait on.
    revision: watch::Sender<u64>,
}

/// Milliseconds of Unix time by this machine's clock; 0 if the clock stands before 1970.
fn clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Default for Node {
    fn default() -> Self {
        Self::with(Store::default(), None)
    }
}

impl Node {
    /// A node kept in memory only, with an empty store at revision 1.
    pub fn new() -> Self {
        Self::default()
    }

    /// A node whose list is kept in `dir`, rebuilt from what is there.
    ///
    /// # Errors
    /// The disk's, where the directory can't be used or holds what does not read.
    pub fn open(dir: &Path) -> Result<(Self, Recovered), DiskError> {
        let (disk, mut store, recovered) = Disk::open(dir)?;
        store.refresh_all(clock_ms());
        Ok((Self::with(store, Some(disk)), recovered))
    }

    fn with(store: Store, disk: Option<Disk>) -> Self {
        let (revision, _) = watch::channel(store.revision());
        let (disk, failed) = (RefCell::new(disk), RefCell::new(None));
        Self { store: RefCell::new(store), disk, failed, expired: Cell::new(0), revision }
    }

    /// Applies a command, stamped with this node's time where it takes one, and writes it to disk if it
    /// changed the list; returns the revision after it. An expiry is applied as the deregistrations it
    /// makes, each a change of its own.
    ///
    /// # Errors
    /// `Refused` where the store refuses it (nothing changes), `Failed` where the disk refused this or an
    /// earlier change.
    pub fn propose(&self, mut command: Command) -> Result<u64, ProposeError> {
        if let Some(why) = self.failed.borrow().as_ref() {
            return Err(ProposeError::Failed(why.clone()));
        }
        let now = self.store.borrow().stamp(clock_ms());
        let commands = match &mut command {
            Command::Expire { .. } => {
                let lapsed = self.store.borrow().lapsed(now);
                self.expired.set(self.expired.get() + lapsed.len() as u64);
                lapsed.into_iter().map(|instance_id| Command::Deregister { instance_id }).collect()
            }
            Command::Register { at_ms, .. }
            | Command::Heartbeat { at_ms, .. }
            | Command::Acquire { at_ms, .. }
            | Command::KeepAlive { at_ms, .. } => {
                *at_ms = now;
                vec![command]
            }
            Command::Deregister { .. }
            | Command::SetWeight { .. }
            | Command::Drain { .. }
            | Command::Release { .. } => vec![command],
        };
        let mut revision = self.revision();
        for command in commands {
            let mut store = self.store.borrow_mut();
            let before = store.revision();
            revision = store.apply(&command)?;
            if revision == before {
                continue;
            }
            let written =
                self.disk.borrow_mut().as_mut().map_or(Ok(()), |disk| disk.append(&command, &store));
            if let Err(error) = written {
                let why = error.to_string();
                tracing::error!(%why, "disk write failed; this node stops acknowledging");
                *self.failed.borrow_mut() = Some(why.clone());
                return Err(ProposeError::Failed(why));
            }
            drop(store);
            self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        }
        Ok(revision)
    }

    /// The store, to read from.
    pub fn store(&self) -> std::cell::Ref<'_, Store> {
        self.store.borrow()
    }

    /// Entries taken off by expiry since the start.
    pub fn expired(&self) -> u64 {
        self.expired.get()
    }

    /// Why the node has failed, if it has.
    pub fn failed(&self) -> Option<String> {
        self.failed.borrow().clone()
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

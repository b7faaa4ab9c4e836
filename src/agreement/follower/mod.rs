//! Follows the agreement for a proxy, with the I/O around [`SessionState`]: it watches the agreement at the list
//! service, maintains the proxy's session, and notifies its owner of what to apply. It serves no requests itself, so
//! that an outage of the list service costs the proxy only its attachment.
//!
//! It makes two kinds of calls: polls of a watch of the agreement (`watch`), and one call at a time of the session
//! (`session`: opened, renewed each third of the TTL and at once when there is an offer to acknowledge). Each kind goes
//! to one node and on to the next after a failure (`nodes`), with full jitter on the backoff, so that proxies that lost
//! the same node do not reconnect at the same time.

mod nodes;
mod session;
mod watch;

use super::document::{Document, DocumentError};
use super::session_state::{Attachment, SessionState};
use super::state::Members;
use crate::lease::{Clock, holder_validity};
use crate::response_latency::AdaptiveTimeout;
use nodes::Nodes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Combined with the seed, so that components with the same seed draw different numbers.
const SEED_SALT: u64 = 0xa9_4ee;

/// The configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The proxy's name, for display.
    pub name: String,
    /// The nodes of the list service.
    pub addresses: Vec<SocketAddr>,
    /// The session's TTL.
    pub ttl: Duration,
    /// The rate of its clock against real time, for fault tests.
    pub clock_rate: f64,
    /// The seed of the jitter, and of the choice of the first node to call.
    pub seed: u64,
}

/// What a proxy must apply.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedAgreement {
    /// The versions that the fleet has agreed on.
    Attached {
        /// Its slot, which no other proxy holds.
        slot: u32,
        /// The settings version; 0 if none was published.
        version: u64,
        /// That version's document.
        document: Option<Arc<Document>>,
        /// The membership.
        members: Rc<Members>,
    },
    /// The fallback settings, without a slot.
    Detached,
}

/// What the follower requires of its proxy.
pub trait Owner {
    /// Checks that the proxy can apply a document.
    ///
    /// # Errors
    /// The key that the proxy can't apply.
    fn can_apply(&self, document: &Document) -> Result<(), DocumentError>;
    /// Applies `following` from now on.
    fn follow(&self, following: &AppliedAgreement);
    /// Polls the endpoint list at another node: the service named a revision that has not arrived.
    fn list_is_behind(&self);
}

/// Follows the agreement for one proxy.
pub struct Follower {
    config: FollowerConfig,
    owner: Box<dyn Owner>,
    clock: Clock,
    state: RefCell<SessionState>,
    documents: RefCell<BTreeMap<u64, Arc<Document>>>,
    members: RefCell<Rc<Members>>,
    /// The attachment that the owner applies.
    applied: Cell<Attachment>,
    nodes: Nodes,
    /// Notified when the session's next call is due at once.
    session_call_due: Notify,
    /// Notified when the watch must restart, as the service has moved.
    watch_moved: Notify,
    /// Notified when the node that is watched is behind.
    watch_is_behind: Notify,
    /// The timeout of the session's calls.
    session_timeout: RefCell<AdaptiveTimeout>,
    /// The latest version refused at the service.
    last_refused: Cell<u64>,
    is_closed: Cell<bool>,
    rng: RefCell<SmallRng>,
    /// The latest logged reason why the session could not be maintained; only a changed reason is logged.
    logged_failure: RefCell<String>,
}

impl Follower {
    /// Starts following; the owner is notified of every change, the first being its attachment. Runs on the current
    /// thread's `LocalSet` for as long as that exists.
    pub fn start(config: FollowerConfig, owner: Box<dyn Owner>) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(config.seed ^ SEED_SALT);
        let first = rng.random_range(0..config.addresses.len().max(1));
        let follower = Rc::new(Self {
            state: RefCell::new(SessionState::new(holder_validity(config.ttl))),
            clock: Clock::start(config.clock_rate),
            documents: RefCell::default(),
            members: RefCell::default(),
            applied: Cell::new(Attachment::Detached),
            nodes: Nodes::new(config.addresses.clone(), first),
            session_call_due: Notify::new(),
            watch_moved: Notify::new(),
            watch_is_behind: Notify::new(),
            session_timeout: RefCell::new(AdaptiveTimeout::for_renewals(
                config.ttl,
                session::renewal_interval(config.ttl),
            )),
            last_refused: Cell::new(0),
            is_closed: Cell::new(false),
            rng: RefCell::new(rng),
            logged_failure: RefCell::default(),
            config,
            owner,
        });
        tokio::task::spawn_local(follower.clone().watch());
        tokio::task::spawn_local(follower.clone().maintain_session());
        follower
    }

    /// Records that the proxy has applied the endpoint list of revision `list`.
    pub fn list_applied(&self, list: u64) {
        self.state.borrow_mut().list_applied(list);
        self.refresh();
    }

    /// Replaces the addresses of the list service.
    pub fn move_to(&self, addresses: Vec<SocketAddr>) {
        if self.nodes.replace(addresses) {
            self.watch_moved.notify_one();
            self.session_call_due.notify_one();
        }
    }

    /// Notifies the owner of what to apply, if that has changed. Called before every decision, so that a proxy that was
    /// suspended beyond its attachment decides nothing by outdated settings.
    pub fn refresh(&self) {
        let attachment = self.attachment();
        if self.applied.replace(attachment) != attachment {
            self.owner.follow(&self.applied_agreement(attachment));
        }
    }

    /// Whether the proxy is attached now, and to which slot and versions.
    pub fn attachment(&self) -> Attachment {
        self.state.borrow().attachment(self.clock.now())
    }

    fn applied_agreement(&self, attachment: Attachment) -> AppliedAgreement {
        match attachment {
            Attachment::Detached => AppliedAgreement::Detached,
            Attachment::Attached { slot, version, .. } => AppliedAgreement::Attached {
                slot,
                version,
                document: self.documents.borrow().get(&version).cloned(),
                members: self.members.borrow().clone(),
            },
        }
    }

    /// Checks that the proxy can apply a version whose document was received.
    fn can_apply(&self, version: u64) -> Result<(), DocumentError> {
        let document = self.documents.borrow().get(&version).cloned();
        document.map_or(Ok(()), |document| self.owner.can_apply(&document))
    }
}

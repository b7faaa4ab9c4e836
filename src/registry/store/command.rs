//! The commands of the replicated log. They are stored: a `serde` name never changes, and a command is never removed
//! while a log may contain it.

use super::endpoint::Instance;
use super::lease::GrantId;
use crate::agreement::state;
use serde::{Deserialize, Serialize};

/// A change to the store. The leader stamps `at_ms` with the log's clock ([`crate::registry::clock`]) in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Command {
    /// Lists a backend, or replaces its entry, with a TTL from now.
    Register {
        /// The backend; its lifecycle must be `SERVING` or `DRAINING`.
        instance: Instance,
        /// How long it stays listed without a heartbeat, in milliseconds, within [`super::TTL_RANGE_MS`].
        ttl_ms: u64,
        /// The leader's time.
        at_ms: u64,
    },
    /// Renews a listed backend for its TTL from now (written by builds before [`Command::ExpireByCommand`]).
    Heartbeat {
        /// The backend's id.
        instance_id: String,
        /// The leader's time.
        at_ms: u64,
    },
    /// Removes a backend from the list.
    Deregister {
        /// The backend's id.
        instance_id: String,
    },
    /// Sets a backend's weight.
    SetWeight {
        /// The backend's id.
        instance_id: String,
        /// The new weight, in (0, 1000].
        weight: f64,
    },
    /// Marks a backend draining: proxies send it nothing new.
    Drain {
        /// The backend's id.
        instance_id: String,
    },
    /// Updates the membership. Before [`Command::ExpireByCommand`] it also removes every backend whose TTL has passed.
    Expire {
        /// The leader's time.
        at_ms: u64,
    },
    /// From this command on, the leader keeps renewals in memory ([`crate::registry::liveness`]), and entries expire
    /// only by [`Command::EndExpired`].
    #[serde(rename = "lapse_by_command")]
    ExpireByCommand,
    /// Ends everything that the leader found to have expired; entries that have ended already are ignored.
    #[serde(rename = "lapse")]
    EndExpired {
        /// What has expired.
        #[serde(rename = "lapsed")]
        expired: Expired,
        /// The leader's time.
        at_ms: u64,
    },
    /// Grants the lease `name` to `holder` for `ttl_ms` from now, unless another process holds it and it has not
    /// expired. The fencing token of each grant is the revision that the grant creates, so tokens only grow. A holder
    /// that acquires again while it holds the lease gets a new grant, and its old token becomes invalid.
    Acquire {
        /// The lease's name.
        name: String,
        /// A name that identifies the acquiring process uniquely.
        holder: String,
        /// The TTL in milliseconds, within [`super::TTL_RANGE_MS`].
        ttl_ms: u64,
        /// The leader's time.
        at_ms: u64,
    },
    /// Renews the grant with `token` for its TTL from now; rejected once it has expired (written by builds before
    /// [`Command::ExpireByCommand`]).
    KeepAlive {
        /// The lease's name.
        name: String,
        /// The token of the grant.
        token: u64,
        /// The leader's time.
        at_ms: u64,
    },
    /// Records that the log of `node` with this incarnation takes part in the cluster, so that a node whose disk was
    /// lost is not mistaken for the one that has voted. Does not change the revision.
    Join {
        /// The node.
        node: u64,
        /// A random number, drawn when the node's log was first created.
        incarnation: u64,
    },
    /// Changes sessions or settings ([`state`]).
    #[serde(rename = "agree")]
    ChangeAgreement {
        /// The change.
        change: state::Command,
        /// The leader's time.
        at_ms: u64,
    },
    /// Removes the record of the log of a node that is no longer a member of the cluster.
    Forget {
        /// The node.
        node: u64,
    },
    /// Releases a lease, so that another process may acquire it at once.
    Release {
        /// The lease's name.
        name: String,
        /// The token of the grant.
        token: u64,
    },
}

/// Everything that has expired at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expired {
    /// Backends, by id.
    pub instances: Vec<String>,
    /// Grants of leases.
    pub grants: Vec<GrantId>,
    /// Sessions, by number.
    pub sessions: Vec<u64>,
}

impl Expired {
    /// Whether nothing has expired.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty() && self.grants.is_empty() && self.sessions.is_empty()
    }
}

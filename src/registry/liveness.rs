//! Renewals, kept by the leader in memory: which backends, grants of leases and sessions are live, and which have
//! expired.
//!
//! Renewals are not in the log, so a fleet at rest writes nothing. Only changes are written, including the end of what
//! has expired ([`crate::registry::store::Command::EndExpired`]). A leader's renewals are lost with its leadership, so
//! two rules apply:
//!
//! - **Grace period.** A leader lets nothing expire before a TTL has passed since it began to lead, which is when it
//!   has applied an entry of its own term ([`Liveness::become_leader`]). Every item that the previous leader renewed
//!   thus has a full TTL in which to be renewed at the new leader.
//! - **Quorum lease.** A leader answers a renewal only while no other can have been elected
//!   ([`crate::registry::raft::quorum_lease`]), so every renewal that it answers comes before the next leader begins.
//!
//! Let a renewal be sent at `s` and accepted by a leader at `r >= s`, in real time. That leader lets the renewed item
//! expire at `r + ttl` at the earliest. By the second rule another leader begins at `b >= r`, and by the first rule it
//! lets the item expire at `b + ttl >= r + ttl` at the earliest. So the item is valid until at least `s + ttl`
//! whichever node leads, and holders rely on this ([`crate::lease`]). An item that is no longer renewed ends after its
//! last renewal within at most a TTL, the time without a leader, another TTL and an expiry interval; without a change of
//! leader, within a TTL and an expiry interval.
//!
//! Sources: Gray and Cheriton, "Leases" (SOSP 1989); Burrows, "The Chubby lock service" (OSDI 2006), section 2.9, for the
//! new master that extends every session's lease.
//!
//! Times are read from the log's clock ([`crate::registry::clock`]) on the leader, in milliseconds. This clock counts
//! little of the time for which a node was stopped, so items whose renewals could not reach the node do not expire at
//! once.

use super::store::{Expired, Expiry, Grant, GrantId, Store};
use crate::agreement::state::{Renewal, Session};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of items of each kind in one `EndExpired`: as JSON they fit into a record of the log.
pub const MAX_EXPIRED_PER_COMMAND: usize = 256;

/// The renewals of one call: everything that one machine keeps alive.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Renewals {
    /// Backends, by id.
    pub instances: Vec<String>,
    /// Grants of leases.
    pub grants: Vec<GrantId>,
    /// Sessions, each with the versions that its proxy reports.
    pub sessions: Vec<Renewal>,
}

impl Renewals {
    /// The number of renewals.
    pub fn len(&self) -> usize {
        self.instances.len() + self.grants.len() + self.sessions.len()
    }

    /// Whether there are no renewals.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds the renewals of another call.
    pub fn append(&mut self, mut other: Renewals) {
        self.instances.append(&mut other.instances);
        self.grants.append(&mut other.grants);
        self.sessions.append(&mut other.sessions);
    }
}

/// What a call could not renew; everything else was renewed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lost {
    /// Backends that are not listed.
    pub instances: Vec<String>,
    /// Grants that have expired, were released or were replaced by a new grant.
    pub grants: Vec<GrantId>,
    /// Sessions that were not renewed, and why.
    pub sessions: BTreeMap<u64, String>,
}

/// The latest renewals that this node accepted as the leader, in milliseconds of the log's clock. The node owns it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Liveness {
    /// `None` while this node does not lead.
    leadership: Option<Leadership>,
    instances: HashMap<String, u64>,
    grants: HashMap<GrantId, u64>,
    sessions: HashMap<u64, SessionRenewal>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Leadership {
    /// The Raft term.
    term: u64,
    /// When the node began to lead, on the log's clock in milliseconds.
    since_ms: u64,
}

/// A session's latest renewal.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SessionRenewal {
    at_ms: u64,
    renewal: Renewal,
}

impl Liveness {
    /// Records that this node leads in `term` and has applied an entry of that term. From the first such call on it
    /// accepts renewals, and the grace period runs.
    pub fn become_leader(&mut self, term: u64, now_ms: u64) {
        if self.leadership.is_none_or(|leadership| leadership.term != term) {
            *self = Self { leadership: Some(Leadership { term, since_ms: now_ms }), ..Self::default() };
        }
    }

    /// Records that this node does not lead: the renewals that it accepted are no longer valid.
    pub fn become_follower(&mut self) {
        if self.leadership.is_some() {
            *self = Self::default();
        }
    }

    /// When an item that was last renewed here at `renewed_at_ms` expires, on the log's clock in milliseconds;
    /// `u64::MAX` while this node does not lead.
    fn deadline(&self, renewed_at_ms: Option<u64>, expiry: Expiry) -> u64 {
        let Some(Leadership { since_ms, .. }) = self.leadership else { return u64::MAX };
        let ttl_start_ms = renewed_at_ms.unwrap_or(0).max(since_ms);
        expiry.expires_at_ms.max(ttl_start_ms.saturating_add(expiry.ttl_ms))
    }

    fn instance_deadline(&self, id: &str, expiry: Expiry) -> u64 {
        self.deadline(self.instances.get(id).copied(), expiry)
    }

    fn grant_deadline(&self, id: &GrantId, expiry: Expiry) -> u64 {
        self.deadline(self.grants.get(id).copied(), expiry)
    }

    fn session_deadline(&self, id: u64, session: &Session) -> u64 {
        let expiry = Expiry { ttl_ms: session.ttl_ms, expires_at_ms: session.expires_at_ms };
        self.deadline(self.sessions.get(&id).map(|latest| latest.at_ms), expiry)
    }

    /// Renews the items that are in the store and may still be renewed; returns the others.
    pub fn renew(&mut self, renewals: &Renewals, store: &Store, now_ms: u64) -> Lost {
        let mut lost = Lost::default();
        for id in &renewals.instances {
            if !self.renew_instance(id, store, now_ms) {
                lost.instances.push(id.clone());
            }
        }
        for grant in &renewals.grants {
            if !self.renew_grant(grant, store, now_ms) {
                lost.grants.push(grant.clone());
            }
        }
        for renewal in &renewals.sessions {
            if let Err(reason) = self.renew_session(renewal, store, now_ms) {
                lost.sessions.insert(renewal.session, reason);
            }
        }
        lost
    }

    /// Renews a backend. One that has expired but is still listed is renewed too: no watcher has been notified of its
    /// end.
    fn renew_instance(&mut self, id: &str, store: &Store, now_ms: u64) -> bool {
        if store.instance_expiry(id).is_none() {
            return false;
        }
        let renewed_at_ms = self.instances.entry(id.to_string()).or_default();
        *renewed_at_ms = now_ms.max(*renewed_at_ms);
        true
    }

    /// Renews a grant. One that has expired is lost even if its end is not written yet, because the command that ends
    /// it may be in flight.
    fn renew_grant(&mut self, id: &GrantId, store: &Store, now_ms: u64) -> bool {
        let grant = store.lease(&id.name).filter(|grant| grant.token == id.token);
        let is_live = grant.is_some_and(|grant| now_ms < self.grant_deadline(id, grant.expiry()));
        if is_live {
            self.grants.insert(id.clone(), now_ms);
        }
        is_live
    }

    /// Renews a session. One that has expired is lost, as a grant is, and one that has not acknowledged the offered
    /// version in time is no longer renewed.
    fn renew_session(&mut self, renewal: &Renewal, store: &Store, now_ms: u64) -> Result<(), String> {
        let id = renewal.session;
        let agreement = store.agreement();
        let session = agreement.sessions().get(&id);
        let session = session.filter(|session| now_ms < self.session_deadline(id, session));
        let session = session.ok_or_else(|| format!("session {id} is not known; it may have run out"))?;
        if agreement.is_overdue(session, now_ms) {
            return Err("the version on offer was not acknowledged within the TTL".into());
        }
        let previous = self.sessions.get(&id).map_or(session.last_renewal, |latest| latest.renewal);
        let renewal = previous.followed_by(renewal, session.acknowledged);
        self.sessions.insert(id, SessionRenewal { at_ms: now_ms, renewal });
        Ok(())
    }

    /// A session's latest renewal, if this node accepted one.
    pub fn last_renewal(&self, session: u64) -> Option<Renewal> {
        self.sessions.get(&session).map(|latest| latest.renewal)
    }

    /// When a session expires unless renewed, on the log's clock in milliseconds; `u64::MAX` while this node does not
    /// lead.
    pub fn session_expires_at_ms(&self, id: u64, session: &Session) -> u64 {
        self.session_deadline(id, session)
    }

    /// When a grant expires unless renewed, on the log's clock in milliseconds; `u64::MAX` while this node does not
    /// lead.
    pub fn grant_expires_at_ms(&self, id: &GrantId, grant: &Grant) -> u64 {
        self.grant_deadline(id, grant.expiry())
    }

    /// What has expired, at most [`MAX_EXPIRED_PER_COMMAND`] of each kind; the next command contains the rest.
    pub fn expired(&self, store: &Store, now_ms: u64) -> Expired {
        let has_passed = |deadline: u64| deadline <= now_ms;
        let instances = store
            .instance_expiries()
            .filter(|(id, expiry)| has_passed(self.instance_deadline(id, *expiry)))
            .map(|(id, _)| id.to_string());
        let grants = store
            .grants()
            .map(|(name, grant)| (GrantId { name: name.to_string(), token: grant.token }, grant.expiry()))
            .filter(|(id, expiry)| has_passed(self.grant_deadline(id, *expiry)))
            .map(|(id, _)| id);
        let sessions = store
            .agreement()
            .sessions()
            .iter()
            .filter(|(id, session)| has_passed(self.session_deadline(**id, session)))
            .map(|(id, _)| *id);
        Expired {
            instances: instances.take(MAX_EXPIRED_PER_COMMAND).collect(),
            grants: grants.take(MAX_EXPIRED_PER_COMMAND).collect(),
            sessions: sessions.take(MAX_EXPIRED_PER_COMMAND).collect(),
        }
    }

    /// Removes the renewals of items that are no longer in the store.
    pub fn retain_live(&mut self, store: &Store) {
        self.instances.retain(|id, _| store.instance_expiry(id).is_some());
        self.grants.retain(|id, _| store.lease(&id.name).is_some_and(|grant| grant.token == id.token));
        self.sessions.retain(|id, _| store.agreement().sessions().contains_key(id));
    }
}

#[cfg(test)]
mod tests;

//! The list service's state machine: the endpoint list, leases, and the agreement, with the revision that counts every
//! change. The replicated log is applied to it, so it is deterministic: every command carries a timestamp from the
//! leader, and the same commands in the same order give the same state on every node.
//!
//! The revision is the `generation` of the list that proxies read. It starts at 1 and only grows. A command that
//! changes nothing, such as a repeated drain, does not change the revision, so that it wakes no watcher.
//!
//! Time: `at_ms` in commands is the time on the log's clock ([`super::clock`]) as the leader read it, in
//! milliseconds. A timestamp below that of a command applied before is replaced by that command's ([`Store::stamp`]).
//!
//! Backends, leases and sessions, which expire unless renewed, are renewed in the leader's memory ([`super::liveness`])
//! and removed from the store only by [`Command::EndExpired`], so that an idle fleet writes nothing. A leader switches
//! the store to this with [`Command::ExpireByCommand`]; commands before it in a log are applied as by the build that
//! wrote them. Such a build does not support the command: its node stops when it reads it.

mod command;
mod endpoint;
mod error;
mod history;
mod lease;
mod snapshot;

pub use command::{Command, Expired};
pub use endpoint::{Instance, Lifecycle, MAX_ENTRIES, MAX_LIST_BYTES, WatchEvent};
pub use error::StoreError;
pub use history::MAX_RETAINED_CHANGES;
pub use lease::{Expiry, Grant, GrantId, MAX_LEASES};
pub use snapshot::Snapshot;

use crate::agreement::state::{self, Agreement, CommandOutcome};
use endpoint::EndpointList;
use lease::Leases;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// The valid TTLs of registrations and leases, in milliseconds.
pub const TTL_RANGE_MS: RangeInclusive<u64> = 500..=300_000;
/// The maximum length of an id, a zone, a machine type, a lease's name or a holder, in characters. They are visible
/// ASCII, so that each fits on one line of a log and is a JSON string of the same length.
pub const MAX_NAME_LEN: usize = 128;

/// The replicated state, owned by the node that applies the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    revision: u64,
    endpoints: EndpointList,
    /// The latest timestamp of an applied command, on the log's clock in milliseconds.
    clock_ms: u64,
    leases: Leases,
    /// The incarnation of the log of each node that takes part, by node number.
    node_incarnations: BTreeMap<u64, u64>,
    /// Sessions, membership and settings.
    agreement: Agreement,
    /// Whether entries expire only by [`Command::EndExpired`].
    expires_by_command: bool,
}

impl Default for Store {
    fn default() -> Self {
        Self::restore(Snapshot::empty())
    }
}

impl Store {
    /// The revision; 1 for a store without changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The number of backends listed.
    pub fn len(&self) -> usize {
        self.endpoints.entries().len()
    }

    /// Whether no backend is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.entries().is_empty()
    }

    /// The timestamp of a leader's next command: its clock's reading, but never below a timestamp already applied, so
    /// that time in the log never goes back, however much the leaders' clocks differ. In milliseconds.
    pub fn stamp(&self, clock_ms: u64) -> u64 {
        clock_ms.max(self.clock_ms)
    }

    /// The latest timestamp of an applied command, on the log's clock in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// The revision of the endpoint list's latest change; 0 before any.
    pub fn list_revision(&self) -> u64 {
        self.endpoints.last_change_revision()
    }

    /// Sessions, membership and settings.
    pub fn agreement(&self) -> &Agreement {
        &self.agreement
    }

    /// Whether entries expire only by [`Command::EndExpired`].
    pub fn expires_by_command(&self) -> bool {
        self.expires_by_command
    }

    /// Whether the sessions have changed since the membership was last updated.
    pub fn membership_update_is_due(&self, at_ms: u64) -> bool {
        self.agreement.is_tick_due(self.stamp(at_ms))
    }

    /// Every listed backend's id, with its expiry.
    pub fn instance_expiries(&self) -> impl Iterator<Item = (&str, Expiry)> {
        self.endpoints.expiries()
    }

    /// The expiry of a listed backend.
    pub fn instance_expiry(&self, instance_id: &str) -> Option<Expiry> {
        self.endpoints.expiry(instance_id)
    }

    /// Every grant, by the lease's name.
    pub fn grants(&self) -> impl Iterator<Item = (&str, &Grant)> {
        self.leases.iter().map(|(name, grant)| (name.as_str(), grant))
    }

    /// The grant of lease `name`, expired or not.
    pub fn lease(&self, name: &str) -> Option<&Grant> {
        self.leases.get(name)
    }

    /// The incarnation of the log with which `node` takes part, if it does.
    pub fn incarnation_of(&self, node: u64) -> Option<u64> {
        self.node_incarnations.get(&node).copied()
    }

    /// The complete list at the current revision.
    pub fn full_list(&self) -> WatchEvent {
        self.endpoints.complete(self.revision)
    }

    /// The answer to a watch since revision `since`: `None` while no entry has changed after it (the watch waits), the
    /// changes if all of them are retained, else the complete list. A watch with a `since` ahead of this store, from a
    /// watcher that was answered by a node at a later revision, waits too: it never gets an older answer.
    pub fn changes_since(&self, since: u64) -> Option<WatchEvent> {
        self.endpoints.changes_since(since, self.revision)
    }

    /// Whether [`Store::changes_since`] has an answer.
    pub fn has_changes_since(&self, since: u64) -> bool {
        self.endpoints.has_changes_since(since, self.revision)
    }

    /// Applies one command; returns the revision after it.
    ///
    /// # Errors
    /// The reason for a rejection; the store is unchanged then.
    pub fn apply(&mut self, command: &Command) -> Result<u64, StoreError> {
        self.apply_with_outcome(command).map(|_| self.revision)
    }

    /// Applies one command; returns the outcome of a change of the agreement.
    ///
    /// # Errors
    /// The reason for a rejection; the store is unchanged then.
    pub fn apply_with_outcome(&mut self, command: &Command) -> Result<CommandOutcome, StoreError> {
        match command {
            Command::ChangeAgreement { change, at_ms } => return self.change_agreement(change, *at_ms),
            Command::Register { instance, ttl_ms, at_ms } => {
                endpoint::check_registration(instance, *ttl_ms)?;
                let now_ms = self.stamp(*at_ms);
                self.endpoints.register(instance, *ttl_ms, now_ms, &mut self.revision)?;
                self.clock_ms = now_ms;
            }
            Command::Heartbeat { instance_id, at_ms } => {
                let now_ms = self.stamp(*at_ms);
                self.endpoints.renew(instance_id, now_ms)?;
                self.clock_ms = now_ms;
            }
            Command::Deregister { instance_id } => {
                if !self.endpoints.remove(instance_id, &mut self.revision) {
                    return Err(StoreError::Unknown(instance_id.clone()));
                }
            }
            Command::SetWeight { instance_id, weight } => {
                self.endpoints.set_weight(instance_id, *weight, &mut self.revision)?;
            }
            Command::Drain { instance_id } => self.endpoints.drain(instance_id, &mut self.revision)?,
            Command::Acquire { name, holder, ttl_ms, at_ms } => {
                self.acquire(name, holder, *ttl_ms, *at_ms)?;
            }
            Command::KeepAlive { name, token, at_ms } => {
                let now_ms = self.stamp(*at_ms);
                let can_expire = !self.expires_by_command;
                lease::keep_alive(&mut self.leases, name, *token, now_ms, can_expire)?;
                self.clock_ms = now_ms;
            }
            Command::Release { name, token } => {
                if !lease::remove(&mut self.leases, name, *token) {
                    return Err(StoreError::Lost(name.clone()));
                }
                self.revision += 1;
            }
            Command::Join { node, incarnation } => self.join(*node, *incarnation)?,
            Command::Forget { node } => {
                self.node_incarnations.remove(node);
            }
            Command::Expire { at_ms } => self.expire(*at_ms),
            Command::ExpireByCommand => {
                self.expires_by_command = true;
                self.agreement.expire_by_command();
            }
            Command::EndExpired { expired, at_ms } => self.end_expired(expired, *at_ms),
        }
        Ok(CommandOutcome::Nothing)
    }

    fn change_agreement(
        &mut self,
        change: &state::Command,
        at_ms: u64,
    ) -> Result<CommandOutcome, StoreError> {
        let (now_ms, list_revision) = (self.stamp(at_ms), self.list_revision());
        let outcome = self.agreement.apply(change, now_ms, list_revision, &mut self.revision)?;
        self.clock_ms = now_ms;
        Ok(outcome)
    }

    fn acquire(&mut self, name: &str, holder: &str, ttl_ms: u64, at_ms: u64) -> Result<(), StoreError> {
        check_ttl(ttl_ms)?;
        check_name("name", name, 1..=MAX_NAME_LEN)?;
        check_name("holder", holder, 1..=MAX_NAME_LEN)?;
        let now_ms = self.stamp(at_ms);
        let request = lease::Request { name, holder, ttl_ms, now_ms, can_expire: !self.expires_by_command };
        lease::acquire(&mut self.leases, &request, &mut self.revision)?;
        self.clock_ms = now_ms;
        Ok(())
    }

    fn join(&mut self, node: u64, incarnation: u64) -> Result<(), StoreError> {
        if self.incarnation_of(node).is_some_and(|recorded| recorded != incarnation) {
            return Err(StoreError::OtherLogJoined(node));
        }
        self.node_incarnations.insert(node, incarnation);
        Ok(())
    }

    fn expire(&mut self, at_ms: u64) {
        self.clock_ms = self.stamp(at_ms);
        if !self.expires_by_command {
            let has_expired = |expiry: &Expiry| expiry.expires_at_ms <= self.clock_ms;
            let expired: Vec<String> = self
                .instance_expiries()
                .filter(|(_, expiry)| has_expired(expiry))
                .map(|(id, _)| id.to_string())
                .collect();
            for id in expired {
                self.endpoints.remove(&id, &mut self.revision);
            }
        }
        self.agreement.tick(self.clock_ms, &mut self.revision);
    }

    fn end_expired(&mut self, expired: &Expired, at_ms: u64) {
        self.clock_ms = self.stamp(at_ms);
        for id in &expired.instances {
            self.endpoints.remove(id, &mut self.revision);
        }
        for GrantId { name, token } in &expired.grants {
            lease::remove(&mut self.leases, name, *token);
        }
        self.agreement.expire_sessions(&expired.sessions, self.clock_ms, &mut self.revision);
    }
}

fn check_ttl(ttl_ms: u64) -> Result<(), StoreError> {
    if TTL_RANGE_MS.contains(&ttl_ms) { Ok(()) } else { Err(StoreError::InvalidTtl(ttl_ms)) }
}

fn check_name(field: &str, name: &str, length: RangeInclusive<usize>) -> Result<(), StoreError> {
    if length.contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(StoreError::InvalidName(field.to_string()))
}

#[cfg(test)]
mod tests;

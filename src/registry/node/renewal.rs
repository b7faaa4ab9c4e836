//! Renewals, which the leader keeps in memory ([`crate::registry::liveness`]), and the expiry of instances, grants and
//! sessions that are no longer renewed.

use super::{Node, ProposeError, RETRY_INTERVAL};
use crate::agreement::state::{CommandOutcome, Renewal, Session};
use crate::registry::liveness::{Lost, Renewals};
use crate::registry::raft::{Applied, NodeId};
use crate::registry::store::{Command, Expired, GrantId, StoreError};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;

/// The result of a call's renewals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalOutcome {
    /// The store's revision.
    pub revision: u64,
    /// The revision of the agreement's latest change.
    pub agreed: u64,
    /// The revision of the list's latest change.
    pub list: u64,
    /// What was not renewed.
    pub lost: Lost,
}

impl RenewalOutcome {
    /// Merges in the result of committing the acknowledgements that came with the renewals.
    pub fn merge(&mut self, applied: Applied) {
        self.revision = self.revision.max(applied.revision);
        if let CommandOutcome::Renewed { lost, required: latest } = applied.outcome {
            (self.agreed, self.list) = (self.agreed.max(latest.agreed), self.list.max(latest.list));
            self.lost.sessions.extend(lost);
        }
    }
}

/// The state of a session on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionView {
    /// The last report of its proxy.
    pub last_report: Renewal,
    /// Time until it expires without a further renewal, in milliseconds; `None` where this node does not accept
    /// renewals.
    pub remaining_ms: Option<u64>,
}

impl Node {
    /// Records the renewals of a call in memory.
    ///
    /// # Errors
    /// `NotLeader` where this node may not accept renewals, `Failed` where it has failed; nothing is renewed then.
    pub fn renew(&self, renewals: &Renewals) -> Result<RenewalOutcome, ProposeError> {
        let now_ms = self.accept_renewals()?;
        let store = self.store();
        let lost = self.liveness.borrow_mut().renew(renewals, &store, now_ms);
        let (agreed, list) = (store.agreement().latest_change(), store.list_revision());
        Ok(RenewalOutcome { revision: store.revision(), agreed, list, lost })
    }

    /// The state of a session on this node at the log's time `now_ms`.
    pub fn session_view(&self, id: u64, session: &Session, now_ms: u64) -> SessionView {
        let liveness = self.liveness.borrow();
        let expires_at_ms = Some(liveness.session_expires_at_ms(id, session)).filter(|at| *at < u64::MAX);
        SessionView {
            last_report: liveness.last_renewal(id).unwrap_or(session.last_renewal),
            remaining_ms: expires_at_ms.map(|at| at.saturating_sub(now_ms)),
        }
    }

    /// Advances the log's clock every `interval` and, as the leader, commits the expiry of what was not renewed. Never
    /// returns.
    pub async fn run_expiry(&self, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.log_time();
            let Some(command) = self.due_command() else { continue };
            let expired = match &command {
                Command::EndExpired { expired, .. } => expired.instances.len() as u64,
                _ => 0,
            };
            // If it is not committed, the next tick makes the command again.
            if self.propose(command, interval.max(RETRY_INTERVAL)).await.is_ok() {
                self.expired_count.set(self.expired_count.get() + expired);
                self.liveness.borrow_mut().retain_live(&self.store());
            }
        }
    }

    /// The command that the leader has to commit because time has passed, if any.
    fn due_command(&self) -> Option<Command> {
        let now_ms = match self.accept_renewals() {
            Ok(now_ms) => now_ms,
            Err(_) if self.exclusive_term().is_ok() => return Some(Command::ExpireByCommand),
            Err(_) => return None,
        };
        let store = self.store();
        let expired = self.liveness.borrow().expired(&store, now_ms);
        if !expired.is_empty() {
            return Some(Command::EndExpired { expired, at_ms: now_ms });
        }
        store.membership_update_is_due(now_ms).then_some(Command::Expire { at_ms: now_ms })
    }

    /// If another holder than `holder` has the lease `name` and its grant has expired, commits the end of that grant,
    /// so that the lease can be granted again.
    ///
    /// # Errors
    /// `Held` where the grant has not expired; otherwise as [`Node::propose`].
    pub(super) async fn end_former_grant(
        &self,
        name: &str,
        holder: &str,
        timeout: Duration,
    ) -> Result<(), ProposeError> {
        let former = self.store().lease(name).filter(|grant| grant.holder != holder).cloned();
        let Some(grant) = former else { return Ok(()) };
        let now_ms = self.accept_renewals()?;
        let id = GrantId { name: name.to_string(), token: grant.token };
        let expires_at_ms = self.liveness.borrow().grant_expires_at_ms(&id, &grant);
        if now_ms < expires_at_ms {
            let (name, holder, token) = (id.name, grant.holder, grant.token);
            return Err(StoreError::Held { name, holder, token, expires_at_ms }.into());
        }
        let expired = Expired { grants: vec![id], ..Expired::default() };
        self.commit(Command::EndExpired { expired, at_ms: now_ms }, timeout).await.map(drop)
    }

    /// Checks that this node may accept renewals, and returns the log's time in milliseconds.
    ///
    /// # Errors
    /// As [`Node::exclusive_term`]; also `NotLeader` until [`Command::ExpireByCommand`] has been applied, because
    /// entries committed by an older build still expire without a command.
    fn accept_renewals(&self) -> Result<u64, ProposeError> {
        let term = match self.exclusive_term() {
            Ok(term) => term,
            Err(error) => {
                // Items that can't be renewed meanwhile get a full TTL once this node leads again.
                self.liveness.borrow_mut().become_follower();
                return Err(error);
            }
        };
        if !self.store().expires_by_command() {
            return Err(ProposeError::NotLeader(None));
        }
        let now_ms = self.log_time();
        self.liveness.borrow_mut().become_leader(term, now_ms);
        Ok(now_ms)
    }

    /// The term in which this node leads, if it is certain that no other node leads and it has applied an entry of that
    /// term. It may then answer renewals and expire what was not renewed.
    ///
    /// # Errors
    /// `NotLeader` where it does not lead, or is not yet or no longer certain of it; `Failed` where it has failed.
    fn exclusive_term(&self) -> Result<u64, ProposeError> {
        self.check_leading()?;
        let (term, applied_term) = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            (metrics.current_term, metrics.last_applied.map(|log_id| log_id.leader_id.term))
        };
        let members: Vec<NodeId> = self.members().into_iter().collect();
        let holds_lease =
            self.quorum_lease.is_valid(self.id, term, &members, self.election_timeout, Instant::now());
        match applied_term == Some(term) && holds_lease {
            true => Ok(term),
            false => Err(ProposeError::NotLeader(None)),
        }
    }
}

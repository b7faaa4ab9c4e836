//! Committing commands: they are stamped with the log's time, ordered by Raft and applied.

use super::Node;
use crate::agreement::state::Command as Change;
use crate::registry::liveness::Renewals;
use crate::registry::raft::{Applied, NodeId};
use crate::registry::store::{Command, StoreError};
use openraft::error::{ClientWriteError, RaftError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Why a command was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The store rejected it; nothing changed.
    #[error(transparent)]
    Rejected(#[from] StoreError),
    /// This node does not lead; nothing changed. Contains the leader, if this node knows one.
    #[error("this node does not lead")]
    NotLeader(Option<NodeId>),
    /// It was not committed within the timeout, but may still be.
    #[error("not committed in time; it may have been applied or may yet be")]
    Timeout,
    /// The node has failed and acknowledges nothing more.
    #[error("this node has failed: {0}")]
    Failed(String),
}

impl Node {
    /// Commits and applies a command within `timeout`, stamped with the log's time where it has a time.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub async fn propose(&self, mut command: Command, timeout: Duration) -> Result<Applied, ProposeError> {
        self.check_leading()?;
        if let Command::Acquire { name, holder, .. } = &command {
            self.end_former_grant(name, holder, timeout).await?;
        }
        stamp(&mut command, self.log_time());
        let registered = match &command {
            Command::Register { instance, .. } => Some(instance.instance_id.clone()),
            _ => None,
        };
        let applied = self.commit(command, timeout).await?;
        if let Some(id) = registered {
            self.renew_registered(id);
        }
        Ok(applied)
    }

    /// Restarts the TTL of a registered backend when its registration is answered: the caller can renew it only from
    /// then on, and the commit may have used up part of the TTL.
    fn renew_registered(&self, id: String) {
        let registered = Renewals { instances: vec![id], ..Renewals::default() };
        // Where this node no longer leads, the backend has a full TTL from the time when the next leader begins.
        if let Err(error) = self.renew(&registered) {
            tracing::debug!(%error, "registration committed, but this node no longer leads");
        }
    }

    /// Checks that this node leads, as far as it knows.
    ///
    /// # Errors
    /// `Failed` where the node has failed, `NotLeader` where it does not lead.
    pub(super) fn check_leading(&self) -> Result<(), ProposeError> {
        if let Some(reason) = self.failure() {
            return Err(ProposeError::Failed(reason));
        }
        match self.is_leader() {
            true => Ok(()),
            false => Err(ProposeError::NotLeader(self.other_leader())),
        }
    }

    /// Commits and applies a command without changing it.
    pub(super) async fn commit(&self, command: Command, timeout: Duration) -> Result<Applied, ProposeError> {
        match tokio::time::timeout(timeout, self.raft.client_write(command)).await {
            Ok(Ok(written)) => Ok(written.data?),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(ProposeError::NotLeader(to.leader_id.filter(|leader| *leader != self.id)))
            }
            Ok(Err(error)) => Err(ProposeError::Failed(error.to_string())),
            Err(_) => Err(ProposeError::Timeout),
        }
    }
}

/// Stamps a command with the log's time `now_ms`, if it has a time.
fn stamp(command: &mut Command, now_ms: u64) {
    match command {
        Command::Register { at_ms, .. }
        | Command::Heartbeat { at_ms, .. }
        | Command::Acquire { at_ms, .. }
        | Command::KeepAlive { at_ms, .. }
        | Command::EndExpired { at_ms, .. }
        | Command::Expire { at_ms } => *at_ms = now_ms,
        Command::ChangeAgreement { at_ms, change } => {
            *at_ms = now_ms;
            if let Change::Publish { unix_ms, .. } = change {
                // Informational; no decision depends on it.
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                *unix_ms = unix.as_millis() as u64;
            }
        }
        Command::Deregister { .. }
        | Command::SetWeight { .. }
        | Command::Drain { .. }
        | Command::Join { .. }
        | Command::Forget { .. }
        | Command::ExpireByCommand
        | Command::Release { .. } => {}
    }
}

//! The session: its opening, renewals, refusals and close.

use super::Follower;
use super::nodes::{Backoff, CallKind};
use crate::agreement::calls::{CloseRequest, ErrorReply, OpenReply, OpenRequest, RefuseRequest};
use crate::agreement::session_state::UnappliedRenewal;
use crate::agreement::state::{Renewal, RequiredRevisions};
use crate::http_client::{CallError, HttpClient, post_json};
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The timeout of the close of a session when its proxy shuts down.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a call of the session failed.
#[derive(Debug, Error)]
enum SessionError {
    /// No reply arrived, or it could not be read.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The node rejected the call.
    #[error("status {status}: {message}")]
    Rejected { status: StatusCode, message: String },
}

impl SessionError {
    fn rejected(reply: &Response<Bytes>) -> Self {
        let ErrorReply { error } = serde_json::from_slice(reply.body()).unwrap_or_default();
        Self::Rejected { status: reply.status(), message: error }
    }

    /// Whether the call was rejected because it conflicts with the service's state.
    fn is_conflict(&self) -> bool {
        matches!(self, Self::Rejected { status: StatusCode::CONFLICT, .. })
    }
}

/// Parses the value in a reply of status 200.
fn value_of<T: serde::de::DeserializeOwned>(reply: &Response<Bytes>) -> Result<T, SessionError> {
    match reply.status() {
        StatusCode::OK => Ok(serde_json::from_slice(reply.body()).map_err(CallError::Json)?),
        _ => Err(SessionError::rejected(reply)),
    }
}

/// How often a session with this TTL is renewed.
pub(super) fn renewal_interval(ttl: Duration) -> Duration {
    ttl / 3
}

impl Follower {
    /// Relinquishes the session, which detaches the proxy at once, and tries to close it at the service within
    /// [`CLOSE_TIMEOUT`].
    pub async fn close(&self) {
        self.is_closed.set(true);
        let session = self.state.borrow_mut().close();
        self.refresh();
        self.session_call_due.notify_one();
        if let Some(session) = session {
            let mut client = self.nodes.client(CallKind::Session);
            // A session that is not closed expires by itself.
            let _ = self.call(&mut client, "/v1/session/close", &CloseRequest { session }).await;
        }
    }

    fn renewal_interval(&self) -> Duration {
        renewal_interval(self.config.ttl)
    }

    async fn call(
        &self,
        client: &mut HttpClient,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Bytes>, CallError> {
        let request = post_json(path, body)?;
        if self.is_closed.get() {
            return client.call(request, CLOSE_TIMEOUT).await;
        }
        let (sent_at, timeout) = (Instant::now(), self.session_timeout.borrow().current());
        let reply = client.call(request, timeout).await;
        match &reply {
            Ok(_) => self.session_timeout.borrow_mut().answered(sent_at.elapsed()),
            Err(CallError::Timeout) => self.session_timeout.borrow_mut().timed_out(),
            Err(_) => {}
        }
        reply
    }

    /// Maintains a session for as long as the proxy runs and has not closed it.
    pub(super) async fn maintain_session(self: Rc<Self>) {
        let (mut client, mut backoff) = (self.nodes.client(CallKind::Session), Backoff::new());
        let mut due = self.clock.now();
        loop {
            self.refresh();
            due = self.wait_until(due).await;
            if self.is_closed.get() {
                return;
            }
            if self.clock.now() < due {
                continue;
            }
            let sent_at = self.clock.now();
            let result = self.call_service(&mut client, sent_at).await;
            if self.is_closed.get() {
                return;
            }
            due = match result {
                Ok(next) => {
                    backoff.reset();
                    sent_at + next
                }
                Err(error) => {
                    self.log_failure(&error);
                    self.nodes.advance(CallKind::Session);
                    client = self.nodes.client(CallKind::Session);
                    self.clock.now() + backoff.next_wait(&mut *self.rng.borrow_mut())
                }
            };
            self.refresh();
        }
    }

    /// Waits until the session's next call is due, or until the attachment ends, so that its end takes effect at once;
    /// returns when the next call is due.
    async fn wait_until(&self, due: Instant) -> Instant {
        let now = self.clock.now();
        let attached_until = self.state.borrow().attached_until().filter(|end| *end > now);
        let wait = due.min(attached_until.unwrap_or(due)).saturating_duration_since(now);
        tokio::select! {
            () = self.clock.sleep(wait) => due,
            () = self.session_call_due.notified() => self.clock.now(),
        }
    }

    /// Makes one call: a refusal, an opening or a renewal. Returns the time from `sent_at` to the next call.
    async fn call_service(
        &self,
        client: &mut HttpClient,
        sent_at: Instant,
    ) -> Result<Duration, SessionError> {
        let unsupported = self.state.borrow().unsupported();
        if let Some(version) = unsupported.filter(|version| self.last_refused.get() != *version) {
            self.refuse(client, version).await?;
            return Ok(Duration::ZERO);
        }
        let renewal = self.state.borrow().renewal(sent_at);
        match renewal {
            Some(renewal) => self.renew(client, &renewal, sent_at).await,
            None => self.open(client, sent_at).await,
        }
    }

    async fn refuse(&self, client: &mut HttpClient, version: u64) -> Result<(), SessionError> {
        let session = self.state.borrow().session();
        let reason = self.can_apply(version).err().map_or(String::new(), |error| error.to_string());
        tracing::warn!(version, %reason, "settings version cannot be applied");
        let request = RefuseRequest { session, name: &self.config.name, version, reason: &reason };
        let reply = self.call(client, "/v1/session/refuse", &request).await?;
        if reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(SessionError::rejected(&reply));
        }
        self.last_refused.set(version);
        Ok(())
    }

    async fn renew(
        &self,
        client: &mut HttpClient,
        renewal: &Renewal,
        sent_at: Instant,
    ) -> Result<Duration, SessionError> {
        let reply = self.call(client, "/v1/session/renew", renewal).await?;
        match value_of::<RequiredRevisions>(&reply) {
            Ok(required) => {
                let oldest = self.state.borrow().unapplied_renewals().next().copied();
                self.state.borrow_mut().renewed(renewal.session, sent_at, required);
                self.catch_up(oldest);
                Ok(self.renewal_interval())
            }
            Err(error) if error.is_conflict() => {
                tracing::warn!(session = renewal.session, %error, "session lost");
                self.state.borrow_mut().lost(renewal.session);
                Ok(Duration::ZERO)
            }
            Err(error) => Err(error),
        }
    }

    /// Moves the watch or the list's polls to another node if a revision that an earlier reply named has not arrived by
    /// the next reply.
    fn catch_up(&self, oldest: Option<UnappliedRenewal>) {
        let Some(oldest) = oldest else { return };
        if oldest.required.agreed > self.state.borrow().announced().revision {
            self.watch_is_behind.notify_one();
        } else {
            self.owner.list_is_behind();
        }
    }

    async fn open(&self, client: &mut HttpClient, sent_at: Instant) -> Result<Duration, SessionError> {
        if self.state.borrow().is_blocked() {
            // The proxy may be able to apply the next version, which the watch reports.
            return Ok(self.config.ttl);
        }
        let number = self.state.borrow_mut().begin_open(sent_at);
        let acknowledged = self.state.borrow().acknowledged();
        let ttl_ms = self.config.ttl.as_millis() as u64;
        let request = OpenRequest { name: &self.config.name, ttl_ms, acknowledged };
        let reply = self.call(client, "/v1/session/open", &request).await?;
        match value_of::<OpenReply>(&reply) {
            Ok(OpenReply { session, slot, required }) => {
                tracing::info!(session, slot, "session opened");
                self.logged_failure.borrow_mut().clear();
                self.state.borrow_mut().granted(number, session, slot, required);
            }
            // The offered version must be received first, by the watch, which then has the session opened at once.
            Err(error) if error.is_conflict() => {}
            Err(error) => return Err(error),
        }
        Ok(self.renewal_interval())
    }

    /// Logs why the session could not be maintained, each time that the reason changes.
    fn log_failure(&self, error: &SessionError) {
        let reason = error.to_string();
        if *self.logged_failure.borrow() != reason {
            tracing::warn!(%reason, "session could not be maintained");
            *self.logged_failure.borrow_mut() = reason;
        }
    }
}

//! The watch: long polls of `GET /v1/agreed`, and the announcements that they return.

use super::Follower;
use super::nodes::{Backoff, CallKind};
use crate::agreement::session_state::Announcement;
use crate::agreement::state::Members;
use crate::agreement::{AgreementView, SettingsView};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// How long a poll waits for a change, and so how long an unresponsive node goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The time allowed for the reply, in addition to the wait of a long poll.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

impl Follower {
    /// Watches the agreement for as long as the proxy runs.
    pub(super) async fn watch(self: Rc<Self>) {
        let (mut client, mut backoff, mut has_view) =
            (self.nodes.client(CallKind::Watch), Backoff::new(), false);
        loop {
            let (request, timeout) = self.watch_request(has_view);
            let reply = tokio::select! {
                biased; // a reply that has arrived is used
                reply = client.call(request, timeout) => reply,
                () = self.watch_restart.notified() => {
                    client = self.nodes.client(CallKind::Watch);
                    backoff.reset();
                    continue;
                }
            };
            match reply {
                Ok(reply) if reply.status() == StatusCode::OK && self.apply_view(reply.body()) => {
                    backoff.reset();
                    has_view = true;
                }
                _ => {
                    self.nodes.advance(CallKind::Watch);
                    client = self.nodes.client(CallKind::Watch);
                    let wait = backoff.next_wait(&mut *self.rng.borrow_mut());
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    /// The next poll and its timeout; it is a long poll once a first view was received.
    fn watch_request(&self, has_view: bool) -> (Request<Full<Bytes>>, Duration) {
        let known: Vec<String> = self.documents.borrow().keys().map(ToString::to_string).collect();
        let known = known.join(",");
        let (path, timeout) = if has_view {
            let since = self.state.borrow().announced().revision;
            let wait_ms = WATCH_WAIT.as_millis();
            let path = format!("/v1/agreed?since={since}&timeout_ms={wait_ms}&have={known}");
            (path, WATCH_WAIT + REPLY_TIMEOUT)
        } else {
            (format!("/v1/agreed?have={known}"), REPLY_TIMEOUT)
        };
        let request = Request::get(path).header("host", "list").body(Full::new(Bytes::new()));
        (request.unwrap_or_default(), timeout)
    }

    /// Applies a node's view of the agreement; returns whether it could be read and is complete.
    fn apply_view(&self, body: &[u8]) -> bool {
        let Ok(view) = serde_json::from_slice::<AgreementView>(body) else { return false };
        let AgreementView { revision, members, committed, offered } = view;
        let (Some(committed), Some(offered)) = (self.add_document(committed), self.add_document(offered))
        else {
            // The next poll requests all documents again.
            self.documents.borrow_mut().clear();
            return false;
        };
        let announcement = Announcement { revision, members: members.revision, committed, offered };
        if revision >= self.state.borrow().announced().revision {
            self.documents.borrow_mut().retain(|version, _| [committed, offered].contains(version));
            if self.members.borrow().revision != members.revision {
                *self.members.borrow_mut() = Rc::new(Members::from(members));
            }
        }
        let can_apply = |version| self.can_apply(version).is_ok();
        if self.state.borrow_mut().receive(announcement, can_apply) {
            self.session_call_due.notify_one();
        }
        self.refresh();
        true
    }

    /// Stores the document of a version, if the view has one. Returns the version (0 without a view), or `None` if its
    /// document was never received.
    fn add_document(&self, view: Option<SettingsView>) -> Option<u64> {
        let Some(SettingsView { version, document }) = view else { return Some(0) };
        let mut documents = self.documents.borrow_mut();
        if let Some(document) = document {
            documents.entry(version).or_insert(document);
        }
        documents.contains_key(&version).then_some(version)
    }
}

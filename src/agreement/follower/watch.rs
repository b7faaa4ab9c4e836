//! The watch: long polls of `GET /v1/agreed`, and the announcements that they return.
//!
//! A poll that is late stays in flight beside the next one ([`CallsInFlight`]), so that the views of a service that is
//! slow each time arrive. The first view that can be used ends all polls.

use super::Follower;
use super::nodes::{Backoff, CallKind};
use crate::agreement::session_state::Announcement;
use crate::agreement::state::Members;
use crate::agreement::{AgreementView, SettingsView};
use crate::calls_in_flight::{CALL_TIMEOUT, CallId, CallTiming, CallsInFlight, SentCall, max_calls};
use crate::http_client::{CallError, HttpClient};
use crate::response_latency::ResponseLatency;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a poll waits for a change, and so how long an unresponsive node goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The end of a poll: its reply, and the client with the connection.
type EndedPoll = (Result<Response<Bytes>, CallError>, HttpClient);

/// The state that the watch has between polls.
struct Watch {
    polls: CallsInFlight<EndedPoll>,
    /// The client of the latest reply, for the next poll.
    client: Option<HttpClient>,
    backoff: Backoff,
    latency: ResponseLatency,
    /// Whether a view was received, so that polls may wait for the next.
    has_view: bool,
    /// The newest poll that was in flight when the node that it was sent to was behind.
    behind: Option<CallId>,
}

impl Watch {
    fn new(has_view: bool) -> Self {
        Self {
            polls: CallsInFlight::default(),
            client: None,
            backoff: Backoff::new(),
            latency: ResponseLatency::default(),
            has_view,
            behind: None,
        }
    }

    /// Records a view that was applied; it ends all other polls.
    fn answered(&mut self, sent: &SentCall, client: HttpClient) {
        self.polls.clear();
        self.latency.observe(sent.sent_at.elapsed(), sent.wait);
        self.client = Some(client);
        self.backoff.reset();
        (self.has_view, self.behind) = (true, None);
    }
}

/// What a poll has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollResult {
    /// A view was applied.
    Answered,
    /// The poll failed, or it is late and stays in flight.
    Failed,
    /// The node is behind; its poll stays in flight.
    Behind,
    /// The service has moved: all polls are ended.
    Moved,
}

impl Follower {
    /// Watches the agreement for as long as the proxy runs.
    pub(super) async fn watch(self: Rc<Self>) {
        let mut watch = Watch::new(false);
        loop {
            match self.poll_once(&mut watch).await {
                PollResult::Answered => {}
                PollResult::Failed => self.back_off(&mut watch).await,
                PollResult::Behind => self.nodes.advance(CallKind::Watch),
                PollResult::Moved => watch = Watch::new(watch.has_view),
            }
        }
    }

    /// Sends a poll, and waits until any poll in flight returns a view, or until the new one fails or is late.
    async fn poll_once(&self, watch: &mut Watch) -> PollResult {
        // A poll waits once a first view was received.
        let max_wait = if watch.has_view { WATCH_WAIT } else { Duration::ZERO };
        let CallTiming { wait, response_timeout } = CallTiming::long_poll(&watch.latency, max_wait);
        let newest = self.send_poll(watch, wait);
        let mut late = pin!(tokio::time::sleep(wait + response_timeout));
        loop {
            let (sent, ended) = tokio::select! {
                biased; // a reply that has arrived is used
                ended = watch.polls.next() => ended,
                () = self.watch_moved.notified() => return PollResult::Moved,
                () = self.watch_is_behind.notified() => {
                    if watch.polls.room_at(self.max_polls()) > Instant::now() {
                        continue;
                    }
                    watch.behind = Some(newest.id);
                    return PollResult::Behind;
                }
                () = &mut late => return PollResult::Failed,
            };
            if self.apply_reply(watch, &sent, ended) {
                return PollResult::Answered;
            }
            if sent.id == newest.id {
                return PollResult::Failed;
            }
        }
    }

    /// The maximum number of polls in flight.
    fn max_polls(&self) -> usize {
        max_calls(self.nodes.count())
    }

    /// Sends a poll to the current node.
    fn send_poll(&self, watch: &mut Watch, wait: Duration) -> SentCall {
        let mut client = watch.client.take().unwrap_or_else(|| self.nodes.client(CallKind::Watch));
        let request = self.watch_request(watch.has_view, wait);
        watch.polls.make_room(self.max_polls());
        watch.polls.send(client.address(), wait, async move {
            let reply = client.call(request, wait + CALL_TIMEOUT).await;
            (reply, client)
        })
    }

    fn watch_request(&self, has_view: bool, wait: Duration) -> Request<Full<Bytes>> {
        let known: Vec<String> = self.documents.borrow().keys().map(ToString::to_string).collect();
        let known = known.join(",");
        let path = if has_view {
            let since = self.state.borrow().announced().revision;
            format!("/v1/agreed?since={since}&timeout_ms={}&have={known}", wait.as_millis())
        } else {
            format!("/v1/agreed?have={known}")
        };
        let request = Request::get(path).header("host", "list").body(Full::new(Bytes::new()));
        request.unwrap_or_default()
    }

    /// Applies the view in a reply; returns whether there is one and it ends the other polls. A view without news of a
    /// node that is behind does not.
    fn apply_reply(&self, watch: &mut Watch, sent: &SentCall, ended: EndedPoll) -> bool {
        let (reply, client) = ended;
        let known_revision = self.state.borrow().announced().revision;
        let is_applied =
            reply.is_ok_and(|reply| reply.status() == StatusCode::OK && self.apply_view(reply.body()));
        let is_news = self.state.borrow().announced().revision > known_revision;
        if !is_applied || (!is_news && watch.behind.is_some_and(|behind| sent.id <= behind)) {
            return false;
        }
        watch.answered(sent, client);
        self.nodes.select(CallKind::Watch, sent.address);
        true
    }

    /// Moves on to the next node, and waits before its poll, unless a late poll returns a view or the service moves.
    async fn back_off(&self, watch: &mut Watch) {
        self.nodes.advance(CallKind::Watch);
        let backoff = watch.backoff.next_wait(&mut *self.rng.borrow_mut());
        let next_at = (Instant::now() + backoff).max(watch.polls.room_at(self.max_polls()));
        loop {
            let (sent, ended) = tokio::select! {
                biased; // a reply that has arrived is used
                ended = watch.polls.next() => ended,
                () = self.watch_moved.notified() => {
                    *watch = Watch::new(watch.has_view);
                    return;
                }
                () = tokio::time::sleep_until(next_at) => return,
            };
            if self.apply_reply(watch, &sent, ended) {
                return;
            }
        }
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

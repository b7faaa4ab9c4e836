//! Compares the calls that a proxy makes to follow the agreement, and the notifications of its owner, with the record
//! in `tests/golden/settings/follower_calls.txt`. A scripted list service answers the calls.

#[path = "golden/compare.rs"]
mod compare;
mod scripted_service;

use compare::assert_golden;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use linkhatch_proxy::agreement::document::{Document, DocumentError};
use linkhatch_proxy::agreement::follower::{AppliedAgreement, Follower, FollowerConfig, Owner};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// Long enough that nothing expires during the test.
const TTL: Duration = Duration::from_secs(60);
const STATE_TIMEOUT: Duration = Duration::from_secs(10);

/// A scripted list service.
#[derive(Default)]
struct Service {
    /// The present agreement; `None` until the first session call has arrived.
    agreement: RefCell<Option<Value>>,
    session_answers: RefCell<VecDeque<(u16, Value)>>,
    watch_calls: RefCell<Vec<String>>,
    session_calls: RefCell<Vec<String>>,
}

impl Service {
    /// Answers one call.
    async fn answer(&self, request: Request<Incoming>) -> (u16, Value) {
        let (head, body) = request.into_parts();
        let target = head.uri.to_string();
        let body = body.collect().await.expect("a body").to_bytes();
        if head.method == "GET" {
            self.watch_calls.borrow_mut().push(target.clone());
            return (200, self.agreement_after(&target).await);
        }
        // The body is parsed and serialized again, since the order of an object's members is irrelevant.
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        self.session_calls.borrow_mut().push(format!("{} {target} {body}", head.method));
        self.session_answers.borrow_mut().pop_front().unwrap_or((503, json!({"error": "unexpected call"})))
    }

    /// Waits until the agreement differs from the revision that the watch already has.
    async fn agreement_after(&self, target: &str) -> Value {
        let since = target.split_once("since=").and_then(|(_, rest)| rest.split('&').next());
        let since: Option<u64> = since.map(|since| since.parse().expect("a revision"));
        loop {
            if let Some(agreement) = &*self.agreement.borrow()
                && since.is_none_or(|since| agreement["at"] != since)
            {
                return agreement.clone();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn serve(service: Rc<Service>) -> SocketAddr {
    scripted_service::serve(move |request| {
        let service = service.clone();
        async move { service.answer(request).await }
    })
    .await
}

/// A proxy that can apply at most four attempts.
#[derive(Clone, Default)]
struct Proxy {
    notifications: Rc<RefCell<Vec<String>>>,
    list_behind_count: Rc<Cell<usize>>,
}

impl Owner for Proxy {
    fn can_apply(&self, document: &Document) -> Result<(), DocumentError> {
        match document.max_attempts {
            0..=4 => Ok(()),
            _ => Err(DocumentError { key: "max-attempts".into(), reason: "more than four".into() }),
        }
    }

    fn follow(&self, agreement: &AppliedAgreement) {
        let line = match agreement {
            AppliedAgreement::Detached => "detached".to_string(),
            AppliedAgreement::Attached { slot, version, document, members } => {
                let attempts = document.as_ref().map(|document| document.max_attempts);
                format!(
                    "attached: slot {slot}, version {version} with max-attempts {attempts:?}, members {:?}",
                    members.slots
                )
            }
        };
        self.notifications.borrow_mut().push(line);
    }

    fn list_is_behind(&self) {
        self.list_behind_count.set(self.list_behind_count.get() + 1);
    }
}

fn document(max_attempts: u32) -> Value {
    json!({
        "classes": [{"name": "c", "effect": "free", "on-time": 1.0, "hard-limit": 1.0}],
        "max-attempts": max_attempts,
        "floor": {"classes": {"c": {"on-time": 1.0, "hard-limit": 1.0}}, "projects": {}, "max-attempts": 1,
                  "max-retry-after": 0.0}
    })
}

/// Waits until `condition` is true; `description` names it in the failure.
async fn wait_for(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + STATE_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[test]
fn a_follower_joins_acknowledges_refuses_rejoins_and_closes_as_recorded() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (service, proxy) = (Rc::new(Service::default()), Proxy::default());
        let wait_for_calls = |count: usize| {
            let service = service.clone();
            async move { wait_for("session calls", || service.session_calls.borrow().len() >= count).await }
        };
        let wait_for_notifications = |count: usize| {
            let notifications = proxy.notifications.clone();
            async move { wait_for("notifications", || notifications.borrow().len() >= count).await }
        };
        let announce = |agreement: Value| drop(service.agreement.replace(Some(agreement)));
        let members = json!({"revision": 2, "slots": "0"});
        service.session_answers.borrow_mut().extend([
            (409, json!({"error": "version 3 has to be held first", "hold": 3})),
            (200, json!({"session": 9, "slot": 0, "agreed": 3, "list": 5, "revision": 4})),
            // The refusal of version 6, and the renewal after it.
            (503, json!({"error": "no leader"})),
            (200, json!({"revision": 7})),
            (200, json!({"agreed": 6, "list": 5})),
            // The acknowledgement of version 9: there is no leader at first, and then the session is lost.
            (503, json!({"error": "no leader"})),
            (409, json!({"error": "session 9 is not known; it may have run out"})),
            (200, json!({"session": 12, "slot": 1, "agreed": 9, "list": 5})),
            (200, json!({})),
        ]);
        let address = serve(service.clone()).await;
        let config =
            FollowerConfig { name: "p".into(), addresses: vec![address], ttl: TTL, clock_rate: 1.0, seed: 7 };
        let follower = Follower::start(config, Box::new(proxy.clone()));
        follower.list_applied(5);
        wait_for_calls(1).await;
        announce(json!({"at": 3, "members": members, "offered": {"version": 3, "document": document(2)}}));
        wait_for_notifications(1).await;
        announce(json!({"at": 5, "members": members, "committed": {"version": 3}}));
        wait_for_notifications(2).await;
        announce(json!({"at": 6, "members": members, "committed": {"version": 3},
                     "offered": {"version": 6, "document": document(5)}}));
        wait_for_calls(5).await;
        announce(json!({"at": 8, "members": {"revision": 8, "slots": "0-1"}, "committed": {"version": 3}}));
        wait_for_notifications(3).await;
        announce(json!({"at": 9, "members": {"revision": 8, "slots": "0-1"}, "committed": {"version": 3},
                     "offered": {"version": 9, "document": document(4)}}));
        wait_for_notifications(5).await;
        follower.close().await;
        wait_for_calls(9).await;
        let mut watch_calls = service.watch_calls.borrow().clone();
        watch_calls.dedup();
        let record = format!(
            "watches:\n{}\nsession calls:\n{}\nowner:\n{}\nlist behind: {}\n",
            watch_calls.join("\n"),
            service.session_calls.borrow().join("\n"),
            proxy.notifications.borrow().join("\n"),
            proxy.list_behind_count.get()
        );
        assert_golden("settings/follower_calls.txt", &record);
    });
}

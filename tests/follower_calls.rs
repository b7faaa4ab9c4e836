//! The calls that a proxy makes to follow the agreement, and what its owner is told, against the record in
//! `tests/golden/settings/follower_calls.txt`. The list service is a script that answers each call in turn.

#[path = "golden/compare.rs"]
mod compare;

use bytes::Bytes;
use compare::assert_golden;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use linkhatch_proxy::agreement::document::{Document, DocumentError};
use linkhatch_proxy::agreement::follower::{AppliedAgreement, Follower, FollowerConfig, Owner};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// So long that nothing runs out during the test.
const TTL: Duration = Duration::from_secs(60);
const STATE_TIMEOUT: Duration = Duration::from_secs(10);

/// The list service of the script.
#[derive(Default)]
struct Service {
    /// What is agreed now; none until the first call of the session has come.
    agreed: RefCell<Option<Value>>,
    session_answers: RefCell<VecDeque<(u16, Value)>>,
    watches: RefCell<Vec<String>>,
    session_calls: RefCell<Vec<String>>,
}

impl Service {
    /// Answers one call.
    async fn answer(&self, request: Request<Incoming>) -> (u16, Value) {
        let (head, body) = request.into_parts();
        let target = head.uri.to_string();
        let body = body.collect().await.expect("a body").to_bytes();
        if head.method == "GET" {
            self.watches.borrow_mut().push(target.clone());
            return (200, self.agreed_after(&target).await);
        }
        // Read and written again: the order of an object's members says nothing.
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        self.session_calls.borrow_mut().push(format!("{} {target} {body}", head.method));
        self.session_answers.borrow_mut().pop_front().unwrap_or((503, json!({"error": "off the script"})))
    }

    /// Waits for what is agreed to differ from what the watch knows.
    async fn agreed_after(&self, target: &str) -> Value {
        let since = target.split_once("since=").and_then(|(_, rest)| rest.split('&').next());
        let since: Option<u64> = since.map(|since| since.parse().expect("a revision"));
        loop {
            if let Some(agreed) = &*self.agreed.borrow()
                && since.is_none_or(|since| agreed["at"] != since)
            {
                return agreed.clone();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn serve(service: Rc<Service>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let service = service.clone();
            spawn_local(async move {
                let answer = service_fn(|request| {
                    let service = service.clone();
                    async move {
                        let (status, body) = service.answer(request).await;
                        let body = Full::new(Bytes::from(body.to_string()));
                        let answer = Response::builder().status(status).body(body).expect("an answer");
                        Ok::<_, Infallible>(answer)
                    }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection.serve_connection(TokioIo::new(stream), answer).await;
            });
        }
    });
    address
}

/// The proxy: it can apply at most four attempts.
#[derive(Clone, Default)]
struct Proxy {
    told: Rc<RefCell<Vec<String>>>,
    behind: Rc<Cell<usize>>,
}

impl Owner for Proxy {
    fn can_apply(&self, document: &Document) -> Result<(), DocumentError> {
        match document.max_attempts {
            0..=4 => Ok(()),
            _ => Err(DocumentError { key: "max-attempts".into(), reason: "more than four".into() }),
        }
    }

    fn follow(&self, following: &AppliedAgreement) {
        let line = match following {
            AppliedAgreement::Detached => "detached".to_string(),
            AppliedAgreement::Attached { slot, version, document, members } => {
                let attempts = document.as_ref().map(|document| document.max_attempts);
                format!(
                    "attached: slot {slot}, version {version} with max-attempts {attempts:?}, members {:?}",
                    members.slots
                )
            }
        };
        self.told.borrow_mut().push(line);
    }

    fn list_is_behind(&self) {
        self.behind.set(self.behind.get() + 1);
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

/// Waits until `reached` holds.
async fn wait_for(what: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + STATE_TIMEOUT;
    while !reached() {
        assert!(Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[test]
fn a_follower_joins_acknowledges_refuses_rejoins_and_closes_as_recorded() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (service, proxy) = (Rc::new(Service::default()), Proxy::default());
        let calls = |count: usize| {
            let service = service.clone();
            async move { wait_for("session calls", || service.session_calls.borrow().len() >= count).await }
        };
        let told = |count: usize| {
            let told = proxy.told.clone();
            async move { wait_for("what the owner is told", || told.borrow().len() >= count).await }
        };
        let agree = |agreed: Value| drop(service.agreed.replace(Some(agreed)));
        let members = json!({"revision": 2, "slots": "0"});
        service.session_answers.borrow_mut().extend([
            (409, json!({"error": "version 3 has to be held first", "hold": 3})),
            (200, json!({"session": 9, "slot": 0, "agreed": 3, "list": 5, "revision": 4})),
            // The refusal of version 6, and the renewal after it.
            (503, json!({"error": "no leader"})),
            (200, json!({"revision": 7})),
            (200, json!({"agreed": 6, "list": 5})),
            // The acknowledgement of version 9: no leader at first, and then the session is lost.
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
        calls(1).await;
        agree(json!({"at": 3, "members": members, "offered": {"version": 3, "document": document(2)}}));
        told(1).await;
        agree(json!({"at": 5, "members": members, "committed": {"version": 3}}));
        told(2).await;
        agree(json!({"at": 6, "members": members, "committed": {"version": 3},
                     "offered": {"version": 6, "document": document(5)}}));
        calls(5).await;
        agree(json!({"at": 8, "members": {"revision": 8, "slots": "0-1"}, "committed": {"version": 3}}));
        told(3).await;
        agree(json!({"at": 9, "members": {"revision": 8, "slots": "0-1"}, "committed": {"version": 3},
                     "offered": {"version": 9, "document": document(4)}}));
        told(5).await;
        follower.close().await;
        calls(9).await;
        let mut watches = service.watches.borrow().clone();
        watches.dedup();
        let record = format!(
            "watches:\n{}\nsession calls:\n{}\nowner:\n{}\nlist behind: {}\n",
            watches.join("\n"),
            service.session_calls.borrow().join("\n"),
            proxy.told.borrow().join("\n"),
            proxy.behind.get()
        );
        assert_golden("settings/follower_calls.txt", &record);
    });
}

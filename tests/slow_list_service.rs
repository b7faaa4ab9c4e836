//! A list service that is slow: each of its answers to a follower of the agreement and to the holder of a lease is late,
//! but none is lost. It must be heard all the same.

mod scripted_service;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use linkhatch_proxy::agreement::document::{Document, DocumentError};
use linkhatch_proxy::agreement::follower::{AppliedAgreement, Follower, FollowerConfig, Owner};
use linkhatch_proxy::agreement::session_state::Attachment;
use linkhatch_proxy::lease::holder::{self, HolderConfig, WarmDuty};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// How late each answer is, beyond the wait of its call: more than the first timeout of every call.
const DELAY: Duration = Duration::from_millis(1_500);
/// A longer delay, close to the longest with which a session and a lease are kept: half of `holder_validity`, which is
/// 5.65 s of [`TTL`].
const LONG_DELAY: Duration = Duration::from_millis(2_700);
/// The TTL of the session and of the lease.
const TTL: Duration = Duration::from_secs(6);
/// The first answer has to be heard within this time: calls that are given up after 1 s and 2 s, and one that is not.
const START_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the session and the lease must be kept.
const KEPT_DURATION: Duration = Duration::from_secs(10);

/// A list service with one agreement, and one lease that is granted to everyone who asks.
struct ListService {
    /// How late each answer is.
    delay: Duration,
    /// The revision of the agreement.
    revision: Cell<u64>,
    grants: Cell<u64>,
}

impl ListService {
    async fn answer(&self, request: Request<Incoming>) -> (u16, Value) {
        let (head, body) = request.into_parts();
        let _ = body.collect().await;
        let answer = match head.uri.path() {
            "/v1/agreed" => self.agreement(head.uri.query().unwrap_or_default()).await,
            "/v1/session/open" => json!({"session": 9, "slot": 0, "agreed": 3, "list": 0, "revision": 4}),
            "/v1/session/renew" => json!({"agreed": self.revision.get(), "list": 0}),
            "/v1/lease/acquire" => {
                self.grants.set(self.grants.get() + 1);
                json!({"token": self.grants.get()})
            }
            _ => json!({}),
        };
        sleep(self.delay).await;
        (200, answer)
    }

    /// Waits for a newer agreement, for as long as the call asks.
    async fn agreement(&self, query: &str) -> Value {
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let until = Instant::now() + Duration::from_millis(number("timeout_ms").unwrap_or(0));
        while number("since") == Some(self.revision.get()) && Instant::now() < until {
            sleep(Duration::from_millis(5)).await;
        }
        json!({"at": self.revision.get(), "members": {"revision": self.revision.get(), "slots": "0"}})
    }
}

async fn serve(service: &Rc<ListService>) -> SocketAddr {
    let service = service.clone();
    scripted_service::serve(move |request| {
        let service = service.clone();
        async move { service.answer(request).await }
    })
    .await
}

fn list_service(delay: Duration) -> Rc<ListService> {
    Rc::new(ListService { delay, revision: Cell::new(3), grants: Cell::new(0) })
}

/// A proxy that records what it applies.
#[derive(Clone, Default)]
struct Proxy(Rc<RefCell<Vec<AppliedAgreement>>>);

impl Owner for Proxy {
    fn can_apply(&self, _: &Document) -> Result<(), DocumentError> {
        Ok(())
    }

    fn follow(&self, agreement: &AppliedAgreement) {
        self.0.borrow_mut().push(agreement.clone());
    }

    fn list_is_behind(&self) {}
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until `condition` is true; `description` names it in the failure.
async fn wait_for(description: &str, timeout: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {timeout:?}: {description}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a proxy that gives up every call of its session and of its watch before the answer comes, and so never
/// follows the fleet's settings.
#[test]
fn a_follower_attaches_and_stays_attached_although_each_answer_is_late() {
    run(async {
        tokio::join!(
            follow_slow_nodes(1, DELAY, true),
            follow_slow_nodes(3, DELAY, true),
            follow_slow_nodes(1, LONG_DELAY, false),
        );
    });
}

/// Follows a list service with this many nodes, which may change the agreement once.
async fn follow_slow_nodes(node_count: usize, delay: Duration, is_changed: bool) {
    let (service, proxy) = (list_service(delay), Proxy::default());
    let mut addresses = Vec::new();
    for _ in 0..node_count {
        addresses.push(serve(&service).await);
    }
    let config = FollowerConfig { name: "p".into(), addresses, ttl: TTL, clock_rate: 1.0, seed: 7 };
    let follower = Follower::start(config, Box::new(proxy.clone()));
    let members = |follower: &Follower| match follower.attachment() {
        Attachment::Attached { members, .. } => members,
        Attachment::Detached => 0,
    };
    wait_for("attached", START_TIMEOUT, || members(&follower) == 3).await;
    let attached_at = Instant::now();
    if is_changed {
        service.revision.set(5);
        wait_for("the change", TTL, || members(&follower) == 5).await;
    }
    sleep(KEPT_DURATION.saturating_sub(attached_at.elapsed())).await;
    let applied = proxy.0.borrow();
    let detachments = applied.iter().filter(|applied| **applied == AppliedAgreement::Detached).count();
    assert_eq!(detachments, 0, "{node_count} nodes, {delay:?}: {applied:?}");
    assert_eq!(members(&follower), service.revision.get(), "{node_count} nodes, {delay:?}");
}

/// Guards against a holder that gives up every call before the answer comes, and so never performs its duty, or loses
/// its lease again and again.
#[test]
fn a_lease_is_acquired_and_kept_although_each_answer_is_late() {
    run(async {
        tokio::join!(hold_at_slow_service(DELAY), hold_at_slow_service(LONG_DELAY));
    });
}

/// Holds a lease, and checks that its duty is performed under one token.
async fn hold_at_slow_service(delay: Duration) {
    let service = list_service(delay);
    let tokens: Rc<RefCell<Vec<String>>> = Rc::default();
    let acts = tokens.clone();
    let target = scripted_service::serve(move |request: Request<Incoming>| {
        let token = request.headers()["fencing-token"].to_str().expect("a token").to_string();
        acts.borrow_mut().push(token);
        async { (200, json!({})) }
    })
    .await;
    spawn_local(holder::hold(holder_config(serve(&service).await, target)));
    wait_for("the first act", START_TIMEOUT, || !tokens.borrow().is_empty()).await;
    sleep(KEPT_DURATION).await;
    let (tokens, grants) = (tokens.borrow(), service.grants.get());
    assert!(tokens.iter().all(|token| *token == tokens[0]), "{delay:?}: the lease was lost: {grants} grants");
    // An act each 50 ms, some of which the machine may delay.
    let expected = KEPT_DURATION.as_millis() / 50;
    assert!(tokens.len() as u128 > expected / 2, "{delay:?}: {} acts of {expected}", tokens.len());
}

/// The configuration of a holder of a lease with [`TTL`].
fn holder_config(registry: SocketAddr, target: SocketAddr) -> HolderConfig {
    HolderConfig {
        registry: vec![registry],
        name: "warm:b".into(),
        holder: "h".into(),
        ttl_ms: TTL.as_millis() as u64,
        renew_every_ms: None,
        retry_ms: 100,
        clock_rate: 1.0,
        duty: WarmDuty { target, path: "/warm".into(), every_ms: 50 },
    }
}

/// Guards against calls for a lease that are left behind at a silent service, each with its connection.
#[test]
fn a_holder_at_a_silent_service_has_one_connection() {
    run(async {
        let (open, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (counted, highest) = (open.clone(), most.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                highest.set(counted.get().max(highest.get()));
                let counted = counted.clone();
                spawn_local(async move {
                    // Reads the call and its connection's end.
                    let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                    counted.set(counted.get() - 1);
                });
            }
        });
        let config = HolderConfig { ttl_ms: 600, ..holder_config(address, address) };
        spawn_local(holder::hold(config));
        sleep(Duration::from_secs(3)).await;
        assert!(most.get() > 0, "no call was made");
        // The one before may end a moment after the next begins.
        assert!(most.get() <= 2 && open.get() <= 1, "{} open at once, {} at the end", most.get(), open.get());
    });
}

//! The list service's HTTP/1.1 API.
//!
//! For proxies, exactly the discovery of `PROTOCOL`: `GET /api/targets` gives the whole list, and
//! `GET /api/targets?since=N&timeout_ms=T` waits up to T ms (at most 60,000) for news after revision N. A
//! watch whose time runs out without news gets the revision with no entries; one from a revision ahead of this
//! node (a node further on answered it before) gets 503 when its time runs out, never an older revision.
//!
//! For backends and operators, JSON bodies by `POST`, each answered `{"revision":N}` or, refused,
//! 400/404 `{"error":"…"}` with nothing changed:
//! - `/v1/register`: an instance object as discovery lists it, plus `ttlMs`;
//! - `/v1/heartbeat`, `/v1/deregister`, `/v1/drain`: `{"instanceId":"…"}`;
//! - `/v1/weight`: `{"instanceId":"…","weight":W}`;
//! - `/v1/lease/acquire`: `{"name":"…","holder":"…","ttlMs":T}`, answered `{"revision":N,"token":K}`, or 409
//!   with the holder where another holds it unexpired;
//! - `/v1/lease/keepalive` and `/v1/lease/release`: `{"name":"…","token":K}`; 409 where that grant is lost.

use super::node::{Node, ProposeError};
use super::store::{Answer, Command, Instance, StoreError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait of a watch, as `PROTOCOL` bounds it.
const MOST_WAIT_MS: u64 = 60_000;
/// Largest body of a write.
const MOST_BODY: usize = 64 << 10;

type Reply = Response<Full<Bytes>>;

/// Handles requests for one node, with a bound on watches waiting at once.
pub struct Api {
    node: Rc<Node>,
    watching: Cell<usize>,
    most_watchers: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct LeaseCall {
    name: String,
    #[serde(default)]
    holder: Option<String>,
    #[serde(default)]
    ttl_ms: Option<u64>,
    #[serde(default)]
    token: Option<u64>,
}

/// `deny_unknown_fields` does not go with `flatten` in serde: unknown fields of a registration are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Registration {
    #[serde(flatten)]
    instance: Instance,
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Named {
    instance_id: String,
    #[serde(default)]
    weight: Option<f64>,
}

fn json_reply(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    reply
}

fn error(status: StatusCode, text: impl ToString) -> Reply {
    json_reply(status, json!({"error": text.to_string()}).to_string())
}

fn list(answer: &Answer) -> Reply {
    let body = json!({"generation": answer.revision, "reset": answer.reset, "instances": answer.instances});
    json_reply(StatusCode::OK, body.to_string())
}

/// A query parameter as a number; `Err` where it is there but not one.
fn parameter(query: &str, name: &str) -> Result<Option<u64>, String> {
    let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.map(|v| v.parse().map_err(|_| format!("{name} is not a whole number: {v}"))).transpose()
}

impl Api {
    /// An API over `node` that lets at most `most_watchers` watches wait at once; more are refused (503).
    pub fn new(node: Rc<Node>, most_watchers: usize) -> Self {
        Self { node, watching: Cell::new(0), most_watchers }
    }

    /// Watches waiting now.
    pub fn watching(&self) -> usize {
        self.watching.get()
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Reply {
        if let Some(why) = self.node.failed() {
            // Its memory holds a change the disk does not: it must not be read from either.
            return error(StatusCode::SERVICE_UNAVAILABLE, format!("this node has failed: {why}"));
        }
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or("").to_string();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/api/targets") => self.targets(&query).await,
            (Method::GET, "/-/ready") => json_reply(StatusCode::OK, "{}".into()),
            (Method::POST, write) if write.starts_with("/v1/") => {
                let body = match Limited::new(request.into_body(), MOST_BODY).collect().await {
                    Ok(body) => body.to_bytes(),
                    Err(_) => return error(StatusCode::PAYLOAD_TOO_LARGE, "a body of at most 64 KiB"),
                };
                let answer = match write.strip_prefix("/v1/lease/") {
                    Some(call) => self.lease(call, &body),
                    None => self.write(write, &body).map(|revision| json!({"revision": revision})),
                };
                match answer {
                    Ok(body) => json_reply(StatusCode::OK, body.to_string()),
                    Err((status, text)) => error(status, text),
                }
            }
            _ => error(StatusCode::NOT_FOUND, format!("no such call: {path}")),
        }
    }

    async fn targets(&self, query: &str) -> Reply {
        let (since, wait) = match (parameter(query, "since"), parameter(query, "timeout_ms")) {
            (Ok(since), Ok(wait)) => (since, wait.unwrap_or(0).min(MOST_WAIT_MS)),
            (Err(e), _) | (_, Err(e)) => return error(StatusCode::BAD_REQUEST, e),
        };
        let Some(since) = since else { return list(&self.node.full()) };
        if self.watching.get() >= self.most_watchers {
            let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, "too many watches");
            reply.headers_mut().insert(RETRY_AFTER, hyper::header::HeaderValue::from_static("1"));
            return reply;
        }
        self.watching.set(self.watching.get() + 1);
        let answer = self.node.watch(since, Duration::from_millis(wait)).await;
        self.watching.set(self.watching.get() - 1);
        let revision = self.node.revision();
        match answer {
            Some(answer) => list(&answer),
            None if since <= revision => list(&Answer { revision, reset: false, instances: Vec::new() }),
            None => {
                error(StatusCode::SERVICE_UNAVAILABLE, format!("this node is at {revision}, behind {since}"))
            }
        }
    }

    /// Applies a lease call; a refusal is its status and its reason.
    fn lease(&self, call: &str, body: &[u8]) -> Result<serde_json::Value, (StatusCode, String)> {
        let LeaseCall { name, holder, ttl_ms, token } =
            serde_json::from_slice(body).map_err(|e| (StatusCode::BAD_REQUEST, e.to_string()))?;
        let missing = |what: &str| (StatusCode::BAD_REQUEST, format!("{what} is missing"));
        let command = match call {
            "acquire" => Command::Acquire {
                name: name.clone(),
                holder: holder.ok_or_else(|| missing("holder"))?,
                ttl_ms: ttl_ms.ok_or_else(|| missing("ttlMs"))?,
                at_ms: 0,
            },
            "keepalive" => Command::KeepAlive {
                name: name.clone(),
                token: token.ok_or_else(|| missing("token"))?,
                at_ms: 0,
            },
            "release" => {
                Command::Release { name: name.clone(), token: token.ok_or_else(|| missing("token"))? }
            }
            _ => return Err((StatusCode::NOT_FOUND, format!("no such call: /v1/lease/{call}"))),
        };
        let revision = self.node.propose(command).map_err(|e| match e {
            ProposeError::Refused(StoreError::Held { .. } | StoreError::Lost(_)) => {
                (StatusCode::CONFLICT, e.to_string())
            }
            ProposeError::Refused(_) => (StatusCode::BAD_REQUEST, e.to_string()),
            ProposeError::Failed(_) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        })?;
        let token = self.node.store().lease(&name).map(|g| g.token);
        Ok(json!({"revision": revision, "token": token}))
    }

    /// Applies a write; a refusal is its status and its reason.
    fn write(&self, path: &str, body: &[u8]) -> Result<u64, (StatusCode, String)> {
        let bad = |e: serde_json::Error| (StatusCode::BAD_REQUEST, e.to_string());
        let refuse = |status, text: &str| Err((status, text.to_string()));
        let command = match path {
            "/v1/register" => {
                let Registration { instance, ttl_ms } = serde_json::from_slice(body).map_err(bad)?;
                Command::Register { instance, ttl_ms, at_ms: 0 }
            }
            _ => {
                let Named { instance_id, weight } = serde_json::from_slice(body).map_err(bad)?;
                match (path, weight) {
                    ("/v1/heartbeat", None) => Command::Heartbeat { instance_id, at_ms: 0 },
                    ("/v1/deregister", None) => Command::Deregister { instance_id },
                    ("/v1/drain", None) => Command::Drain { instance_id },
                    ("/v1/weight", Some(weight)) => Command::SetWeight { instance_id, weight },
                    ("/v1/weight", None) => return refuse(StatusCode::BAD_REQUEST, "weight is missing"),
                    (_, Some(_)) => return refuse(StatusCode::BAD_REQUEST, "only /v1/weight takes a weight"),
                    _ => return refuse(StatusCode::NOT_FOUND, &format!("no such call: {path}")),
                }
            }
        };
        self.node.propose(command).map_err(|e| match e {
            ProposeError::Refused(StoreError::Unknown(_)) => (StatusCode::NOT_FOUND, e.to_string()),
            ProposeError::Refused(_) => (StatusCode::BAD_REQUEST, e.to_string()),
            ProposeError::Failed(_) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        })
    }
}

//! A holder's calls: to the list service for its lease, and to the resource that its duty acts on.

use crate::http_client::{CallError, read_limited};
use crate::os::sockets::{self, Socket};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The maximum size of a reply's body, in bytes; a longer body counts as empty.
const MAX_REPLY_BYTES: usize = 16 << 10;

// The fields of requests are sorted by name, which is their order on the wire.

/// The body of `/v1/lease/acquire`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct AcquireRequest<'a> {
    pub(super) holder: &'a str,
    pub(super) name: &'a str,
    pub(super) ttl_ms: u64,
}

/// The body of `/v1/lease/keepalive` and `/v1/lease/release`.
#[derive(Debug, Serialize)]
pub(super) struct GrantRequest<'a> {
    pub(super) name: &'a str,
    pub(super) token: u64,
}

/// The body of a reply that grants a lease.
#[derive(Debug, Deserialize)]
struct GrantReply {
    token: u64,
}

/// The answer to an acquire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcquireReply {
    /// The lease is granted with this token.
    Granted(u64),
    /// The reply grants the lease but has no token.
    GrantedWithoutToken,
    /// Another process holds the lease.
    HeldByOther,
}

/// The answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RenewReply {
    /// The lease is renewed.
    Renewed,
    /// The grant is lost.
    Lost,
}

/// Why the list service gave no usable answer.
#[derive(Debug, Error)]
pub(super) enum ServiceError {
    /// The call got no reply.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The reply has an unexpected status.
    #[error("status {}: {body}", .status.as_u16())]
    Status {
        /// The status.
        status: StatusCode,
        /// The body as text.
        body: String,
    },
}

/// A reply with its complete body.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    body: Bytes,
}

impl Reply {
    fn unexpected(&self) -> ServiceError {
        let body = String::from_utf8_lossy(&self.body).into_owned();
        ServiceError::Status { status: self.status, body }
    }
}

/// Acquires a lease.
pub(super) async fn acquire(
    address: SocketAddr,
    request: &AcquireRequest<'_>,
    timeout: Duration,
) -> Result<AcquireReply, ServiceError> {
    let reply = call(address, post(address, "/v1/lease/acquire", request)?, timeout).await?;
    match reply.status {
        StatusCode::OK => Ok(serde_json::from_slice(&reply.body)
            .map_or(AcquireReply::GrantedWithoutToken, |GrantReply { token }| AcquireReply::Granted(token))),
        StatusCode::CONFLICT => Ok(AcquireReply::HeldByOther),
        _ => Err(reply.unexpected()),
    }
}

/// Renews a lease.
pub(super) async fn renew(
    address: SocketAddr,
    request: &GrantRequest<'_>,
    timeout: Duration,
) -> Result<RenewReply, ServiceError> {
    let reply = call(address, post(address, "/v1/lease/keepalive", request)?, timeout).await?;
    match reply.status {
        StatusCode::OK => Ok(RenewReply::Renewed),
        StatusCode::CONFLICT => Ok(RenewReply::Lost),
        _ => Err(reply.unexpected()),
    }
}

/// Releases a lease; the reply's status is ignored.
pub(super) async fn release(
    address: SocketAddr,
    request: &GrantRequest<'_>,
    timeout: Duration,
) -> Result<(), ServiceError> {
    call(address, post(address, "/v1/lease/release", request)?, timeout).await?;
    Ok(())
}

fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(body)?;
    let request = Request::post(path).header("host", address.to_string());
    // A request with a valid path can always be built.
    Ok(request.body(Full::new(body.into())).unwrap_or_default())
}

/// Makes one call on a connection of its own, so that a connection that has failed never delays the next renewal.
pub(super) async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let exchange = tokio::time::timeout(timeout, async {
        let stream = sockets::connect(address).await.map_err(CallError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
        tokio::task::spawn_local(connection);
        let reply = sender.send_request(request).await?;
        let status = reply.status();
        let body = read_limited(reply.into_body(), MAX_REPLY_BYTES).await;
        Ok(Reply { status, body: body.unwrap_or_default() })
    });
    exchange.await.unwrap_or(Err(CallError::Timeout))
}

//! An HTTP/1.1 client for one address, for the calls of nodes and proxies to the list service.

use crate::os::sockets::{self, Socket};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The maximum size of a reply's body.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// The `Host` header of calls to the list service.
const LIST_SERVICE_HOST: &str = "list";

/// Why a call did not return a usable reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection was never established: the call was not sent.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed after it was established, so the call may have been received.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The reply's body could not be read, or is too long.
    #[error("body: {0}")]
    Body(#[from] BodyError),
    /// The status is not the one expected.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body does not parse.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// There was no reply within the timeout.
    #[error("no answer in time")]
    Timeout,
}

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body is too long.
    #[error("longer than {0} bytes")]
    TooLong(usize),
}

/// A client for one address. It connects for the first call and reuses the connection for further calls. After any
/// failure it reconnects, so that a connection that a fault has made unresponsive costs one timeout.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// Makes a client for `address`, not yet connected.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// The address that calls are made to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call and returns the reply with its complete body.
    ///
    /// # Errors
    /// See [`CallError`]; `Timeout` once `timeout` has passed. After an error the connection is closed.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let reusable = self.connection.take().filter(|sender| !sender.is_closed());
        let exchange = tokio::time::timeout(timeout, exchange(self.address, reusable, request));
        let (sender, reply) = exchange.await.unwrap_or(Err(CallError::Timeout))?;
        self.connection = Some(sender);
        Ok(reply)
    }
}

/// Sends a request on `connection`, or on a new one, and reads the reply.
async fn exchange(
    address: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
    request: Request<Full<Bytes>>,
) -> Result<(SendRequest<Full<Bytes>>, Response<Bytes>), CallError> {
    let mut sender = match connection {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = read_limited(body, MAX_REPLY_BYTES).await?;
    Ok((sender, Response::from_parts(head, body)))
}

/// Reads a body of at most `max_bytes`. Its bytes are copied: each frame references a whole read buffer, which would
/// make a body that comes in small pieces many times larger.
///
/// # Errors
/// Fails if the connection fails, or if the body is longer.
pub async fn read_limited(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if complete.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let stream = sockets::connect(address).await.map_err(CallError::Connect)?;
    let (sender, connection) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Makes a `POST` request with a JSON body for the list service.
///
/// # Errors
/// `Json` if the body cannot be serialized.
pub fn post_json(path: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(body)?;
    let request = Request::post(path).header("host", LIST_SERVICE_HOST);
    // Building the request cannot fail for a valid path.
    Ok(request.body(Full::new(body.into())).unwrap_or_default())
}

//! The lifecycle of a client's connection. Only [`Server::serve_connection`] decides when it is closed.
//!
//! A connection is closed when its client closes it, when the process shuts down, when it is evicted, or when it is
//! idle for too long. In each case a request that has arrived, even in part, is served first: closing the connection
//! would lose it. While there is little room for new connections, it is also closed after an answer, which then has
//! `Connection: close`; what the client sends after that answer is not read.

use super::Server;
use super::client_connection::ClientConnection;
use super::handler::{ClientDisconnected, RequestContext};
use crate::proxy::memory::{HeadMemory, MAX_HEAD_BYTES};
use crate::proxy::shared_stream::{SharedStream, Unread};
use crate::telemetry::reason::CloseReason;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1::{self, Parts};
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection may be idle, or the head of a request may be incomplete. A client that sends nothing must see
/// the end of its connection within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// [`HEAD_TIMEOUT`] for an evicted connection.
const EVICTED_HEAD_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a request may take to arrive completely: for the first request from when its connection was accepted, for
/// later ones from when their head has arrived.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2600);

type Connection<S> = http1::Connection<TokioIo<SharedStream>, S>;

/// The state of a client's connection when all answers so far have been written.
enum ConnectionStatus {
    /// It has ended.
    Ended,
    /// A request is in flight.
    Busy,
    /// No complete head of another request has arrived.
    BetweenRequests,
}

/// The settings for serving connections. This module implements the timeouts: hyper's own would close a connection
/// although a head has partly arrived.
fn http_builder() -> http1::Builder {
    let mut http_builder = http1::Builder::new();
    http_builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
    http_builder
}

impl Server {
    /// Serves the requests on a connection, one after another, until it ends; returns why it is closed.
    pub(super) async fn serve_connection(&self, client: &ClientConnection) -> CloseReason {
        let stream = &client.stream;
        let mut closing = self.connections.closing();
        let first_read_deadline = Cell::new(Some(Instant::now() + REQUEST_READ_TIMEOUT));
        let service = service_fn(|request| async {
            let read_deadline =
                first_read_deadline.take().unwrap_or_else(|| Instant::now() + REQUEST_READ_TIMEOUT);
            let is_admitted = client.begin_request();
            let head_reservation = stream.head_memory().and_then(HeadMemory::end_head);
            let connection = client.number();
            let context = RequestContext { connection, stream, is_admitted, read_deadline, head_reservation };
            let mut response = self.respond(request, context).await?;
            let is_last = client.end_request();
            if let Some(head) = stream.head_memory() {
                head.begin_head();
            }
            if is_last {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, ClientDisconnected>(response)
        });
        let mut connection = http_builder().serve_connection(TokioIo::new(stream.clone()), service);
        let reason = tokio::select! {
            biased; // a request that has arrived is read before the connection is closed
            _ = &mut connection => return CloseReason::ClientClosed, // errors are caused by the client
            _ = closing.wait_for(|is_closing| *is_closing) => CloseReason::ShuttingDown,
            () = client.evicted() => CloseReason::Evicted,
            () = client.idle_for(HEAD_TIMEOUT) => CloseReason::IdleTimeout,
        };
        client.begin_closing();
        let head_deadline = match first_read_deadline.get() {
            _ if reason == CloseReason::Evicted => Instant::now() + EVICTED_HEAD_TIMEOUT,
            Some(deadline) => deadline,
            None => last_received_at(stream) + HEAD_TIMEOUT,
        };
        if reason == CloseReason::ShuttingDown {
            // The first request on a new connection may be on its way.
            let has_begun = || first_read_deadline.get().is_none();
            if !wait_for_first_request(&mut connection, head_deadline, has_begun).await {
                return reason;
            }
        }
        finish(connection, client, stream, head_deadline).await;
        reason
    }
}

/// When the last bytes arrived; the current time if that is not known.
fn last_received_at(stream: &SharedStream) -> Instant {
    let read_at = stream.received_at().filter(|_| stream.unread() != Unread::Bytes);
    read_at.unwrap_or_else(Instant::now)
}

/// Waits until the first request on a connection has begun, up to the deadline; returns whether it has.
async fn wait_for_first_request<S>(
    connection: &mut Connection<S>,
    deadline: Instant,
    has_begun: impl Fn() -> bool,
) -> bool
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = ClientDisconnected>,
{
    let first = std::future::poll_fn(|cx| {
        if has_begun() {
            return Poll::Ready(true);
        }
        match Pin::new(&mut *connection).poll(cx) {
            Poll::Ready(_) => Poll::Ready(false),
            Poll::Pending if has_begun() => Poll::Ready(true),
            Poll::Pending => Poll::Pending,
        }
    });
    tokio::time::timeout_at(deadline, first).await.unwrap_or(false)
}

/// Serves the request that is in flight or has partly arrived, and no request after it.
async fn finish<S>(
    mut connection: Connection<S>,
    client: &ClientConnection,
    stream: &SharedStream,
    head_deadline: Instant,
) where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = ClientDisconnected>,
{
    match wait_for_flush(&mut connection, client, stream).await {
        ConnectionStatus::Ended => {}
        ConnectionStatus::Busy => {
            Pin::new(&mut connection).graceful_shutdown();
            serve_last_request(connection, client, stream, head_deadline).await;
        }
        ConnectionStatus::BetweenRequests => {
            let Parts { read_buf, service, .. } = connection.into_parts();
            if !read_buf.is_empty() || stream.unread() == Unread::Bytes {
                // A request has partly arrived.
                stream.push_back(read_buf);
                let last_connection =
                    http_builder().keep_alive(false).serve_connection(TokioIo::new(stream.clone()), service);
                serve_last_request(last_connection, client, stream, head_deadline).await;
            }
        }
    }
}

/// Waits until a connection without a request in flight has written its last answer.
async fn wait_for_flush<S>(
    connection: &mut Connection<S>,
    client: &ClientConnection,
    stream: &SharedStream,
) -> ConnectionStatus
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = ClientDisconnected>,
{
    std::future::poll_fn(|cx| match Pin::new(&mut *connection).poll(cx) {
        Poll::Ready(_) => Poll::Ready(ConnectionStatus::Ended),
        Poll::Pending if client.is_busy() => Poll::Ready(ConnectionStatus::Busy),
        Poll::Pending if stream.has_unsent_bytes() => Poll::Pending,
        Poll::Pending => Poll::Ready(ConnectionStatus::BetweenRequests),
    })
    .await
}

/// Serves the request in flight, or the next one if its head is complete by the deadline, on a connection that is
/// closed after it.
async fn serve_last_request<S>(
    mut connection: Connection<S>,
    client: &ClientConnection,
    stream: &SharedStream,
    head_deadline: Instant,
) where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = ClientDisconnected>,
{
    let ended = tokio::time::timeout_at(head_deadline, &mut connection).await;
    if ended.is_err() && (client.is_busy() || stream.has_unsent_bytes()) {
        let _ = connection.await; // errors are caused by the client
    }
}

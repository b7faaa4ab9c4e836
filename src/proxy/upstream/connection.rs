//! One HTTP/1.1 connection to a server: a backend, or discovery.

use crate::guard::Permit as SendPermit;
use crate::os::sockets;
use crate::proxy::clock::Clock;
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::proxy::memory::{HeadMemory, MAX_HEAD_BYTES, MemoryPool, Reservation};
use crate::proxy::shared_stream::{SharedStream, Unread};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// A connection. It reads and writes only while its owner awaits one of its methods, so dropping it stops both at once.
pub struct UpstreamConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    stream: SharedStream,
}

/// Hyper's connection future, which does the reading and writing.
struct Driver {
    connection: Pin<Box<http1::Connection<TokioIo<SharedStream>, Full<Bytes>>>>,
    end: Option<ConnectionEnd>,
}

/// How a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// One side closed it.
    Closed,
    /// It broke, for example because the other machine or process is gone, or unsolicited bytes arrived on it.
    Broken,
}

/// The error of a request that was not sent or failed. It contains the request if none of it was written.
pub type SendError = TrySendError<Request<Full<Bytes>>>;

/// Opens a connection to discovery, whose responses use any amount of memory. The caller limits the time.
///
/// # Errors
/// The system's error.
pub async fn connect(address: SocketAddr) -> io::Result<UpstreamConnection> {
    start(SharedStream::new(sockets::connect(address).await?)).await
}

/// Opens a connection to a backend, whose responses use the memory of `responses`.
///
/// # Errors
/// The system's error, or a timeout.
pub(super) async fn connect_to_backend(
    address: SocketAddr,
    timeout: Duration,
    responses: Rc<MemoryPool>,
) -> io::Result<UpstreamConnection> {
    let stream = tokio::time::timeout(timeout, sockets::connect(address)).await??;
    start(SharedStream::with_head_memory(stream, HeadMemory::of_responses(responses))).await
}

/// Starts HTTP/1.1 on a connected stream.
async fn start(stream: SharedStream) -> io::Result<UpstreamConnection> {
    let mut http_builder = http1::Builder::new();
    http_builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = http_builder.handshake(TokioIo::new(stream.clone()));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    let driver = Driver { connection: Box::pin(connection), end: None };
    Ok(UpstreamConnection { sender, driver, stream })
}

impl UpstreamConnection {
    /// Records that the head of a response has been read. Returns the memory that it has reserved, if it is large.
    pub(super) fn end_head(&self) -> Option<Reservation> {
        self.stream.head_memory().and_then(HeadMemory::end_head)
    }

    /// Drives the connection until `future` completes; returns `None` if the connection ends first.
    pub async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        self.driver.drive(future).await
    }

    /// Sends a request and waits for the head of the response; returns `None` if the connection ends first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        self.driver.drive(self.sender.try_send_request(request)).await
    }

    /// Sends an attempt that the guard has permitted, waits for the head of the response, and reports to the guard
    /// whether and when the attempt was written.
    pub(super) async fn send_permitted(
        &mut self,
        request: &ForwardedRequest,
        permit: SendPermit,
        clock: &Clock,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        if let Some(head) = self.stream.head_memory() {
            head.begin_head();
        }
        let mut sent = pin!(self.sender.try_send_request(request.attempt(permit.remaining())));
        let mut permit = Some(permit);
        let mut is_queued = false;
        let sending = std::future::poll_fn(|cx| {
            let response = sent.as_mut().poll(cx);
            if let Poll::Ready(Err(error)) = &response
                && error.message().is_some()
            {
                if let Some(permit) = permit.take() {
                    request.guard.attempt_not_written(&request.history, &permit);
                }
            } else if is_queued && let Some(permit) = permit.take() {
                // The previous poll queued the request, and the connection has passed it to the system since then.
                request.guard.attempt_written(clock.now(), &permit);
            }
            is_queued = true;
            response
        });
        self.driver.drive(sending).await
    }

    /// Returns the connection if it can carry another request: it has not ended, and has no unread bytes that would be
    /// read as the next response. Does not wait. Queries the system, since the runtime may not have noticed yet.
    ///
    /// # Errors
    /// How the connection has ended.
    pub fn checked(mut self) -> Result<Self, ConnectionEnd> {
        match self.stream.unread() {
            Unread::Nothing => {}
            Unread::End => return Err(ConnectionEnd::Closed),
            Unread::Bytes | Unread::Broken => return Err(ConnectionEnd::Broken),
        }
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        match self.driver.end {
            None if self.sender.is_ready() => Ok(self),
            end => Err(end.unwrap_or(ConnectionEnd::Closed)),
        }
    }
}

impl Driver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        // The end is stored because the sender stays ready after it: otherwise a connection that the backend closed
        // right after its response would be reused.
        if self.end.is_none()
            && let Poll::Ready(end) = self.connection.as_mut().poll(cx)
        {
            self.end = Some(if end.is_ok() { ConnectionEnd::Closed } else { ConnectionEnd::Broken });
        }
    }

    async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if self.end.is_some() => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}

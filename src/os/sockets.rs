//! TCP sockets that survive temporary failures of system calls, and the classification of failures.
//!
//! A system call has succeeded, must be retried, or has failed permanently. Interrupted calls (EINTR) are retried here,
//! so that no caller mistakes an interruption for the end of a connection. A shortage on this machine (descriptors,
//! buffers, ports, routes) is temporary, and does not mean that the peer has failed. A read or a write may also be
//! short for no stated reason, so only EAGAIN means that a caller has to wait.

use bytes::BufMut;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// The maximum number of consecutive interruptions of a call; after that other tasks run before it is retried.
const MAX_CONSECUTIVE_INTERRUPTIONS: usize = 64;
/// The initial wait before a connection attempt is retried after a shortage; it doubles with each further shortage.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(1);
/// The maximum wait before a connection attempt is retried after a shortage.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(20);
/// The wait before accepting is retried after a shortage.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The meaning of a failed system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The socket is not ready; the caller is notified when it is.
    NotReady,
    /// The call was interrupted, or concerned one connection that is gone: it must be retried at once.
    Retry,
    /// This machine was short of a resource: the call must be retried after a short wait.
    Shortage,
    /// The peer, or the network path to it, has failed.
    Peer,
}

/// Classifies the failure of a call on a connection, or of a call that establishes one.
pub fn classify(error: &io::Error) -> Failure {
    match error.kind() {
        ErrorKind::WouldBlock => return Failure::NotReady,
        ErrorKind::Interrupted => return Failure::Retry,
        _ => {}
    }
    match error.raw_os_error() {
        Some(
            libc::EMFILE
            | libc::ENFILE
            | libc::ENOBUFS
            | libc::ENOMEM
            | libc::EADDRNOTAVAIL
            | libc::ENETUNREACH
            | libc::ENETDOWN,
        ) => Failure::Shortage,
        _ => Failure::Peer,
    }
}

/// Classifies the failure of accepting a connection; the listener itself never fails permanently. An error of a
/// pending connection is returned as an error of accepting, and the next connection must be accepted at once
/// (`accept(2)`).
pub fn classify_accept(error: &io::Error) -> Failure {
    match (classify(error), error.raw_os_error()) {
        (Failure::Shortage, Some(libc::ENETUNREACH | libc::ENETDOWN)) | (Failure::Peer, _) => Failure::Retry,
        (failure, _) => failure,
    }
}

/// Repeats `call` for as long as it is interrupted.
///
/// # Errors
/// The call's error; `Interrupted` if it was interrupted many times in a row, which counts as not ready.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_CONSECUTIVE_INTERRUPTIONS {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    Err(ErrorKind::Interrupted.into())
}

/// Connects, and disables the delay of small writes. Retries while this machine is short of a resource; the caller sets
/// a timeout.
///
/// # Errors
/// The failure of the peer, or of the network path to it.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut backoff = MIN_CONNECT_BACKOFF;
    loop {
        let error = match TcpStream::connect(address).await {
            Ok(stream) => match stream.set_nodelay(true) {
                Ok(()) => return Ok(stream),
                Err(error) => error,
            },
            Err(error) => error,
        };
        if classify(&error) == Failure::Peer {
            return Err(error);
        }
        tracing::debug!(%address, %error, "connecting failed; retrying");
        tokio::time::sleep(backoff).await;
        backoff = (2 * backoff).min(MAX_CONNECT_BACKOFF);
    }
}

/// Accepts the next connection; failures are retried.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                match classify_accept(&error) {
                    Failure::Shortage => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
                    _ => tokio::task::yield_now().await,
                }
            }
        }
    }
}

/// A connected socket whose reads and writes survive interrupted and short calls.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }

    /// The wrapped stream.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// Performs a read or a write once the socket is ready for it.
    fn poll_call<T>(
        cx: &mut Context<'_>,
        mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
        mut call: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(poll_ready(cx))?;
            match retry_interrupted(&mut call) {
                // The runtime has cleared the readiness, and waits until the socket is ready again.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                result => return Poll::Ready(result),
            }
        }
    }

    /// Reads at most `max_bytes` into the unfilled part of `buf`, and returns their number. Memory that no bytes are
    /// read into is not touched.
    pub fn poll_read_limited(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        if buf.remaining() == 0 || max_bytes == 0 {
            return Poll::Ready(Ok(0));
        }
        let ready = |cx: &mut Context<'_>| self.0.poll_read_ready(cx);
        Self::poll_call(cx, ready, || self.0.try_read_buf(&mut (&mut *buf).limit(max_bytes)))
    }

    fn poll_write_call(
        &self,
        cx: &mut Context<'_>,
        call: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        Self::poll_call(cx, |cx| self.0.poll_write_ready(cx), call)
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_read_limited(cx, buf, usize::MAX).map_ok(drop)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, || self.0.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, || self.0.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

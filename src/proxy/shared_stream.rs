//! A TCP stream with two owners: hyper reads and writes it, and the proxy observes it.
//!
//! The proxy can check whether there are unread bytes, whether the peer has closed the connection, and whether all
//! written bytes have been handed to the system. It can also put back bytes that hyper has read but not used, and drain
//! the connection before closing it.

use crate::os::sockets::{Failure, Socket, classify, retry_interrupted};
use crate::proxy::memory::{HeadMemory, INITIAL_BUFFER_BYTES};
use bytes::Bytes;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How often a connection with unread bytes is checked for its end: the runtime does not report an end that follows
/// unread bytes.
const END_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The size of the buffer for discarded bytes.
const DRAIN_BUFFER_BYTES: usize = 4096;

/// The most that is read at once. Hyper enlarges its buffer after each read that fills it.
const MAX_READ_BYTES: usize = INITIAL_BUFFER_BYTES - 1;

/// What the system has received on a connection and this process has not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end of the connection: the peer has closed it.
    End,
    /// The end of the connection: it has failed.
    Broken,
}

/// The number of connections with bytes that were written but not yet handed to the system.
pub type UnsentGauge = Rc<Cell<usize>>;

struct Inner {
    socket: RefCell<Socket>,
    /// Bytes that were put back, to be read before new ones.
    pushed_back: RefCell<Bytes>,
    has_read_end: Cell<bool>,
    has_unsent_bytes: Cell<bool>,
    /// When the last of the written bytes was handed to the system.
    sent_at: Cell<Option<Instant>>,
    /// When bytes were last read from the system.
    received_at: Cell<Option<Instant>>,
    /// When unsent bytes were last handed to the system, or began to wait for that.
    send_progressed_at: Cell<Instant>,
    /// Counts the connections with unsent bytes.
    unsent_gauge: UnsentGauge,
    /// The memory for the head that is being read.
    head: Option<HeadMemory>,
}

/// A handle to a shared TCP stream; clones are handles to the same stream.
#[derive(Clone)]
pub struct SharedStream(Rc<Inner>);

impl SharedStream {
    /// Shares a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        Self::build(stream, UnsentGauge::default(), None)
    }

    /// Shares a connected socket that reserves memory for the heads that are read.
    pub fn with_head_memory(stream: TcpStream, head: HeadMemory) -> Self {
        Self::build(stream, UnsentGauge::default(), Some(head))
    }

    /// Shares a client's socket: it is counted in `unsent_gauge` while it has unsent bytes, and reserves memory for the
    /// heads that are read.
    pub fn of_client(stream: TcpStream, unsent_gauge: UnsentGauge, head: HeadMemory) -> Self {
        Self::build(stream, unsent_gauge, Some(head))
    }

    fn build(stream: TcpStream, unsent_gauge: UnsentGauge, head: Option<HeadMemory>) -> Self {
        Self(Rc::new(Inner {
            socket: RefCell::new(Socket::new(stream)),
            pushed_back: RefCell::default(),
            has_read_end: Cell::default(),
            has_unsent_bytes: Cell::default(),
            sent_at: Cell::default(),
            received_at: Cell::default(),
            send_progressed_at: Cell::new(Instant::now()),
            unsent_gauge,
            head,
        }))
    }

    /// The memory for the head that is being read, if it is limited.
    pub fn head_memory(&self) -> Option<&HeadMemory> {
        self.0.head.as_ref()
    }

    /// Puts back bytes that were read but not used: they are read again before anything else.
    pub fn push_back(&self, bytes: Bytes) {
        self.0.pushed_back.replace(bytes);
    }

    /// Whether the end of the peer's data has been read.
    pub fn has_read_end(&self) -> bool {
        self.0.has_read_end.get()
    }

    /// Whether some of the written bytes have not been handed to the system yet.
    pub fn has_unsent_bytes(&self) -> bool {
        self.0.has_unsent_bytes.get()
    }

    /// When the last of the written bytes was handed to the system.
    pub fn sent_at(&self) -> Option<Instant> {
        self.0.sent_at.get()
    }

    /// When unsent bytes were last handed to the system, or began to wait for that.
    pub fn send_progressed_at(&self) -> Instant {
        self.0.send_progressed_at.get()
    }

    /// When bytes were last read from the system.
    pub fn received_at(&self) -> Option<Instant> {
        self.0.received_at.get()
    }

    /// What is unread now, according to the system; the runtime may not have noticed it yet.
    pub fn unread(&self) -> Unread {
        let socket = self.0.socket.borrow();
        classify_peek(peek(socket.stream()))
    }

    /// The same for a stream that the runtime considers readable; clears its readiness if nothing is unread.
    fn unread_clearing_readiness(&self) -> Unread {
        let socket = self.0.socket.borrow();
        classify_peek(socket.stream().try_io(Interest::READABLE, || peek(socket.stream())))
    }

    /// A function that returns whether the peer has disconnected: whether the connection is closed here, or its end has
    /// been received. The function does not keep the connection open.
    pub fn disconnect_check(&self) -> impl Fn() -> bool + 'static {
        let inner = Rc::downgrade(&self.0);
        move || {
            let stream = inner.upgrade().map(SharedStream);
            stream.is_none_or(|stream| matches!(stream.unread(), Unread::End | Unread::Broken))
        }
    }

    /// Completes once the peer has closed or reset the connection, even if there are unread bytes before that end:
    /// hyper reads no further than the beginning of the next request, so it would not notice.
    pub async fn closed_by_peer(&self) {
        loop {
            let readable = poll_fn(|cx| self.0.socket.borrow().stream().poll_read_ready(cx)).await;
            let unread = self.unread_clearing_readiness();
            let ended = matches!(unread, Unread::End | Unread::Broken);
            if readable.is_err() || ended || self.is_read_closed() {
                return;
            }
            if unread == Unread::Bytes {
                tokio::time::sleep(END_POLL_INTERVAL).await;
            }
        }
    }

    /// Whether the system has reported the end, possibly after unread bytes.
    fn is_read_closed(&self) -> bool {
        let socket = self.0.socket.borrow();
        let ready =
            pin!(socket.stream().ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Shuts down sending, then reads and discards up to `max_bytes`, or until the peer closes. Closing with unread
    /// bytes would reset the connection, and the last written bytes would be lost (RFC 9112, section 9.6).
    pub async fn drain(mut self, max_bytes: usize) {
        self.0.set_unsent(false); // bytes that hyper has not written are never written
        if let Some(head) = &self.0.head {
            drop(head.end_head()); // what is read is discarded
        }
        if self.0.has_read_end.get() {
            return;
        }
        // An error means that the peer has disconnected, which reading reports too.
        let _ = SockRef::from(self.0.socket.borrow().stream()).shutdown(std::net::Shutdown::Write);
        let (mut remaining_bytes, mut buffer) = (max_bytes, [0; DRAIN_BUFFER_BYTES]);
        while let Ok(read @ 1..) = self.read(&mut buffer).await {
            remaining_bytes = remaining_bytes.saturating_sub(read);
            if remaining_bytes == 0 {
                return;
            }
        }
    }
}

/// Peeks at the next byte.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    let socket = SockRef::from(stream);
    retry_interrupted(|| socket.peek(&mut [MaybeUninit::uninit()]))
}

/// Translates the result of [`peek`].
fn classify_peek(peeked: io::Result<usize>) -> Unread {
    match peeked {
        Ok(0) => Unread::End,
        Ok(_) => Unread::Bytes,
        Err(error) => match classify(&error) {
            Failure::NotReady | Failure::Retry | Failure::Shortage => Unread::Nothing,
            Failure::Peer => Unread::Broken,
        },
    }
}

impl Inner {
    fn record_read(&self, bytes: usize) {
        if bytes > 0 {
            self.received_at.set(Some(Instant::now()));
        }
        if let Some(head) = &self.head {
            head.record_read(bytes);
        }
    }

    /// Records the result of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.send_progressed_at.set(Instant::now());
        }
    }

    fn set_unsent(&self, has_unsent: bool) {
        if self.has_unsent_bytes.replace(has_unsent) != has_unsent {
            let others = self.unsent_gauge.get() - usize::from(!has_unsent);
            self.unsent_gauge.set(others + usize::from(has_unsent));
            match has_unsent {
                true => self.send_progressed_at.set(Instant::now()),
                false => self.sent_at.set(Some(Instant::now())),
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.set_unsent(false);
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut pushed_back = self.0.pushed_back.borrow_mut();
        if !pushed_back.is_empty() {
            let length = pushed_back.len().min(buf.remaining());
            buf.put_slice(&pushed_back.split_to(length));
            return Poll::Ready(Ok(()));
        }
        if let Some(head) = &self.0.head {
            ready!(head.poll_ready(cx));
        }
        let has_capacity = buf.remaining() > 0;
        let read = ready!(self.0.socket.borrow().poll_read_limited(cx, buf, MAX_READ_BYTES));
        let received_bytes = *read.as_ref().unwrap_or(&0);
        self.0.record_read(received_bytes);
        let is_end = has_capacity && received_bytes == 0;
        self.0.has_read_end.set(self.0.has_read_end.get() || is_end);
        Poll::Ready(read.map(drop))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.set_unsent(true);
        let written = Pin::new(&mut *self.0.socket.borrow_mut()).poll_write(cx, buf);
        self.0.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.set_unsent(true);
        let written = Pin::new(&mut *self.0.socket.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.0.socket.borrow().is_write_vectored()
    }

    /// Called by hyper once it has written everything.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.set_unsent(false);
        Pin::new(&mut *self.0.socket.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.socket.borrow_mut()).poll_shutdown(cx)
    }
}

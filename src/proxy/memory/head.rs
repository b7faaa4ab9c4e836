//! The memory for the head of a message that is larger than a connection's initial buffer.

use super::incomplete::{IncompleteRequest, RequestMemory};
use super::pool::{MemoryPool, Reservation};
use super::{INITIAL_BUFFER_BYTES, LARGE_HEAD_BYTES};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// A reservation that is being made.
type PendingReservation = Pin<Box<dyn Future<Output = Reservation>>>;

/// Where the memory for a head is reserved.
#[derive(Clone)]
enum Source {
    /// For requests.
    Requests(Rc<RequestMemory>),
    /// For responses.
    Responses(Rc<MemoryPool>),
}

/// Reserves memory for the head that is being read on a connection, once it is larger than the initial buffer.
pub struct HeadMemory {
    source: Source,
    /// Whether the bytes that are read belong to a head.
    is_reading: Cell<bool>,
    /// The number of bytes read of the head.
    read_bytes: Cell<usize>,
    /// The request of a head that has reserved memory, or waits for it.
    incomplete: RefCell<Option<Rc<IncompleteRequest>>>,
    pending: RefCell<Option<PendingReservation>>,
    reservation: RefCell<Option<Reservation>>,
}

impl HeadMemory {
    /// For a connection that reads requests. Its first head is being read.
    pub fn of_requests(memory: Rc<RequestMemory>) -> Self {
        Self::new(Source::Requests(memory), true)
    }

    /// For a connection that reads responses.
    pub fn of_responses(pool: Rc<MemoryPool>) -> Self {
        Self::new(Source::Responses(pool), false)
    }

    fn new(source: Source, is_reading: bool) -> Self {
        Self {
            source,
            is_reading: Cell::new(is_reading),
            read_bytes: Cell::default(),
            incomplete: RefCell::default(),
            pending: RefCell::default(),
            reservation: RefCell::default(),
        }
    }

    /// Records that what is read from now on is a head.
    pub fn begin_head(&self) {
        self.read_bytes.set(0);
        self.is_reading.set(true);
    }

    /// Records that the head has been read. Returns what it has reserved.
    pub fn end_head(&self) -> Option<Reservation> {
        self.is_reading.set(false);
        self.incomplete.take();
        self.pending.take();
        self.reservation.take()
    }

    /// Records that bytes have been read.
    pub fn record_read(&self, bytes: usize) {
        if !self.is_reading.get() {
            return;
        }
        self.read_bytes.set(self.read_bytes.get() + bytes);
        if let (Some(incomplete), Some(reservation)) =
            (&*self.incomplete.borrow(), &*self.reservation.borrow())
        {
            incomplete.progressed(reservation.bytes());
        }
    }

    /// Waits until there is memory for further bytes.
    pub fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let fits_initial_buffer = self.read_bytes.get() + 1 < INITIAL_BUFFER_BYTES;
        if !self.is_reading.get() || fits_initial_buffer || self.reservation.borrow().is_some() {
            return Poll::Ready(());
        }
        let mut pending = self.pending.borrow_mut();
        let reserving = pending.get_or_insert_with(|| self.reserve());
        let reservation = ready!(reserving.as_mut().poll(cx));
        *pending = None;
        if let Some(incomplete) = &*self.incomplete.borrow() {
            incomplete.progressed(reservation.bytes());
        }
        self.reservation.replace(Some(reservation));
        Poll::Ready(())
    }

    fn reserve(&self) -> PendingReservation {
        match self.source.clone() {
            Source::Requests(memory) => {
                let request = Rc::new(memory.incomplete());
                self.incomplete.replace(Some(request.clone()));
                Box::pin(async move { request.reserve(LARGE_HEAD_BYTES).await })
            }
            Source::Responses(pool) => Box::pin(async move { pool.reserve(LARGE_HEAD_BYTES).await }),
        }
    }

    /// Completes once the head that is being read has been aborted, because memory is used up.
    pub fn poll_aborted(&self, cx: &mut Context<'_>) -> Poll<()> {
        let incomplete = self.incomplete.borrow();
        incomplete.as_ref().map_or(Poll::Pending, |request| request.poll_aborted(cx))
    }
}

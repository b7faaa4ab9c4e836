//! A pool of memory that is counted in bytes.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Counts the bytes that are reserved. Reservations that have to wait are made in the order of their requests.
pub struct MemoryPool {
    free: Arc<Semaphore>,
    /// The number of reservations that have to wait.
    waiting: Cell<usize>,
}

/// Bytes reserved in a [`MemoryPool`], which are released on drop.
pub struct Reservation(OwnedSemaphorePermit);

/// Counts a waiting reservation until it is dropped.
struct WaitingCount<'a>(&'a Cell<usize>);

impl<'a> WaitingCount<'a> {
    fn begin(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MemoryPool {
    /// A pool of `bytes`, all free.
    pub fn new(bytes: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))), waiting: Cell::default() }
    }

    /// Reserves `bytes` if they are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        self.free.clone().try_acquire_many_owned(permits).ok().map(Reservation)
    }

    /// Reserves `bytes`, once they are free. Never completes for more bytes than the pool has.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        if let Some(reservation) = self.try_reserve(bytes) {
            return reservation;
        }
        let _count = WaitingCount::begin(&self.waiting);
        match self.free.clone().acquire_many_owned(u32::try_from(bytes).unwrap_or(u32::MAX)).await {
            Ok(permit) => Reservation(permit),
            Err(_) => std::future::pending().await, // the semaphore is never closed
        }
    }

    /// Whether a reservation has to wait.
    pub fn is_exhausted(&self) -> bool {
        self.waiting.get() > 0
    }

    /// The number of free bytes.
    pub fn free_bytes(&self) -> usize {
        self.free.available_permits()
    }
}

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }

    /// Adds another reservation in the same pool.
    pub fn add(&mut self, other: Self) {
        self.0.merge(other.0);
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        drop(self.0.split(excess));
    }
}

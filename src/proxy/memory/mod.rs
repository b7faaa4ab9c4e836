//! How much memory the bytes of peers may use, and who gives way when it runs out.
//!
//! Whoever stores bytes of a peer holds a [`Reservation`] for them. Responses have a pool of their own, so that requests
//! that wait for them cannot keep them from being read, and so have large heads, so that bodies do not wait behind them.
//! When a pool for requests is used up, the incomplete requests that have not progressed for longest are aborted.
//!
//! The first [`INITIAL_BUFFER_BYTES`] of each buffer of a connection are not reserved: they are part of what a
//! connection costs, [`CONNECTION_BYTES`].

mod head;
mod incomplete;
mod pool;
mod reserved_buffer;

pub use head::HeadMemory;
pub use incomplete::{IncompleteRequest, RequestMemory};
pub use pool::{MemoryPool, Reservation};
pub use reserved_buffer::ReservedBuffer;

use super::upstream::MAX_BODY_BYTES;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The initial size of a connection's read buffer and of its write buffer, which the HTTP library sets.
pub const INITIAL_BUFFER_BYTES: usize = 8 << 10;
/// The maximum size of the head of a request or a response.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// What a head above [`INITIAL_BUFFER_BYTES`] reserves: its buffer, and its copy in the buffer that it is sent from.
const LARGE_HEAD_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// What an open connection costs without reserved bytes: a write buffer, a read buffer that has grown once, and a task.
const CONNECTION_BYTES: usize = 28 << 10;
/// What the process needs without connections: the program, the endpoint list, and the balancer's state.
const BASE_BYTES: usize = 10 << 20;
/// The part of the remaining memory that is left to the allocator, for memory that is free but in pieces.
const ALLOCATOR_RESERVE_FRACTION: f64 = 0.4;
/// The number of pools in [`PeerMemory`].
const POOLS: usize = 3;
/// The minimum size of a pool: 16 bodies of the maximum size.
const MIN_POOL_BYTES: usize = 16 * MAX_BODY_BYTES;

/// The memory for the bytes of peers.
#[derive(Clone)]
pub struct PeerMemory {
    /// For large heads of requests, until the request has its answer and all its attempts have ended.
    pub request_heads: Rc<RequestMemory>,
    /// For bodies of requests, as long.
    pub request_bodies: Rc<RequestMemory>,
    /// For responses of backends, until their clients have taken them.
    pub responses: Rc<MemoryPool>,
}

impl PeerMemory {
    /// Divides `max_bytes` between the pools; `None` means that any number of bytes may be stored.
    pub fn new(max_bytes: Option<usize>) -> Self {
        let pool_bytes = max_bytes.map_or(usize::MAX, |bytes| bytes / POOLS).max(MIN_POOL_BYTES);
        Self {
            request_heads: RequestMemory::new(pool_bytes),
            request_bodies: RequestMemory::new(pool_bytes),
            responses: Rc::new(MemoryPool::new(pool_bytes)),
        }
    }
}

/// The maximum number of connections of a process that may use `memory_mb`, so that each pool has its minimum size.
pub fn max_connections(memory_mb: usize) -> usize {
    (memory_mb << 20).saturating_sub(BASE_BYTES + POOLS * MIN_POOL_BYTES) / CONNECTION_BYTES
}

/// How many bytes of peers a process may store that may use `memory_mb` and opens at most `max_connections`.
pub fn max_peer_bytes(memory_mb: usize, max_connections: usize) -> usize {
    let used = BASE_BYTES + max_connections * CONNECTION_BYTES;
    let remaining = (memory_mb << 20).saturating_sub(used);
    (remaining as f64 * (1.0 - ALLOCATOR_RESERVE_FRACTION)) as usize
}

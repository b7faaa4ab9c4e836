//! The backend side of the proxy: connections to backends, their pools, and attempts on them.

mod attempt;
mod budget;
mod connection;
mod pending;
mod pool;

pub use attempt::{AttemptLimits, AttemptResult, BackendResponse, send_attempt};
pub use budget::ConnectionBudget;
pub use connection::{ConnectionEnd, UpstreamConnection, connect};
pub use pool::{Endpoint, recent_use};

/// The maximum size of the body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

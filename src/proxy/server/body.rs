//! Reads the body of a request with a limit on its size, on the time that it takes, and on the memory of all requests.

use crate::proxy::memory::{INITIAL_BUFFER_BYTES, IncompleteRequest, RequestMemory, ReservedBuffer};
use crate::proxy::upstream::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A body that is too large is read and discarded up to this size, so that the client reads the answer.
pub(super) const MAX_DISCARDED_BYTES: usize = 16 * MAX_BODY_BYTES;
/// How long a body may wait for memory before its request is rejected.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Why a body could not be read.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    #[error("the body broke off")]
    Incomplete,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body did not come")]
    Timeout,
    #[error("too many bytes of requests are stored")]
    OutOfMemory,
}

impl BodyError {
    /// The status that the client gets.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout => StatusCode::REQUEST_TIMEOUT,
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a body. A body that is too large is read and discarded up to [`MAX_DISCARDED_BYTES`], so that the client has
/// written it when the answer arrives.
///
/// # Errors
/// Fails if the body is incomplete, too large, not complete by the deadline, or if there is no memory for it.
pub(super) async fn read_body(
    body: Incoming,
    deadline: Instant,
    memory: &Rc<RequestMemory>,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let request = memory.incomplete();
    tokio::select! {
        biased;
        () = poll_fn(|cx| request.poll_aborted(cx)) => Err(BodyError::OutOfMemory),
        read = tokio::time::timeout_at(deadline, read_bounded(body, &request)) => {
            read.unwrap_or(Err(BodyError::Timeout))
        }
    }
}

async fn read_bounded(mut body: Incoming, request: &IncompleteRequest) -> Result<Bytes, BodyError> {
    let declared_bytes = body.size_hint().upper().unwrap_or(MAX_BODY_BYTES as u64);
    let max_bytes = declared_bytes.min(MAX_BODY_BYTES as u64) as usize;
    let mut buffer = Some(ReservedBuffer::default()).filter(|_| declared_bytes <= MAX_BODY_BYTES as u64);
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| BodyError::Incomplete)?.into_data().unwrap_or_default();
        length += data.len();
        if length > MAX_DISCARDED_BYTES {
            break;
        }
        buffer = buffer.filter(|_| length <= MAX_BODY_BYTES);
        if let Some(buffer) = &mut buffer {
            reserve_for(buffer, data.len(), max_bytes, request).await?;
            buffer.extend(&data);
        }
        request.progressed(buffer.as_ref().map_or(0, ReservedBuffer::reserved_bytes));
    }
    buffer.map(ReservedBuffer::into_bytes).ok_or(BodyError::TooLarge)
}

/// Makes sure that the buffer may grow by `bytes`, for a body of at most `max_bytes`.
async fn reserve_for(
    buffer: &mut ReservedBuffer,
    bytes: usize,
    max_bytes: usize,
    request: &IncompleteRequest,
) -> Result<(), BodyError> {
    let missing_bytes = buffer.missing_bytes(bytes);
    if missing_bytes == 0 {
        return Ok(());
    }
    let doubled_bytes = buffer.reserved_bytes().max(INITIAL_BUFFER_BYTES);
    let useful_bytes = max_bytes.saturating_sub(INITIAL_BUFFER_BYTES + buffer.reserved_bytes());
    let reserved = request.reserve(doubled_bytes.min(useful_bytes).max(missing_bytes));
    let reservation = tokio::time::timeout(MAX_MEMORY_WAIT, reserved).await;
    buffer.add(reservation.map_err(|_| BodyError::OutOfMemory)?);
    Ok(())
}

//! Reads the body of a request with a limit on its size and on the time that it takes.

use crate::proxy::upstream::MAX_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::time::Instant;

/// A body that is too large is read and discarded up to this size, so that the client reads the answer.
pub(super) const MAX_DISCARDED_BYTES: usize = 16 * MAX_BODY_BYTES;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    #[error("the body broke off")]
    Incomplete,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body did not come")]
    Timeout,
}

impl BodyError {
    /// The status that the client gets.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a body. A body that is too large is read and discarded up to [`MAX_DISCARDED_BYTES`], so that the client has
/// written it when the answer arrives.
///
/// # Errors
/// Fails if the body is incomplete, too large, or not complete by the deadline.
pub(super) async fn read_body(body: Incoming, deadline: Instant) -> Result<Bytes, BodyError> {
    let read = tokio::time::timeout_at(deadline, read_bounded(body)).await;
    read.unwrap_or(Err(BodyError::Timeout))
}

async fn read_bounded(mut body: Incoming) -> Result<Bytes, BodyError> {
    let expected = body.size_hint().lower().min(MAX_BODY_BYTES as u64);
    let mut complete = BytesMut::with_capacity(expected as usize);
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| BodyError::Incomplete)?.into_data().unwrap_or_default();
        length += data.len();
        if length <= MAX_BODY_BYTES {
            complete.extend_from_slice(&data);
        } else if length > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if length > MAX_BODY_BYTES {
        return Err(BodyError::TooLarge);
    }
    Ok(complete.freeze())
}

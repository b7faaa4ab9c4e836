//! The answers to clients.

use crate::Time;
use crate::proxy::upstream::BackendResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// How long a client whose request finds no capacity is asked to wait before it retries, in seconds.
const OVERLOAD_RETRY_AFTER_S: Time = 1.0;
/// The longest wait a client is asked for, as a fraction of its remaining time, so that the retry can be in time.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.5;

/// An answer to a client.
pub(super) type ClientResponse = Response<Full<Bytes>>;

/// An answer with a line of text.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// The answer to a request that a backend served.
pub(super) fn served(backend: BackendResponse) -> ClientResponse {
    let mut response = Response::new(Full::new(backend.body));
    if let Some(content_type) = backend.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// The answer to a rejected request. Its `Retry-After` header is `retry_after` if that is given, otherwise the time
/// after which there may be capacity, if `max_retry_after` is above 0. `remaining` is the time that the client has
/// left. All times are in seconds.
pub(super) fn rejected(
    line: &'static str,
    retry_after: Option<Time>,
    max_retry_after: Time,
    remaining: Time,
) -> ClientResponse {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, line);
    let default = OVERLOAD_RETRY_AFTER_S.min(max_retry_after).min(MAX_RETRY_AFTER_FRACTION * remaining);
    let retry_after = retry_after.or(Some(default).filter(|seconds| *seconds > 0.0));
    let header = retry_after.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")).ok());
    if let Some(header) = header {
        response.headers_mut().insert(RETRY_AFTER, header);
    }
    response
}

//! A client's request as it is forwarded to backends, shared by all of its attempts.

use crate::Time;
use crate::guard::{AttemptHistory, Guard};
use crate::proxy::memory::Reservation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use std::rc::Rc;

/// Adds headers to an attempt.
pub type HeaderStamp = Rc<dyn Fn(&mut HeaderMap)>;

/// A request as it is forwarded to backends.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The memory that the headers have reserved, if they are large.
    pub head_reservation: Option<Reservation>,
    /// The body.
    pub body: Bytes,
    /// Whether it must not be executed twice.
    pub is_non_idempotent: bool,
    /// The attempts so far.
    pub history: AttemptHistory,
    /// Checks each attempt before it is sent.
    pub guard: Rc<Guard>,
    /// Whether it has its final answer or its client has disconnected, after which no more attempts are sent.
    pub is_done: Cell<bool>,
    /// Whether its client has disconnected according to the system, which may notice before the runtime does.
    pub client_has_disconnected: Box<dyn Fn() -> bool>,
    /// Adds headers to each attempt as it is sent.
    pub stamp: Option<HeaderStamp>,
}

impl ForwardedRequest {
    /// Whether the headers are larger than the initial buffer of a connection.
    pub fn has_large_head(&self) -> bool {
        self.head_reservation.is_some()
    }

    /// Returns the request to send for an attempt whose client waits for `remaining` more seconds.
    pub fn attempt(&self, remaining: Time) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let remaining_ms = HeaderValue::from((remaining.max(0.0) * 1000.0) as u64);
        request.headers_mut().insert("x-remaining-ms", remaining_ms);
        if let Some(stamp) = &self.stamp {
            stamp(request.headers_mut());
        }
        request
    }
}

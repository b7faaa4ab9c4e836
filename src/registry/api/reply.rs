//! Replies of the HTTP API, and their JSON form.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// A reply with its complete body.
pub(super) type Reply = Response<Full<Bytes>>;

/// A reply with this status and a JSON body.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A 200 with `body` serialized by [`sorted_json`].
pub(super) fn ok(body: &impl Serialize) -> Reply {
    json(StatusCode::OK, sorted_json(body))
}

/// Serializes `body` as JSON whose objects have their keys in alphabetical order, as in every reply of the API except
/// reads and watches of the agreement.
pub(super) fn sorted_json(body: &impl Serialize) -> Bytes {
    // The maps of `serde_json::Value` are sorted. Bodies are structs of this crate with text keys, which serialize.
    let value = serde_json::to_value(body).expect("a reply serializes");
    value.to_string().into()
}

//! One attempt on a backend, from connecting to its exact outcome.

use super::MAX_BODY_BYTES;
use super::connection::UpstreamConnection;
use super::pool::{Endpoint, PooledConnection};
use crate::guard::{AttemptState, Invariant, Permit as SendPermit};
use crate::proxy::clock::Clock;
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::proxy::memory::{INITIAL_BUFFER_BYTES, MemoryPool, ReservedBuffer};
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::DropReason;
use crate::{Outcome, Time};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;

/// A backend sets this header to `1` in the response to a request that it rejected without executing it.
const REJECTED_HEADER: &str = "x-turned-away";

/// A successful response of a backend.
pub struct BackendResponse {
    /// Its body.
    pub body: Bytes,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The response, if the request was served.
    pub response: Option<BackendResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None }
    }
}

/// The time limits of an attempt, and its number.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// When it is cancelled.
    pub deadline: Time,
    /// The latest time at which it may be sent.
    pub send_deadline: Option<Time>,
    /// Its number among the attempts of its request.
    pub number: usize,
}

/// Sends one attempt and waits for its outcome. `is_written` is set as soon as any of the request may have been
/// written: from then on the request may be executed even if the connection breaks, which is reported as a reset.
pub async fn send_attempt(
    endpoint: Rc<Endpoint>,
    request: Rc<ForwardedRequest>,
    clock: Clock,
    limits: AttemptLimits,
    is_written: Rc<Cell<bool>>,
) -> AttemptResult {
    match exchange(&endpoint, &request, &clock, limits, &is_written).await {
        Ok(result) => result,
        Err(outcome) => outcome.into(),
    }
}

/// Runs the attempt up to its complete response.
///
/// # Errors
/// The outcome of an attempt without a complete response.
async fn exchange(
    endpoint: &Rc<Endpoint>,
    request: &ForwardedRequest,
    clock: &Clock,
    limits: AttemptLimits,
    is_written: &Cell<bool>,
) -> Result<AttemptResult, Outcome> {
    let epoch = endpoint.epoch();
    let (mut connection, response) = loop {
        let (mut upstream, permit) = connect(endpoint, request, clock, limits).await?;
        let send_permit = match admit(endpoint, request, clock, limits) {
            Ok(send_permit) => send_permit,
            Err(Invariant::Drain) => return Err(Outcome::ConnectFailed),
            Err(_) => {
                // The connection can serve another request.
                endpoint.store((upstream, permit), epoch, false);
                return Err(Outcome::NotSent);
            }
        };
        is_written.set(true);
        match upstream.send_permitted(request, send_permit, clock).await {
            Some(Ok(response)) => break ((upstream, permit), response),
            // The request was returned unsent: the connection had ended before any of it was written.
            Some(Err(error)) if error.message().is_some() => is_written.set(false),
            _ => return Err(Outcome::Reset),
        }
    };
    let result = read_response(&mut connection, response).await?;
    // A connection whose buffers have grown is closed, which releases them.
    if !request.has_large_head() && !result.has_large_head {
        endpoint.store(connection, epoch, true);
    }
    Ok(result.attempt)
}

/// Acquires a connection for the attempt.
async fn connect(
    endpoint: &Rc<Endpoint>,
    request: &ForwardedRequest,
    clock: &Clock,
    limits: AttemptLimits,
) -> Result<PooledConnection, Outcome> {
    let deadline = clock.instant_of(limits.deadline);
    let connection = endpoint.acquire(request.is_non_idempotent, deadline).await;
    connection.ok_or_else(|| {
        metrics::count(CountedEvent::AttemptDropped(DropReason::NoConnection));
        Outcome::ConnectFailed
    })
}

/// Requests the guard's permission to send: the conditions under which the attempt was planned may have changed while
/// its connection was established.
fn admit(
    endpoint: &Endpoint,
    request: &ForwardedRequest,
    clock: &Clock,
    AttemptLimits { deadline, send_deadline, number }: AttemptLimits,
) -> Result<SendPermit, Invariant> {
    let attempt = AttemptState {
        number,
        history: &request.history,
        send_cutoff: endpoint.send_cutoff(),
        grace_deadline: endpoint.grace_deadline(),
        send_deadline,
        deadline,
        client_disconnected: (request.client_has_disconnected)(),
        request_done: request.is_done.get(),
    };
    request.guard.admit(clock.now(), attempt).inspect_err(|invariant| {
        metrics::count(CountedEvent::AttemptDropped(DropReason::InvariantAtRisk));
        tracing::debug!(number, promise = invariant.label(), "attempt not sent");
    })
}

/// A complete response.
struct CompleteResponse {
    attempt: AttemptResult,
    /// Whether its head was larger than the connection's initial buffer.
    has_large_head: bool,
}

async fn read_response(
    (upstream, permit): &mut PooledConnection,
    response: Response<Incoming>,
) -> Result<CompleteResponse, Outcome> {
    let head_reservation = upstream.end_head();
    let (head, body) = response.into_parts();
    let body = read_body(upstream, body, permit.responses()).await.ok_or(Outcome::Reset)?;
    let outcome = outcome_of(&head);
    let content_type = head.headers.get(CONTENT_TYPE).and_then(copy);
    let response = (outcome == Outcome::Served).then_some(BackendResponse { body, content_type });
    let attempt = AttemptResult { outcome, response };
    Ok(CompleteResponse { attempt, has_large_head: head_reservation.is_some() })
}

/// Copies a value: the original references the whole buffer of its head.
fn copy(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// Reads the body of a response; returns `None` if it is too long or breaks off. The bytes are copied: each frame
/// references a whole read buffer, which would make a body that comes in small pieces many times larger.
async fn read_body(
    upstream: &mut UpstreamConnection,
    mut body: Incoming,
    memory: &MemoryPool,
) -> Option<Bytes> {
    let declared_bytes = body.size_hint().upper().unwrap_or(MAX_BODY_BYTES as u64);
    let max_bytes = usize::try_from(declared_bytes).ok().filter(|bytes| *bytes <= MAX_BODY_BYTES)?;
    let mut buffer = ReservedBuffer::default();
    while let Some(frame) = upstream.drive(body.frame()).await? {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if buffer.as_ref().len() + data.len() > max_bytes {
            return None;
        }
        if buffer.missing_bytes(data.len()) > 0 {
            // All that the body may need, so that no two responses wait for each other's memory.
            buffer.add(memory.reserve(max_bytes - INITIAL_BUFFER_BYTES).await);
        }
        buffer.extend(&data);
    }
    Some(buffer.into_bytes())
}

fn outcome_of(head: &Parts) -> Outcome {
    let is_rejection = || head.headers.get(REJECTED_HEADER).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejection() => Outcome::Rejected,
        StatusCode::BAD_REQUEST => Outcome::BadRequest,
        _ => Outcome::Error,
    }
}

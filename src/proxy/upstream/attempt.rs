//! One attempt on a backend, from connecting to its exact outcome.

use super::MAX_BODY_BYTES;
use super::connection::UpstreamConnection;
use super::pool::{Endpoint, PooledConnection};
use crate::guard::{AttemptState, Invariant, Permit as SendPermit};
use crate::proxy::clock::Clock;
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::DropReason;
use crate::{Outcome, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
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
    let (connection, response) = loop {
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
    read_response(endpoint, connection, epoch, response).await
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

async fn read_response(
    endpoint: &Endpoint,
    (mut upstream, permit): PooledConnection,
    epoch: u64,
    response: Response<Incoming>,
) -> Result<AttemptResult, Outcome> {
    let (head, body) = response.into_parts();
    let body = read_body(&mut upstream, body).await.ok_or(Outcome::Reset)?;
    endpoint.store((upstream, permit), epoch, true);
    let outcome = outcome_of(&head);
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let response = (outcome == Outcome::Served).then_some(BackendResponse { body, content_type });
    Ok(AttemptResult { outcome, response })
}

async fn read_body(upstream: &mut UpstreamConnection, body: Incoming) -> Option<Bytes> {
    let collected = upstream.drive(Limited::new(body, MAX_BODY_BYTES).collect()).await?.ok()?;
    Some(collected.to_bytes())
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

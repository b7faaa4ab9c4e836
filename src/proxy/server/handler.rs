//! Answers one request: with the readiness, or with the engine's answer.

use super::Server;
use super::body::{BodyError, read_body};
use super::request_head::{self, HeadError};
use super::responses::{self, ClientResponse};
use crate::guard::AttemptHistory;
use crate::proxy::engine::{Answer, Engine};
use crate::proxy::forwarded_request::ForwardedRequest;
use crate::proxy::memory::Reservation;
use crate::proxy::shared_stream::SharedStream;
use crate::telemetry::metrics::{self, CountedEvent};
use crate::telemetry::reason::Rejection;
use crate::{Idempotency, Request, RequestId, Time};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use std::cell::Cell;
use thiserror::Error;
use tokio::time::Instant;

/// The path of the readiness check.
const READINESS_PATH: &str = "/-/ready";

/// The client has closed its connection and does not wait for the answer.
#[derive(Debug, Error)]
#[error("the client has disconnected")]
pub(super) struct ClientDisconnected;

/// The state of a request's connection that the handler uses.
pub(super) struct RequestContext<'a> {
    /// The number of the connection.
    pub(super) connection: u64,
    pub(super) stream: &'a SharedStream,
    /// Whether the connection is within the limit; otherwise its request is rejected.
    pub(super) is_admitted: bool,
    /// When the request must have arrived completely.
    pub(super) read_deadline: Instant,
    /// The memory that the head has reserved, if it is large.
    pub(super) head_reservation: Option<Reservation>,
}

/// Reports to the engine on drop that the client has disconnected; has no effect once the request is answered.
struct DisconnectGuard<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.engine.client_disconnected(self.id);
    }
}

impl Server {
    /// Answers a request.
    ///
    /// # Errors
    /// Fails if the client disconnects before its answer.
    pub(super) async fn respond(
        &self,
        request: hyper::Request<Incoming>,
        context: RequestContext<'_>,
    ) -> Result<ClientResponse, ClientDisconnected> {
        if request.uri().path() == READINESS_PATH {
            return Ok(self.readiness());
        }
        let (head, body) = request.into_parts();
        let body = match read_body(body, context.read_deadline, &self.engine.memory().request_bodies).await {
            Ok(body) => body,
            Err(error) => return Ok(incomplete_request(&error)),
        };
        let parsed = request_head::parse(&head.headers, &self.proxy_settings, &self.settings.borrow());
        let request = match parsed {
            Ok(request) => request,
            Err(error) => return Ok(bad_request(&error)),
        };
        if !context.is_admitted {
            let reason = Rejection::TooManyConnections;
            metrics::count(CountedEvent::RequestRejected(reason));
            tracing::debug!(id = %request.id, reason = reason.label(), "rejected");
            return Ok(self.rejection("too many connections\n", None, request.timeout));
        }
        self.forward(request, head, body, context).await
    }

    fn readiness(&self) -> ClientResponse {
        match self.engine.has_list() && !self.shutdown.is_draining() {
            true => responses::text(StatusCode::OK, "ready\n"),
            false => responses::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// Submits a request to the engine and waits for the answer.
    async fn forward(
        &self,
        request: Request,
        head: Parts,
        body: Bytes,
        context: RequestContext<'_>,
    ) -> Result<ClientResponse, ClientDisconnected> {
        let RequestContext { connection, stream, head_reservation, .. } = context;
        let (id, budget) = (request.id, request.timeout);
        tracing::debug!(%id, connection, class = request.class, budget, "request received");
        let mut forwarded = self.forwarded_request(request.class, head, body, stream);
        forwarded.head_reservation = head_reservation;
        let Some(answer) = self.engine.submit(request, forwarded) else {
            return Ok(bad_request(&HeadError::UsedRequestId));
        };
        let disconnect_guard = DisconnectGuard { engine: &self.engine, id };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = stream.closed_by_peer() => {
                tracing::debug!(%id, "client disconnected");
                return Err(ClientDisconnected);
            }
        };
        drop(disconnect_guard); // the request is answered, so no disconnect is reported
        Ok(match answer {
            Ok(Answer::Served(response)) => responses::served(response),
            Ok(Answer::Rejected(retry_after)) => self.rejection("refused, try again\n", retry_after, budget),
            Ok(Answer::Failed) | Err(_) => responses::text(StatusCode::BAD_GATEWAY, "failed\n"),
        })
    }

    fn forwarded_request(
        &self,
        class: usize,
        head: Parts,
        body: Bytes,
        stream: &SharedStream,
    ) -> ForwardedRequest {
        let headers = request_head::forwarded(head.headers);
        let idempotency = self.settings.borrow().classes[class].idempotency;
        ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers,
            head_reservation: None,
            body,
            is_non_idempotent: idempotency == Idempotency::NonIdempotent,
            history: AttemptHistory::new(idempotency),
            guard: self.engine.guard().clone(),
            is_done: Cell::new(false),
            client_has_disconnected: Box::new(stream.disconnect_check()),
            stamp: None,
        }
    }

    fn rejection(&self, line: &'static str, retry_after: Option<Time>, remaining: Time) -> ClientResponse {
        responses::rejected(line, retry_after, self.settings.borrow().max_retry_after, remaining)
    }
}

fn incomplete_request(error: &BodyError) -> ClientResponse {
    if matches!(error, BodyError::OutOfMemory) {
        let reason = Rejection::OutOfMemory;
        metrics::count(CountedEvent::RequestRejected(reason));
        tracing::debug!(reason = reason.label(), "rejected");
    }
    responses::text(error.status(), format!("{error}\n"))
}

fn bad_request(error: &HeadError) -> ClientResponse {
    responses::text(StatusCode::BAD_REQUEST, format!("{error}\n"))
}

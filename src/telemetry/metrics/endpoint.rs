//! The listener that serves the metrics: `GET /metrics`, one answer for each connection.
//!
//! The number and the duration of its connections are limited, as they use descriptors reserved apart from those of
//! clients and backends: a peer that sends nothing, or does not read its answer, occupies a descriptor only briefly.

use super::{Gauges, IS_SERVED, encode};
use crate::os::sockets::{self, Socket};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The media type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The maximum number of simultaneous connections; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 8;
/// The timeout of a connection, from its accept to the end of its answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the metrics on `listener` for as long as it is polled; `gauges` is called for each answer. Counting starts
/// with the first poll. Runs on a `LocalSet`.
pub async fn serve(listener: TcpListener, gauges: impl Fn() -> Gauges + Clone + 'static) {
    IS_SERVED.store(true, Ordering::Relaxed);
    let capacity = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // The semaphore is never closed.
    while let Ok(permit) = capacity.clone().acquire_owned().await {
        let (stream, _) = sockets::accept(&listener).await;
        let served = serve_connection(stream, gauges.clone());
        tokio::task::spawn_local(async move {
            served.await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, gauges: impl Fn() -> Gauges) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(request.uri().path(), gauges());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut http = http1::Builder::new();
    http.keep_alive(false);
    let served = http.serve_connection(TokioIo::new(Socket::new(stream)), service);
    match tokio::time::timeout(CONNECTION_TIMEOUT, served).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(%error, "metrics connection failed"),
        Err(_) => tracing::debug!("metrics connection timed out"),
    }
}

fn respond(path: &str, gauges: Gauges) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if path != "/metrics" {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    match encode(gauges) {
        Ok(text) => *response.body_mut() = Full::new(Bytes::from(text)),
        Err(_) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
    response
}

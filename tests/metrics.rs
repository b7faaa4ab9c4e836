//! Golden check of the metrics text: names, help texts and label values. Dashboards and alerts depend on them.
//!
//! Metrics are global to a process, so this is the only test of its file.

use linkhatch_proxy::Outcome;
use linkhatch_proxy::telemetry::metrics::{self, CountedEvent, Gauges};
use linkhatch_proxy::telemetry::reason::{
    AttemptKind, CloseReason, DropReason, Invariant, PollOutcome, Rejection,
};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const COUNTED_EVENTS: [CountedEvent; 40] = [
    CountedEvent::ConnectionClosed(CloseReason::ClientClosed),
    CountedEvent::ConnectionClosed(CloseReason::ShuttingDown),
    CountedEvent::ConnectionClosed(CloseReason::Evicted),
    CountedEvent::ConnectionClosed(CloseReason::IdleTimeout),
    CountedEvent::RequestRejected(Rejection::InsufficientTime),
    CountedEvent::RequestRejected(Rejection::Overload),
    CountedEvent::RequestRejected(Rejection::NoResponse),
    CountedEvent::RequestRejected(Rejection::TooManyRequests),
    CountedEvent::RequestRejected(Rejection::TooManyConnections),
    CountedEvent::AttemptSent(AttemptKind::First),
    CountedEvent::AttemptSent(AttemptKind::Retry),
    CountedEvent::AttemptDropped(DropReason::InvariantAtRisk),
    CountedEvent::AttemptDropped(DropReason::NoConnection),
    CountedEvent::AttemptDropped(DropReason::NotInFlight),
    CountedEvent::AttemptEnded(Outcome::Served),
    CountedEvent::AttemptEnded(Outcome::Error),
    CountedEvent::AttemptEnded(Outcome::Rejected),
    CountedEvent::AttemptEnded(Outcome::Timeout),
    CountedEvent::AttemptEnded(Outcome::ConnectFailed),
    CountedEvent::AttemptEnded(Outcome::Reset),
    CountedEvent::AttemptEnded(Outcome::Cancelled),
    CountedEvent::AttemptEnded(Outcome::NotSent),
    CountedEvent::AttemptEnded(Outcome::BadRequest),
    CountedEvent::PollEnded(PollOutcome::Answered),
    CountedEvent::PollEnded(PollOutcome::Failed),
    CountedEvent::PollEnded(PollOutcome::Moved),
    CountedEvent::ViolationPrevented(Invariant::Drain),
    CountedEvent::ViolationPrevented(Invariant::Window),
    CountedEvent::ViolationPrevented(Invariant::Repeat),
    CountedEvent::ViolationPrevented(Invariant::ClientGone),
    CountedEvent::ViolationPrevented(Invariant::Answered),
    CountedEvent::ViolationPrevented(Invariant::Exit),
    CountedEvent::ViolationDetected(Invariant::Drain),
    CountedEvent::ViolationDetected(Invariant::Window),
    CountedEvent::ViolationDetected(Invariant::Repeat),
    CountedEvent::ViolationDetected(Invariant::ClientGone),
    CountedEvent::ViolationDetected(Invariant::Answered),
    CountedEvent::ViolationDetected(Invariant::Deadline),
    CountedEvent::ViolationDetected(Invariant::Close),
    CountedEvent::ViolationDetected(Invariant::Exit),
];

/// Calls the listener of the metrics; returns the head and the body of the answer.
async fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    (head.to_string(), body.to_string())
}

/// The lines in sorted order, as the order of the label values of one metric is not defined.
fn sorted(text: &str) -> Vec<&str> {
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    lines
}

#[tokio::test]
async fn the_metrics_text_has_every_name_help_text_and_label_value() {
    let local = LocalSet::new();
    let (other, (head, body)) = local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let gauges = || Gauges { client_connections: 3, upstream_connections: 2, open_requests: 1 };
            tokio::task::spawn_local(metrics::serve(listener, gauges));
            // Events are counted once the listener is served.
            let other = get(address, "/other").await;
            COUNTED_EVENTS.into_iter().for_each(metrics::count);
            metrics::observe_wait(0.003);
            metrics::set_list_revision(7);
            (other, get(address, "/metrics").await)
        })
        .await;
    assert!(other.0.starts_with("HTTP/1.1 404 Not Found\r\n") && other.1.is_empty(), "{other:?}");
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
    let format = "\r\ncontent-type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\n";
    assert!(head.contains(format), "{head}");
    assert_eq!(sorted(&body), sorted(include_str!("golden/metrics.txt")), "{body}");
}

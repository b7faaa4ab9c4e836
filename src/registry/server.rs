//! The process of one list-service node: its background tasks, and the HTTP/1.1 connections that it accepts.

use super::api::Api;
use super::config::RegistryConfig;
use super::connections::{Connection, Connections};
use super::node::{Node, NodeError};
use crate::os::sockets::{self, Socket};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection on which no complete head of a call arrives for this long is closed; callers then open a new one.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a new connection is protected from eviction, because its first call may be on its way.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an evicted connection may take to write its last answer.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one node until the process ends, or until the node finds that it may not take part. Writes
/// `linkhatch-proxy: registry listening on ADDR` to standard error once it listens. Runs on the current thread's runtime
/// and `LocalSet`.
///
/// # Errors
/// Where the node's data directory can't be used or its content is corrupt, its address can't be bound, or its log is
/// not the one with which it has taken part.
pub async fn serve(config: RegistryConfig) -> std::io::Result<()> {
    let (node, recovery) = Node::open(&config).await.map_err(std::io::Error::other)?;
    if let Some(dir) = &config.data_dir {
        let dir = dir.display();
        tracing::info!(%dir, entries = recovery.entries, torn_bytes = recovery.torn_bytes,
            revision = node.revision(), "log read from disk");
    }
    let node = Rc::new(node);
    // Bound only after the log is read, so that no call is answered from a store that fails to load.
    let listener = TcpListener::bind(config.listen).await?;
    eprintln!("linkhatch-proxy: registry listening on {}", listener.local_addr()?);
    start_background_tasks(&node, Duration::from_millis(config.expiry_interval_ms));
    let write_timeout = Duration::from_millis(config.write_timeout_ms);
    let api = Api::new(node.clone(), config.max_watchers, write_timeout);
    let connections = Connections::for_watchers(config.max_watchers);
    tokio::select! {
        result = take_part(&node, &api, !config.peers.is_empty()) => result.map_err(std::io::Error::other),
        () = accept(listener, api.clone(), connections) => Ok(()),
    }
}

fn start_background_tasks(node: &Rc<Node>, expiry_interval: Duration) {
    let (expiry_node, contact_node) = (node.clone(), node.clone());
    tokio::task::spawn_local(async move { expiry_node.run_expiry(expiry_interval).await });
    tokio::task::spawn_local(async move { contact_node.track_quorum_contact().await });
}

/// Takes part in the cluster. Returns only with an error: once the node takes part, this never completes.
async fn take_part(node: &Node, api: &Api, has_peers: bool) -> Result<(), NodeError> {
    node.bootstrap().await?;
    if has_peers {
        node.record_incarnation(|command| api.submit_join(command)).await?;
        tracing::info!(node = node.id(), leader = node.leader(), "node takes part in the cluster");
    }
    std::future::pending().await
}

/// Accepts connections; never returns.
async fn accept(listener: TcpListener, api: Api, connections: Rc<Connections>) {
    loop {
        // Accepted before there is capacity, so that no connection is evicted unless a new one waits.
        let (stream, _) = sockets::accept(&listener).await;
        connections.wait_for_capacity().await;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "TCP_NODELAY not set; small answers may be delayed");
        }
        let (api, connection) = (api.clone(), connections.open_for_call());
        tokio::task::spawn_local(serve_connection(stream, api, connection));
    }
}

/// Answers the calls of one connection until it ends, or is evicted and has answered the call in progress.
async fn serve_connection(stream: TcpStream, api: Api, connection: Rc<Connection>) {
    let service = service_fn(|request| {
        let (api, connection) = (api.clone(), connection.clone());
        async move {
            connection.set_busy();
            let reply = api.handle(request).await;
            connection.set_idle();
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_READ_TIMEOUT);
    let mut http = pin!(http.serve_connection(TokioIo::new(Socket::new(stream)), service));
    tokio::select! {
        biased; // a call that has arrived is read before the connection is closed
        ended = &mut http => return log_end(ended),
        () = wait_for_eviction(&connection) => tracing::debug!("closing a connection for a new one"),
    }
    http.as_mut().graceful_shutdown();
    write_last_answer(http, &connection).await;
}

/// Waits until the connection is to be closed for a new one. A connection without a call counts as idle only after
/// [`FIRST_CALL_TIMEOUT`], because its first call may be on its way.
async fn wait_for_eviction(connection: &Connection) {
    if tokio::time::timeout(FIRST_CALL_TIMEOUT, connection.wait_for_eviction()).await.is_err() {
        connection.stop_awaiting_first_call();
        connection.wait_for_eviction().await;
    }
}

/// Waits until the call in progress is answered and, for at most [`LAST_ANSWER_TIMEOUT`], until the answer is written.
async fn write_last_answer(
    mut http: Pin<&mut impl Future<Output = Result<(), hyper::Error>>>,
    connection: &Connection,
) {
    loop {
        let was_busy = connection.is_busy();
        match tokio::time::timeout(LAST_ANSWER_TIMEOUT, http.as_mut()).await {
            Ok(ended) => return log_end(ended),
            Err(_) if was_busy || connection.is_busy() => {}
            Err(_) => return tracing::debug!("last answer of an evicted connection not written in time"),
        }
    }
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

//! The listener: accepts the clients' connections, and closes without losing those in its backlog.

use super::Server;
use super::client_connection::ClientConnection;
use crate::os::sockets::{self, Failure, classify_accept};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The length of the listener's backlog, in connections.
const BACKLOG: u32 = 1024;
/// How many times in a row accepting may fail while the listener is being closed, before the backlog counts as empty.
const MAX_ACCEPT_FAILURES: usize = 200;
/// The delay before accepting is retried when the system is short of resources.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(1);

impl Server {
    /// Accepts connections for as long as it is polled. A connection beyond the number that may be open is accepted
    /// too, since the time for its request would elapse in the backlog. Another connection is then closed before the
    /// next one is accepted.
    pub(super) async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let (stream, _) = sockets::accept(listener).await;
            self.clone().spawn_connection(stream);
            while self.connections.exceeds_max_open() {
                self.connections.abort_beyond_limit();
                self.connections.wait_for_close().await;
            }
        }
    }

    /// Serves a connection in its own task.
    pub(super) fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // without it, the connection works with more delay
        let client = ClientConnection::open(self, stream);
        tokio::task::spawn_local(async move {
            let reason = tokio::select! {
                biased;
                reason = client.server.serve_connection(&client) => reason,
                reason = client.memory_withdrawn() => reason,
            };
            client.record_close(reason);
            client.linger(reason).await;
        });
    }
}

impl Server {
    /// Closes the listener and serves the connections in its backlog while there is room for them. The others are
    /// closed unread: each uses a descriptor, and idle clients may have filled the backlog.
    pub(super) fn serve_backlog(self: Rc<Self>, listener: TcpListener) {
        drain_backlog(listener, |stream| {
            if !self.connections.is_at_max_open() {
                self.clone().spawn_connection(stream);
            }
        });
    }
}

/// Closes the listener, and returns the connections in its backlog.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    drain_backlog(listener, |stream| accepted.push(stream));
    accepted
}

/// Passes the connections in the listener's backlog to `accept`, each as soon as it is accepted, and then closes the
/// listener: closing it first would reset them. They are accepted from the system directly, as the runtime may not have
/// registered them yet.
fn drain_backlog(listener: TcpListener, mut accept: impl FnMut(TcpStream)) {
    let Ok(listener) = listener.into_std() else { return };
    let mut failures = 0;
    while failures < MAX_ACCEPT_FAILURES {
        let error = match listener.accept() {
            Ok((stream, _)) => {
                failures = 0;
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                stream.into_iter().for_each(&mut accept); // a stream that cannot be polled cannot be served
                continue;
            }
            Err(error) => error,
        };
        match classify_accept(&error) {
            Failure::NotReady => return,
            Failure::Shortage => std::thread::sleep(SHORTAGE_RETRY_DELAY),
            Failure::Retry | Failure::Peer => {}
        }
        failures += 1;
    }
    eprintln!("accept failed {failures} times in a row while the listener was being closed");
}

/// Binds the listener.
///
/// # Errors
/// Fails with the system's error.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

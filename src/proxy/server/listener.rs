//! The listener: accepts the clients' connections, and is closed without losing those that wait in its backlog.

use super::Server;
use super::client_connection::ClientConnection;
use crate::os::sockets::{self, Failure, classify_accept};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The length of the system's backlog of connections.
const BACKLOG: u32 = 1024;
/// How often in a row accepting may fail while the listener is closed, before the backlog counts as empty.
const MAX_ACCEPT_FAILURES: usize = 200;
/// The wait before accepting is retried when the system is short of resources.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(1);

impl Server {
    /// Accepts connections for as long as it is polled. One beyond those that may be open is accepted to have another one
    /// make way, as the time of its request would go by in the backlog. The next one is accepted after that.
    pub(super) async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let (stream, _) = sockets::accept(listener).await;
            self.clone().spawn_connection(stream);
            while self.connections.exceeds_overflow() {
                self.connections.abort_beyond_limit();
                self.connections.wait_for_close().await;
            }
        }
    }

    /// Serves a connection in a task of its own.
    pub(super) fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // it works without, with more delay
        let client = ClientConnection::open(self, stream);
        tokio::task::spawn_local(async move {
            let reason = client.server.serve_connection(&client).await;
            client.record_close(reason);
            client.linger(reason).await;
        });
    }
}

impl Server {
    /// Closes the listener and serves the connections that wait in its backlog, as far as there is room for them. Others
    /// are closed unread: each holds a descriptor, and idle clients may have filled the backlog.
    pub(super) fn serve_backlog(self: Rc<Self>, listener: TcpListener) {
        drain_backlog(listener, |stream| {
            if !self.connections.is_at_overflow() {
                self.clone().spawn_connection(stream);
            }
        });
    }
}

/// Closes the listener, and returns the connections that wait in its backlog.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    drain_backlog(listener, |stream| accepted.push(stream));
    accepted
}

/// Closes the listener, and first hands on the connections that wait in its backlog, each as soon as it is accepted:
/// closing it over them would reset them. It asks the system, as the runtime may not know of them yet.
fn drain_backlog(listener: TcpListener, mut accept: impl FnMut(TcpStream)) {
    let Ok(listener) = listener.into_std() else { return };
    let mut failures = 0;
    while failures < MAX_ACCEPT_FAILURES {
        let error = match listener.accept() {
            Ok((stream, _)) => {
                failures = 0;
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                stream.into_iter().for_each(&mut accept); // one that cannot be waited for cannot be served
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
    eprintln!("accept: {failures} failures in a row while the listener was closed");
}

/// Binds the listener.
///
/// # Errors
/// That of the system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

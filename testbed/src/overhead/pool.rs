//! Connections to one group of servers, kept open between calls.

use crate::http::{Conn, Message};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of idle connections kept open to one server.
const MAX_IDLE_PER_SERVER: usize = 256;

/// Why a call got no answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection broke before the answer was complete.
    #[error("the connection broke")]
    Broken,
    /// No answer within [`CALL_TIMEOUT`].
    #[error("no answer in time")]
    Timeout,
}

/// One server and its idle connections.
struct Server {
    address: SocketAddr,
    idle: RefCell<Vec<Conn>>,
}

/// Servers that are called in turn. A pool belongs to one event loop.
pub struct Pool {
    servers: Vec<Server>,
    next: Cell<usize>,
}

impl Pool {
    /// A pool for these servers, without any connections yet.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let server = |address: &SocketAddr| Server { address: *address, idle: RefCell::default() };
        Self { servers: addresses.iter().map(server).collect(), next: Cell::new(0) }
    }

    /// Returns a connection to the next server.
    ///
    /// # Errors
    /// `Connect`.
    pub async fn connection(&self) -> Result<PooledConnection<'_>, CallFailure> {
        let turn = self.next.get();
        self.next.set(turn.wrapping_add(1));
        let server = &self.servers[turn % self.servers.len()];
        let connection = match server.take_idle() {
            Some(connection) => connection,
            None => server.connect().await?,
        };
        Ok(PooledConnection { server, connection })
    }
}

impl Server {
    /// Takes an idle connection that the server has not closed.
    fn take_idle(&self) -> Option<Conn> {
        loop {
            let connection = self.idle.borrow_mut().pop()?;
            if is_open(&connection) {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Conn, CallFailure> {
        let stream = TcpStream::connect(self.address).await.map_err(CallFailure::Connect)?;
        stream.set_nodelay(true).map_err(CallFailure::Connect)?;
        Ok(Conn::new(stream))
    }
}

/// Whether an idle connection has received nothing, neither data nor its end.
fn is_open(connection: &Conn) -> bool {
    let mut byte = [0u8; 1];
    let read = connection.stream().try_read(&mut byte);
    connection.is_clean() && read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// A connection taken from a pool; it is returned to the pool after a complete answer.
pub struct PooledConnection<'a> {
    server: &'a Server,
    connection: Conn,
}

impl PooledConnection<'_> {
    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// `Broken` or `Timeout`; the connection is then closed.
    pub async fn call(mut self, request: &[u8]) -> Result<Message, CallFailure> {
        let exchange = tokio::time::timeout(CALL_TIMEOUT, async {
            self.connection.write(request).await.map_err(|_| CallFailure::Broken)?;
            self.connection.read().await.map_err(|_| CallFailure::Broken)
        });
        let answer = exchange.await.unwrap_or(Err(CallFailure::Timeout))?;
        let mut idle = self.server.idle.borrow_mut();
        if !answer.closes_connection() && idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(self.connection);
        }
        Ok(answer)
    }
}

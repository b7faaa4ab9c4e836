//! Signals of the system, received even if the calls that read them are interrupted.
//!
//! The runtime's own signal handling ends the process if a read of its pipe is interrupted. This module reads a
//! separate pipe in the same way as all sockets are read ([`crate::os::sockets`]).

use crate::os::sockets::retry_interrupted;
use signal_hook::low_level::pipe;
use std::io::{self, ErrorKind};
use tokio::net::UnixStream;

pub use signal_hook::consts::{SIGHUP, SIGTERM};

/// The number of bytes read from the pipe at once; each byte is a signal.
const READ_BUFFER_BYTES: usize = 64;

/// A receiver of one kind of signal.
pub struct Signals {
    /// Receives a byte for each signal.
    pipe: UnixStream,
}

impl Signals {
    /// Receives `signal` from now on, in place of its default action.
    ///
    /// # Errors
    /// If no pipe can be created, or the signal's handler cannot be set.
    pub fn listen(signal: i32) -> io::Result<Self> {
        let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        sender.set_nonblocking(true)?;
        pipe::register(signal, sender)?;
        Ok(Self { pipe: UnixStream::from_std(receiver)? })
    }

    /// Waits for a signal; several that arrive together count as one.
    pub async fn recv(&mut self) {
        let mut bytes = [0; READ_BUFFER_BYTES];
        loop {
            if self.pipe.readable().await.is_err() {
                std::future::pending::<()>().await; // the runtime shuts down
            }
            match retry_interrupted(|| self.pipe.try_read(&mut bytes)) {
                Ok(1..) => return,
                Ok(0) => std::future::pending::<()>().await, // the handler is gone
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }
}

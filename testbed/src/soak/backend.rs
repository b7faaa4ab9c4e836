//! Backends of the soak: each answers after a few milliseconds of work, or misbehaves as the plan requires.

use super::ledger::{Attempt, SharedLedger, lock_ledger};
use super::plan::BackendMisbehaviour;
use crate::http::{Conn, Message, answer};
use crate::links::abort;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long a backend works on a request.
const WORK_DURATION: Duration = Duration::from_millis(8);
/// The time between an answer and its duplicate.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(4);
/// A backend that forgets idle connections forgets those that were idle for longer than this.
const FORGET_IDLE_AFTER: Duration = Duration::from_millis(150);
/// How long a backend that hangs keeps a request without an answer.
const HANG_DURATION: Duration = Duration::from_secs(30);

/// A simulated backend.
pub struct Backend {
    /// Its number.
    pub number: usize,
    /// The address that it listens on.
    pub address: SocketAddr,
    ledger: SharedLedger,
    misbehaviour: Cell<Option<BackendMisbehaviour>>,
    is_draining: Cell<bool>,
}

impl Backend {
    /// Starts a backend on a port that the system chooses.
    ///
    /// # Errors
    /// The system's, where no port is available.
    pub async fn start(number: usize, ledger: SharedLedger) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let backend = Rc::new(Self {
            number,
            address,
            ledger,
            misbehaviour: Cell::default(),
            is_draining: Cell::default(),
        });
        let accepting = backend.clone();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(tokio::task::spawn_local(accepting.clone().serve(stream))),
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        });
        Ok(backend)
    }

    /// Sets how it misbehaves from now on, if at all.
    pub fn set_misbehaviour(&self, misbehaviour: Option<BackendMisbehaviour>) {
        self.misbehaviour.set(misbehaviour);
    }

    /// Starts or ends draining: a draining backend rejects new requests.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.set(is_draining);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return; // the connection has ended already
        }
        let mut conn = Conn::new(stream);
        loop {
            let idle_since = std::time::Instant::now();
            let Ok(message) = conn.read().await else { return };
            let idle_too_long = idle_since.elapsed() > FORGET_IDLE_AFTER;
            let Some(ends_connection) = self.handle_request(&mut conn, &message, idle_too_long).await else {
                abort(conn.stream());
                return;
            };
            if ends_connection || message.closes_connection() {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection ends after it, or none where it is to be reset.
    async fn handle_request(&self, conn: &mut Conn, message: &Message, idle_too_long: bool) -> Option<bool> {
        let id = message.header("x-txn").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            conn.write(&answer(404, "Not Found", "", b"")).await.ok()?;
            return Some(false);
        };
        let misbehaviour = self.misbehaviour.get();
        let is_rejected = self.is_draining.get() || misbehaviour == Some(BackendMisbehaviour::Reject);
        let remaining_ms =
            message.header("x-remaining-ms").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(f64::MAX);
        let attempt = Attempt {
            id,
            backend: self.number,
            started_at: message.started_at,
            remaining_s: remaining_ms / 1000.0,
            is_rejected,
        };
        lock_ledger(&self.ledger).attempts.push(attempt);
        if misbehaviour == Some(BackendMisbehaviour::ForgetIdle) && idle_too_long {
            return None; // the sender cannot know whether the request ran
        }
        if is_rejected {
            conn.write(&answer(503, "Service Unavailable", "X-Turned-Away: 1\r\n", b"")).await.ok()?;
            return Some(false);
        }
        match misbehaviour {
            Some(BackendMisbehaviour::Hang) => {
                tokio::time::sleep(HANG_DURATION).await;
                return None;
            }
            Some(BackendMisbehaviour::Reset) => return None,
            _ => tokio::time::sleep(WORK_DURATION).await,
        }
        let body = format!("{id:016x}");
        let full_answer = answer(200, "OK", "", body.as_bytes());
        match misbehaviour {
            Some(BackendMisbehaviour::Fail) => {
                conn.write(&answer(500, "Internal Server Error", "", b"")).await.ok()?;
                Some(false)
            }
            Some(BackendMisbehaviour::NoLength) => {
                let text = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                conn.write(text.as_bytes()).await.ok()?;
                lock_ledger(&self.ledger).without_length.push(id);
                Some(true)
            }
            Some(BackendMisbehaviour::AnswerTwice) => {
                conn.write(&full_answer).await.ok()?;
                tokio::time::sleep(SECOND_ANSWER_DELAY).await;
                conn.write(&full_answer).await.ok()?;
                Some(false)
            }
            _ => {
                conn.write(&full_answer).await.ok()?;
                Some(misbehaviour == Some(BackendMisbehaviour::CloseAfterAnswer))
            }
        }
    }
}

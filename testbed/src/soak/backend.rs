//! Backends of the soak: each answers after a few milliseconds of work, or misbehaves as the plan says.

use super::ledger::{Arrival, Shared, open};
use super::plan::Misbehaviour;
use crate::http::{Conn, Message, answer};
use crate::links::abort;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The work of a request.
const WORK: Duration = Duration::from_millis(8);
/// How much later a second answer comes.
const SECOND_ANSWER: Duration = Duration::from_millis(4);
/// Rests longer than this are forgotten by a backend that forgets.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(150);
/// How long a backend that hangs holds a request.
const HANGS_FOR: Duration = Duration::from_secs(30);

/// One backend.
pub struct Backend {
    /// Its place.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    ledger: Shared,
    how: Cell<Option<Misbehaviour>>,
    drains: Cell<bool>,
}

impl Backend {
    /// Starts one on a port that the system chooses.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(number: usize, ledger: Shared) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let backend =
            Rc::new(Self { number, address, ledger, how: Cell::default(), drains: Cell::default() });
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

    /// It misbehaves from now on, or not.
    pub fn behave(&self, how: Option<Misbehaviour>) {
        self.how.set(how);
    }

    /// It drains from now on, or not: what is new is turned away.
    pub fn drain(&self, drains: bool) {
        self.drains.set(drains);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return; // it has gone already
        }
        let mut conn = Conn::new(stream);
        loop {
            let idle_since = std::time::Instant::now();
            let Ok(message) = conn.read().await else { return };
            let forgotten = idle_since.elapsed() > FORGOTTEN_AFTER;
            let Some(ends) = self.one(&mut conn, &message, forgotten).await else {
                abort(conn.stream());
                return;
            };
            if ends || message.closes() {
                return;
            }
        }
    }

    /// Answers one request; whether the connection ends behind it, none where it is reset.
    async fn one(&self, conn: &mut Conn, message: &Message, forgotten: bool) -> Option<bool> {
        let id = message.header("x-txn").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            conn.write(&answer(404, "Not Found", "", b"")).await.ok()?;
            return Some(false);
        };
        let how = self.how.get();
        let turned_away = self.drains.get() || how == Some(Misbehaviour::TurnAway);
        let left = message.header("x-remaining-ms").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(f64::MAX);
        let arrival = Arrival {
            id,
            backend: self.number,
            began: message.began,
            passed_timeout: left / 1000.0,
            turned_away,
        };
        open(&self.ledger).arrivals.push(arrival);
        if how == Some(Misbehaviour::ForgetIdle) && forgotten {
            return None; // its sender cannot know whether it ran
        }
        if turned_away {
            conn.write(&answer(503, "Service Unavailable", "X-Turned-Away: 1\r\n", b"")).await.ok()?;
            return Some(false);
        }
        match how {
            Some(Misbehaviour::Hang) => {
                tokio::time::sleep(HANGS_FOR).await;
                return None;
            }
            Some(Misbehaviour::Reset) => return None,
            _ => tokio::time::sleep(WORK).await,
        }
        let body = format!("{id:016x}");
        let whole = answer(200, "OK", "", body.as_bytes());
        match how {
            Some(Misbehaviour::Fail) => {
                conn.write(&answer(500, "Internal Server Error", "", b"")).await.ok()?;
                Some(false)
            }
            Some(Misbehaviour::NoLength) => {
                let text = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                conn.write(text.as_bytes()).await.ok()?;
                open(&self.ledger).without_length.push(id);
                Some(true)
            }
            Some(Misbehaviour::Twice) => {
                conn.write(&whole).await.ok()?;
                tokio::time::sleep(SECOND_ANSWER).await;
                conn.write(&whole).await.ok()?;
                Some(false)
            }
            _ => {
                conn.write(&whole).await.ok()?;
                Some(how == Some(Misbehaviour::CloseBehind))
            }
        }
    }
}

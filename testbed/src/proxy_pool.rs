//! A client's connections to one proxy, and the faults of the link between them. It is used by emulated clients, and by
//! backends that call a next tier through their own proxy.

use crate::http::{Conn, Message, ReadError};
use crate::record::Record;
use crate::spec::Class;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of idle connections in the pool of one proxy.
const MAX_IDLE: usize = 64;
/// Bounds of the timeout of an attempt, in seconds.
const TIMEOUT_RANGE_S: std::ops::RangeInclusive<f64> = 0.001..=3_600.0;

/// How a client's attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The proxy answered.
    Answered {
        /// The status.
        status: u16,
        /// The value of `Retry-After` in seconds, or 0.
        retry_after: f64,
        /// Whether the body is the answer to this request, not to another.
        is_own: bool,
    },
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before an answer, or the attempt timed out.
    Broken,
}

/// The fault of the link from clients to a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ClientLink {
    /// No fault.
    #[default]
    Pass,
    /// Each direction is delayed by this many seconds.
    Delay(f64),
    /// What is sent is lost, and connections stay open.
    Swallow,
    /// Connections are reset.
    Reset,
    /// One in this many attempts fails.
    Drop(u64),
}

/// The connections to one proxy, and the fault of the link to it.
pub struct ProxyPool {
    /// The proxy's index in the run.
    pub proxy: usize,
    address: Cell<Option<SocketAddr>>,
    idle: RefCell<Vec<Conn>>,
    record: Arc<Record>,
    link: Cell<ClientLink>,
    /// Attempts made under [`ClientLink::Drop`].
    attempts_under_drop: Cell<u64>,
    /// Connections opened.
    pub opened: Cell<u64>,
}

impl ProxyPool {
    /// A pool for the proxy at `address`; `None` if the proxy does not run yet.
    pub fn new(proxy: usize, address: Option<SocketAddr>, record: Arc<Record>) -> Rc<Self> {
        Rc::new(Self {
            proxy,
            address: Cell::new(address),
            idle: RefCell::default(),
            record,
            link: Cell::default(),
            attempts_under_drop: Cell::new(0),
            opened: Cell::new(0),
        })
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Sets the proxy's address.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// Sets the fault of the link.
    pub fn set_link(&self, link: ClientLink) {
        self.link.set(link);
        if matches!(link, ClientLink::Swallow | ClientLink::Reset) {
            self.idle.borrow_mut().clear();
        }
    }

    async fn connect(&self) -> Option<Conn> {
        let stream = TcpStream::connect(self.address.get()?).await.ok()?;
        let _ = stream.set_nodelay(true); // otherwise small writes are delayed
        self.opened.set(self.opened.get() + 1);
        Some(Conn::new(stream))
    }

    /// Makes one attempt of at most `timeout` seconds; `text` returns the bytes of the request with the given id.
    pub async fn attempt(&self, text: impl Fn(u64) -> Vec<u8>, timeout: f64) -> AttemptEnd {
        let timeout = timeout.clamp(*TIMEOUT_RANGE_S.start(), *TIMEOUT_RANGE_S.end());
        let timeout = Duration::from_secs_f64(timeout);
        tokio::time::timeout(timeout, self.exchange(text)).await.unwrap_or(AttemptEnd::Broken)
    }

    async fn exchange(&self, text: impl Fn(u64) -> Vec<u8>) -> AttemptEnd {
        let delay = match self.link.get() {
            ClientLink::Pass => 0.0,
            ClientLink::Delay(seconds) => seconds,
            ClientLink::Swallow => std::future::pending().await,
            ClientLink::Reset => return AttemptEnd::ConnectFailed,
            ClientLink::Drop(one_in) if self.is_dropped(one_in) => return AttemptEnd::ConnectFailed,
            ClientLink::Drop(_) => 0.0,
        };
        loop {
            let idle = self.idle.borrow_mut().pop();
            let is_reused = idle.is_some();
            let connection = match idle {
                Some(connection) => Some(connection),
                None => self.connect().await,
            };
            let Some(mut connection) = connection else { return AttemptEnd::ConnectFailed };
            let id = self.record.txn(self.proxy);
            wait(delay).await;
            let answer = match connection.write(&text(id)).await {
                Ok(()) => connection.read().await,
                Err(_) => Err(ReadError::Closed),
            };
            match answer {
                Ok(answer) => {
                    wait(delay).await;
                    return self.answered(id, &answer, connection);
                }
                // The proxy closed the idle connection meanwhile: the request is sent again, on a new connection.
                Err(ReadError::Closed) if is_reused => {}
                Err(_) => return AttemptEnd::Broken,
            }
        }
    }

    /// Whether the next attempt is the one in `one_in` that fails.
    fn is_dropped(&self, one_in: u64) -> bool {
        self.attempts_under_drop.set(self.attempts_under_drop.get() + 1);
        self.attempts_under_drop.get().is_multiple_of(one_in.max(1))
    }

    fn answered(&self, id: u64, answer: &Message, connection: Conn) -> AttemptEnd {
        let mut idle = self.idle.borrow_mut();
        if !answer.closes_connection() && connection.is_clean() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        AttemptEnd::Answered {
            status: answer.status(),
            retry_after: answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0),
            is_own: answer.body.starts_with(format!("{id:016x}").as_bytes()),
        }
    }

    /// Sends a call of the next tier for the request that a backend serves; returns whether the call was served.
    pub async fn send_nested_call(
        &self,
        request: &Message,
        class: &Class,
        number: usize,
        time_left: f64,
    ) -> bool {
        let (method, target) = request.method_target();
        let header = |name: &str| request.header(name).unwrap_or("");
        let key = header("idempotency-key");
        let more =
            if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}-{number}\r\n") };
        let text = RequestText {
            method,
            target,
            class: &class.name,
            tenant: header("x-org"),
            more_headers: &more,
            body: &request.body,
        };
        let end = self.attempt(|id| text.bytes(id, time_left), time_left).await;
        matches!(end, AttemptEnd::Answered { status: 200, .. })
    }
}

async fn wait(seconds: f64) {
    if seconds > 0.0 {
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }
}

/// A request of the protocol, without its id and the time left.
pub struct RequestText<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: &'a str,
    /// Further header lines, each ended by `\r\n`.
    pub more_headers: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestText<'_> {
    /// The bytes of the request with this id, whose client waits for `time_left` more seconds.
    pub fn bytes(&self, id: u64, time_left: f64) -> Vec<u8> {
        let Self { method, target, class, tenant, more_headers, body } = self;
        let remaining_ms = (time_left * 1e3).max(0.0) as u64;
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\n\
             X-Org: {tenant}\r\nX-Remaining-Ms: {remaining_ms}\r\n{more_headers}"
        );
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

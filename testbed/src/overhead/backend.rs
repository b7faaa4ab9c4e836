//! Backends that answer at once or, inside a chain, call the next level and forward its answer.

use super::plan::Side;
use super::pool::Pool;
use crate::http::{Conn, Message, answer};
use crate::rt::Loop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::{TcpListener, TcpStream};

/// The header that selects the side on which a backend calls the next level.
pub const SIDE_HEADER: &str = "x-side";
/// Headers that a backend copies to its own call, in lower case as the names are after parsing.
const FORWARDED_HEADERS: [&str; 4] = ["x-lane", "x-org", "x-remaining-ms", SIDE_HEADER];
/// First id of the backends' own calls, above all ids of the clients: every request needs a unique id.
const FIRST_ID: u64 = 1 << 63;
/// Body of the last level's answers.
const BODY: &[u8] = b"{\"status\":\"done\"}";

/// Next id of the backends' own calls.
static NEXT_ID: AtomicU64 = AtomicU64::new(FIRST_ID);

/// Name of a side in the header.
pub fn side_name(side: Side) -> &'static str {
    match side {
        Side::Direct => "direct",
        Side::Through => "through",
    }
}

/// Addresses of the next level, which a backend calls before it answers.
#[derive(Clone, Debug)]
pub struct NextLevel {
    /// The next level's backends.
    pub direct: Vec<SocketAddr>,
    /// The next level's proxy.
    pub through: SocketAddr,
}

/// One backend's connections to the next level.
struct Upstream {
    direct: Pool,
    through: Pool,
}

/// Starts a backend on a loopback port chosen by the system; it runs until its event loop ends.
///
/// # Errors
/// If no port is available.
pub fn start(event_loop: &Loop, next: Option<NextLevel>) -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    event_loop.spawn(move || async move {
        let upstream = next
            .map(|next| Upstream { direct: Pool::new(&next.direct), through: Pool::new(&[next.through]) });
        if let Ok(listener) = TcpListener::from_std(listener) {
            accept(listener, Rc::new(upstream)).await;
        }
    });
    Ok(address)
}

async fn accept(listener: TcpListener, upstream: Rc<Option<Upstream>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        tokio::task::spawn_local(async move { serve(stream, (*upstream).as_ref()).await });
    }
}

async fn serve(stream: TcpStream, upstream: Option<&Upstream>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Conn::new(stream);
    while let Ok(request) = connection.read().await {
        let bytes = respond(&request, upstream).await;
        if connection.write(&bytes).await.is_err() {
            return;
        }
    }
}

/// Builds the answer to one request.
async fn respond(request: &Message, upstream: Option<&Upstream>) -> Vec<u8> {
    let is_probe = request.method_target().1.starts_with("/-/");
    match upstream {
        Some(upstream) if !is_probe => forward(request, upstream).await,
        _ => answer(200, "OK", "Content-Type: application/json\r\n", BODY),
    }
}

/// Calls the next level and forwards its answer; answers 502 if the call fails.
async fn forward(request: &Message, upstream: &Upstream) -> Vec<u8> {
    let pool = match request.header(SIDE_HEADER) == Some(side_name(Side::Direct)) {
        true => &upstream.direct,
        false => &upstream.through,
    };
    let outcome = match pool.connection().await {
        Ok(connection) => connection.call(&next_request(request)).await,
        Err(failure) => Err(failure),
    };
    match outcome {
        Ok(message) => answer(message.status(), "Passed-On", "", &message.body),
        Err(failure) => answer(502, "Bad Gateway", "", failure.to_string().as_bytes()),
    }
}

/// Builds a backend's own call for a request that it received.
pub fn next_request(request: &Message) -> Vec<u8> {
    let (target, id) = (request_target(request), NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let mut text = format!("{target} HTTP/1.1\r\nHost: next\r\nX-Txn: {id:016x}\r\n");
    for name in FORWARDED_HEADERS {
        if let Some(value) = request.header(name) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}

fn request_target(request: &Message) -> String {
    let (method, target) = request.method_target();
    format!("{method} {target}")
}
